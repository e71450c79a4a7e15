//! Tests that the quota of an organisation holds over several daemon processes, of which one is killed
//! and restarted, or paused.

#[expect(dead_code, reason = "the helpers for jobs are not used here")]
mod platform_fleet;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http::header::RETRY_AFTER;
use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::LOOKUP;
use rustix::process::Signal;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::run_local;

const DAEMONS: usize = 3;
const KEY: &str = "key-small";
const RATE_PER_S: u64 = 4;
const BURST: u64 = 4;
const WINDOW_MS: u64 = 5_000;
/// The most requests in a window: (rate x 5 + burst) x 1.1 + 20.
const BOUND: f64 = (RATE_PER_S * 5 + BURST) as f64 * 1.1 + 20.0;
/// The time between two requests of the client, which together are ten times the quota.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The requests that clients sent.
#[derive(Default)]
struct Sent {
    /// The ids with the times, in milliseconds since the start of the deployment.
    times: Vec<(String, u64)>,
    refused: usize,
    refused_without_time: usize,
}

async fn start(folder: std::path::PathBuf) -> Fleet {
    let fleet = Fleet::start(folder, DAEMONS as u8).await;
    fleet.deployment.set_organisations(json!([{
        "name": "small", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST,
    }]));
    // The configuration reaches the daemons and the owners are elected.
    sleep(Duration::from_millis(3_500)).await;
    fleet
}

/// Sends requests to all daemons in turn until the task is aborted.
fn send_requests(fleet: &Fleet, sent: &Rc<RefCell<Sent>>) -> JoinHandle<()> {
    let (deployment, sent) = (fleet.deployment.clone(), sent.clone());
    let daemons: Vec<_> = (0..DAEMONS).map(|daemon| fleet.ingress(daemon)).collect();
    spawn_local(async move {
        for (number, daemon) in daemons.iter().cycle().copied().enumerate() {
            let id = format!("r-{number}");
            let sent_ms = deployment.started.elapsed().as_millis() as u64;
            sent.borrow_mut().times.push((id.clone(), sent_ms));
            let sent = sent.clone();
            spawn_local(async move {
                let request = OutgoingRequest::lookup(LOOKUP, &id).with_key(KEY);
                let Ok(answer) = Client.call(daemon, &request).await else { return };
                if answer.status == StatusCode::TOO_MANY_REQUESTS {
                    let mut sent = sent.borrow_mut();
                    sent.refused += 1;
                    sent.refused_without_time +=
                        usize::from(!answer.headers.contains_key(RETRY_AFTER));
                }
            });
            sleep(REQUEST_INTERVAL).await;
        }
    })
}

/// Returns the times of sending and of the first run of the requests that ran.
fn runs(fleet: &Fleet, sent: &Sent) -> Vec<(u64, u64)> {
    let log = fleet.deployment.log.borrow();
    let run = |(id, sent_ms): &(String, u64)| {
        log.runs_of(id).first().map(|run| (*sent_ms, run.started_ms))
    };
    sent.times.iter().filter_map(run).collect()
}

/// Panics if a window has more requests that were sent and ran in it than the limit allows.
fn check_limit(runs: &[(u64, u64)]) {
    let mut highest = 0;
    for (from_ms, _) in runs {
        let until_ms = from_ms + WINDOW_MS;
        let is_inside = |(sent_ms, ran_ms): &&(u64, u64)| sent_ms >= from_ms && *ran_ms <= until_ms;
        let count = runs.iter().filter(is_inside).count();
        assert!(count as f64 <= BOUND, "{count} requests from {from_ms} ms");
        highest = highest.max(count);
    }
    println!("the fullest window has {highest} of {BOUND} requests");
}

fn count_between(runs: &[(u64, u64)], from_ms: u64, until_ms: u64) -> u64 {
    runs.iter().filter(|(sent_ms, _)| (from_ms..until_ms).contains(sent_ms)).count() as u64
}

fn now_ms(fleet: &Fleet) -> u64 {
    fleet.deployment.started.elapsed().as_millis() as u64
}

#[test]
fn quota_holds_while_daemons_are_killed_and_restarted() {
    run_local("quota-kill", |folder| async move {
        let mut fleet = start(folder).await;
        let sent = Rc::new(RefCell::new(Sent::default()));
        let sending = send_requests(&fleet, &sent);
        let calm_from_ms = now_ms(&fleet);
        sleep(Duration::from_secs(5)).await;
        let calm_until_ms = now_ms(&fleet);
        for daemon in 0..DAEMONS {
            fleet.daemons[daemon].kill().expect("the daemon is killed");
            sleep(Duration::from_millis(500)).await;
            fleet.daemons[daemon].restart().expect("the daemon is started again");
            sleep(Duration::from_millis(2_000)).await;
        }
        sleep(Duration::from_secs(4)).await;
        let late_from_ms = now_ms(&fleet);
        sleep(Duration::from_secs(4)).await;
        let late_until_ms = now_ms(&fleet);
        sending.abort();
        sleep(Duration::from_millis(500)).await;
        let runs = runs(&fleet, &sent.borrow());
        check_limit(&runs);
        let calm = count_between(&runs, calm_from_ms, calm_until_ms);
        assert!(calm >= RATE_PER_S * 5 * 9 / 10, "{calm} requests ran in 5 s without faults");
        let late = count_between(&runs, late_from_ms, late_until_ms);
        assert!(late >= RATE_PER_S * 4 * 8 / 10, "{late} requests ran in 4 s after the restarts");
        assert!(sent.borrow().refused > 0, "nothing was refused");
        assert_eq!(sent.borrow().refused_without_time, 0, "refusals without a time to retry");
    });
}

#[test]
fn quota_holds_while_daemons_are_paused_and_continued() {
    run_local("quota-pause", |folder| async move {
        let mut fleet = start(folder).await;
        let sent = Rc::new(RefCell::new(Sent::default()));
        let sending = send_requests(&fleet, &sent);
        sleep(Duration::from_secs(2)).await;
        for daemon in 0..DAEMONS {
            fleet.daemons[daemon].signal(Signal::STOP).expect("the daemon is paused");
            sleep(Duration::from_millis(3_500)).await;
            fleet.daemons[daemon].signal(Signal::CONT).expect("the daemon is continued");
            sleep(Duration::from_millis(500)).await;
        }
        sleep(Duration::from_secs(3)).await;
        sending.abort();
        sleep(Duration::from_millis(500)).await;
        let runs = runs(&fleet, &sent.borrow());
        check_limit(&runs);
        assert!(runs.len() as u64 >= RATE_PER_S * 8, "only {} requests ran", runs.len());
    });
}
