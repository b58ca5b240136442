//! Tests which requests are quarantined after servers have crashed under them.

use {
    camphorcove_core::{
        quarantine::{Admittance, CrashId, CrashReport, RequestFingerprint, SuspectTable},
        time::BootTime,
    },
    rstest::rstest,
    std::time::Duration,
};

const NO_DELAY: Duration = Duration::ZERO;

/// Time between the crashes of a test.
const STEP: Duration = Duration::from_secs(1);

/// More requests than are kept.
const MANY: u64 = 5_000;

fn start() -> BootTime {
    BootTime::from_millis(10_000_000)
}

fn fingerprint(name: &str) -> RequestFingerprint {
    RequestFingerprint::of(&[name.as_bytes()])
}

/// A crash at the time of its report, of an attempt that was sent `ran` earlier.
fn crash(name: &str, crash: u64, ran: Duration) -> CrashReport {
    CrashReport {
        request: fingerprint(name),
        crash: CrashId(crash),
        sent_ago: ran,
        crashed_ago: Duration::ZERO,
    }
}

fn is_open(table: &mut SuspectTable, name: &str, now: BootTime) -> bool {
    table.admit(&fingerprint(name), NO_DELAY, now) == Admittance::Open
}

/// A table in which "a" has just been quarantined, and the time.
fn quarantined() -> (SuspectTable, BootTime) {
    let mut table = SuspectTable::default();
    let now = crash_in_sequence(&mut table, "a a");
    assert!(!is_open(&mut table, "a", now));
    (table, now)
}

/// Records crashes of servers one after the other, and returns the time of the last. `crashes` holds the
/// requests at each crash, as letters, separated by spaces.
fn crash_in_sequence(table: &mut SuspectTable, crashes: &str) -> BootTime {
    let mut now = start();
    for (number, requests) in crashes.split(' ').enumerate() {
        now += STEP;
        for at in 0..requests.len() {
            let report = crash(&requests[at..=at], number as u64, STEP / 10);
            table.record_crash(&report, now);
        }
    }
    now + STEP / 10
}

/// Guards against requests that are sent on although servers crash under them, and against innocent
/// requests that are refused because they ran beside one.
#[rstest]
#[case::one_crash("a", true)]
#[case::two_crashes("a a", false)]
#[case::other_requests_beside_it("abc ad", false)]
#[case::beside_it_once("ba b", true)]
#[case::two_requests_explain_both("ab ab", true)]
#[case::three_crashes("ab ab a", false)]
#[case::two_causes("ab cd ac", true)]
#[case::two_causes_and_a_third_crash("ab cd ac a", false)]
fn requests_are_quarantined_after_crashes(#[case] crashes: &str, #[case] open: bool) {
    let mut table = SuspectTable::default();

    let now = crash_in_sequence(&mut table, crashes);

    assert_eq!(is_open(&mut table, "a", now), open);
}

/// Guards against a request that everybody sends and that is refused because servers ended at one
/// moment for another reason.
#[test]
fn crashes_of_attempts_at_the_same_time_count_once() {
    let mut table = SuspectTable::default();
    let now = start();

    for server in 0..5 {
        table.record_crash(&crash("a", server, STEP), now);
    }

    assert!(is_open(&mut table, "a", now));
}

/// Guards against a crash that counts several times because several hosts report it.
#[test]
fn one_crash_reported_by_several_hosts_counts_once() {
    let mut table = SuspectTable::default();

    for step in 1..5 {
        table.record_crash(&crash("a", 7, Duration::ZERO), start() + STEP * step);
    }

    assert!(is_open(&mut table, "a", start() + STEP * 5));
}

/// Guards against suspicion that stays with a request which servers can answer.
#[test]
fn answered_request_is_no_longer_suspected() {
    let mut table = SuspectTable::default();
    let now = crash_in_sequence(&mut table, "a");

    let was_suspected = table.record_answer(&fingerprint("a"), now);
    table.record_crash(&crash("a", 9, STEP / 10), now + STEP);

    assert!(was_suspected);
    assert!(is_open(&mut table, "a", now + STEP));
}

/// Guards against a request that is refused for good, and against one that gets as far again each time
/// as the first time.
#[test]
fn quarantine_ends_with_one_attempt_and_doubles_after_a_crash() {
    let (mut table, mut now) = quarantined();
    let first = table.quarantine_left(&fingerprint("a"), now);
    now += first;

    let probe = is_open(&mut table, "a", now);
    let behind_it = is_open(&mut table, "a", now);
    now += STEP;
    table.record_crash(&crash("a", 9, STEP / 2), now);

    assert!(probe);
    assert!(!behind_it);
    assert_eq!(table.quarantine_left(&fingerprint("a"), now), first * 2);
}

/// Guards against a request that is sent on, or blamed, before all hosts have told what else ran when a
/// server crashed.
#[test]
fn request_waits_for_the_reports_of_other_hosts() {
    let mut table = SuspectTable::default();
    let now = crash_in_sequence(&mut table, "a");
    let second = crash("a", 9, Duration::ZERO);
    table.record_crash(&second, now);

    let admittance = table.admit(&fingerprint("a"), NO_DELAY, now);

    assert!(matches!(admittance, Admittance::Wait(wait) if wait < STEP / 10));
}

/// Guards against hosts that all try a request at the end of its quarantine.
#[test]
fn hosts_try_again_at_different_times() {
    let (mut table, now) = quarantined();
    let ends_at = now + table.quarantine_left(&fingerprint("a"), now);

    let admittance = table.admit(&fingerprint("a"), STEP, ends_at);

    assert_eq!(admittance, Admittance::Quarantined(STEP));
}

/// Guards against memory that grows with the number of requests that run when servers crash.
#[test]
fn number_of_suspects_is_bounded() {
    let (mut table, now) = quarantined();

    for number in 0..MANY {
        table.record_crash(&crash(&format!("other {number}"), number, NO_DELAY), now);
    }

    assert!(table.len() < MANY as usize / 4);
    assert!(!is_open(&mut table, "a", now));
}

/// Guards against hosts that start, or missed the reports, and send on what others refuse.
#[test]
fn quarantine_is_told_to_other_hosts() {
    let (mut table, now) = quarantined();
    let mut other = SuspectTable::default();
    let other_now = BootTime::from_millis(5);

    other.merge(&table.shared(now), other_now);

    assert!(!is_open(&mut other, "a", other_now));
}

/// Guards against a host that has just started and quarantines all suspects, as it does not know what
/// else ran when servers crashed.
#[test]
fn told_suspects_are_not_quarantined_without_evidence() {
    let mut table = SuspectTable::default();
    let now = crash_in_sequence(&mut table, "ab ab");
    let mut other = SuspectTable::default();

    other.merge(&table.shared(now), now);
    table.merge(&other.shared(now + STEP), now + STEP);

    assert!(is_open(&mut other, "a", now + STEP));
    assert!(is_open(&mut table, "b", now + STEP));
}

/// Guards against a list that was sent before a request was answered and brings its quarantine back.
#[test]
fn older_list_does_not_undo_an_answer() {
    let (mut table, now) = quarantined();
    let older = table.shared(now);

    table.record_answer(&fingerprint("a"), now);
    table.merge(&older, now);

    assert!(is_open(&mut table, "a", now));
}

/// Guards against hosts that keep suspects, and compute fingerprints, long after the last crash.
#[test]
fn suspects_end_without_further_crashes() {
    let mut table = SuspectTable::default();
    let now = crash_in_sequence(&mut table, "a");

    table.expire(now + STEP * 3_600);

    assert!(table.is_empty());
}

/// Guards against a probation that ends at once on hosts that were told of it long after their start.
#[test]
fn probation_is_told() {
    let (mut table, now) = quarantined();
    let ended = now + table.quarantine_left(&fingerprint("a"), now) + STEP;
    let mut other = SuspectTable::default();

    other.merge(&table.shared(ended), ended);
    other.record_crash(&crash("a", 9, NO_DELAY), ended + STEP);

    assert!(!is_open(&mut other, "a", ended + STEP));
}
