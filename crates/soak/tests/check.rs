//! Tests of the checks of the soak: each is given evidence that breaks a promise, and most are also
//! given similar evidence that does not.

use platform_stub::RunLog;
use platform_stub::client::ItemResult;
use platform_stub::client::expected_text;
use platform_stub::run_log::LateArrival;
use platform_stub::run_log::LeavingArrival;
use platform_stub::run_log::Run;
use soak::check::Evidence;
use soak::check::violations;
use soak::observation::ClientRequest;
use soak::observation::JobObservation;
use soak::observation::KeyRequest;
use soak::observation::Observation;
use soak::observation::RequestKind;
use soak::observation::RequestOutcome;
use soak::observation::RouteQuery;
use soak::organisations::HOT;
use soak::organisations::LOWERED;
use soak::organisations::Organisations;
use soak::organisations::ROTATING;
use soak::organisations::UNKNOWN_KEY;
use soak::organisations::key;
use soak::plan::Fault;
use soak::timeline::Timeline;

#[derive(Default)]
struct TestRun {
    observation: Observation,
    run_log: RunLog,
    timeline: Timeline,
    mended_replicas: Vec<String>,
    organisations: Option<Organisations>,
}

impl TestRun {
    /// Returns a run with one request that was served after the recovery time.
    fn new() -> Self {
        let mut run = Self::default();
        run.add_request("last", RequestKind::Lookup, 30_000, answered(200));
        run
    }

    fn add_request(&mut self, id: &str, kind: RequestKind, sent_ms: u64, outcome: RequestOutcome) {
        self.observation.requests.push(ClientRequest {
            id: id.to_owned(),
            kind,
            daemon: 0,
            is_connection_reused: true,
            sent_ms,
            ended_ms: sent_ms + 300,
            outcome,
        });
    }

    fn add_run(&mut self, id: &str, replica: &str, started_ms: u64) {
        let run = Run {
            replica: replica.to_owned(),
            resumed_after: None,
            started_ms,
            is_complete: true,
            organisation: None,
        };
        self.run_log.record_start(id, run);
    }

    /// Adds a request that ran if it has an organisation and was answered with 200.
    fn add_key_request(&mut self, id: &str, key: &str, sent_ms: u64, status: u16) {
        self.observation.key_requests.push(KeyRequest {
            id: id.to_owned(),
            key: key.to_owned(),
            daemon: 0,
            starts: Some(1),
            sent_ms,
            ended_ms: sent_ms + 20,
            status,
        });
        let organisation =
            [HOT, LOWERED, ROTATING].into_iter().find(|name| key.contains(&format!("-{name}-")));
        let Some(organisation) = organisation else { return };
        self.observation.record_organisation(id, organisation);
        if status == 200 {
            self.add_run(id, "plain-0", sent_ms + 10);
            self.set_run_organisation(id, organisation);
        }
    }

    /// Replaces the last run of a request by one for an organisation.
    fn set_run_organisation(&mut self, id: &str, organisation: &str) {
        let run = self.run_log.runs_of(id).last().expect("it ran").clone();
        let mut log = RunLog::default();
        for other in self.run_log.ids().filter(|other| *other != id) {
            for run in self.run_log.runs_of(other) {
                log.record_start(other, run.clone());
            }
        }
        log.record_start(id, Run { organisation: Some(organisation.to_owned()), ..run });
        self.run_log = log;
    }

    fn add_fault(&mut self, fault: Fault, from_ms: u64, until_ms: u64) {
        let index = self.timeline.begin(from_ms, fault);
        self.timeline.end(until_ms, index);
    }

    fn add_job(&mut self, change: impl FnOnce(&mut JobObservation)) {
        let mut job = JobObservation {
            items: [("i1".to_owned(), 3), ("i2".to_owned(), 3)].into(),
            submit_statuses: vec![202],
            accepted_ms: Some(1_000),
            ..JobObservation::default()
        };
        job.add_page(0, vec![completed("i1"), completed("i2")]);
        change(&mut job);
        self.observation.jobs.insert("j".to_owned(), job);
    }

    fn broken_promises(&self) -> Vec<&'static str> {
        let evidence = Evidence {
            observation: &self.observation,
            run_log: &self.run_log,
            timeline: &self.timeline,
            recovered_ms: 29_000,
            mended_replicas: &self.mended_replicas,
            organisations: self.organisations.as_ref(),
        };
        violations(&evidence).iter().map(|violation| violation.promise).collect()
    }
}

fn answered(status: u16) -> RequestOutcome {
    RequestOutcome::Answered { status, is_own: true }
}

fn completed(id: &str) -> ItemResult {
    ItemResult { id: id.to_owned(), state: "completed".to_owned(), text: expected_text(id, 3) }
}

#[test]
fn correct_run_has_no_violations() {
    let mut run = TestRun::new();
    run.add_request("s", RequestKind::Stream, 1_000, answered(200));
    run.add_run("s", "a", 1_010);
    run.add_job(|_| {});
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

#[test]
fn only_streams_must_run_at_most_once() {
    let mut run = TestRun::new();
    run.add_request("s", RequestKind::Stream, 1_000, RequestOutcome::Cut);
    run.add_request("l", RequestKind::Lookup, 1_000, answered(200));
    for id in ["s", "s", "l", "l"] {
        run.add_run(id, "a", 1_010);
    }
    assert_eq!(run.broken_promises(), ["at most once"]);
}

#[test]
fn wrong_or_incomplete_answer_is_reported() {
    let mut run = TestRun::new();
    let outcome = RequestOutcome::Answered { status: 200, is_own: false };
    run.add_request("l", RequestKind::Lookup, 1_000, outcome);
    assert_eq!(run.broken_promises(), ["whole and own answers"]);
}

#[test]
fn refused_stream_that_ran_is_reported() {
    let mut run = TestRun::new();
    run.add_request("s", RequestKind::Stream, 1_000, answered(503));
    run.add_run("s", "a", 1_010);
    assert_eq!(run.broken_promises(), ["refused means not run"]);
}

#[test]
fn cut_stream_at_planned_stop_is_reported_without_other_faults() {
    let mut run = TestRun::new();
    run.add_request("s", RequestKind::Stream, 10_000, RequestOutcome::Cut);
    run.add_run("s", "a", 10_010);
    assert_eq!(run.broken_promises(), Vec::<&str>::new(), "one cut without a planned stop");
    run.add_fault(Fault::Stop { daemon: 0 }, 9_000, 14_000);
    assert_eq!(run.broken_promises(), ["a planned stop cuts nothing"]);
    run.add_fault(Fault::StoreBusy, 8_000, 9_500);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

#[test]
fn many_cut_streams_without_faults_are_reported() {
    let mut run = TestRun::new();
    for number in 0..4 {
        let id = format!("s{number}");
        run.add_request(&id, RequestKind::Stream, 1_000, RequestOutcome::Cut);
        run.add_run(&id, "a", 1_010);
    }
    assert_eq!(run.broken_promises(), ["kept connections are not cut"]);
    run.add_fault(Fault::Kill { daemon: 0 }, 900, 1_200);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

#[test]
fn refused_valid_requests_and_unrequested_runs_are_reported() {
    let mut run = TestRun::new();
    for number in 0..6 {
        run.add_request(&format!("l{number}"), RequestKind::Lookup, 1_000, answered(404));
    }
    run.add_run("stranger", "a", 2_000);
    assert_eq!(run.broken_promises(), ["proper requests are allowed", "only what was asked runs"]);
}

#[test]
fn request_at_drained_replica_is_reported_without_faults() {
    let mut run = TestRun::new();
    run.run_log.late_arrivals.push(LateArrival { id: "last".to_owned(), at_ms: 5_000 });
    assert_eq!(run.broken_promises(), ["drained replicas get nothing"]);
    run.add_fault(Fault::Pause { daemon: 1 }, 1_000, 2_500);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

#[test]
fn request_at_replica_that_announced_its_leaving_is_reported() {
    let mut run = TestRun::new();
    // The answer to the first request is complete at 1,300 ms.
    for (id, sent_ms) in [("first", 1_000), ("second", 3_300), ("late", 3_301)] {
        run.add_request(id, RequestKind::Stream, sent_ms, answered(200));
        run.add_run(id, "a", sent_ms);
        let arrival =
            LeavingArrival { replica: "a".to_owned(), id: id.to_owned(), at_ms: sent_ms + 10 };
        run.run_log.leaving_arrivals.push(arrival);
        let expected: &[&str] = if id == "late" { &["leaving replicas get nothing"] } else { &[] };
        assert_eq!(run.broken_promises(), expected);
    }
    run.add_fault(Fault::Pause { daemon: 1 }, 2_000, 2_500);
    assert_eq!(run.broken_promises().len(), 1, "another daemon was paused");
    run.add_fault(Fault::Pause { daemon: 0 }, 2_000, 2_500);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

/// Guards against a replica that stays out of use after it became sound again.
#[test]
fn mended_replica_without_later_runs_is_reported() {
    let mut run = TestRun::new();
    run.mended_replicas = vec!["engines-0".to_owned()];
    for number in 0..100 {
        assert_eq!(run.broken_promises(), Vec::<&str>::new(), "after {number} runs");
        let id = format!("r{number}");
        run.add_request(&id, RequestKind::Stream, 30_000, answered(200));
        run.add_run(&id, "engines-1", 30_010);
    }
    assert_eq!(run.broken_promises(), ["sound replicas are used again"]);
    run.add_request("again", RequestKind::Stream, 30_000, answered(200));
    run.add_run("again", "engines-0", 30_010);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
}

/// Guards against a key, or a request of another organisation, at a replica.
#[test]
fn key_or_wrong_organisation_at_replica_is_reported() {
    let mut run = TestRun::new();
    run.organisations = Some(Organisations::default());
    run.add_key_request("hot", &key(HOT, 0), 2_000, 200);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.set_run_organisation("hot", ROTATING);
    assert_eq!(run.broken_promises(), ["no wrong organisation reaches a replica"]);
    run.set_run_organisation("hot", HOT);
    run.run_log.credential_arrivals.push("hot".to_owned());
    assert_eq!(run.broken_promises(), ["no key reaches a replica"]);
}

/// Guards against a revoked key that keeps working, or works again at a daemon that denied it.
#[test]
fn revoked_key_that_works_is_reported() {
    let mut run = TestRun::new();
    let revoked = key(ROTATING, 1);
    run.organisations = Some(Organisations::default());
    run.organisations.as_mut().expect("it is set").revoke(1, 10_000);
    run.add_key_request("early", &revoked, 11_900, 200);
    run.add_key_request("denied", &revoked, 12_100, 401);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.add_key_request("late", &revoked, 12_200, 200);
    assert_eq!(
        run.broken_promises(),
        ["a revoked key stops working", "the configuration never goes back"]
    );
    run.add_fault(Fault::StoreSilent, 9_000, 13_000);
    assert_eq!(run.broken_promises(), ["the configuration never goes back"]);
    run.observation.key_requests[2].starts = Some(2);
    assert_eq!(run.broken_promises(), Vec::<&str>::new(), "the daemon was restarted");
}

/// Guards against a daemon that denies a valid key, accepts an unknown one, or runs what it denied.
#[test]
fn wrongly_denied_and_accepted_keys_are_reported() {
    let mut run = TestRun::new();
    run.organisations = Some(Organisations::default());
    run.add_key_request("unknown", UNKNOWN_KEY, 1_000, 401);
    run.add_key_request("refused", &key(HOT, 0), 1_000, 429);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.add_run("unknown", "plain-0", 1_010);
    assert_eq!(run.broken_promises(), ["unknown keys run nothing"]);
    run.add_run("refused", "plain-0", 1_010);
    run.set_run_organisation("refused", HOT);
    assert_eq!(run.broken_promises(), ["unknown keys run nothing", "refused means not run"]);

    let mut run = TestRun::new();
    run.organisations = Some(Organisations::default());
    run.add_key_request("valid", &key(ROTATING, 2), 1_000, 401);
    run.add_request("usual", RequestKind::Lookup, 1_000, answered(401));
    assert_eq!(run.broken_promises(), ["valid keys are accepted", "valid keys are accepted"]);
}

/// Guards against more requests of an organisation in a window than its quota allows, before and
/// after the quota is lowered.
#[test]
fn requests_over_a_quota_are_reported() {
    // (10 x 5 + 5) x 1.1 + 20 = 80.5 and, lowered, (4 x 5 + 2) x 1.1 + 20 = 44.2.
    let run_of = |organisation: &str, from_ms: u64, count: u64| {
        let mut run = TestRun::new();
        run.organisations = Some(Organisations { lowered_ms: Some(2_000), ..Default::default() });
        for number in 0..count {
            let id = format!("q{number:03}");
            run.add_key_request(&id, &key(organisation, 0), from_ms + number * 10, 200);
        }
        run.broken_promises()
    };
    assert_eq!(run_of(HOT, 10_000, 80), Vec::<&str>::new());
    assert_eq!(run_of(HOT, 10_000, 81), ["quotas hold in each window"]);
    assert_eq!(run_of(LOWERED, 8_000, 45), Vec::<&str>::new(), "the window began before");
    assert_eq!(run_of(LOWERED, 9_000, 44), Vec::<&str>::new());
    assert_eq!(run_of(LOWERED, 9_000, 45), ["quotas hold in each window"]);
}

#[test]
fn configuration_rollback_or_delay_is_reported() {
    let query = |starts: u32, sent_ms: u64, is_known: bool| RouteQuery {
        daemon: 0,
        starts,
        route: 0,
        added_ms: 1_000,
        sent_ms,
        ended_ms: sent_ms + 5,
        is_known,
    };
    let mut run = TestRun::new();
    run.observation.route_queries = vec![query(1, 1_500, false), query(1, 2_900, true)];
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.observation.route_queries.push(query(1, 3_000, false));
    assert_eq!(run.broken_promises(), ["the configuration never goes back"]);
    run.observation.route_queries = vec![query(1, 1_500, true), query(2, 3_100, false)];
    assert_eq!(run.broken_promises(), ["a configuration is in force in time"]);
}

#[test]
fn missing_changed_or_repeated_results_are_reported() {
    type Change = fn(&mut JobObservation);
    let changes: [(&str, Change); 5] = [
        ("accepted items complete", |job| drop(job.results.pop())),
        ("results stay", |job| job.add_page(0, vec![completed("i2")])),
        ("whole results", |job| job.results[0].text.pop().map_or((), drop)),
        ("no item is given up", |job| job.results[1].state = "dead_letter".to_owned()),
        ("own results", |job| job.results.push(completed("stranger"))),
    ];
    for (promise, change) in changes {
        let mut run = TestRun::new();
        run.add_job(change);
        assert_eq!(run.broken_promises(), [promise]);
    }
    let mut run = TestRun::new();
    run.add_job(|job| job.results.push(completed("i1")));
    assert_eq!(run.broken_promises(), ["exactly once"]);
}

#[test]
fn runs_of_refused_and_ended_jobs_are_reported() {
    let mut run = TestRun::new();
    run.add_job(|job| {
        job.submit_statuses = vec![503, 429];
        job.accepted_ms = None;
        job.results.clear();
    });
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.add_run("i1", "a", 2_000);
    assert_eq!(run.broken_promises(), ["refused means not run"]);

    let mut run = TestRun::new();
    run.add_job(|job| {
        job.is_end_requested = true;
        job.ended_ms = Some(5_000);
        job.results.clear();
    });
    run.add_run("i1", "a", 7_900);
    assert_eq!(run.broken_promises(), Vec::<&str>::new());
    run.add_run("i2", "a", 8_100);
    assert_eq!(run.broken_promises(), ["ended jobs stop"]);
}

#[test]
fn fleet_that_does_not_recover_is_reported() {
    let mut run = TestRun::new();
    for number in 0..4 {
        run.add_request(&format!("l{number}"), RequestKind::Lookup, 30_100, RequestOutcome::Late);
    }
    assert_eq!(run.broken_promises(), ["recovery"]);
}

#[test]
fn request_ended_by_silence_of_its_replica() {
    const PROMISE: &str = "a silent replica ends no answer";
    let pause = Fault::ReplicaPause { replica: 0, count: 1 };
    let ended = |outcome: RequestOutcome, sent_ms: u64| {
        let mut run = TestRun::new();
        run.add_request("r", RequestKind::Resumable, sent_ms, outcome);
        run.add_run("r", "engine-0", sent_ms);
        run.add_fault(pause, 10_000, 11_000);
        run
    };
    assert_eq!(ended(RequestOutcome::Cut, 10_500).broken_promises(), [PROMISE]);
    assert_eq!(ended(answered(502), 10_500).broken_promises(), [PROMISE]);
    assert_eq!(ended(answered(504), 10_500).broken_promises(), [PROMISE]);
    assert!(ended(answered(503), 10_500).broken_promises().is_empty());
    assert!(ended(answered(200), 10_500).broken_promises().is_empty());
    assert!(
        ended(RequestOutcome::Cut, 15_000).broken_promises().is_empty(),
        "no replica was silent"
    );
    let mut late = ended(RequestOutcome::Cut, 10_500);
    late.observation.requests[1].ended_ms = 15_400;
    assert!(late.broken_promises().is_empty(), "the deadline was over");
    let mut disturbed = ended(RequestOutcome::Cut, 10_500);
    disturbed.add_fault(Fault::Kill { daemon: 1 }, 9_000, 9_100);
    assert!(disturbed.broken_promises().is_empty(), "another fault was active");
}
