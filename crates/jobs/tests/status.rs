//! How a home applies the store's replies to its status writes.

use bytes::Bytes;
use jobs::item::Item;
use jobs::job::ItemRunEnd;
use jobs::job::Job;
use jobs::job::JobLimits;
use jobs::progress::Progress;
use jobs::record;
use jobs::record::Home;
use jobs::record::ResultPart;
use jobs::status::StatusWriteOutcome;
use jobs::status::StatusWriteReply;

const LIMITS: JobLimits = JobLimits { due_ms: 18_000, retention_ms: 60_000, max_attempts: 3 };
const MAX_BYTES: usize = 1 << 20;

fn home(incarnation: u64) -> Home {
    Home { daemon: "daemon".into(), incarnation }
}

fn job(items: usize) -> Job {
    let item = |number: usize| Item {
        id: format!("i{number}").into(),
        path: "/jobs/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        tokens: 1,
    };
    Job::new("j".into(), "host", "/jobs/", 0, (0..items).map(item).collect(), Vec::new())
}

fn finish_next(job: &mut Job) {
    let next = job.start_next(0).expect("an item is ready");
    let output = Progress { text: next.item.id.to_string(), events: 1, last_event: Some(1) };
    job.end_run(0, next.index, ItemRunEnd::Completed, output, &LIMITS);
}

#[test]
fn write_with_lost_reply_confirms_its_results() {
    let mut job = job(3);
    finish_next(&mut job);
    let late = job.status(&home(1), MAX_BYTES);
    finish_next(&mut job);
    let next = job.status(&home(1), MAX_BYTES);
    let reply = StatusWriteReply::Conflict(7, Box::new(late));
    assert_eq!(job.apply_write_reply(0, &home(1), &next, reply), StatusWriteOutcome::Written);
    assert_eq!((job.written_results().len(), job.revision), (1, 7));
    assert!(job.has_unwritten(), "the second result is not in the record yet");
}

#[test]
fn late_write_from_before_a_spill_counts_results_once() {
    let mut job = job(4);
    for _ in 0..3 {
        finish_next(&mut job);
    }
    let late = job.status(&home(1), MAX_BYTES);
    // The home abandons the write, moves two results into a part and finishes another item.
    job.add_result_part(ResultPart { name: "part".to_owned(), count: 2 });
    finish_next(&mut job);
    let next = job.status(&home(1), MAX_BYTES);
    assert_eq!((next.results.len(), next.result_count()), (2, 4));
    job.apply_write_reply(0, &home(1), &next, StatusWriteReply::Conflict(7, Box::new(late)));
    assert_eq!(job.written_results().len(), 3, "the fourth result is not in the record yet");
    assert!(job.has_unwritten());
}

#[test]
fn replaced_home_learns_its_successor() {
    let mut job = job(1);
    finish_next(&mut job);
    let written = job.status(&home(1), MAX_BYTES);
    let reply = StatusWriteReply::Conflict(7, Box::new(job.status(&home(2), MAX_BYTES)));
    let end = job.apply_write_reply(0, &home(1), &written, reply);
    assert_eq!(end, StatusWriteOutcome::Deposed(Some(home(2))));
    assert_eq!(
        job.written_results().len(),
        0,
        "results that another home may place differently stay hidden"
    );
    assert_eq!(
        job.apply_write_reply(0, &home(1), &written, StatusWriteReply::RecordLost),
        StatusWriteOutcome::Deposed(None)
    );
}

#[test]
fn result_part_names_are_unique() {
    let names = [
        record::result_part_name("j", &home(1), 0),
        record::result_part_name("j", &home(1), 1),
        record::result_part_name("j", &home(2), 0),
    ];
    let unique: std::collections::BTreeSet<_> = names.iter().collect();
    assert_eq!(unique.len(), names.len());
}

#[test]
fn home_does_not_deny_results_of_an_unanswered_write() {
    let mut job = job(3);
    finish_next(&mut job);
    job.begin_write(100);
    job.mark_written(110, 2, 1, false);
    job.begin_write(200);
    assert!(job.can_answer_from(10_000, 1), "nothing was sent");
    finish_next(&mut job);
    job.begin_write(1_000);
    job.begin_write(1_200);
    assert!(job.can_answer_from(1_299, 1), "no reader of the record has seen it for long");
    assert!(!job.can_answer_from(1_300, 1), "a reader may have seen the second result");
    assert!(job.can_answer_from(1_300, 0), "the first result is known");
    job.mark_written(2_000, 3, 2, false);
    assert!(job.can_answer_from(9_000, 2), "the write is confirmed");
}
