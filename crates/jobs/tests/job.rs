//! One job at its home: tries, results, writes and the end.

use bytes::Bytes;
use jobs::item::Item;
use jobs::item::Listed;
use jobs::item::Outcome;
use jobs::item::Submission;
use jobs::job::Job;
use jobs::job::JobLimits;
use jobs::job::TryEnd;
use jobs::pace::Pace;
use jobs::progress::Progress;
use jobs::record;
use jobs::retention::Unheld;

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

fn job(count: usize) -> Job {
    let items = (0..count).map(|number| item(&format!("i{number}"))).collect();
    Job::new("j".into(), "host", "/jobs/", 0, items, Vec::new())
}

fn output(text: &str, events: u32) -> Progress {
    Progress { text: text.to_owned(), events, last_event: Some(u64::from(events)) }
}

fn run(job: &mut Job, now_ms: u64, end: TryEnd, progress: Progress) -> usize {
    let next = job.start_next(now_ms).expect("an item waits");
    job.try_ended(now_ms, next.place, end, progress, &LIMITS);
    next.place
}

#[test]
fn a_result_is_shown_only_after_it_was_written() {
    let mut job = job(1);
    run(&mut job, 10, TryEnd::Completed, output("text", 3));
    assert!(job.listed().is_empty());
    assert!(job.is_save_due(10, &LIMITS), "nothing else is waited for");
    job.saved(12, 7, 1, false);
    assert_eq!(job.listed().len(), 1);
    assert_eq!(&*job.listed()[0].text, "text");
    assert!(job.is_over());
}

#[test]
fn an_interrupted_item_goes_on_where_it_was() {
    let mut job = job(2);
    let place = run(&mut job, 0, TryEnd::Interrupted, output("half", 5));
    let next = job.start_next(0).expect("it waits");
    assert_eq!((next.place, next.progress), (place, output("half", 5)));
}

#[test]
fn an_item_is_given_up_after_its_attempts_or_when_it_can_never_be_done() {
    let mut job = job(2);
    let mut now_ms = 0;
    for _ in 0..3 {
        run(&mut job, now_ms, TryEnd::Failed, Progress::default());
        now_ms += 10_000;
    }
    run(&mut job, now_ms, TryEnd::Impossible, Progress::default());
    assert!(job.results().iter().all(|result| result.outcome == Outcome::GivenUp));
    assert!(job.start_next(now_ms + 60_000).is_none());
}

#[test]
fn a_lost_replica_is_no_attempt_of_the_item() {
    let mut job = job(1);
    for number in 0..20 {
        run(&mut job, number * 1_000, TryEnd::Lost, Progress::default());
    }
    assert!(job.results().is_empty());
}

#[test]
fn results_keep_their_order_when_a_write_took_effect_without_an_answer() {
    let mut job = job(3);
    run(&mut job, 0, TryEnd::Completed, output("one", 1));
    run(&mut job, 1, TryEnd::Completed, output("two", 1));
    let before = job.results();
    run(&mut job, 2, TryEnd::Completed, output("three", 1));
    job.saved(3, 9, 2, false);
    assert_eq!(job.listed(), &before[..]);
    assert!(job.has_unsaved());
    job.saved(4, 10, 3, false);
    assert_eq!(job.listed()[..2], before[..]);
}

#[test]
fn writes_are_grouped_unless_the_job_is_due_soon() {
    let mut job = job(2);
    run(&mut job, 1_000, TryEnd::Completed, output("one", 1));
    assert!(!job.is_save_due(1_100, &LIMITS));
    assert!(job.is_save_due(6_000, &LIMITS));
    assert!(job.is_save_due(16_000, &LIMITS));
}

#[test]
fn an_ended_job_runs_nothing_and_is_over_once_that_is_written() {
    let mut job = job(2);
    let running = job.start_next(0).expect("it waits");
    job.end();
    assert!(job.start_next(1).is_none());
    assert_eq!(job.waiting_tokens(), 0);
    assert!(!job.is_over());
    job.try_ended(2, running.place, TryEnd::Interrupted, Progress::default(), &LIMITS);
    job.saved(3, 4, 0, true);
    assert!(job.is_over());
    assert!(!job.has_unsaved());
}

#[test]
fn items_are_given_up_after_the_retention_time_or_when_the_route_is_gone() {
    let mut old = job(1);
    old.give_up_old(59_000, Some(&LIMITS));
    assert!(old.results().is_empty());
    old.give_up_old(60_000, Some(&LIMITS));
    assert_eq!(old.results().len(), 1);
    let mut unrouted = job(1);
    unrouted.give_up_old(1, None);
    assert_eq!(unrouted.results().len(), 1);
}

#[test]
fn a_clock_that_jumped_gives_no_item_of_an_adopted_job_up_early() {
    let age_ms = 70_000;
    let items = vec![item("i0")];
    let mut read = Job::read(1_000, age_ms, "j".into(), "host", "/jobs/", items, Vec::new());
    read.give_up_old(60_999, Some(&LIMITS));
    assert!(read.results().is_empty());
    let mut handed = Job::from_handed(read.to_handed(60_999), 5_000);
    handed.give_up_old(5_000, Some(&LIMITS));
    assert!(handed.results().is_empty());
    handed.give_up_old(5_001, Some(&LIMITS));
    assert_eq!(handed.results().len(), 1);
}

#[test]
fn an_item_that_is_nearly_done_is_on_time_longer_and_goes_first() {
    let pace = Pace::default();
    let mut job = job(2);
    let fresh = job.next_urgency(0, &LIMITS, &pace).expect("it waits");
    run(&mut job, 0, TryEnd::Interrupted, output("most", 180));
    let begun = job.next_urgency(0, &LIMITS, &pace).expect("it waits");
    assert!(begun.on_time_at_ms > fresh.on_time_at_ms);
    assert!(begun.order_at_ms < fresh.order_at_ms);
}

#[test]
fn a_job_that_was_read_back_runs_only_what_is_not_listed() {
    let listed = vec![Listed { item: "i0".into(), outcome: Outcome::Completed, text: "t".into() }];
    let items = vec![item("i0"), item("i1")];
    let mut job = Job::new("j".into(), "host", "/jobs/", -5_000, items, listed);
    assert_eq!(job.start_next(0).map(|next| next.place), Some(1));
    assert!(job.start_next(0).is_none());
    assert_eq!(job.waiting_tokens(), 100);
}

#[test]
fn inputs_survive_their_record_whole_and_in_parts() {
    let submission = Submission { items: (0..50).map(|n| item(&format!("i{n}"))).collect() };
    let text = record::encode_input(&submission).expect("it is encoded");
    assert!(record::input_fits(&text, 1 << 20));
    assert!(!record::input_fits(&text, 1_000));
    let parts = record::split_input(&text, 1_000);
    assert!(parts.len() > 1 && parts.iter().all(|part| part.len() <= 1_000));
    assert_eq!(record::decode_input(&parts.concat()).expect("it is decoded"), submission);
}

#[test]
fn results_that_do_not_fit_go_into_a_part() {
    let listed = |size: usize| Listed {
        item: "i".into(),
        outcome: Outcome::Completed,
        text: "x".repeat(size).into(),
    };
    let results: Vec<Listed> = (0..10).map(|_| listed(1_000)).collect();
    assert_eq!(record::overflow(&results, 1_000, 1 << 20), 0);
    let moved = record::overflow(&results, 1_000, 8_000);
    assert!(moved > 0 && moved < 10);
    assert_eq!(record::overflow(&[listed(20_000)], 0, 8_000), 1, "one is moved at least");
}

#[test]
fn the_output_of_running_items_is_written_now_and_then_and_a_new_home_goes_on_from_it() {
    let mut job = job(3);
    run(&mut job, 0, TryEnd::Failed, Progress::default());
    let running = job.start_next(10).expect("another one waits");
    job.progressed(1_000, running.place, &output("so far", 40));
    job.progressed(2_500, running.place, &output("so far\nand on", 60));
    assert!(!job.is_save_due(2_999, &LIMITS));
    assert!(job.is_save_due(3_000, &LIMITS));
    let saved = job.saved_progress(100_000);
    job.saved(3_010, 8, 0, false);
    assert!(!job.is_save_due(4_000, &LIMITS), "nothing is new");

    let items = (0..3).map(|number| item(&format!("i{number}"))).collect();
    let mut heir = Job::read(0, 5_000, "j".into(), "host", "/jobs/", items, Vec::new());
    heir.restore(saved);
    let next = heir.start_next(0).expect("it waits");
    assert_eq!(next.place, running.place);
    assert_eq!(next.progress, output("so far\nand on", 60));
    for _ in 0..LIMITS.max_attempts - 1 {
        let failing = heir.start_next(100_000).expect("the failed item waits");
        assert_eq!(failing.place, 0);
        heir.try_ended(0, 0, TryEnd::Failed, Progress::default(), &LIMITS);
    }
    assert_eq!(heir.results().len(), 1, "earlier failures count");
}

#[test]
fn saved_output_keeps_to_its_room_and_finished_items_have_none() {
    let mut job = job(3);
    run(&mut job, 0, TryEnd::Completed, output("done", 1));
    for _ in 0..2 {
        let running = job.start_next(0).expect("it waits");
        job.progressed(0, running.place, &output(&"x".repeat(1_000), 50));
    }
    assert_eq!(job.saved_progress(100_000).len(), 2);
    assert_eq!(job.saved_progress(2_000).len(), 1);
    assert_eq!(job.saved_progress(0).len(), 0);
}

#[test]
fn a_job_of_a_daemon_whose_clock_went_wrong_is_kept_as_long_as_others() {
    const KEPT_MS: u64 = 180_000;
    const HOUR_MS: i64 = 3_600_000;
    let listed = Listed { item: "i0".into(), outcome: Outcome::Completed, text: "t".into() };
    let mut job = Job::read(10_000, HOUR_MS, "j".into(), "h", "/j", vec![item("i0")], vec![listed]);
    assert!(job.is_over());
    assert!(!job.is_kept_long_enough(10_000, KEPT_MS));
    assert!(!job.is_kept_long_enough(10_000 + KEPT_MS - 1, KEPT_MS));
    assert!(job.is_kept_long_enough(10_000 + KEPT_MS, KEPT_MS));
    job.is_ended = true;
    assert!(!job.is_kept_long_enough(10_000, KEPT_MS));
}

#[test]
fn an_ended_job_that_nobody_holds_is_kept_from_when_it_was_first_read() {
    let mut unheld = Unheld::default();
    let (a, b) = ("a".into(), "b".into());
    assert!(!unheld.is_kept_long_enough(1_000, 500, &a));
    assert!(!unheld.is_kept_long_enough(1_499, 500, &a));
    assert!(!unheld.is_kept_long_enough(1_499, 500, &b));
    assert!(unheld.is_kept_long_enough(1_500, 500, &a));
    assert_eq!(unheld.len(), 1, "a removed job is forgotten");
    unheld.forget(2_498, 1_000);
    assert_eq!(unheld.len(), 1);
    unheld.forget(2_499, 1_000);
    assert!(unheld.is_empty());
}
