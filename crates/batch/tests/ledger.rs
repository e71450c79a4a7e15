//! Tests of the ledger on single event sequences; crate spec explores interleavings and faults.

use std::collections::BTreeSet;

use batch::codec;
use batch::ledger::Action;
use batch::ledger::Event;
use batch::ledger::JobParams;
use batch::ledger::Ledger;
use batch::ledger::LedgerLimits;
use batch::ledger::WriteResult;
use wire::DaemonName;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::LedgerHead;
use wire::job::OutcomeKind;
use wire::link::ItemEnd;

const LIMITS: LedgerLimits = LedgerLimits {
    open_chunks: 2,
    mark_group: 4,
    group_commit_ms: 0,
    record_within_ms: 10_000,
    max_backend_losses: 4,
    max_in_flight: 64,
};

fn claimed_ledger(items: u32, idempotent: bool) -> (Ledger, Vec<Action>) {
    let params = JobParams { items, chunk_items: 8, idempotent };
    let mut ledger = Ledger::new(DaemonName::from("d@1"), params, LIMITS, false);
    let recorded_chunks = BTreeSet::new();
    let read =
        Event::HeadRead { head: LedgerHead::default(), version: Version::ABSENT, recorded_chunks };
    let actions = ledger.step(0, read);
    let write_number = find_head_write(&actions).expect("the claim is written");
    let result = WriteResult::Applied(Version(1));
    let actions = ledger.step(0, Event::HeadWritten { write_number, result });
    (ledger, actions)
}

fn find_head_write(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::WriteHead { write_number, .. } => Some(*write_number),
        _ => None,
    })
}

fn find_chunk_write(actions: &[Action]) -> Option<(u64, ChunkRecord)> {
    actions.iter().find_map(|action| match action {
        Action::WriteChunk { write_number, record, .. } => Some((*write_number, record.clone())),
        _ => None,
    })
}

fn count_dispatches(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Dispatch { .. })).count()
}

fn item_ended(item: u32, attempt: u32, end: ItemEnd) -> Event {
    Event::ItemEnded { chunk: 0, item, attempt, end }
}

#[test]
fn idempotent_items_are_dispatched_without_marks() {
    let (_, actions) = claimed_ledger(6, true);
    assert_eq!(count_dispatches(&actions), 6);
    assert!(find_chunk_write(&actions).is_none());
}

#[test]
fn non_idempotent_items_wait_for_recorded_marks() {
    let (mut ledger, actions) = claimed_ledger(6, false);
    assert_eq!(count_dispatches(&actions), 0);
    let (write_number, record) = find_chunk_write(&actions).expect("the marks are written");
    assert_eq!(record.started.len(), 4);
    let result = WriteResult::Applied(Version(2));
    let actions = ledger.step(0, Event::ChunkWritten { chunk: 0, write_number, result });
    assert_eq!(count_dispatches(&actions), 4);
}

#[test]
fn unanswered_write_is_retried_with_same_number() {
    let (mut ledger, actions) = claimed_ledger(6, false);
    let (write_number, record) = find_chunk_write(&actions).expect("the marks are written");
    let result = WriteResult::NoAnswer;
    let actions = ledger.step(0, Event::ChunkWritten { chunk: 0, write_number, result });
    assert!(find_chunk_write(&actions).is_none());
    let actions = ledger.step(1_000, Event::Tick);
    assert_eq!(find_chunk_write(&actions), Some((write_number, record)));
}

#[test]
fn item_runs_alone_after_losses_then_fails() {
    let (mut ledger, _) = claimed_ledger(1, true);
    let mut alone = Vec::new();
    let mut now_ms = 0;
    for attempt in 0..4 {
        let lost = ItemEnd::BackendFault { detail: "gone".to_owned() };
        ledger.step(now_ms, item_ended(0, attempt, lost));
        now_ms += 60_000;
        for action in ledger.step(now_ms, Event::Tick) {
            if let Action::Dispatch { alone: is_alone, .. } = action {
                alone.push(is_alone);
            }
        }
    }
    assert_eq!(alone, vec![false, true, true]);
    assert_eq!(ledger.ended_in_open_chunks(), 1);
}

#[test]
fn late_end_of_earlier_attempt_is_ignored() {
    let (mut ledger, _) = claimed_ledger(1, true);
    ledger.step(0, item_ended(0, 0, ItemEnd::Unknown));
    ledger.step(60_000, Event::Tick);
    let late = ItemEnd::Done { text: "late".to_owned() };
    ledger.step(60_000, item_ended(0, 0, late));
    assert_eq!(ledger.ended_in_open_chunks(), 0);
}

#[test]
fn cancelled_items_are_recorded_as_cancelled() {
    let (mut ledger, _) = claimed_ledger(20, true);
    let actions = ledger.step(0, Event::Cancel);
    let stops = actions.iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, 16);
    let mut write = None;
    for item in 0..8 {
        write = find_chunk_write(&ledger.step(0, item_ended(item, 0, ItemEnd::Stopped))).or(write);
    }
    let (_, record) = write.expect("the outcomes are written");
    assert!(record.outcomes.iter().all(|o| o.outcome.kind == OutcomeKind::Cancelled));
}

#[test]
fn records_and_lots_survive_packing() {
    let mut record = ChunkRecord { epoch: 3, ..ChunkRecord::default() };
    record.started.insert(200);
    let packed = codec::pack_record(&record).expect("a record can be packed");
    assert_eq!(codec::unpack_record(&packed), Ok(record));
    let lines = b"{\"custom_id\":\"a\",\"prompt\":\"p\",\"max_tokens\":1}\n";
    let packed = codec::pack_lot(lines).expect("a lot can be packed");
    assert_eq!(codec::unpack_lot(&packed).map(|items| items.len()), Ok(1));
}

#[test]
fn invalid_lots_are_refused_naming_the_line() {
    let cases = ["{}", "not json", "{\"custom_id\":\"\",\"prompt\":\"p\",\"max_tokens\":1}"];
    for case in cases {
        let good = "{\"custom_id\":\"a\",\"prompt\":\"p\",\"max_tokens\":1}\n";
        let error = codec::parse_lot(format!("{good}{case}").as_bytes()).expect_err(case);
        assert!(error.starts_with("line 2"), "{error}");
    }
    let twice = "{\"custom_id\":\"a\",\"prompt\":\"p\",\"max_tokens\":1}\n".repeat(2);
    assert!(codec::parse_lot(twice.as_bytes()).is_err());
}

#[test]
fn unclaimed_job_is_handed_back_at_once() {
    let params = JobParams { items: 4, chunk_items: 8, idempotent: false };
    let mut ledger = Ledger::new(DaemonName::from("d@1"), params, LIMITS, false);
    assert_eq!(ledger.step(0, Event::HandBack), [Action::HandedBack]);
    let head =
        LedgerHead { owner: Some(DaemonName::from("e@1")), epoch: 3, ..LedgerHead::default() };
    let read = Event::HeadRead { head, version: Version(7), recorded_chunks: BTreeSet::new() };
    assert_eq!(
        ledger.step(10, read),
        [],
        "a ledger that has handed the job back must not claim it"
    );
}
