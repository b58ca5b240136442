//! Sends polls to an upstream host and applies the answers.

use {
    super::{MapContext, TimedMap, host_table::digest},
    camphorcove_core::{
        ids::{ConfigVersion, ServiceName, ShardId},
        map::MapVersion,
        time::{BootTime, MAP_TTL, POLL_MAX_WAIT},
    },
    camphorcove_net::peer::{
        MapAnswer, MapPoll, MapUpdate, PeerAddress, PeerError, PeerKind, ScopeAnswer,
    },
    std::{sync::Arc, time::Duration},
};

/// Added to [`POLL_MAX_WAIT`], for which the upstream may delay its answer, to get the timeout.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(600);

/// Interval at which request counts are reported to the upstream host.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Request counts by service and shard.
type LoadReports = Vec<(ServiceName, Vec<(ShardId, u32)>)>;

/// Polls one upstream host. It remembers which lists both sides already have, so that polls
/// and answers carry only lists that have changed.
#[derive(Debug)]
pub struct PollClient {
    context: Arc<MapContext>,
    upstream: PeerAddress,
    /// Live hosts as last received from the upstream host.
    upstream_hosts: Vec<PeerAddress>,
    hosts_digest: u64,
    /// Digest of the downstream hosts that the upstream host has; 0 if it needs the list.
    downstream_digest_sent: u64,
    loads_sent_at: BootTime,
}

/// Options of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollMode {
    /// Poll as a relay, with the list of downstream hosts.
    pub relay: bool,
    /// Ask for an immediate answer instead of one that waits for changes.
    pub urgent: bool,
}

impl PollClient {
    /// Creates a client that has not exchanged anything with the upstream host.
    pub fn new(context: Arc<MapContext>, upstream: PeerAddress) -> Self {
        Self {
            context,
            upstream,
            upstream_hosts: Vec::new(),
            hosts_digest: 0,
            downstream_digest_sent: 0,
            loads_sent_at: BootTime::default(),
        }
    }

    /// Sends a poll for the given scopes and applies the answer.
    pub async fn poll(&mut self, scopes: &[ServiceName], mode: PollMode) -> Result<(), PeerError> {
        let poll = self.build_poll(scopes, mode);
        let downstream_digest = poll.downstream_digest;
        let sent_at = self.context.now();
        let answer: MapAnswer = self
            .context
            .client
            .call(
                &self.upstream.host.id,
                self.upstream.peer,
                PeerKind::Poll,
                &poll,
                POLL_MAX_WAIT + POLL_TIMEOUT_MARGIN,
            )
            .await?;
        self.downstream_digest_sent = match answer.downstream_requested {
            true => 0,
            false => downstream_digest,
        };
        self.apply_answer(answer, sent_at);
        Ok(())
    }

    /// Takes the load reports of the scopes if a report is due. Urgent polls carry none: they
    /// go to many hosts at once, and a count must be reported only once.
    fn take_load_reports(&mut self, scopes: &[ServiceName], mode: PollMode) -> LoadReports {
        let now = self.context.now();
        if mode.urgent || now.since(self.loads_sent_at) < LOAD_INTERVAL {
            return Vec::new();
        }
        self.loads_sent_at = now;
        let reports = scopes.iter().map(|service| {
            let counts = self.context.loads.take_report(service);
            (service.clone(), counts)
        });
        reports.filter(|(_, counts)| !counts.is_empty()).collect()
    }

    fn build_poll(&mut self, scopes: &[ServiceName], mode: PollMode) -> MapPoll {
        let loads = self.take_load_reports(scopes, mode);
        let context = &self.context;
        let now = context.now();
        let mut held = Vec::with_capacity(scopes.len());
        let mut oldest_versions = Vec::new();
        for service in scopes {
            let version = held_version(context, service);
            held.push((service.clone(), version));
            let oldest_version = context.hosts.oldest_version(service, now);
            if let Some(oldest_version) =
                oldest_version.filter(|oldest_version| *oldest_version < version)
            {
                oldest_versions.push((service.clone(), oldest_version));
            }
        }
        let downstream = match mode.relay {
            true => context.hosts.downstream(now),
            false => Vec::new(),
        };
        let downstream_digest = digest(&downstream);
        MapPoll {
            from: context.local_peer(),
            held,
            oldest_versions,
            config: config_version(context),
            relay: mode.relay,
            live_hosts_digest: self.hosts_digest,
            downstream_digest,
            downstream: (downstream_digest != self.downstream_digest_sent).then_some(downstream),
            urgent: mode.urgent,
            loads,
        }
    }

    fn apply_answer(&mut self, answer: MapAnswer, sent_at: BootTime) {
        let context = self.context.clone();
        if let Some(config) = answer.config {
            context.adopt_config(*config, "peer");
        }
        for scope in answer.scopes {
            apply_scope_answer(&context, scope, sent_at);
        }
        context.hosts.record_answer(&answer.from, sent_at);
        if let Some(hosts) = answer.hosts {
            self.upstream_hosts = hosts;
            self.upstream_hosts
                .retain(|host| host.host.id != context.host.id);
        }
        self.hosts_digest = answer.hosts_digest;
        if context.controlled_scopes().is_empty() {
            let upstream = &answer.from.host.id;
            context
                .hosts
                .record_list(upstream, &self.upstream_hosts, sent_at);
        }
    }
}

/// Applies an answer for one scope. The remaining validity is counted from before the poll
/// was sent, so it ends here no later than at the answering host.
fn apply_scope_answer(context: &MapContext, scope: ScopeAnswer, sent_at: BootTime) {
    let remaining = Duration::from_micros(scope.remaining_micros).min(MAP_TTL);
    let valid_until = sent_at + remaining;
    let map = match scope.map_update {
        MapUpdate::Same => {
            context
                .maps
                .extend_validity(&scope.service, scope.version, valid_until);
            return;
        }
        MapUpdate::Whole(map) => Arc::from(map),
        MapUpdate::Delta(delta) => {
            let base = context.maps.stored(&scope.service);
            match base.and_then(|base| delta.apply(&base.map)) {
                Some(map) => Arc::new(map),
                // Another map was stored in the meantime; the next poll states its version.
                None => return,
            }
        }
    };
    if map.service != scope.service || map.version != scope.version {
        log::warn!(
            "poll answer for scope {} contains the map of another scope or version",
            scope.service
        );
        return;
    }
    context
        .hints
        .record_controller(&map.service, map.version.epoch, &map.controller);
    context.maps.accept(TimedMap { map, valid_until });
}

fn held_version(context: &MapContext, service: &ServiceName) -> MapVersion {
    let timed_map = context.maps.stored(service);
    timed_map.map_or(MapVersion::default(), |timed_map| timed_map.map.version)
}

fn config_version(context: &MapContext) -> ConfigVersion {
    let config = context.config.config();
    config.map_or(ConfigVersion(0), |config| config.version)
}
