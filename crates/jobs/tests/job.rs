//! The state machine of one job at its home: runs, results, writes and the end.

use bytes::Bytes;
use jobs::handover::JobHandover;
use jobs::item::Item;
use jobs::item::ItemResult;
use jobs::item::Outcome;
use jobs::item::Submission;
use jobs::job::ItemBody;
use jobs::job::ItemRunEnd;
use jobs::job::Job;
use jobs::job::JobLimits;
use jobs::progress::Progress;
use jobs::record;
use jobs::record::ResultPart;
use jobs::retention::UnheldJobs;
use jobs::run_time::RunTimeEstimate;
use quarantine::PromptPart;
use quarantine::Suspect;

const LIMITS: JobLimits = JobLimits { due_ms: 18_000, retention_ms: 60_000, max_attempts: 3 };

fn item(id: &str) -> Item {
    Item {
        id: id.into(),
        path: format!("/jobs/{id}"),
        headers: vec![("x".to_owned(), "y".to_owned())],
        body: Bytes::from_static(b"prompt"),
        tokens: 100,
    }
}

fn suspect() -> Suspect {
    Suspect::Part(PromptPart::from_id("dead"))
}

fn job(count: usize) -> Job {
    let items = (0..count).map(|number| item(&format!("i{number}"))).collect();
    Job::new("j".into(), "host", "/jobs/", 0, items, Vec::new())
}

fn output(text: &str, events: u32) -> Progress {
    Progress { text: text.to_owned(), events, last_event: Some(u64::from(events)) }
}

fn run(job: &mut Job, now_ms: u64, end: ItemRunEnd, progress: Progress) -> usize {
    let next = job.start_next(now_ms).expect("an item is ready");
    job.end_run(now_ms, next.index, end, progress, &LIMITS);
    next.index
}

#[test]
fn result_is_visible_only_after_write() {
    let mut job = job(1);
    run(&mut job, 10, ItemRunEnd::Completed, output("text", 3));
    assert!(job.written_results().is_empty());
    assert!(job.is_write_due(10, &LIMITS), "no other item is running or waiting");
    job.mark_written(12, 7, 1, false);
    assert_eq!(job.written_results().len(), 1);
    assert_eq!(&*job.written_results()[0].text, "text");
    assert!(job.is_finished());
}

#[test]
fn held_item_waits_while_others_run_and_is_given_up_at_retention() {
    let mut job = job(2);
    let held = job.start_next(0).expect("an item is ready").index;
    assert!(job.hold(0, held, suspect()), "newly held");
    let other = run(&mut job, 10, ItemRunEnd::Completed, output("text", 3));
    assert_ne!(other, held);
    assert!(job.start_next(999).is_none());
    assert_eq!(job.start_next(1_000).map(|next| next.index), Some(held));
    assert!(!job.hold(1_000, held, suspect()), "held before");
    job.give_up_expired(59_999, Some(&LIMITS));
    assert_eq!(job.results().len(), 1);
    job.give_up_expired(60_000, Some(&LIMITS));
    assert_eq!(job.results()[1].outcome, Outcome::GivenUp);
}

#[test]
fn trials_go_to_the_held_item_that_was_lost_longest_ago() {
    let mut job = job(3);
    for _ in 0..3 {
        let index = job.start_next(0).expect("an item is ready").index;
        job.hold(0, index, suspect());
    }
    let mut tried = Vec::new();
    for trial in 1..=6 {
        let now_ms = 10_000 * trial;
        let mut started = Vec::new();
        while let Some(next) = job.start_next(now_ms) {
            started.push(next.index);
        }
        assert_eq!(started.len(), 3);
        let first = job.first_trial_order(suspect()).expect("held items");
        for index in started {
            if job.trial_order(index).as_ref() == Some(&first) {
                tried.push(index);
                job.end_run(now_ms, index, ItemRunEnd::Lost, Progress::default(), &LIMITS);
                let next = job.start_next(now_ms + 100).expect("the lost item is ready");
                job.hold(now_ms + 100, next.index, suspect());
            } else {
                assert!(!job.hold(now_ms, index, suspect()), "held before");
            }
        }
    }
    assert_eq!(tried, [0, 1, 2, 0, 1, 2]);
}

#[test]
fn interrupted_item_resumes_from_its_output() {
    let mut job = job(2);
    let index = run(&mut job, 0, ItemRunEnd::Interrupted, output("half", 5));
    let next = job.start_next(0).expect("an item is ready");
    assert_eq!((next.index, next.progress), (index, output("half", 5)));
}

#[test]
fn item_is_given_up_after_max_attempts_or_if_impossible() {
    let mut job = job(2);
    let mut now_ms = 0;
    for _ in 0..3 {
        run(&mut job, now_ms, ItemRunEnd::Failed, Progress::default());
        now_ms += 10_000;
    }
    run(&mut job, now_ms, ItemRunEnd::Impossible, Progress::default());
    assert!(job.results().iter().all(|result| result.outcome == Outcome::GivenUp));
    assert!(job.start_next(now_ms + 60_000).is_none());
}

#[test]
fn lost_replica_does_not_use_up_attempts() {
    let mut job = job(1);
    for number in 0..20 {
        run(&mut job, number * 1_000, ItemRunEnd::Lost, Progress::default());
    }
    assert!(job.results().is_empty());
}

#[test]
fn results_keep_order_when_write_reply_was_lost() {
    let mut job = job(3);
    run(&mut job, 0, ItemRunEnd::Completed, output("one", 1));
    run(&mut job, 1, ItemRunEnd::Completed, output("two", 1));
    let before = job.results();
    run(&mut job, 2, ItemRunEnd::Completed, output("three", 1));
    job.mark_written(3, 9, 2, false);
    assert_eq!(job.written_results(), &before[..]);
    assert!(job.has_unwritten());
    job.mark_written(4, 10, 3, false);
    assert_eq!(job.written_results()[..2], before[..]);
}

#[test]
fn writes_are_grouped_unless_job_is_due_soon() {
    let mut job = job(2);
    run(&mut job, 1_000, ItemRunEnd::Completed, output("one", 1));
    assert!(!job.is_write_due(1_100, &LIMITS));
    assert!(job.is_write_due(6_000, &LIMITS));
    assert!(job.is_write_due(16_000, &LIMITS));
}

#[test]
fn ended_job_starts_no_item_and_finishes_after_write() {
    let mut job = job(2);
    let running = job.start_next(0).expect("an item is ready");
    job.end();
    assert!(job.start_next(1).is_none());
    assert_eq!(job.waiting_tokens(), 0);
    assert!(!job.is_finished());
    job.end_run(2, running.index, ItemRunEnd::Interrupted, Progress::default(), &LIMITS);
    job.mark_written(3, 4, 0, true);
    assert!(job.is_finished());
    assert!(!job.has_unwritten());
}

#[test]
fn waiting_items_expire_after_retention_or_without_route() {
    let mut old = job(1);
    old.give_up_expired(59_000, Some(&LIMITS));
    assert!(old.results().is_empty());
    old.give_up_expired(60_000, Some(&LIMITS));
    assert_eq!(old.results().len(), 1);
    let mut unrouted = job(1);
    unrouted.give_up_expired(1, None);
    assert_eq!(unrouted.results().len(), 1);
}

#[test]
fn clock_jump_does_not_expire_items_of_adopted_job() {
    let age_ms = 70_000;
    let items = vec![item("i0")];
    let mut read = Job::from_record(1_000, age_ms, "j".into(), "host", "/jobs/", items, Vec::new());
    read.give_up_expired(60_999, Some(&LIMITS));
    assert!(read.results().is_empty());
    let mut handed = Job::from_handover(read.to_handover(60_999), 5_000);
    handed.give_up_expired(5_000, Some(&LIMITS));
    assert!(handed.results().is_empty());
    handed.give_up_expired(5_001, Some(&LIMITS));
    assert_eq!(handed.results().len(), 1);
}

#[test]
fn nearly_complete_item_may_start_later_and_sorts_first() {
    let run_time = RunTimeEstimate::default();
    let mut job = job(2);
    let fresh = job.next_urgency(0, &LIMITS, &run_time).expect("an item is ready");
    run(&mut job, 0, ItemRunEnd::Interrupted, output("most", 180));
    let started = job.next_urgency(0, &LIMITS, &run_time).expect("an item is ready");
    assert!(started.on_time_at_ms > fresh.on_time_at_ms);
    assert!(started.order_at_ms < fresh.order_at_ms);
}

#[test]
fn reloaded_job_runs_only_items_without_result() {
    let written =
        vec![ItemResult { item: "i0".into(), outcome: Outcome::Completed, text: "t".into() }];
    let items = vec![item("i0"), item("i1")];
    let mut job = Job::new("j".into(), "host", "/jobs/", -5_000, items, written);
    assert_eq!(job.start_next(0).map(|next| next.index), Some(1));
    assert!(job.start_next(0).is_none());
    assert_eq!(job.waiting_tokens(), 100);
}

// Guards against a finished job that keeps its inputs in memory until its retention ends.
#[test]
fn inputs_are_held_until_their_item_is_listed() {
    let mut job = job(3);
    let held_bytes = job.held_bytes();
    run(&mut job, 0, ItemRunEnd::Completed, output("", 1));
    job.begin_write(1);
    assert!(matches!(job.item_body("i0"), Some(ItemBody::Held(_))), "not listed yet");
    job.mark_written(2, 2, 1, false);
    assert_eq!(job.item_body("i0"), Some(ItemBody::Released));
    assert_eq!(job.item_body("i1"), Some(ItemBody::Held(Bytes::from_static(b"prompt"))));
    assert_eq!(job.item_body("unknown"), None);
    // The body "prompt" and the header "x: y".
    assert_eq!(job.held_bytes(), held_bytes - 8);
    let next = job.start_next(3).expect("an item is ready");
    assert_eq!((&*next.item.id, &next.item.body[..]), ("i1", &b"prompt"[..]));
}

// Guards against an ended job that keeps the inputs of items that never run, and against releasing them
// before the store knows of the end.
#[test]
fn inputs_of_ended_job_are_released_once_its_end_is_written() {
    let mut job = job(2);
    job.end();
    assert!(matches!(job.item_body("i0"), Some(ItemBody::Held(_))));
    job.mark_written(1, 2, 0, true);
    assert_eq!(job.item_body("i0"), Some(ItemBody::Released));
    assert_eq!(job.item_body("i1"), Some(ItemBody::Released));
}

// Guards against a successor that runs an item whose body its predecessor released, or that lacks the
// body of one that has to run.
#[test]
fn handed_over_job_runs_its_open_items_with_their_bodies() {
    let mut job = job(3);
    run(&mut job, 0, ItemRunEnd::Completed, output("a", 1));
    job.mark_written(1, 2, 1, false);
    run(&mut job, 2, ItemRunEnd::Completed, output("b", 1));
    let mut successor = Job::from_handover(job.to_handover(3), 50);
    assert_eq!(successor.written_results().len(), 1);
    assert_eq!(successor.results().len(), 2);
    assert_eq!(successor.item_body("i0"), Some(ItemBody::Released));
    assert!(matches!(successor.item_body("i1"), Some(ItemBody::Held(_))), "its write is open");
    let next = successor.start_next(51).expect("an item is ready");
    assert_eq!((&*next.item.id, &next.item.body[..]), ("i2", &b"prompt"[..]));
    assert!(successor.start_next(52).is_none());
}

#[test]
fn input_round_trips_in_record_and_in_parts() {
    let submission = Submission { items: (0..50).map(|n| item(&format!("i{n}"))).collect() };
    let text = record::encode_input(&submission).expect("the input can be encoded");
    assert!(record::input_fits(&text, 1 << 20));
    assert!(!record::input_fits(&text, 1_000));
    let parts = record::split_text(&text, 1_000);
    assert!(parts.len() > 1 && parts.iter().all(|part| part.len() <= 1_000));
    assert_eq!(
        record::decode_input(&parts.concat()).expect("the input can be decoded"),
        submission
    );
}

#[test]
fn results_that_do_not_fit_move_into_a_part() {
    let result = |size: usize| ItemResult {
        item: "i".into(),
        outcome: Outcome::Completed,
        text: "x".repeat(size).into(),
    };
    let results: Vec<ItemResult> = (0..10).map(|_| result(1_000)).collect();
    assert_eq!(record::overflow_count(&results, 1_000, 1 << 20), 0);
    let moved = record::overflow_count(&results, 1_000, 8_000);
    assert!(moved > 0 && moved < 10);
    assert_eq!(record::overflow_count(&[result(20_000)], 0, 8_000), 1, "at least one result moves");
}

// Guards against records that are over the limit since their text grows when it is escaped.
#[test]
fn results_and_progress_within_their_limits_fit_into_an_object_whatever_their_text() {
    const MAX_BYTES: usize = 1 << 20;
    for text in ["\"", "\\", "\n", "\u{1}", "\u{1f}\u{7f}", "plain", "{\"a\":\"b\"}", "🚚ạ"] {
        let result = |number: usize| ItemResult {
            item: format!("i\"{number}").as_str().into(),
            outcome: Outcome::Completed,
            text: text.repeat(30_000 / text.len()).into(),
        };
        let mut results: Vec<ItemResult> = (0..100).map(result).collect();
        let mut moved = record::overflow_count(&results, 1_000, MAX_BYTES);
        while moved > 0 {
            let part: Vec<ItemResult> = results.drain(..moved).collect();
            let bytes = record::to_json(&part).expect("JSON").len();
            assert!(bytes <= record::max_part_bytes(MAX_BYTES), "{bytes} bytes of {text:?}");
            moved = record::overflow_count(&results, 1_000, MAX_BYTES);
        }
        let bytes = record::to_json(&results).expect("JSON").len() + 1_000;
        assert!(bytes <= record::max_part_bytes(MAX_BYTES), "{bytes} bytes of {text:?}");
        let encoded = record::to_json(&text).expect("JSON").len();
        assert_eq!(record::json_string_bytes(text), encoded);

        let mut job = job(100);
        for _ in 0..100 {
            let next = job.start_next(0).expect("an item is ready");
            let text = text.repeat(3_000 / text.len());
            job.record_progress(0, next.index, &output(&text, 40));
        }
        let limit = record::max_progress_bytes(MAX_BYTES);
        let saved = record::to_json(&job.saved_progress(limit)).expect("JSON").len();
        assert!(saved <= limit, "{saved} bytes of progress of {text:?}");
    }
}

#[test]
fn result_in_fragments_is_read_as_it_was() {
    let result = ItemResult {
        item: "i".into(),
        outcome: Outcome::Completed,
        text: "\u{1}\"🚚".repeat(1_000).into(),
    };
    let text = record::encode_result(&result).expect("the result is encoded");
    let fragments = record::split_text(&text, 1_000);
    assert!(fragments.iter().all(|part| record::to_json(part).expect("JSON").len() < 1_000));
    assert_eq!(record::decode_result(&fragments.concat()), Ok(result));
}

#[test]
fn new_home_resumes_items_from_checkpointed_progress() {
    let mut job = job(3);
    run(&mut job, 0, ItemRunEnd::Failed, Progress::default());
    let running = job.start_next(10).expect("another item is ready");
    job.record_progress(1_000, running.index, &output("so far", 40));
    job.record_progress(2_500, running.index, &output("so far\nand on", 60));
    assert!(!job.is_write_due(2_999, &LIMITS));
    assert!(job.is_write_due(3_000, &LIMITS));
    let saved = job.saved_progress(100_000);
    job.mark_written(3_010, 8, 0, false);
    assert!(!job.is_write_due(4_000, &LIMITS), "there is no new progress");

    let items = (0..3).map(|number| item(&format!("i{number}"))).collect();
    let mut successor = Job::from_record(0, 5_000, "j".into(), "host", "/jobs/", items, Vec::new());
    successor.restore_progress(saved);
    let next = successor.start_next(0).expect("an item is ready");
    assert_eq!(next.index, running.index);
    assert_eq!(next.progress, output("so far\nand on", 60));
    for _ in 0..LIMITS.max_attempts - 1 {
        let failing = successor.start_next(100_000).expect("the failed item is ready");
        assert_eq!(failing.index, 0);
        successor.end_run(0, 0, ItemRunEnd::Failed, Progress::default(), &LIMITS);
    }
    assert_eq!(successor.results().len(), 1, "failures at the previous home count");
}

#[test]
fn saved_progress_respects_size_limit_and_omits_finished_items() {
    let mut job = job(3);
    run(&mut job, 0, ItemRunEnd::Completed, output("done", 1));
    for _ in 0..2 {
        let running = job.start_next(0).expect("an item is ready");
        job.record_progress(0, running.index, &output(&"x".repeat(1_000), 50));
    }
    assert_eq!(job.saved_progress(100_000).len(), 2);
    assert_eq!(job.saved_progress(2_000).len(), 1);
    assert_eq!(job.saved_progress(0).len(), 0);
}

#[test]
fn wrong_submission_time_does_not_shorten_retention() {
    const KEEP_MS: u64 = 180_000;
    const HOUR_MS: i64 = 3_600_000;
    let result = ItemResult { item: "i0".into(), outcome: Outcome::Completed, text: "t".into() };
    let mut job =
        Job::from_record(10_000, HOUR_MS, "j".into(), "h", "/j", vec![item("i0")], vec![result]);
    assert!(job.is_finished());
    assert!(!job.is_removable(10_000, KEEP_MS));
    assert!(!job.is_removable(10_000 + KEEP_MS - 1, KEEP_MS));
    assert!(job.is_removable(10_000 + KEEP_MS, KEEP_MS));
    job.is_ended = true;
    assert!(!job.is_removable(10_000, KEEP_MS));
}

#[test]
fn unheld_ended_job_is_kept_from_its_first_read() {
    let mut unheld_jobs = UnheldJobs::default();
    let (a, b) = ("a".into(), "b".into());
    assert!(!unheld_jobs.observe(1_000, 500, &a));
    assert!(!unheld_jobs.observe(1_499, 500, &a));
    assert!(!unheld_jobs.observe(1_499, 500, &b));
    assert!(unheld_jobs.observe(1_500, 500, &a));
    assert_eq!(unheld_jobs.len(), 1, "a removed job is forgotten");
    unheld_jobs.forget(2_498, 1_000);
    assert_eq!(unheld_jobs.len(), 1);
    unheld_jobs.forget(2_499, 1_000);
    assert!(unheld_jobs.is_empty());
}

#[test]
fn sum_of_tokens_does_not_wrap_around_the_quota() {
    let items = vec![Item { tokens: u64::MAX, ..item("a") }, Item { tokens: 2, ..item("b") }];
    assert_eq!(Submission { items: items.clone() }.tokens(), u64::MAX);
    let job = Job::new("j".into(), "host", "/jobs/", 0, items, Vec::new());
    assert_eq!(job.waiting_tokens(), u64::MAX);
}

#[test]
fn odd_numbers_in_a_record_or_a_handover_do_not_overflow() {
    let part = ResultPart { name: "p".to_owned(), count: usize::MAX };
    assert_eq!(record::count_in_parts(&[part.clone(), part]), usize::MAX);
    let record = r#"{"home":{"daemon":"d","incarnation":1},"host":"h","path":"/j/",
        "submitted_unix_ms":1,"input":"","input_parts":1000000000000}"#;
    assert!(record::JobRecord::decode(record.as_bytes()).is_err());
    for age_ms in [i64::MIN, i64::MAX] {
        let job =
            Job::from_record(5, age_ms, "j".into(), "host", "/jobs/", vec![item("a")], vec![]);
        assert!(!job.is_removable(5, 1 << 40));
        for age_ms in [1_u64 << 63, u64::MAX] {
            let handover = JobHandover { age_ms, kept_ms: age_ms, ..job.to_handover(10) };
            let taken = Job::from_handover(handover, 20);
            taken.next_urgency(20, &LIMITS, &RunTimeEstimate::default());
            assert!(!taken.is_finished());
            taken.to_handover(30);
        }
    }
}
