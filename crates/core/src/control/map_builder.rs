//! Builds the routing map from the scope object and the phases of the servers.

use {
    super::{
        scope_machine::ScopeMachine,
        server_view::{keeps_shard, shard_id},
        tracked_server::Reachability,
    },
    crate::{
        ids::{FencingToken, ServerId, ZoneName},
        map::{MapVersion, RoutingMap, ServerEntry, ShardEntry},
        scope::{ScopeState, ShardState},
        time::BootTime,
    },
    std::time::Duration,
};

/// Interval of forwarder updates while nothing else changes.
const FORWARDER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl ScopeMachine {
    /// Publishes the map if it changed, or extends its validity.
    pub(super) fn publish_map(&mut self, now: BootTime) {
        let authority_end = self.authority_end();
        if authority_end <= now {
            return;
        }
        self.update_forwarders(now);
        let rebuilt = if self.dirty { self.build_map() } else { None };
        self.dirty = false;
        let Some(term) = &mut self.term else {
            return;
        };
        let Some(action) = term.maps.publish(rebuilt, authority_end, now) else {
            return;
        };
        term.authority.mark_authority_used(authority_end);
        self.actions.push(action);
    }

    fn update_forwarders(&mut self, now: BootTime) {
        let due = self
            .term
            .as_ref()
            .is_some_and(|term| now >= term.next_forwarders);
        let Some(spec) = self.spec.as_ref().filter(|_| self.dirty || due) else {
            return;
        };
        let servers: Vec<(ServerId, ZoneName)> = spec
            .service
            .servers
            .iter()
            .map(|server| (server.id.clone(), server.zone.clone()))
            .collect();
        let Some(term) = &mut self.term else {
            return;
        };
        term.next_forwarders = now + FORWARDER_CHECK_INTERVAL;
        if term.forwarders.update(&servers, &self.hosts, now) {
            self.dirty = true;
        }
    }

    fn build_map(&self) -> Option<RoutingMap> {
        let spec = self.spec.as_ref()?;
        let state = &self.own_term_object()?.state;
        let term = self.term.as_ref()?;
        let mut servers = Vec::new();
        for config in &spec.service.servers {
            servers.push(ServerEntry {
                id: config.id.clone(),
                address: config.address,
                zone: config.zone.clone(),
                weight: config.weight,
                slots: config.slots,
                connections: config.connections,
                phase: self.phase(&config.id),
                forwarder: term.forwarders.get(&config.id).cloned(),
            });
        }
        self.add_removed_servers(&mut servers);
        let shards = self.shard_entries(state, &servers);
        Some(RoutingMap {
            service: self.service.clone(),
            version: MapVersion {
                epoch: term.epoch,
                revision: 0,
            },
            config: spec.version,
            controller: self.host.id.clone(),
            servers,
            shards,
        })
    }

    /// Adds the servers that left the configuration but still own shards.
    ///
    /// Their entries are copied from the current or the last known map.
    fn add_removed_servers(&self, servers: &mut Vec<ServerEntry>) {
        let ids = self.server_ids();
        let current = self.term.as_ref().and_then(|term| term.maps.current());
        let known = [current, self.last_map.as_ref()];
        for old in known.into_iter().flatten().flat_map(|map| &map.servers) {
            let listed = servers.iter().any(|server| server.id == old.id);
            if listed || !ids.contains(&old.id) {
                continue;
            }
            let mut entry = old.clone();
            entry.phase = self.phase(&old.id);
            servers.push(entry);
        }
    }

    fn shard_entries(&self, state: &ScopeState, servers: &[ServerEntry]) -> Vec<ShardEntry> {
        let checked = self.is_checked();
        let index_of = |id: &ServerId| {
            let index = servers.iter().position(|server| server.id == *id)?;
            u16::try_from(index).ok()
        };
        let mut entries = Vec::with_capacity(state.shards.len());
        for (index, shard) in state.shards.iter().enumerate() {
            let entry = match shard {
                ShardState::Unowned => ShardEntry::default(),
                ShardState::Owned { server, token } => ShardEntry {
                    owner: index_of(server),
                    token: *token,
                    moving: self.is_given_away(index, server, *token)
                        || match checked {
                            true => self.awaits_grant(index, server, *token),
                            false => !self.is_up(server),
                        },
                },
                ShardState::Releasing { from, token, .. } => ShardEntry {
                    owner: index_of(from),
                    token: *token,
                    moving: true,
                },
            };
            entries.push(entry);
        }
        entries
    }

    /// Whether a pending write, which may have taken effect, takes the shard from its owner.
    fn is_given_away(&self, index: usize, server: &ServerId, token: FencingToken) -> bool {
        self.writer
            .pending_state()
            .is_some_and(|state| !keeps_shard(state, index, server, token))
    }

    /// Whether a shard that this term assigned has not been granted to its owner yet.
    ///
    /// Owners that earlier terms assigned may hold their shards already.
    fn awaits_grant(&self, index: usize, server: &ServerId, token: FencingToken) -> bool {
        let term = self.term.as_ref().map(|term| term.epoch);
        let shard = (shard_id(index), token);
        let confirmed = self
            .tracked(server)
            .is_some_and(|tracked| tracked.confirmed.contains(&shard));
        term == Some(token.epoch) && !confirmed
    }

    fn is_up(&self, id: &ServerId) -> bool {
        self.tracked(id)
            .is_some_and(|tracked| tracked.reachability == Reachability::Up)
    }
}
