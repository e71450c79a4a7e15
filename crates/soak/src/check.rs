//! Checks the promises of the system against what clients observed and replicas ran.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use platform_stub::RunLog;
use platform_stub::client::expected_text;

use crate::observation::ClientRequest;
use crate::observation::JobObservation;
use crate::observation::Observation;
use crate::observation::RequestKind;
use crate::observation::RequestOutcome;
use crate::organisation_check::check_organisations;
use crate::organisations::Organisations;
use crate::plan::Fault;
use crate::timeline::MAX_STOP_MS;
use crate::timeline::Timeline;

/// A connection that ends within this time after a request was sent, in milliseconds, may have been
/// closed before the request arrived; the platform's `lost_ms`.
const CLOSE_RACE_MS: u64 = 200;
/// The longest time until a daemon applies a new configuration, in milliseconds; the settings'
/// `config_ms`.
pub const MAX_CONFIG_DELAY_MS: u64 = 2_000;
/// How long after the end of a job its items may still start, in milliseconds; the settings'
/// `cancel_ms`.
const MAX_CANCEL_DELAY_MS: u64 = 3_000;
/// How long after the first passed-on announcement a leaving replica may get requests, in
/// milliseconds; the settings' `drain_ms`.
const DRAIN_MS: u64 = 2_000;
/// The number of valid requests that may be denied in every run, and the number of requests of a
/// run that allows one further denial.
const ALLOWED_DENIALS: (usize, usize) = (5, 500);
/// The number of requests that may be cut on a reused connection while no fault is active.
const MAX_UNDISTURBED_CUTS: usize = 3;
/// The number of requests that may run at more replicas than their route allows.
const MAX_EXCESS_REQUESTS: usize = 3;
/// The number of replicas at which a request may run, as the routes of the platform stub say.
const MAX_REPLICAS_PER_REQUEST: usize = 2;
/// The share of its deadline after which the end of a request may be due to the deadline.
const DEADLINE_SHARE: f64 = 0.9;
/// The minimum share of the requests sent after the recovery time that must be served.
const MIN_RECOVERED_SHARE: f64 = 0.25;

/// The number of runs of a service after the recovery time from which a sound replica must have some.
const MIN_SERVICE_RUNS: usize = 100;

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the promise.
    pub promise: &'static str,
    /// A description of what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.detail)
    }
}

/// Everything that was recorded in one run.
pub struct Evidence<'a> {
    /// What clients observed.
    pub observation: &'a Observation,
    /// What replicas ran.
    pub run_log: &'a RunLog,
    /// The times of the faults.
    pub timeline: &'a Timeline,
    /// When the fleet must have recovered, in milliseconds of the run.
    pub recovered_ms: u64,
    /// The running replicas that showed a fault before.
    pub mended_replicas: &'a [String],
    /// The operator's changes to the organisations, if the run has organisations.
    pub organisations: Option<&'a Organisations>,
}

/// Returns the violations of all promises.
pub fn violations(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for request in &evidence.observation.requests {
        check_request(evidence, request, &mut found);
    }
    check_counts(evidence, &mut found);
    check_unrequested_runs(evidence, &mut found);
    check_drained_replicas(evidence, &mut found);
    check_leaving_replicas(evidence, &mut found);
    check_mended_replicas(evidence, &mut found);
    check_organisations(evidence, &mut found);
    check_routes(evidence, &mut found);
    for (id, job) in &evidence.observation.jobs {
        check_job(evidence, id, job, &mut found);
    }
    found
}

/// Adds a violation of a promise.
pub fn add_violation(found: &mut Vec<Violation>, promise: &'static str, detail: String) {
    found.push(Violation { promise, detail });
}

fn check_request(evidence: &Evidence<'_>, request: &ClientRequest, found: &mut Vec<Violation>) {
    let runs = evidence.run_log.runs_of(&request.id).len();
    let describe = |problem: &str| {
        format!(
            "{} ({:?}, daemon-{}, {}..{} ms, {:?}, {runs} runs) {problem}",
            request.id,
            request.kind,
            request.daemon,
            request.sent_ms,
            request.ended_ms,
            request.outcome
        )
    };
    if request.kind == RequestKind::Stream && runs > 1 {
        add_violation(found, "at most once", describe("ran again"));
    }
    match request.outcome {
        RequestOutcome::Answered { status: 200..300, is_own: false } => {
            add_violation(
                found,
                "whole and own answers",
                describe("got a wrong or incomplete answer"),
            );
        }
        RequestOutcome::Answered { status: 429 | 503 | 408 | 421, .. }
            if request.kind == RequestKind::Stream && runs > 0 =>
        {
            add_violation(found, "refused means not run", describe("was refused and ran"));
        }
        RequestOutcome::Cut
            if (runs > 0 || request.ended_ms > request.sent_ms + CLOSE_RACE_MS)
                && is_cut_by_planned_stop(evidence.timeline, request) =>
        {
            add_violation(found, "a planned stop cuts nothing", describe("was cut"));
        }
        RequestOutcome::Cut | RequestOutcome::Answered { status: 500..=502 | 504.., .. }
            if is_ended_beside_pause(evidence.timeline, request) =>
        {
            let problem = describe("ended although its replica would have gone on");
            add_violation(found, "a silent replica ends no answer", problem);
        }
        _ => {}
    }
}

/// Returns whether a request ended well before its deadline, and not because its connection was
/// closed before it arrived, while replicas that go on were silent and no other fault was active.
fn is_ended_beside_pause(timeline: &Timeline, request: &ClientRequest) -> bool {
    let took_ms = request.ended_ms - request.sent_ms;
    let deadline_ms = DEADLINE_SHARE * request.kind.deadline_ms() as f64;
    took_ms > CLOSE_RACE_MS
        && (took_ms as f64) < deadline_ms
        && timeline.is_undisturbed(request.sent_ms, request.ended_ms)
        && timeline.has_replica_pause(request.sent_ms, request.ended_ms)
}

/// Returns whether a request was cut during a stop or reload of its daemon, with no unplanned fault
/// active.
fn is_cut_by_planned_stop(timeline: &Timeline, request: &ClientRequest) -> bool {
    let is_stop_or_reload = |fault: Fault| match fault {
        Fault::Stop { daemon } | Fault::Reload { daemon } => daemon == request.daemon,
        _ => false,
    };
    let around = |from_ms: u64| (from_ms..from_ms + MAX_STOP_MS).contains(&request.ended_ms);
    timeline.has_only_planned_faults(request.sent_ms, request.ended_ms)
        && timeline.spans().iter().any(|span| is_stop_or_reload(span.fault) && around(span.from_ms))
}

fn check_counts(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let requests = &evidence.observation.requests;
    let is_denied = |request: &&ClientRequest| {
        matches!(request.outcome, RequestOutcome::Answered { status: 300..500, .. })
            && !matches!(request.outcome, RequestOutcome::Answered { status: 408 | 421 | 429, .. })
    };
    let denied = requests.iter().filter(is_denied).count();
    if denied > ALLOWED_DENIALS.0 + requests.len() / ALLOWED_DENIALS.1 {
        add_violation(
            found,
            "proper requests are allowed",
            format!("{denied} valid requests were denied"),
        );
    }
    let is_undisturbed_request = |request: &&ClientRequest| {
        evidence.timeline.is_undisturbed(request.sent_ms, request.ended_ms)
    };
    let is_lost = |request: &&ClientRequest| {
        request.is_connection_reused
            && request.outcome == RequestOutcome::Cut
            && !evidence.run_log.runs_of(&request.id).is_empty()
    };
    let lost: Vec<&str> = requests
        .iter()
        .filter(is_lost)
        .filter(is_undisturbed_request)
        .map(|request| request.id.as_str())
        .collect();
    if lost.len() > MAX_UNDISTURBED_CUTS {
        add_violation(
            found,
            "kept connections are not cut",
            format!("cut while no fault was active: {}", lost.join(" ")),
        );
    }
    let replicas = |request: &ClientRequest| {
        let runs = evidence.run_log.runs_of(&request.id).iter();
        runs.map(|run| run.replica.as_str()).collect::<BTreeSet<_>>().len()
    };
    let excess = requests.iter().filter(|request| replicas(request) > MAX_REPLICAS_PER_REQUEST);
    let excess: Vec<&str> =
        excess.filter(is_undisturbed_request).map(|request| request.id.as_str()).collect();
    if excess.len() > MAX_EXCESS_REQUESTS {
        add_violation(
            found,
            "attempts are bounded",
            format!("ran at too many replicas: {}", excess.join(" ")),
        );
    }
    let late_requests: Vec<&ClientRequest> =
        requests.iter().filter(|request| request.sent_ms > evidence.recovered_ms).collect();
    let served = late_requests
        .iter()
        .filter(|request| matches!(request.outcome, RequestOutcome::Answered { status: 200, .. }));
    let served = served.count();
    if late_requests.is_empty()
        || (served as f64) < MIN_RECOVERED_SHARE * late_requests.len() as f64
    {
        add_violation(
            found,
            "recovery",
            format!("{served} of {} requests served after the recovery time", late_requests.len()),
        );
    }
}

fn check_unrequested_runs(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let observation = evidence.observation;
    let mut requested: BTreeSet<&str> =
        observation.route_request_ids.iter().map(String::as_str).collect();
    requested.extend(observation.requests.iter().map(|request| request.id.as_str()));
    requested.extend(observation.key_requests.iter().map(|request| request.id.as_str()));
    requested
        .extend(observation.jobs.values().flat_map(|job| job.items.keys().map(String::as_str)));
    for id in evidence.run_log.ids().filter(|id| !requested.contains(id)) {
        add_violation(found, "only what was asked runs", format!("{id} ran"));
    }
}

fn check_drained_replicas(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    for arrival in &evidence.run_log.late_arrivals {
        if evidence.timeline.is_undisturbed(arrival.at_ms, arrival.at_ms) {
            let detail = format!("{} arrived at {} ms", arrival.id, arrival.at_ms);
            add_violation(found, "drained replicas get nothing", detail);
        }
    }
}

/// Checks that no daemon sent a request to a replica later than the drain period after it had
/// passed on an answer that announced the replica's leaving.
fn check_leaving_replicas(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let requests: BTreeMap<&str, &ClientRequest> = evidence
        .observation
        .requests
        .iter()
        .map(|request| (request.id.as_str(), request))
        .collect();
    let mut passed_on_ms: BTreeMap<(&str, usize), u64> = BTreeMap::new();
    for arrival in &evidence.run_log.leaving_arrivals {
        let Some(request) = requests.get(arrival.id.as_str()) else { continue };
        // A request that ran only there got its answer from there.
        let is_passed_on = matches!(request.outcome, RequestOutcome::Answered { status: 200, .. })
            && matches!(evidence.run_log.runs_of(&request.id),
                [run] if run.replica == arrival.replica);
        if is_passed_on {
            let known = passed_on_ms.entry((arrival.replica.as_str(), request.daemon));
            let known_ms = known.or_insert(request.ended_ms);
            *known_ms = request.ended_ms.min(*known_ms);
        }
    }
    for arrival in &evidence.run_log.leaving_arrivals {
        let Some(request) = requests.get(arrival.id.as_str()) else { continue };
        let known = passed_on_ms.get(&(arrival.replica.as_str(), request.daemon)).copied();
        let Some(known_ms) = known.filter(|ms| request.sent_ms > ms + DRAIN_MS) else { continue };
        if evidence.timeline.has_run_throughout(request.daemon, known_ms, arrival.at_ms) {
            let detail = format!(
                "{} was sent to daemon-{} at {} ms and reached {} at {} ms, known since {known_ms} ms",
                request.id, request.daemon, request.sent_ms, arrival.replica, arrival.at_ms
            );
            add_violation(found, "leaving replicas get nothing", detail);
        }
    }
}

/// Checks that replicas that showed a fault get requests again after the recovery time.
fn check_mended_replicas(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let late_runs: Vec<&str> = evidence
        .run_log
        .ids()
        .flat_map(|id| evidence.run_log.runs_of(id))
        .filter(|run| run.started_ms > evidence.recovered_ms)
        .map(|run| run.replica.as_str())
        .collect();
    let service = |replica: &str| replica.rsplit_once('-').map(|(service, _)| service.to_owned());
    for replica in evidence.mended_replicas {
        let is_same_service = |other: &&&str| service(other) == service(replica);
        let service_runs = late_runs.iter().filter(is_same_service).count();
        if service_runs >= MIN_SERVICE_RUNS && !late_runs.contains(&replica.as_str()) {
            let detail = format!("{replica} ran none of {service_runs} requests of its service");
            add_violation(found, "sound replicas are used again", detail);
        }
    }
}

fn check_routes(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let mut known_routes: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for query in &evidence.observation.route_queries {
        let newest = known_routes.entry((query.daemon, query.starts)).or_default();
        if query.is_known {
            *newest = (*newest).max(query.route + 1);
            continue;
        }
        let detail =
            format!("daemon-{} denied route {} at {} ms", query.daemon, query.route, query.sent_ms);
        if query.route < *newest {
            add_violation(found, "the configuration never goes back", detail);
        } else if query.sent_ms > query.added_ms + MAX_CONFIG_DELAY_MS
            && evidence.timeline.is_undisturbed(query.added_ms, query.ended_ms)
        {
            add_violation(found, "a configuration is in force in time", detail);
        }
    }
}

fn check_job(evidence: &Evidence<'_>, id: &str, job: &JobObservation, found: &mut Vec<Violation>) {
    for contradiction in &job.contradictions {
        add_violation(found, "results stay", format!("{id}: {contradiction}"));
    }
    let mut listed_ids = BTreeSet::new();
    for result in &job.results {
        let Some(events) = job.items.get(&result.id) else {
            add_violation(found, "own results", format!("{id} lists {}", result.id));
            continue;
        };
        if !listed_ids.insert(&result.id) {
            add_violation(found, "exactly once", format!("{id} lists {} twice", result.id));
        }
        let is_completed = result.state == "completed";
        if is_completed && result.text != expected_text(&result.id, *events) {
            add_violation(
                found,
                "whole results",
                format!("the result of {} of {id} is incomplete", result.id),
            );
        }
        if !is_completed && !job.is_end_requested {
            add_violation(
                found,
                "no item is given up",
                format!("{} of {id} is {}", result.id, result.state),
            );
        }
    }
    if job.accepted_ms.is_some() && !job.is_end_requested && listed_ids.len() < job.items.len() {
        let detail = format!("{id} has {} of {} results", listed_ids.len(), job.items.len());
        add_violation(found, "accepted items complete", detail);
    }
    let is_refused = |status: &u16| matches!(status, 429 | 503 | 408 | 421);
    if job.submit_statuses.iter().all(is_refused) {
        for item in job.items.keys().filter(|item| !evidence.run_log.runs_of(item).is_empty()) {
            add_violation(found, "refused means not run", format!("{item} of {id} ran"));
        }
    }
    if let Some(ended_ms) = job.ended_ms {
        check_end(evidence, id, job, ended_ms, found);
    }
}

fn check_end(
    evidence: &Evidence<'_>,
    id: &str,
    job: &JobObservation,
    ended_ms: u64,
    found: &mut Vec<Violation>,
) {
    for item in job.items.keys() {
        for run in evidence.run_log.runs_of(item) {
            if run.started_ms > ended_ms + MAX_CANCEL_DELAY_MS
                && evidence.timeline.is_undisturbed(ended_ms, run.started_ms)
            {
                let detail = format!(
                    "{item} of {id} ran {} ms after the end of the job",
                    run.started_ms - ended_ms
                );
                add_violation(found, "ended jobs stop", detail);
            }
        }
    }
}
