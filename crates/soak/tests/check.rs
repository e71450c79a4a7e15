//! The checks of the soak, each against evidence that breaks one promise and evidence that does not.

use platform_stub::RunLog;
use platform_stub::client::ItemResult;
use platform_stub::client::whole_text;
use platform_stub::run_log::LateArrival;
use platform_stub::run_log::Run;
use soak::check::Evidence;
use soak::check::violations;
use soak::observation::Ask;
use soak::observation::Attempt;
use soak::observation::JobSeen;
use soak::observation::Observation;
use soak::observation::RouteSeen;
use soak::observation::Seen;
use soak::plan::Fault;
use soak::timeline::Timeline;

#[derive(Default)]
struct Case {
    seen: Observation,
    log: RunLog,
    timeline: Timeline,
}

impl Case {
    /// A run with one request that was served after all was well again.
    fn new() -> Self {
        let mut case = Self::default();
        case.attempt("last", Ask::Lookup, 30_000, answered(200));
        case
    }

    fn attempt(&mut self, id: &str, ask: Ask, sent_ms: u64, seen: Seen) {
        self.seen.attempts.push(Attempt {
            id: id.to_owned(),
            ask,
            daemon: 0,
            is_kept: true,
            sent_ms,
            ended_ms: sent_ms + 300,
            seen,
        });
    }

    fn ran(&mut self, id: &str, replica: &str, began_ms: u64) {
        let run = Run { replica: replica.to_owned(), after: None, began_ms, is_whole: true };
        self.log.began(id, run);
    }

    fn fault(&mut self, fault: Fault, from_ms: u64, until_ms: u64) {
        let place = self.timeline.begin(from_ms, fault);
        self.timeline.end(until_ms, place);
    }

    fn job(&mut self, change: impl FnOnce(&mut JobSeen)) {
        let mut job = JobSeen {
            items: [("i1".to_owned(), 3), ("i2".to_owned(), 3)].into(),
            statuses: vec![202],
            accepted_ms: Some(1_000),
            ..JobSeen::default()
        };
        job.read(0, vec![completed("i1"), completed("i2")]);
        change(&mut job);
        self.seen.jobs.insert("j".to_owned(), job);
    }

    fn broken(&self) -> Vec<&'static str> {
        let evidence = Evidence {
            seen: &self.seen,
            log: &self.log,
            timeline: &self.timeline,
            recovered_ms: 29_000,
        };
        violations(&evidence).iter().map(|violation| violation.promise).collect()
    }
}

fn answered(status: u16) -> Seen {
    Seen::Answered { status, is_own: true }
}

fn completed(id: &str) -> ItemResult {
    ItemResult { id: id.to_owned(), state: "completed".to_owned(), text: whole_text(id, 3) }
}

#[test]
fn a_run_that_keeps_all_promises_is_clean() {
    let mut case = Case::new();
    case.attempt("s", Ask::Stream, 1_000, answered(200));
    case.ran("s", "a", 1_010);
    case.job(|_| {});
    assert_eq!(case.broken(), Vec::<&str>::new());
}

#[test]
fn a_stream_that_ran_twice_is_found_and_a_lookup_may_run_twice() {
    let mut case = Case::new();
    case.attempt("s", Ask::Stream, 1_000, Seen::Cut);
    case.attempt("l", Ask::Lookup, 1_000, answered(200));
    for id in ["s", "s", "l", "l"] {
        case.ran(id, "a", 1_010);
    }
    assert_eq!(case.broken(), ["at most once"]);
}

#[test]
fn foreign_and_partial_answers_are_found() {
    let mut case = Case::new();
    let seen = Seen::Answered { status: 200, is_own: false };
    case.attempt("l", Ask::Lookup, 1_000, seen);
    assert_eq!(case.broken(), ["whole and own answers"]);
}

#[test]
fn a_refusal_of_what_ran_is_found() {
    let mut case = Case::new();
    case.attempt("s", Ask::Stream, 1_000, answered(503));
    case.ran("s", "a", 1_010);
    assert_eq!(case.broken(), ["refused means not run"]);
}

#[test]
fn a_cut_at_a_planned_stop_counts_unless_something_else_happened() {
    let mut case = Case::new();
    case.attempt("s", Ask::Stream, 10_000, Seen::Cut);
    case.ran("s", "a", 10_010);
    assert_eq!(case.broken(), Vec::<&str>::new(), "one cut without a stop");
    case.fault(Fault::Stop { daemon: 0 }, 9_000, 14_000);
    assert_eq!(case.broken(), ["a planned stop cuts nothing"]);
    case.fault(Fault::StoreBusy, 8_000, 9_500);
    assert_eq!(case.broken(), Vec::<&str>::new());
}

#[test]
fn cuts_in_calm_are_found_when_they_are_many() {
    let mut case = Case::new();
    for number in 0..4 {
        let id = format!("s{number}");
        case.attempt(&id, Ask::Stream, 1_000, Seen::Cut);
        case.ran(&id, "a", 1_010);
    }
    assert_eq!(case.broken(), ["kept connections are not cut"]);
    case.fault(Fault::Kill { daemon: 0 }, 900, 1_200);
    assert_eq!(case.broken(), Vec::<&str>::new());
}

#[test]
fn denials_and_strangers_are_found() {
    let mut case = Case::new();
    for number in 0..6 {
        case.attempt(&format!("l{number}"), Ask::Lookup, 1_000, answered(404));
    }
    case.ran("stranger", "a", 2_000);
    assert_eq!(case.broken(), ["proper requests are allowed", "only what was asked runs"]);
}

#[test]
fn arrivals_at_drained_replicas_count_in_calm() {
    let mut case = Case::new();
    case.log.late_arrivals.push(LateArrival { id: "last".to_owned(), at_ms: 5_000 });
    assert_eq!(case.broken(), ["drained replicas get nothing"]);
    case.fault(Fault::Pause { daemon: 1 }, 1_000, 2_500);
    assert_eq!(case.broken(), Vec::<&str>::new());
}

#[test]
fn a_configuration_that_goes_back_or_comes_late_is_found() {
    let question = |life: u32, sent_ms: u64, is_known: bool| RouteSeen {
        daemon: 0,
        life,
        route: 0,
        added_ms: 1_000,
        sent_ms,
        ended_ms: sent_ms + 5,
        is_known,
    };
    let mut case = Case::new();
    case.seen.routes = vec![question(1, 1_500, false), question(1, 2_900, true)];
    assert_eq!(case.broken(), Vec::<&str>::new());
    case.seen.routes.push(question(1, 3_000, false));
    assert_eq!(case.broken(), ["the configuration never goes back"]);
    case.seen.routes = vec![question(1, 1_500, true), question(2, 3_100, false)];
    assert_eq!(case.broken(), ["a configuration is in force in time"]);
}

#[test]
fn jobs_are_whole_once_and_stay() {
    type Change = fn(&mut JobSeen);
    let cases: [(&str, Change); 5] = [
        ("accepted items complete", |job| drop(job.listed.pop())),
        ("results stay", |job| job.read(0, vec![completed("i2")])),
        ("whole results", |job| job.listed[0].text.pop().map_or((), drop)),
        ("no item is given up", |job| job.listed[1].state = "dead_letter".to_owned()),
        ("own results", |job| job.listed.push(completed("stranger"))),
    ];
    for (promise, change) in cases {
        let mut case = Case::new();
        case.job(change);
        assert_eq!(case.broken(), [promise]);
    }
    let mut case = Case::new();
    case.job(|job| job.listed.push(completed("i1")));
    assert_eq!(case.broken(), ["exactly once"]);
}

#[test]
fn refused_and_ended_jobs_do_not_run() {
    let mut case = Case::new();
    case.job(|job| {
        job.statuses = vec![503, 429];
        job.accepted_ms = None;
        job.listed.clear();
    });
    assert_eq!(case.broken(), Vec::<&str>::new());
    case.ran("i1", "a", 2_000);
    assert_eq!(case.broken(), ["refused means not run"]);

    let mut case = Case::new();
    case.job(|job| {
        job.is_end_asked = true;
        job.ended_ms = Some(5_000);
        job.listed.clear();
    });
    case.ran("i1", "a", 7_900);
    assert_eq!(case.broken(), Vec::<&str>::new());
    case.ran("i2", "a", 8_100);
    assert_eq!(case.broken(), ["ended jobs stop"]);
}

#[test]
fn a_fleet_that_does_not_recover_is_found() {
    let mut case = Case::new();
    for number in 0..4 {
        case.attempt(&format!("l{number}"), Ask::Lookup, 30_100, Seen::Late);
    }
    assert_eq!(case.broken(), ["recovery"]);
}
