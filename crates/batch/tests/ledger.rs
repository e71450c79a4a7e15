//! The ledger core on single paths; crate spec explores the others.

use std::collections::BTreeSet;

use batch::codec;
use batch::ledger::Action;
use batch::ledger::Event;
use batch::ledger::JobFacts;
use batch::ledger::Ledger;
use batch::ledger::LedgerLimits;
use batch::ledger::WriteEnd;
use wire::DaemonName;
use wire::Version;
use wire::job::ChunkRecord;
use wire::job::Head;
use wire::job::OutcomeKind;
use wire::link::ItemEnd;

const LIMITS: LedgerLimits = LedgerLimits {
    open_chunks: 2,
    mark_group: 4,
    group_commit_ms: 0,
    record_within_ms: 10_000,
    max_attempts: 4,
    max_in_flight: 64,
};

fn claimed(items: u32, idempotent: bool) -> (Ledger, Vec<Action>) {
    let facts = JobFacts { items, chunk_items: 8, idempotent };
    let mut ledger = Ledger::new(DaemonName::from("d@1"), facts, LIMITS, false);
    let existing = BTreeSet::new();
    let read = Event::HeadRead { head: Head::default(), version: Version::ABSENT, existing };
    let actions = ledger.step(0, read);
    let write = head_write(&actions).expect("the claim is written");
    let end = WriteEnd::Applied(Version(1));
    let actions = ledger.step(0, Event::HeadWritten { write, end });
    (ledger, actions)
}

fn head_write(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::WriteHead { write, .. } => Some(*write),
        _ => None,
    })
}

fn chunk_write(actions: &[Action]) -> Option<(u64, ChunkRecord)> {
    actions.iter().find_map(|action| match action {
        Action::WriteChunk { write, record, .. } => Some((*write, record.clone())),
        _ => None,
    })
}

fn dispatched(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Dispatch { .. })).count()
}

fn ended(item: u32, attempt: u32, end: ItemEnd) -> Event {
    Event::ItemEnded { chunk: 0, item, attempt, end }
}

#[test]
fn idempotent_items_start_without_a_mark() {
    let (_, actions) = claimed(6, true);
    assert_eq!(dispatched(&actions), 6);
    assert!(chunk_write(&actions).is_none());
}

#[test]
fn other_items_start_after_their_mark_is_recorded() {
    let (mut ledger, actions) = claimed(6, false);
    assert_eq!(dispatched(&actions), 0);
    let (write, record) = chunk_write(&actions).expect("the marks are written");
    assert_eq!(record.started.len(), 4);
    let end = WriteEnd::Applied(Version(2));
    let actions = ledger.step(0, Event::ChunkWritten { chunk: 0, write, end });
    assert_eq!(dispatched(&actions), 4);
}

#[test]
fn an_unanswered_write_is_repeated_under_its_number() {
    let (mut ledger, actions) = claimed(6, false);
    let (write, record) = chunk_write(&actions).expect("the marks are written");
    let end = WriteEnd::NoAnswer;
    let actions = ledger.step(0, Event::ChunkWritten { chunk: 0, write, end });
    assert!(chunk_write(&actions).is_none());
    let actions = ledger.step(1_000, Event::Tick);
    assert_eq!(chunk_write(&actions), Some((write, record)));
}

#[test]
fn an_item_near_several_deaths_runs_alone_and_then_fails() {
    let (mut ledger, _) = claimed(1, true);
    let mut alone = Vec::new();
    let mut now_ms = 0;
    for attempt in 0..4 {
        let death = ItemEnd::BackendFault { detail: "gone".to_owned() };
        ledger.step(now_ms, ended(0, attempt, death));
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
fn a_late_end_of_an_earlier_try_is_dropped() {
    let (mut ledger, _) = claimed(1, true);
    ledger.step(0, ended(0, 0, ItemEnd::Unknown));
    ledger.step(60_000, Event::Tick);
    let late = ItemEnd::Done { text: "late".to_owned() };
    ledger.step(60_000, ended(0, 0, late));
    assert_eq!(ledger.ended_in_open_chunks(), 0);
}

#[test]
fn a_cancelled_job_ends_with_an_outcome_for_each_item() {
    let (mut ledger, _) = claimed(20, true);
    let actions = ledger.step(0, Event::Cancel);
    let stops = actions.iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, 16);
    let mut write = None;
    for item in 0..8 {
        write = chunk_write(&ledger.step(0, ended(item, 0, ItemEnd::Stopped))).or(write);
    }
    let (_, record) = write.expect("the outcomes are written");
    assert!(record.outcomes.iter().all(|o| o.outcome.kind == OutcomeKind::Cancelled));
}

#[test]
fn records_and_lots_come_back_as_they_were() {
    let mut record = ChunkRecord { epoch: 3, ..ChunkRecord::default() };
    record.started.insert(200);
    let packed = codec::pack_record(&record).expect("a record can be packed");
    assert_eq!(codec::unpack_record(&packed), Ok(record));
    let lines = b"{\"custom_id\":\"a\",\"prompt\":\"p\",\"max_tokens\":1}\n";
    let packed = codec::pack_lot(lines).expect("a lot can be packed");
    assert_eq!(codec::unpack_lot(&packed).map(|items| items.len()), Ok(1));
}

#[test]
fn bad_lots_are_refused_by_line() {
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
fn a_job_that_was_not_claimed_yet_is_left_at_once() {
    let facts = JobFacts { items: 4, chunk_items: 8, idempotent: false };
    let mut ledger = Ledger::new(DaemonName::from("d@1"), facts, LIMITS, false);
    assert_eq!(ledger.step(0, Event::HandBack), [Action::HandedBack]);
    let head = Head { owner: Some(DaemonName::from("e@1")), epoch: 3, ..Head::default() };
    let read = Event::HeadRead { head, version: Version(7), existing: BTreeSet::new() };
    assert_eq!(ledger.step(10, read), [], "the live owner is not deposed for nothing");
}
