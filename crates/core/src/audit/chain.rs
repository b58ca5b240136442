//! Verification of a chain of audit records.

use {
    super::{AuditRecord, RecordHash},
    std::fmt,
};

/// Number and hash of a record, noted earlier and kept outside the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChainAnchor {
    /// Number of the record.
    pub number: u64,
    /// Hash of the record.
    pub hash: RecordHash,
}

/// A fault found in a chain of audit records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum ChainFault {
    /// Records are missing.
    Gap {
        /// First missing number.
        first: u64,
        /// Last missing number.
        last: u64,
    },
    /// A record follows one with a higher number.
    Reordered {
        /// The record.
        number: u64,
        /// Number of the preceding record.
        after: u64,
    },
    /// A number appears twice.
    Repeated {
        /// The number.
        number: u64,
    },
    /// The record's hash differs from the one in its successor or in an anchor.
    Edited {
        /// The record.
        number: u64,
    },
    /// Record 1 contains the hash of a preceding record, which cannot exist.
    FalseStart {
        /// The record.
        number: u64,
    },
    /// Records at the end are missing.
    CutEnd {
        /// Number of the last record found; 0 if none.
        last: u64,
        /// Highest number that an anchor proves to exist.
        expected: u64,
    },
}

impl fmt::Display for ChainFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { first, last } if first == last => {
                write!(f, "gap: record {first} is missing")
            }
            Self::Gap { first, last } => write!(f, "gap: records {first} to {last} are missing"),
            Self::Reordered { number, after } => {
                write!(f, "reordered: record {number} stands after record {after}")
            }
            Self::Repeated { number } => write!(f, "repeated: record {number} appears twice"),
            Self::Edited { number } => {
                write!(
                    f,
                    "edited: record {number} does not have the hash noted for it"
                )
            }
            Self::FalseStart { number } => {
                write!(
                    f,
                    "false start: record {number} names a predecessor that cannot exist"
                )
            }
            Self::CutEnd { last, expected } => write!(
                f,
                "cut end: record {last} is the last one found, record {expected} must exist"
            ),
        }
    }
}

/// Result of verifying a chain.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ChainReport {
    /// Number of records checked.
    pub records: u64,
    /// Number and hash of the last record. Keep it as an anchor to detect a cut end later.
    pub last: Option<ChainAnchor>,
    /// All faults found.
    pub faults: Vec<ChainFault>,
}

/// Verifies records in the order in which they are stored or exported.
///
/// Each record is protected by its successor, which contains its hash. The last record is
/// protected only by an anchor, since no successor exists.
pub fn verify_chain(records: &[AuditRecord], anchors: &[ChainAnchor]) -> ChainReport {
    let mut faults = Vec::new();
    check_order(records, &mut faults);
    let mut sorted: Vec<&AuditRecord> = records.iter().collect();
    sorted.sort_by_key(|record| record.number);
    check_numbers(&sorted, &mut faults);
    check_links(&sorted, &mut faults);
    check_anchors(&sorted, anchors, &mut faults);
    let last = sorted.last().map(|record| ChainAnchor {
        number: record.number,
        hash: record.hash(),
    });
    ChainReport {
        records: u64::try_from(records.len()).unwrap_or(u64::MAX),
        last,
        faults,
    }
}

fn check_order(records: &[AuditRecord], faults: &mut Vec<ChainFault>) {
    for pair in records.windows(2) {
        let (after, number) = (pair[0].number, pair[1].number);
        if number < after {
            faults.push(ChainFault::Reordered { number, after });
        }
    }
}

fn check_numbers(sorted: &[&AuditRecord], faults: &mut Vec<ChainFault>) {
    let mut next = 1;
    for record in sorted {
        let number = record.number;
        if number > next {
            let (first, last) = (next, number - 1);
            faults.push(ChainFault::Gap { first, last });
        }
        if number < next {
            faults.push(ChainFault::Repeated { number });
            continue;
        }
        next = number.saturating_add(1);
    }
}

fn check_links(sorted: &[&AuditRecord], faults: &mut Vec<ChainFault>) {
    if let Some(first) = sorted.first()
        && first.number == 1
        && first.previous != RecordHash::default()
    {
        faults.push(ChainFault::FalseStart { number: 1 });
    }
    for pair in sorted.windows(2) {
        let follows = pair[0].number.checked_add(1) == Some(pair[1].number);
        if follows && pair[0].hash() != pair[1].previous {
            let number = pair[0].number;
            faults.push(ChainFault::Edited { number });
        }
    }
}

fn check_anchors(sorted: &[&AuditRecord], anchors: &[ChainAnchor], faults: &mut Vec<ChainFault>) {
    let last = sorted.last().map_or(0, |record| record.number);
    let expected = anchors.iter().map(|anchor| anchor.number).max();
    if let Some(expected) = expected.filter(|expected| *expected > last) {
        faults.push(ChainFault::CutEnd { last, expected });
    }
    for anchor in anchors {
        let found = sorted.iter().find(|record| record.number == anchor.number);
        let edited = found.is_some_and(|record| record.hash() != anchor.hash);
        let fault = ChainFault::Edited {
            number: anchor.number,
        };
        if edited && !faults.contains(&fault) {
            faults.push(fault);
        }
    }
}
