//! Checks the promises of keys, organisations and quotas.

use std::collections::BTreeMap;

use crate::check::Evidence;
use crate::check::MAX_CONFIG_DELAY_MS;
use crate::check::Violation;
use crate::check::add_violation;
use crate::observation::KeyRequest;
use crate::observation::RequestOutcome;
use crate::organisations::LOWERED;
use crate::organisations::LOWERED_QUOTA;
use crate::organisations::Organisations;
use crate::organisations::QUOTA_WINDOW_MS;
use crate::organisations::UNKNOWN_KEY;
use crate::organisations::first_quota;

/// The status of a request with a key that the daemon doesn't know.
const UNAUTHORIZED: u16 = 401;
/// The steps in which a period without faults is searched, in milliseconds.
const SEARCH_STEP_MS: u64 = 100;

/// Adds the violations of all promises of organisations.
pub fn check_organisations(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    check_replicas(evidence, found);
    let Some(organisations) = evidence.organisations else { return };
    check_valid_keys(evidence, found);
    let mut denied_ms = BTreeMap::new();
    for request in &evidence.observation.key_requests {
        check_key_request(evidence, organisations, request, found);
        check_order(request, &mut denied_ms, found);
    }
    check_quotas(evidence, organisations, found);
}

/// Checks that replicas got no key and only requests of the organisation that sent them.
fn check_replicas(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    for id in &evidence.run_log.credential_arrivals {
        add_violation(found, "no key reaches a replica", format!("{id} reached one with a key"));
    }
    for id in evidence.run_log.ids() {
        let expected = evidence.observation.organisations.get(id).copied();
        for run in evidence.run_log.runs_of(id) {
            if run.organisation.as_deref() != expected {
                let detail = format!(
                    "{id} of {expected:?} ran at {} for {:?}",
                    run.replica, run.organisation
                );
                add_violation(found, "no wrong organisation reaches a replica", detail);
            }
        }
    }
}

/// Checks that no daemon denies a key that all versions of the configuration have.
fn check_valid_keys(evidence: &Evidence<'_>, found: &mut Vec<Violation>) {
    let is_denied =
        |outcome| matches!(outcome, RequestOutcome::Answered { status: UNAUTHORIZED, .. });
    let requests = evidence.observation.requests.iter();
    let requests = requests.filter(|request| is_denied(request.outcome));
    let mut denied: Vec<&str> = requests.map(|request| request.id.as_str()).collect();
    let jobs = evidence.observation.jobs.iter();
    let jobs = jobs.filter(|(_, job)| job.submit_statuses.contains(&UNAUTHORIZED));
    denied.extend(jobs.map(|(id, _)| id.as_str()));
    for id in denied {
        add_violation(found, "valid keys are accepted", format!("{id} was denied"));
    }
}

fn check_key_request(
    evidence: &Evidence<'_>,
    organisations: &Organisations,
    request: &KeyRequest,
    found: &mut Vec<Violation>,
) {
    let has_run = !evidence.run_log.runs_of(&request.id).is_empty();
    let describe = |problem: &str| {
        format!(
            "{} with {} (daemon-{}, {}..{} ms, status {}) {problem}",
            request.id,
            request.key,
            request.daemon,
            request.sent_ms,
            request.ended_ms,
            request.status
        )
    };
    if request.key == UNKNOWN_KEY {
        if has_run || request.status == 200 {
            add_violation(found, "unknown keys run nothing", describe("was accepted"));
        }
        return;
    }
    let revoked_ms = organisations.revoked_ms.get(&request.key).copied();
    if request.status == UNAUTHORIZED && revoked_ms.is_none_or(|ms| ms > request.ended_ms) {
        add_violation(found, "valid keys are accepted", describe("was denied"));
    }
    // A plain request that is refused with 503 at its second attempt may have run at its first one.
    if matches!(request.status, 429 | UNAUTHORIZED) && has_run {
        add_violation(found, "refused means not run", describe("was refused and ran"));
    }
    let Some(revoked_ms) = revoked_ms else { return };
    let is_late = request.sent_ms > revoked_ms + MAX_CONFIG_DELAY_MS
        && evidence.timeline.is_undisturbed(revoked_ms, request.ended_ms);
    if is_late && (has_run || request.status == 200) {
        let problem = describe(&format!("was accepted, revoked at {revoked_ms} ms"));
        add_violation(found, "a revoked key stops working", problem);
    }
}

/// Checks that a daemon that has denied a key does not accept it again until it restarts.
fn check_order<'a>(
    request: &'a KeyRequest,
    denied_ms: &mut BTreeMap<(usize, u32, &'a str), u64>,
    found: &mut Vec<Violation>,
) {
    let Some(starts) = request.starts else { return };
    let source = (request.daemon, starts, request.key.as_str());
    if request.status == UNAUTHORIZED {
        denied_ms.entry(source).or_insert(request.ended_ms);
    }
    let first_ms = denied_ms.get(&source).copied();
    if request.status == 200 && first_ms.is_some_and(|first_ms| request.sent_ms > first_ms) {
        let detail =
            format!("{} was accepted at {} ms after a denial", request.id, request.sent_ms);
        add_violation(found, "the configuration never goes back", detail);
    }
}

/// Checks that in no window more requests of an organisation were both sent and run than its quota
/// allows.
fn check_quotas(
    evidence: &Evidence<'_>,
    organisations: &Organisations,
    found: &mut Vec<Violation>,
) {
    let lowered_ms = lowered_from_ms(evidence, organisations);
    for (organisation, runs) in runs_by_organisation(evidence) {
        let Some(first) = first_quota(organisation) else { continue };
        let quota_at = |from_ms: u64| match lowered_ms {
            Some(lowered_ms) if organisation == LOWERED && from_ms >= lowered_ms => LOWERED_QUOTA,
            _ => first,
        };
        let count_from = |from_ms: u64| {
            let until_ms = from_ms + QUOTA_WINDOW_MS;
            runs.iter()
                .filter(|(sent_ms, ran_ms)| *sent_ms >= from_ms && *ran_ms <= until_ms)
                .count()
        };
        let worst = runs
            .iter()
            .map(|(from_ms, _)| (count_from(*from_ms), *from_ms))
            .filter(|(count, from_ms)| *count as f64 > quota_at(*from_ms).max_in_window())
            .max();
        if let Some((count, from_ms)) = worst {
            let detail = format!(
                "{count} requests of {organisation} in the window from {from_ms} ms, at most {}",
                quota_at(from_ms).max_in_window()
            );
            add_violation(found, "quotas hold in each window", detail);
        }
    }
}

/// Returns the times of sending and of the first run of all online requests that ran, by organisation.
fn runs_by_organisation<'a>(evidence: &Evidence<'a>) -> BTreeMap<&'a str, Vec<(u64, u64)>> {
    let observation = evidence.observation;
    let requests = observation.requests.iter().map(|request| (&request.id, request.sent_ms));
    let key_requests =
        observation.key_requests.iter().map(|request| (&request.id, request.sent_ms));
    let mut runs: BTreeMap<&str, Vec<(u64, u64)>> = BTreeMap::new();
    for (id, sent_ms) in requests.chain(key_requests) {
        let organisation = observation.organisations.get(id).copied();
        let first_run = evidence.run_log.runs_of(id).first();
        if let (Some(organisation), Some(run)) = (organisation, first_run) {
            runs.entry(organisation).or_default().push((sent_ms, run.started_ms));
        }
    }
    runs
}

/// Returns the start of the first window in which the lowered quota binds: one window after all
/// daemons have got it, which needs `MAX_CONFIG_DELAY_MS` without faults.
fn lowered_from_ms(evidence: &Evidence<'_>, organisations: &Organisations) -> Option<u64> {
    let lowered_ms = organisations.lowered_ms?;
    let is_received =
        |from_ms: &u64| evidence.timeline.is_undisturbed(*from_ms, from_ms + MAX_CONFIG_DELAY_MS);
    let mut candidates_ms =
        (lowered_ms..=evidence.recovered_ms.max(lowered_ms)).step_by(SEARCH_STEP_MS as usize);
    Some(candidates_ms.find(is_received)? + MAX_CONFIG_DELAY_MS + QUOTA_WINDOW_MS)
}
