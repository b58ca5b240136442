//! Answers polls from other hosts.

use {
    super::{MapContext, host_table::digest},
    camphorcove_core::{
        ids::ServiceName,
        map::{MapVersion, RoutingMap},
        time::{BootTime, POLL_MAX_WAIT},
    },
    camphorcove_net::peer::{MapAnswer, MapDelta, MapPoll, MapUpdate, ScopeAnswer},
    tokio::{sync::watch, time::Instant},
};

/// Answers a poll. The answer waits up to [`POLL_MAX_WAIT`] for a newer map or configuration than
/// the poller has, unless the poll is urgent or must be repeated with its downstream hosts.
pub async fn answer_poll(context: &MapContext, poll: MapPoll) -> MapAnswer {
    let mut maps = context.maps.changes();
    let mut config = context.config.changes();
    let downstream_unknown = context.hosts.record_poll(&poll, context.now());
    for (service, counts) in &poll.loads {
        context.loads.add(service, counts);
    }
    if !poll.urgent && !downstream_unknown {
        wait_for_changes(context, &poll, &mut maps, &mut config).await;
        // The poller may use the maps in this answer from now on, so their expiry is
        // counted from now and not from the arrival of the poll.
        context.hosts.record_poll(&poll, context.now());
    }
    build_answer(context, &poll, downstream_unknown)
}

async fn wait_for_changes(
    context: &MapContext,
    poll: &MapPoll,
    maps: &mut watch::Receiver<u64>,
    config: &mut watch::Receiver<u64>,
) {
    let end = Instant::now() + POLL_MAX_WAIT;
    while !has_changes(context, poll) {
        tokio::select! {
            _ = tokio::time::sleep_until(end) => return,
            changed = maps.changed() => if changed.is_err() { return },
            changed = config.changed() => if changed.is_err() { return },
        }
    }
}

fn has_changes(context: &MapContext, poll: &MapPoll) -> bool {
    let config = context.config.config();
    if config.is_some_and(|config| config.version > poll.config) {
        return true;
    }
    let now = context.now();
    let mut scopes = poll.held.iter();
    scopes.any(|(service, version)| {
        let timed_map = context.maps.valid(service, now);
        timed_map.is_some_and(|timed_map| timed_map.map.version > *version)
    })
}

fn build_answer(context: &MapContext, poll: &MapPoll, downstream_requested: bool) -> MapAnswer {
    let now = context.now();
    let scopes = poll.held.iter();
    let scopes =
        scopes.filter_map(|(service, version)| scope_answer(context, service, *version, now));
    let config = context.config.config();
    let config = config.filter(|config| config.version > poll.config);
    let hosts = context.live_hosts();
    let hosts_digest = digest(&hosts);
    MapAnswer {
        from: context.local_peer(),
        scopes: scopes.collect(),
        config: config.map(|config| Box::new((*config).clone())),
        hosts_digest,
        hosts: (hosts_digest != poll.live_hosts_digest).then_some(hosts),
        downstream_requested,
    }
}

fn scope_answer(
    context: &MapContext,
    service: &ServiceName,
    version: MapVersion,
    now: BootTime,
) -> Option<ScopeAnswer> {
    let timed_map = context.maps.valid(service, now)?;
    let remaining = timed_map.valid_until.since(now);
    Some(ScopeAnswer {
        service: service.clone(),
        version: timed_map.map.version,
        remaining_micros: u64::try_from(remaining.as_micros()).unwrap_or(0),
        map_update: map_update_since(context, &timed_map.map, version),
    })
}

fn map_update_since(context: &MapContext, map: &RoutingMap, version: MapVersion) -> MapUpdate {
    if map.version <= version {
        return MapUpdate::Same;
    }
    let base = context.maps.previous_version(&map.service, version);
    let delta = base.and_then(|base| MapDelta::between(&base, map));
    match delta {
        Some(delta) => MapUpdate::Delta(delta),
        None => MapUpdate::Whole(Box::new(map.clone())),
    }
}
