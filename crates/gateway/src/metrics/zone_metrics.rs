//! Metrics of requests that leave their availability zone.

use {
    crate::state::{HostState, SendCause},
    prometheus::{GaugeVec, IntCounterVec, Opts, Registry},
};

/// Registers the requests by service, zone of the server and cause, and the shares that leave by the decision
/// that this host applies. Both are empty unless the settings enable the decision.
pub(super) fn register_zone_metrics(
    registry: &Registry,
    state: &HostState,
) -> Result<(), prometheus::Error> {
    let sends = IntCounterVec::new(
        Opts::new(
            "camphorcove_zone_requests_total",
            "Requests sent to servers of services without keys, by the zones of host and server.",
        ),
        &["service", "from", "to", "cause"],
    )?;
    let own = state.settings.zone.as_str();
    for row in state.zone_sends() {
        let cause = match row.cause {
            SendCause::Decision => "decision",
            SendCause::Fallback => "fallback",
            SendCause::Undecided => "undecided",
        };
        let labels = [row.service.as_str(), own, row.to.as_str(), cause];
        sends.with_label_values(&labels).inc_by(row.requests);
    }
    registry.register(Box::new(sends))?;
    let shares = GaugeVec::new(
        Opts::new(
            "camphorcove_zone_transfer_share",
            "Share of a zone's requests that the leader lets go to another zone.",
        ),
        &["service", "from", "to"],
    )?;
    for transfer in state.transfers() {
        let labels = [
            transfer.service.as_str(),
            transfer.from.as_str(),
            transfer.to.as_str(),
        ];
        shares
            .with_label_values(&labels)
            .set(transfer.share.fraction());
    }
    registry.register(Box::new(shares))
}
