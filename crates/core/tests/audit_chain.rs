//! Verification of audit chains: each kind of damage is detected and reported.

use {
    camphorcove_core::audit::{
        AuditAction, AuditRecord, ChainAnchor, ChainFault, RecordHash, verify_chain,
    },
    rstest::rstest,
};

fn chain(length: u64) -> Vec<AuditRecord> {
    let mut records: Vec<AuditRecord> = Vec::new();
    for number in 1..=length {
        let previous = records
            .last()
            .map_or_else(RecordHash::default, AuditRecord::hash);
        records.push(AuditRecord {
            number,
            wall_millis: 1_000 + number,
            actor: "anna".into(),
            action: AuditAction::Apply {
                before: number - 1,
                after: number,
                content: format!("{number:064x}"),
                withdrawn: Vec::new(),
            },
            reason: "test".into(),
            previous,
        });
    }
    records
}

fn anchor(record: &AuditRecord) -> ChainAnchor {
    ChainAnchor {
        number: record.number,
        hash: record.hash(),
    }
}

#[rstest]
#[case::empty(0)]
#[case::one(1)]
#[case::many(9)]
fn an_intact_chain_has_no_faults(#[case] length: u64) {
    let records = chain(length);

    let report = verify_chain(&records, &[]);

    assert_eq!((report.records, report.faults), (length, Vec::new()));
    assert_eq!(report.last, records.last().map(anchor));
}

#[rstest]
#[case::gap(|records: &mut Vec<AuditRecord>| drop(records.drain(3..5)), ChainFault::Gap { first: 4, last: 5 })]
#[case::cut_start(|records: &mut Vec<AuditRecord>| drop(records.remove(0)), ChainFault::Gap { first: 1, last: 1 })]
#[case::edit(|records: &mut Vec<AuditRecord>| records[3].actor = "eve".into(), ChainFault::Edited { number: 4 })]
#[case::edited_time(|records: &mut Vec<AuditRecord>| records[3].wall_millis += 1, ChainFault::Edited { number: 4 })]
#[case::reorder(|records: &mut Vec<AuditRecord>| records.swap(3, 4), ChainFault::Reordered { number: 4, after: 5 })]
#[case::repeat(|records: &mut Vec<AuditRecord>| records.insert(4, records[3].clone()), ChainFault::Repeated { number: 4 })]
#[case::cut_end(|records: &mut Vec<AuditRecord>| records.truncate(6), ChainFault::CutEnd { last: 6, expected: 9 })]
#[case::edited_last(|records: &mut Vec<AuditRecord>| records[8].reason.clear(), ChainFault::Edited { number: 9 })]
#[case::all_removed(|records: &mut Vec<AuditRecord>| records.clear(), ChainFault::CutEnd { last: 0, expected: 9 })]
#[case::false_start(|records: &mut Vec<AuditRecord>| records[0].previous = RecordHash([1; 32]), ChainFault::FalseStart { number: 1 })]
fn damage_is_reported(#[case] damage: fn(&mut Vec<AuditRecord>), #[case] expected: ChainFault) {
    let mut records = chain(9);
    let anchors = [anchor(&records[8])];
    damage(&mut records);

    let report = verify_chain(&records, &anchors);

    assert!(report.faults.contains(&expected), "{:?}", report.faults);
}

/// Guards against an edit that goes unnoticed because all later hashes were recomputed.
#[test]
fn a_rewritten_end_is_detected_with_an_anchor() {
    let mut records = chain(9);
    let anchors = [anchor(&records[8])];
    records[5].actor = "eve".into();
    for index in 6..9 {
        records[index].previous = records[index - 1].hash();
    }

    assert!(verify_chain(&records, &[]).faults.is_empty());
    assert_eq!(
        verify_chain(&records, &anchors).faults,
        [ChainFault::Edited { number: 9 }]
    );
}

/// Guards against a change of the encoding that would invalidate stored chains.
#[test]
fn the_hash_of_a_record_never_changes() {
    let hashes: Vec<String> = chain(2)
        .iter()
        .map(|record| record.hash().to_string())
        .collect();

    assert_eq!(
        hashes,
        [
            "30d6df5e7d12002467c5b4168a617283ffc8184cda941a3dfd158432ab9dfc44",
            "b00d5059aa8146061a380192aa9f13547210bcdefcf69287688c29c727622334",
        ]
    );
}

/// Guards against a panic on the extreme record numbers that a forged file may contain.
#[test]
fn extreme_numbers_do_not_panic() {
    let mut records = chain(2);
    records[0].number = u64::MAX;
    records[1].number = 0;

    assert!(!verify_chain(&records, &[]).faults.is_empty());
}
