//! Division of what short zones have too many among zones with room.

use crate::ids::ZoneName;

/// A zone that can take requests of others.
#[derive(Clone, Debug)]
pub(super) struct SpareZone {
    /// Zone.
    pub zone: ZoneName,
    /// Requests a second that it can take.
    pub room: f64,
}

/// Divides the `excess` of each short zone, in requests a second, among the zones with room for which
/// `may_send` holds, in proportion to the room. Returns sender, receiver and requests a second. No zone gets more than
/// its room; what finds none is not sent.
pub(super) fn split_excess(
    excess: &[(ZoneName, f64)],
    spare: &[SpareZone],
    may_send: impl Fn(&ZoneName, &ZoneName) -> bool,
) -> Vec<(ZoneName, ZoneName, f64)> {
    let mut parts = Vec::new();
    let mut wanted = vec![0.0; spare.len()];
    for (from, excess) in excess {
        let allowed = |receiver: &&SpareZone| may_send(from, &receiver.zone);
        let room: f64 = spare.iter().filter(allowed).map(|to| to.room).sum();
        if room <= 0.0 {
            continue;
        }
        for (at, receiver) in spare.iter().enumerate() {
            if !may_send(from, &receiver.zone) {
                continue;
            }
            let rate = excess.min(room) * receiver.room / room;
            wanted[at] += rate;
            parts.push((from.clone(), at, rate));
        }
    }
    let fit = |at: usize| (spare[at].room / wanted[at]).min(1.0);
    parts
        .into_iter()
        .filter(|(_, _, rate)| *rate > 0.0)
        .map(|(from, at, rate)| (from, spare[at].zone.clone(), rate * fit(at)))
        .collect()
}
