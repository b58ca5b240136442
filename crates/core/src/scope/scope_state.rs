//! Content of a scope object.

use {
    super::ShardState,
    crate::{
        audit::{AuditAction, AuditRecord, RecordHash},
        ids::{ConfigVersion, Epoch, HostId, ServiceName},
    },
};

/// Content of a scope object.
///
/// Terms, assignments and moves share one object, so a successor's takeover
/// makes every late write of its predecessor fail on the object's version.
#[derive(
    Clone, Debug, PartialEq, bincode::Encode, bincode::Decode, serde::Serialize, serde::Deserialize,
)]
pub struct ScopeState {
    /// Scope.
    pub service: ServiceName,
    /// Current term.
    pub epoch: Epoch,
    /// Controller of the term.
    pub controller: HostId,
    /// Process of the controller, to recognise a write whose answer was lost.
    pub nonce: u64,
    /// Electors of the term.
    pub electors: Vec<HostId>,
    /// Last sequence number used in a token of this term.
    pub sequence: u64,
    /// Configuration the assignment follows.
    pub config: ConfigVersion,
    /// Shards by id.
    pub shards: Vec<ShardState>,
    /// The controller of the term gave up its role and sends nothing more.
    #[serde(default)]
    pub resigned: bool,
    /// The controller that resigned had authority, so no older controller has any.
    #[serde(default)]
    pub promises_ended: bool,
    /// Grants may live that no promise covers; a successor waits out a longer period.
    #[serde(default)]
    pub uncovered_grants: bool,
    /// Audit records not yet archived, newest last.
    pub records: Vec<AuditRecord>,
}

/// Records above this number block planned moves until the daemon has archived some.
const RECORD_LIMIT: usize = 200;

/// Bytes of listed moves above which the same holds.
///
/// The object must stay below the platform's limit of 1 MB.
const RECORD_BYTES_LIMIT: usize = 100_000;

impl ScopeState {
    /// Whether a process holds the term.
    pub fn held_by(&self, host: &HostId, nonce: u64) -> bool {
        self.controller == *host && self.nonce == nonce
    }

    /// Appends an audit record, chained to the newest one.
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

    /// Whether planned moves must wait until records are archived.
    pub fn is_full_of_records(&self) -> bool {
        let listed: usize = self.records.iter().map(listed_bytes).sum();
        self.records.len() >= RECORD_LIMIT || listed >= RECORD_BYTES_LIMIT
    }

    /// Drops archived records; the newest stays because the next one is chained to it.
    pub fn drop_records(&mut self, up_to: u64) {
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
