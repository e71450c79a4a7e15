//! The promises, checked against what clients and replicas saw.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use platform_stub::RunLog;
use platform_stub::client::whole_text;

use crate::observation::Ask;
use crate::observation::Attempt;
use crate::observation::JobSeen;
use crate::observation::Observation;
use crate::observation::Seen;
use crate::plan::Fault;
use crate::timeline::GRACE_MS;
use crate::timeline::Timeline;

/// A connection that ends sooner after a request may have crossed the close, in milliseconds; the
/// platform's `lost_ms`.
const LOST_MS: u64 = 200;
/// How long a daemon may take to know a new configuration, in milliseconds; the settings'
/// `config_ms`.
const CONFIG_MS: u64 = 2_000;
/// How long items of an ended job may still start, in milliseconds; the settings' `cancel_ms`.
const CANCEL_MS: u64 = 3_000;
/// Proper requests that may be denied, and one more for each so many.
const DENIED: (usize, usize) = (5, 500);
/// Requests that may be cut on a kept connection without any disturbance.
const CUT_IN_CALM: usize = 3;
/// Requests that may run at more replicas than their route allows.
const OVER_ATTEMPTS: usize = 3;
/// The replicas that a request may run at, as the stand-in's routes say.
const MAX_ATTEMPTS: usize = 2;
/// The part of requests that must be served when all is well again.
const RECOVERED_SHARE: f64 = 0.25;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// All that is known of one run.
pub struct Evidence<'a> {
    /// What clients saw.
    pub seen: &'a Observation,
    /// What replicas ran.
    pub log: &'a RunLog,
    /// What was disturbed.
    pub timeline: &'a Timeline,
    /// When all had to be well again, in milliseconds of the run.
    pub recovered_ms: u64,
}

/// Returns the promises that were broken.
pub fn violations(evidence: &Evidence<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for attempt in &evidence.seen.attempts {
        check_attempt(evidence, attempt, &mut found);
    }
    check_counts(evidence, &mut found);
    check_unasked(evidence, &mut found);
    check_draining(evidence, &mut found);
    check_routes(evidence, &mut found);
    for (id, job) in &evidence.seen.jobs {
        check_job(evidence, id, job, &mut found);
    }
    found
}

fn add(found: &mut Vec<Violation>, promise: &'static str, what: String) {
    found.push(Violation { promise, what });
}

fn check_attempt(evidence: &Evidence<'_>, attempt: &Attempt, found: &mut Vec<Violation>) {
    let runs = evidence.log.of(&attempt.id).len();
    let of = |what: &str| {
        format!(
            "{} ({:?}, daemon-{}, {}..{} ms, {:?}, {runs} runs) {what}",
            attempt.id,
            attempt.ask,
            attempt.daemon,
            attempt.sent_ms,
            attempt.ended_ms,
            attempt.seen
        )
    };
    if attempt.ask == Ask::Stream && runs > 1 {
        add(found, "at most once", of("ran again"));
    }
    match attempt.seen {
        Seen::Answered { status: 200..300, is_own: false } => {
            add(found, "whole and own answers", of("got another answer or a part"));
        }
        Seen::Answered { status: 429 | 503 | 408 | 421, .. }
            if attempt.ask == Ask::Stream && runs > 0 =>
        {
            add(found, "refused means not run", of("was refused and ran"));
        }
        Seen::Cut
            if (runs > 0 || attempt.ended_ms > attempt.sent_ms + LOST_MS)
                && is_cut_by_a_stop(evidence.timeline, attempt) =>
        {
            add(found, "a planned stop cuts nothing", of("was cut"));
        }
        _ => {}
    }
}

/// Returns whether a request that was cut met a stop or reload of its daemon and nothing else.
fn is_cut_by_a_stop(timeline: &Timeline, attempt: &Attempt) -> bool {
    let is_own = |fault: Fault| match fault {
        Fault::Stop { daemon } | Fault::Reload { daemon } => daemon == attempt.daemon,
        _ => false,
    };
    let around = |from_ms: u64| (from_ms..from_ms + GRACE_MS).contains(&attempt.ended_ms);
    timeline.is_only_planned(attempt.sent_ms, attempt.ended_ms)
        && timeline.spans().iter().any(|span| is_own(span.fault) && around(span.from_ms))
}

fn check_counts(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let attempts = &evidence.seen.attempts;
    let is_denied = |attempt: &&Attempt| {
        matches!(attempt.seen, Seen::Answered { status: 300..500, .. })
            && !matches!(attempt.seen, Seen::Answered { status: 408 | 421 | 429, .. })
    };
    let denied = attempts.iter().filter(is_denied).count();
    if denied > DENIED.0 + attempts.len() / DENIED.1 {
        add(found, "proper requests are allowed", format!("{denied} were denied"));
    }
    let calm = |attempt: &&Attempt| evidence.timeline.is_calm(attempt.sent_ms, attempt.ended_ms);
    let is_lost = |attempt: &&Attempt| {
        attempt.is_kept && attempt.seen == Seen::Cut && !evidence.log.of(&attempt.id).is_empty()
    };
    let lost: Vec<&str> =
        attempts.iter().filter(is_lost).filter(calm).map(|attempt| attempt.id.as_str()).collect();
    if lost.len() > CUT_IN_CALM {
        add(found, "kept connections are not cut", format!("cut in calm: {}", lost.join(" ")));
    }
    let replicas = |attempt: &Attempt| {
        let runs = evidence.log.of(&attempt.id).iter();
        runs.map(|run| run.replica.as_str()).collect::<BTreeSet<_>>().len()
    };
    let over = attempts.iter().filter(|attempt| replicas(attempt) > MAX_ATTEMPTS);
    let over: Vec<&str> = over.filter(calm).map(|attempt| attempt.id.as_str()).collect();
    if over.len() > OVER_ATTEMPTS {
        add(found, "attempts are bounded", format!("ran at too many replicas: {}", over.join(" ")));
    }
    let after: Vec<&Attempt> =
        attempts.iter().filter(|attempt| attempt.sent_ms > evidence.recovered_ms).collect();
    let served =
        after.iter().filter(|attempt| matches!(attempt.seen, Seen::Answered { status: 200, .. }));
    let served = served.count();
    if after.is_empty() || (served as f64) < RECOVERED_SHARE * after.len() as f64 {
        add(found, "recovery", format!("{served} of {} served at the end", after.len()));
    }
}

fn check_unasked(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let seen = evidence.seen;
    let mut asked: BTreeSet<&str> = seen.route_ids.iter().map(String::as_str).collect();
    asked.extend(seen.attempts.iter().map(|attempt| attempt.id.as_str()));
    asked.extend(seen.jobs.values().flat_map(|job| job.items.keys().map(String::as_str)));
    for id in evidence.log.ids().filter(|id| !asked.contains(id)) {
        add(found, "only what was asked runs", format!("{id} ran"));
    }
}

fn check_draining(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    for arrival in &evidence.log.late_arrivals {
        if evidence.timeline.is_calm(arrival.at_ms, arrival.at_ms) {
            let what = format!("{} came at {} ms", arrival.id, arrival.at_ms);
            add(found, "drained replicas get nothing", what);
        }
    }
}

fn check_routes(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let mut known: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for seen in &evidence.seen.routes {
        let newest = known.entry((seen.daemon, seen.life)).or_default();
        if seen.is_known {
            *newest = (*newest).max(seen.route + 1);
            continue;
        }
        let what =
            format!("daemon-{} denied route {} at {} ms", seen.daemon, seen.route, seen.sent_ms);
        if seen.route < *newest {
            add(found, "the configuration never goes back", what);
        } else if seen.sent_ms > seen.added_ms + CONFIG_MS
            && evidence.timeline.is_calm(seen.added_ms, seen.ended_ms)
        {
            add(found, "a configuration is in force in time", what);
        }
    }
}

fn check_job(evidence: &Evidence<'_>, id: &str, job: &JobSeen, found: &mut Vec<Violation>) {
    for contradiction in &job.contradictions {
        add(found, "results stay", format!("{id}: {contradiction}"));
    }
    let mut listed = BTreeSet::new();
    for result in &job.listed {
        let Some(events) = job.items.get(&result.id) else {
            add(found, "own results", format!("{id} lists {}", result.id));
            continue;
        };
        if !listed.insert(&result.id) {
            add(found, "exactly once", format!("{id} lists {} twice", result.id));
        }
        let is_completed = result.state == "completed";
        if is_completed && result.text != whole_text(&result.id, *events) {
            add(found, "whole results", format!("{} of {id} is not whole", result.id));
        }
        if !is_completed && !job.is_end_asked {
            add(found, "no item is given up", format!("{} of {id} is {}", result.id, result.state));
        }
    }
    if job.accepted_ms.is_some() && !job.is_end_asked && listed.len() < job.items.len() {
        let what = format!("{id} has {} of {} results", listed.len(), job.items.len());
        add(found, "accepted items complete", what);
    }
    let is_refused = |status: &u16| matches!(status, 429 | 503 | 408 | 421);
    if job.statuses.iter().all(is_refused) {
        for item in job.items.keys().filter(|item| !evidence.log.of(item).is_empty()) {
            add(found, "refused means not run", format!("{item} of {id} ran"));
        }
    }
    if let Some(ended_ms) = job.ended_ms {
        check_end(evidence, id, job, ended_ms, found);
    }
}

fn check_end(
    evidence: &Evidence<'_>,
    id: &str,
    job: &JobSeen,
    ended_ms: u64,
    found: &mut Vec<Violation>,
) {
    for item in job.items.keys() {
        for run in evidence.log.of(item) {
            if run.began_ms > ended_ms + CANCEL_MS
                && evidence.timeline.is_calm(ended_ms, run.began_ms)
            {
                let what = format!("{item} of {id} ran {} ms after", run.began_ms - ended_ms);
                add(found, "ended jobs stop", what);
            }
        }
    }
}
