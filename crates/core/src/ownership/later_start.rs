//! Where a server may have started again, by the entries in the store.
//!
//! Entries prove nothing: other programs write such entries too, under any name, with any address and start,
//! the store may return an older copy of them, and the fleet of a leader may be behind the assignment. They
//! only tell whom to ask. An owner has ended if another server answers at its address, as an address is used
//! again only after its previous server has ended. A server that has started again under its id holds keys
//! by orders for its earlier start, as these name the id only, so it is asked to release them.

use {
    super::ServerInstance,
    crate::fleet::{FleetView, ServerEntry},
};

/// Later start of an owner under its id, if the fleet has an entry of one.
pub(super) fn later_start(fleet: &FleetView, owner: &ServerInstance) -> Option<ServerInstance> {
    let entry = fleet.get(&owner.id)?;
    is_later(entry, owner).then(|| ServerInstance {
        id: entry.id.clone(),
        incarnation: entry.incarnation,
        address: entry.address,
    })
}

/// Whether an entry tells that the owner may have ended: one of a later start under its id, or, if it is no
/// longer in the fleet, of a later server at its address.
pub(super) fn may_have_ended(fleet: &FleetView, owner: &ServerInstance) -> bool {
    match fleet.get(&owner.id) {
        Some(entry) => is_later(entry, owner),
        None => fleet
            .entries()
            .any(|entry| entry.address == owner.address && is_later(entry, owner)),
    }
}

fn is_later(entry: &ServerEntry, owner: &ServerInstance) -> bool {
    entry.incarnation > owner.incarnation
}
