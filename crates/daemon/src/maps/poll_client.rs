//! Sends polls and adopts their answers.

use {
    super::{HeldMap, MapContext, host_table::digest},
    camphorcove_core::{
        ids::{ConfigVersion, ServiceName, ShardId},
        map::MapVersion,
        time::{BootTime, MAP_TTL, POLL_HOLD},
    },
    camphorcove_net::peer::{
        MapAnswer, MapPoll, MapUpdate, PeerAddress, PeerError, PeerKind, ScopeAnswer,
    },
    std::{sync::Arc, time::Duration},
};

/// Time for a poll beyond the hold.
const POLL_MARGIN: Duration = Duration::from_millis(600);

/// Interval of load reports.
pub const LOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Requests by service and shard.
type LoadReports = Vec<(ServiceName, Vec<(ShardId, u32)>)>;

/// Polls of one upstream host, with what was exchanged before.
#[derive(Debug)]
pub struct PollClient {
    context: Arc<MapContext>,
    upstream: PeerAddress,
    hosts: Vec<PeerAddress>,
    hosts_digest: u64,
    downstream_sent: u64,
    loads_sent_at: BootTime,
}

/// How to poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollMode {
    /// This host is a relay.
    pub relay: bool,
    /// Answer at once.
    pub urgent: bool,
}

impl PollClient {
    /// Client for an upstream host.
    pub fn new(context: Arc<MapContext>, upstream: PeerAddress) -> Self {
        Self {
            context,
            upstream,
            hosts: Vec::new(),
            hosts_digest: 0,
            downstream_sent: 0,
            loads_sent_at: BootTime::default(),
        }
    }

    /// Polls for some scopes and adopts the answer.
    pub async fn poll(&mut self, scopes: &[ServiceName], mode: PollMode) -> Result<(), PeerError> {
        let poll = self.question(scopes, mode);
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
                POLL_HOLD + POLL_MARGIN,
            )
            .await?;
        self.downstream_sent = match answer.want_downstream {
            true => 0,
            false => downstream_digest,
        };
        self.adopt(answer, sent_at);
        Ok(())
    }

    /// Load reports of the scopes, now and then; not in a search, which many hosts get.
    fn loads(&mut self, scopes: &[ServiceName], mode: PollMode) -> LoadReports {
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

    fn question(&mut self, scopes: &[ServiceName], mode: PollMode) -> MapPoll {
        let loads = self.loads(scopes, mode);
        let context = &self.context;
        let now = context.now();
        let mut held = Vec::with_capacity(scopes.len());
        let mut floors = Vec::new();
        for service in scopes {
            let version = held_version(context, service);
            held.push((service.clone(), version));
            let floor = context.hosts.floor(service, now);
            if let Some(floor) = floor.filter(|floor| *floor < version) {
                floors.push((service.clone(), floor));
            }
        }
        let downstream = match mode.relay {
            true => context.hosts.downstream(now),
            false => Vec::new(),
        };
        let downstream_digest = digest(&downstream);
        MapPoll {
            from: context.me(),
            held,
            floors,
            config: config_version(context),
            relay: mode.relay,
            hosts: self.hosts_digest,
            downstream_digest,
            downstream: (downstream_digest != self.downstream_sent).then_some(downstream),
            urgent: mode.urgent,
            loads,
        }
    }

    fn adopt(&mut self, answer: MapAnswer, sent_at: BootTime) {
        let context = self.context.clone();
        if let Some(config) = answer.config {
            context.adopt_config(*config, "peer");
        }
        for scope in answer.scopes {
            adopt_scope(&context, scope, sent_at);
        }
        context.hosts.note_answer(&answer.from, sent_at);
        if let Some(hosts) = answer.hosts {
            self.hosts = hosts;
            self.hosts.retain(|host| host.host.id != context.host.id);
        }
        self.hosts_digest = answer.hosts_digest;
        if context.controls().is_empty() {
            let upstream = &answer.from.host.id;
            context.hosts.note_list(upstream, &self.hosts, sent_at);
        }
    }
}

/// The answered validity counts from before the poll was sent, so it ends here
/// no later than at the answering host.
fn adopt_scope(context: &MapContext, scope: ScopeAnswer, sent_at: BootTime) {
    let remaining = Duration::from_micros(scope.remaining_micros).min(MAP_TTL);
    let valid_until = sent_at + remaining;
    let map = match scope.map_update {
        MapUpdate::Same => {
            context
                .maps
                .prolong(&scope.service, scope.version, valid_until);
            return;
        }
        MapUpdate::Whole(map) => Arc::from(map),
        MapUpdate::Delta(delta) => {
            let base = context.maps.held(&scope.service);
            match base.and_then(|base| delta.apply(&base.map)) {
                Some(map) => Arc::new(map),
                // A newer map was adopted meanwhile; the next poll names it.
                None => return,
            }
        }
    };
    if map.service != scope.service || map.version != scope.version {
        log::warn!("answer for scope {} carries another map", scope.service);
        return;
    }
    context
        .hints
        .note(&map.service, map.version.epoch, &map.controller);
    context.maps.accept(HeldMap { map, valid_until });
}

fn held_version(context: &MapContext, service: &ServiceName) -> MapVersion {
    let held = context.maps.held(service);
    held.map_or(MapVersion::default(), |held| held.map.version)
}

fn config_version(context: &MapContext) -> ConfigVersion {
    let config = context.config.config();
    config.map_or(ConfigVersion(0), |config| config.version)
}
