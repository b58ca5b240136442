//! Content of the scope object and its audit records.

use {
    super::ShardState,
    crate::{
        audit::{AuditAction, AuditRecord, RecordHash},
        ids::{ConfigVersion, Epoch, HostId, ServiceName},
    },
};

/// Content of a scope object.
///
/// Every write is conditional on the object's version. Terms, owners and moves
/// share one object, so after a successor's takeover every late write of its
/// predecessor fails.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct ScopeState {
    /// Service whose shards the object covers.
    pub service: ServiceName,
    /// Current term.
    pub epoch: Epoch,
    /// Host that is the controller of the term.
    pub controller: HostId,
    /// Identifies the controller's process, which recognises its own write by it if the answer
    /// was lost.
    pub nonce: u64,
    /// Hosts whose majority gives the controller its authority.
    pub electors: Vec<HostId>,
    /// Last sequence number used in a fencing token of this term.
    pub sequence: u64,
    /// Configuration that the owners were planned from.
    pub config: ConfigVersion,
    /// Ownership of each shard, indexed by shard id.
    pub shards: Vec<ShardState>,
    /// The controller of the term has resigned and sends no more orders or maps.
    #[serde(default)]
    pub resigned: bool,
    /// The controller that resigned had authority, so no older controller has any either.
    #[serde(default)]
    pub promises_ended: bool,
    /// Grants may be live that no promise covers, so a successor must wait longer until all
    /// earlier grants have expired.
    #[serde(default)]
    pub uncovered_grants: bool,
    /// Audit records not yet archived, newest last.
    pub records: Vec<AuditRecord>,
}

/// With this many audit records, no planned move starts until the daemon has archived some.
const MAX_RECORDS: usize = 200;

/// With this many bytes of moves listed in the audit records, no planned move starts either.
///
/// The scope object must stay below the platform's limit of 1 MB.
const MAX_LISTED_MOVE_BYTES: usize = 100_000;

impl ScopeState {
    /// Whether the process `nonce` on `host` holds the term.
    pub fn is_held_by(&self, host: &HostId, nonce: u64) -> bool {
        self.controller == *host && self.nonce == nonce
    }

    /// Appends an audit record that contains the hash of the newest one.
    pub fn append_record(&mut self, wall_millis: u64, action: AuditAction, reason: &str) {
        let (number, previous) = match self.records.last() {
            Some(record) => (record.number + 1, record.hash()),
            None => (1, RecordHash::default()),
        };
        self.records.push(AuditRecord {
            number,
            wall_millis,
            actor: self.controller.to_string(),
            action,
            reason: reason.to_owned(),
            previous,
        });
    }

    /// Whether planned moves must wait until audit records have been archived.
    pub fn is_record_limit_reached(&self) -> bool {
        let listed: usize = self.records.iter().map(listed_bytes).sum();
        self.records.len() >= MAX_RECORDS || listed >= MAX_LISTED_MOVE_BYTES
    }

    /// Removes records up to number `up_to`; the newest stays because the next one contains its hash.
    pub fn remove_archived_records(&mut self, up_to: u64) {
        let newest = self.records.last().map_or(0, |record| record.number);
        self.records
            .retain(|record| record.number > up_to || record.number == newest);
    }
}

fn listed_bytes(record: &AuditRecord) -> usize {
    match &record.action {
        AuditAction::Ownership { moves } => moves.iter().map(String::len).sum(),
        _ => 0,
    }
}
