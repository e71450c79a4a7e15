//! Tests daemon processes while one part of a prompt, or one request, crashes replicas.

mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use http::header::RETRY_AFTER;
use platform_stub::Client;
use platform_stub::client::ItemResult;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::expected_text;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::CRASHING_BODY;
use platform_stub::replica::CRASHING_PART;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// How long replicas are down after a crash.
const DOWNTIME: Duration = Duration::from_millis(400);
/// The number of crashes and the time after the last of them within which the part must be known.
const KNOWN_CRASHES: usize = 5;
/// The number of crashes within which a request that crashes replicas must be known.
const KNOWN_REQUEST_CRASHES: usize = 3;
const CONTACT_MS: u64 = 3_000;
/// The most requests with the part that may reach replicas after that time.
const MAX_LATE_RUNS: usize = 3;
/// The parts that the crashing request shares with sound ones.
const SHARED_PARTS: &str = "a1:10,a2:10";
/// The number of events of each stream.
const EVENTS: u64 = 10;

/// Sends pairs of a crashing and a sound request, which share the first part, for `period`, to all
/// daemons in turn; returns which of the sound ones were served, with the time of their sending.
async fn send_pairs(fleet: &Fleet, name: &str, period: Duration) -> Vec<(u64, bool)> {
    let deadline = Instant::now() + period;
    let mut sound = Vec::new();
    for number in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let daemon = fleet.ingress(number % fleet.daemons.len());
        let crashing_id = format!("{name}-bad-{number}");
        let prefix = if number % 2 == 0 { STREAM } else { RESUMABLE };
        let crashing = OutgoingRequest::stream(prefix, &crashing_id, EVENTS)
            .with_prompt_prefix(&format!("a1:10,{CRASHING_PART}:10,b{number:x}:5"));
        let id = format!("{name}-sound-{number}");
        let request = OutgoingRequest::stream(RESUMABLE, &id, EVENTS)
            .with_prompt_prefix(&format!("a1:10,a2:10,c{number:x}:5"));
        let sent_ms = fleet.deployment.started.elapsed().as_millis() as u64;
        let (_, answer) =
            tokio::join!(Client.call(daemon, &crashing), Client.call(daemon, &request));
        let is_served = answer.is_ok_and(|answer| {
            answer.status == StatusCode::OK && is_complete_stream(&id, EVENTS, &answer.body)
        });
        sound.push((sent_ms, is_served));
        sleep(Duration::from_millis(40)).await;
    }
    sound
}

/// Returns the time from which on the part must be known, and the number of runs of the requests
/// whose ids contain `infix` that started later.
fn late_runs(fleet: &Fleet, infix: &str) -> (u64, usize) {
    late_runs_after(fleet, infix, KNOWN_CRASHES)
}

fn late_runs_after(fleet: &Fleet, infix: &str, known_crashes: usize) -> (u64, usize) {
    let log = fleet.deployment.log.borrow();
    let last = log.crashes.iter().take(known_crashes).next_back().expect("a replica crashed");
    let known_ms = last.at_ms + CONTACT_MS;
    let runs = log.ids().filter(|id| id.contains(infix)).flat_map(|id| log.runs_of(id));
    (known_ms, runs.filter(|run| run.started_ms > known_ms).count())
}

#[test]
fn requests_with_crashing_part_stop_and_sound_ones_are_served() {
    run_local("quarantine", |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        let sound = send_pairs(&fleet, "q", Duration::from_secs(16)).await;
        let (known_ms, late) = late_runs(&fleet, "-bad-");
        assert!(late <= MAX_LATE_RUNS, "{late} requests with the part reached replicas later");
        let late_sound: Vec<bool> = sound
            .iter()
            .filter(|(sent_ms, _)| *sent_ms > known_ms + CONTACT_MS)
            .map(|(_, is_served)| *is_served)
            .collect();
        assert!(late_sound.len() >= 20, "{} sound requests came late enough", late_sound.len());
        let served = late_sound.iter().filter(|is_served| **is_served).count();
        assert_eq!(served, late_sound.len(), "sound requests with the same first part");
    });
}

#[test]
fn restarted_daemon_refuses_part_that_is_quarantined_elsewhere() {
    run_local("quarantine-restart", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        send_pairs(&fleet, "r", Duration::from_secs(6)).await;
        fleet.daemons[0].kill().expect("the daemon is killed");
        fleet.daemons[0].restart().expect("the daemon starts");
        assert!(fleet.daemons[0].wait_until_ready(Duration::from_secs(10)).await);
        sleep(Duration::from_millis(CONTACT_MS)).await;
        send_pairs(&fleet, "s", Duration::from_secs(2)).await;
        let late: usize = (0..100).map(|number| fleet.runs(&format!("s-bad-{number}"))).sum();
        assert!(late <= MAX_LATE_RUNS, "{late} requests with the part reached replicas later");
    });
}

/// Returns a job of 12 items, the first `bad` of which hold the crashing part.
fn job_with_crashing_part(name: &str, bad: usize) -> Vec<NewItem> {
    items(name, 12, EVENTS)
        .into_iter()
        .enumerate()
        .map(|(number, item)| {
            let part = if number < bad { CRASHING_PART } else { "a2" };
            let id = if number < bad { format!("{name}-bad-{number}") } else { item.id };
            let prompt_prefix = Some(format!("a1:10,{part}:10,d{number:x}:5"));
            NewItem { id, prompt_prefix, ..item }
        })
        .collect()
}

#[test]
fn items_with_crashing_part_wait_and_other_items_are_run() {
    run_local("quarantine-items", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        let job = job_with_crashing_part("j", 4);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "j", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), "j", Duration::from_secs(12)).await;
        let is_sound = |result: &ItemResult| result.text == expected_text(&result.id, EVENTS);
        assert_eq!(results.iter().filter(|result| is_sound(result)).count(), 8);
        let (_, late) = late_runs(&fleet, "-bad-");
        assert!(late <= MAX_LATE_RUNS, "{late} items with the part reached replicas later");
    });
}

#[test]
fn job_with_quarantined_part_is_refused_and_none_of_its_items_runs() {
    run_local("quarantine-job", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        let first = job_with_crashing_part("j", 4);
        let submit = async |daemon: usize, name: &str, job: &[NewItem]| {
            Client.submit_job(fleet.ingress(daemon), JOBS, name, job).await.expect("an answer")
        };
        assert_eq!(submit(0, "j", &first).await.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(CONTACT_MS)).await;
        for daemon in 0..2 {
            let name = format!("k{daemon}");
            let answer = submit(daemon, &name, &job_with_crashing_part(&name, 1)).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "daemon {daemon}");
            assert!(answer.headers.contains_key(RETRY_AFTER));
            let message = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(message.contains(&format!("{name}-bad-0")), "{message}");
            assert!(message.contains(CRASHING_PART) && message.contains("not run"), "{message}");
            assert_eq!(submit(daemon, "j", &first).await.status, StatusCode::ACCEPTED, "a repeat");
        }
        sleep(Duration::from_secs(1)).await;
        let log = fleet.deployment.log.borrow();
        assert_eq!(log.ids().filter(|id| id.starts_with('k')).count(), 0, "items of refused jobs");
    });
}

#[test]
fn held_items_of_every_daemon_are_tried_again_within_the_budget() {
    run_local("quarantine-trials", |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        let names = ["j0", "j1", "j2"];
        for (daemon, name) in names.iter().enumerate() {
            let job = job_with_crashing_part(name, 2);
            let accepted = Client.submit_job(fleet.ingress(daemon), JOBS, name, &job).await;
            assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        }
        sleep(Duration::from_secs(10)).await;
        let (_, late) = late_runs(&fleet, "-bad-");
        assert!(late <= MAX_LATE_RUNS, "{late} items with the part reached replicas later");
        let log = fleet.deployment.log.borrow();
        let third_ms = log.crashes[2].at_ms;
        let tried = log.crashes.iter().filter(|crash| crash.at_ms > third_ms + 2_000).count();
        assert!(tried > 0, "no held item was tried");
    });
}

/// Sends the crashing request again and again, by turns to all daemons, beside sound requests that
/// share the given parts with it, if any; returns which of the sound ones were served, with the
/// time of their sending.
async fn repeat_crashing_request(
    fleet: &Fleet,
    name: &str,
    prefix: &'static str,
    shared: Option<&str>,
    period: Duration,
) -> Vec<(u64, bool)> {
    let deadline = Instant::now() + period;
    let mut sound = Vec::new();
    for number in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        let daemon = fleet.ingress(number % fleet.daemons.len());
        let mut crashing = new_request(prefix, &format!("{name}-bad-{number}"))
            .with_content(&format!("{prefix}again"), CRASHING_BODY);
        let id = format!("{name}-sound-{number}");
        let mut request = new_request(prefix, &id);
        if let Some(shared) = shared {
            crashing = crashing.with_prompt_prefix(&format!("{shared},bad:5"));
            request = request.with_prompt_prefix(&format!("{shared},c{number:x}:5"));
        }
        let sent_ms = fleet.deployment.started.elapsed().as_millis() as u64;
        let (_, answer) =
            tokio::join!(Client.call(daemon, &crashing), Client.call(daemon, &request));
        sound.push((sent_ms, answer.is_ok_and(|answer| answer.status == StatusCode::OK)));
        sleep(Duration::from_millis(40)).await;
    }
    sound
}

fn new_request(prefix: &str, id: &str) -> OutgoingRequest {
    if prefix == LOOKUP {
        return OutgoingRequest::lookup(prefix, id);
    }
    OutgoingRequest::stream(prefix, id, EVENTS)
}

fn assert_crashing_request_is_refused(
    name: &'static str,
    prefix: &'static str,
    shared: Option<&'static str>,
) {
    run_local(name, move |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        let period = Duration::from_secs(10);
        let sound = repeat_crashing_request(&fleet, name, prefix, shared, period).await;
        let (known_ms, late) = late_runs_after(&fleet, "-bad-", KNOWN_REQUEST_CRASHES);
        assert!(late <= MAX_LATE_RUNS, "the request reached replicas {late} times later");
        let late_sound = sound.iter().filter(|(sent_ms, _)| *sent_ms > known_ms);
        let late_sound: Vec<bool> = late_sound.map(|(_, is_served)| *is_served).collect();
        assert!(late_sound.len() >= 20, "{} sound requests came late enough", late_sound.len());
        let served = late_sound.iter().filter(|is_served| **is_served).count();
        assert_eq!(served, late_sound.len(), "sound requests with the same parts");
    });
}

#[test]
fn crashing_stream_that_comes_again_is_refused() {
    assert_crashing_request_is_refused("request-stream", STREAM, Some(SHARED_PARTS));
}

#[test]
fn crashing_resumable_stream_that_comes_again_is_refused() {
    assert_crashing_request_is_refused("request-resumable", RESUMABLE, Some(SHARED_PARTS));
}

#[test]
fn crashing_plain_request_that_comes_again_is_refused() {
    assert_crashing_request_is_refused("request-plain", LOOKUP, Some(SHARED_PARTS));
}

#[test]
fn crashing_request_without_prompt_parts_is_refused() {
    assert_crashing_request_is_refused("request-no-parts", LOOKUP, None);
}

#[test]
fn sound_request_is_served_although_its_parts_came_only_with_crashing_request() {
    run_local("request-parts", |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        fleet.deployment.restart_crashed_replicas(DOWNTIME);
        for number in 0..9 {
            let crashing = OutgoingRequest::stream(RESUMABLE, &format!("p-bad-{number}"), EVENTS)
                .with_prompt_prefix("e1:10,e2:10,bad:5")
                .with_content(&format!("{RESUMABLE}again"), CRASHING_BODY);
            let _ = Client.call(fleet.ingress(number % 3), &crashing).await;
            sleep(DOWNTIME).await;
        }
        assert!(fleet.deployment.log.borrow().crashes.len() >= KNOWN_REQUEST_CRASHES);
        for number in 0..30 {
            let id = format!("p-sound-{number}");
            let request = OutgoingRequest::stream(RESUMABLE, &id, EVENTS)
                .with_prompt_prefix(&format!("e1:10,e2:10,c{number:x}:5"));
            let answer = Client.call(fleet.ingress(number % 3), &request).await;
            assert_eq!(answer.map(|answer| answer.status), Ok(StatusCode::OK));
        }
    });
}
