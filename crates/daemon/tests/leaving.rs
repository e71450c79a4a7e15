//! Tests daemon processes with replicas whose answers announce that they leave, while their records
//! in the store say that they are ready.

mod platform_fleet;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use http::header::RETRY_AFTER;
use platform_stub::Client;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::DRAIN_PERIOD;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaFault;
use platform_stub::replica::ReplicaSettings;
use platform_stub::run_log::LeavingArrival;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// Longer than a check needs to see requests after the drain period.
const TRAFFIC_TIME: Duration = Duration::from_millis(3_500);
/// The longest time in which a request that no replica may get is refused.
const AT_ONCE: Duration = Duration::from_millis(500);

fn set_leaving(fleet: &Fleet, names: &[&str]) {
    for name in names {
        fleet.deployment.replica(name).expect("the replica runs").is_leaving.set(true);
    }
}

fn arrivals_at(fleet: &Fleet, replica: &str) -> Vec<LeavingArrival> {
    let log = fleet.deployment.log.borrow();
    log.leaving_arrivals.iter().filter(|arrival| arrival.replica == replica).cloned().collect()
}

/// Returns when a leaving replica got its first request or first announced that it leaves.
///
/// The announcement may come before any arrival, with the answer to a request that was running when the
/// replica began to leave.
fn leaving_since_ms(fleet: &Fleet, replica: &str) -> u64 {
    let arrived_ms = arrivals_at(fleet, replica).first().map(|arrival| arrival.at_ms);
    let log = fleet.deployment.log.borrow();
    let announced_ms = log.first_announcements_ms.get(replica).copied();
    let since_ms = arrived_ms.into_iter().chain(announced_ms).min();
    since_ms.expect("the replica announced that it leaves")
}

/// Asserts that a replica announced that it leaves, and that no request reached it later than the drain
/// period after that.
fn assert_drained(fleet: &Fleet, replica: &str) {
    let arrivals = arrivals_at(fleet, replica);
    let drained_ms = leaving_since_ms(fleet, replica) + DRAIN_PERIOD.as_millis() as u64;
    let late: Vec<&LeavingArrival> =
        arrivals.iter().filter(|arrival| arrival.at_ms > drained_ms).collect();
    assert!(late.is_empty(), "{} late requests, the first is {:?}", late.len(), late[0]);
}

/// Sends streams to a daemon until one reaches a replica.
async fn stream_until_arrival(fleet: &Fleet, replica: &str) {
    for number in 0..200 {
        let id = format!("until-{replica}-{number}");
        Client.stream(fleet.ingress(0), STREAM, &id, 2).await.expect("an answer");
        if !arrivals_at(fleet, replica).is_empty() {
            return;
        }
    }
    panic!("no stream reached {replica}");
}

#[test]
fn online_requests_stop_after_a_replica_announced_its_leaving() {
    run_local("leave-online", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        set_leaving(&fleet, &["engine-0", "plain-0"]);
        let deadline = Instant::now() + TRAFFIC_TIME;
        let mut number = 0;
        while Instant::now() < deadline {
            let daemon = fleet.ingress(number / 2 % 2);
            let id = format!("o{number}");
            let answer = match number % 2 {
                0 => Client.stream(daemon, STREAM, &id, 4).await,
                _ => Client.lookup(daemon, LOOKUP, &id).await,
            };
            assert_eq!(answer.expect("an answer").status, StatusCode::OK);
            number += 1;
        }
        assert_drained(&fleet, "engine-0");
        assert_drained(&fleet, "plain-0");
    });
}

#[test]
fn peers_of_a_daemon_that_heard_the_announcement_send_nothing_more() {
    run_local("leave-peers", |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        set_leaving(&fleet, &["engine-0"]);
        stream_until_arrival(&fleet, "engine-0").await;
        sleep(Duration::from_millis(400)).await;
        for number in 0..60 {
            let id = format!("peer-{number}");
            let answer = Client.stream(fleet.ingress(1 + number % 2), STREAM, &id, 2).await;
            assert_eq!(answer.expect("an answer").status, StatusCode::OK);
        }
        let arrivals = arrivals_at(&fleet, "engine-0");
        let from_peers = arrivals.iter().filter(|arrival| arrival.id.starts_with("peer-")).count();
        assert_eq!(from_peers, 0);
    });
}

#[test]
fn items_stop_after_a_replica_announced_its_leaving() {
    run_local("leave-items", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let job = items("j", 150, 120);
        let accepted = Client.submit_job(fleet.ingress(0), JOBS, "j", &job).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(300)).await;
        set_leaving(&fleet, &["engine-0"]);
        let results = read_all_results(fleet.ingress(1), "j", Duration::from_secs(30)).await;
        assert_eq!(results.len(), job.len());
        assert!(results.iter().all(|result| result.state == "completed"));
        let log = fleet.deployment.log.borrow();
        let last_start_ms =
            job.iter().flat_map(|item| log.runs_of(&item.id)).map(|run| run.started_ms).max();
        drop(log);
        let drained_ms = leaving_since_ms(&fleet, "engine-0") + DRAIN_PERIOD.as_millis() as u64;
        assert!(last_start_ms > Some(drained_ms), "all items had started within the drain period");
        assert_drained(&fleet, "engine-0");
    });
}

#[test]
fn stream_is_not_resumed_at_a_replica_that_announced_its_leaving() {
    run_local("leave-resume", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        set_leaving(&fleet, &["engine-0"]);
        stream_until_arrival(&fleet, "engine-0").await;
        let before = arrivals_at(&fleet, "engine-0").len();
        let breaking = fleet.deployment.replica("engine-1").expect("the replica runs");
        breaking.fault.set(ReplicaFault::AbortsStreams);
        let mut resumed = 0;
        for number in 0..20 {
            let id = format!("r{number}");
            let answer = Client.stream(fleet.ingress(0), RESUMABLE, &id, 12).await;
            let is_whole = answer.is_ok_and(|answer| is_complete_stream(&id, 12, &answer.body));
            assert!(is_whole, "the stream of {id} is incomplete");
            resumed += usize::from(fleet.runs(&id) > 1);
        }
        assert!(resumed > 0, "no stream was resumed");
        assert_eq!(arrivals_at(&fleet, "engine-0").len(), before);
    });
}

#[test]
fn requests_that_wait_for_a_slot_avoid_a_replica_that_announced_its_leaving() {
    run_local("leave-waiting", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let is_over = Rc::new(Cell::new(false));
        let clients: Vec<_> = (0..60)
            .map(|client| {
                let (daemon, is_over) = (fleet.ingress(client % 2), is_over.clone());
                spawn_local(async move {
                    let mut served = 0;
                    for number in 0.. {
                        if is_over.get() {
                            break;
                        }
                        let id = format!("w{client}-{number}");
                        let answer = Client.stream(daemon, STREAM, &id, 30).await;
                        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
                    }
                    served
                })
            })
            .collect();
        sleep(Duration::from_millis(800)).await;
        set_leaving(&fleet, &["engine-0"]);
        sleep(TRAFFIC_TIME).await;
        is_over.set(true);
        let mut served = 0;
        for client in clients {
            served += client.await.expect("the task ends");
        }
        assert!(served > 100, "{served} requests were served");
        assert_drained(&fleet, "engine-0");
    });
}

#[test]
fn requests_are_refused_at_once_when_all_replicas_leave() {
    run_local("leave-all", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let names = ["engine-0", "engine-1", "engine-2", "plain-0", "plain-1"];
        set_leaving(&fleet, &names);
        for number in 0..30 {
            let stream = Client.stream(fleet.ingress(0), STREAM, &format!("s{number}"), 2).await;
            stream.expect("an answer");
            let lookup = Client.lookup(fleet.ingress(0), LOOKUP, &format!("l{number}")).await;
            lookup.expect("an answer");
        }
        for name in names {
            assert!(!arrivals_at(&fleet, name).is_empty(), "no request reached {name}");
        }
        let asked = Instant::now();
        let stream = Client.stream(fleet.ingress(0), STREAM, "late", 2).await.expect("an answer");
        let lookup = Client.lookup(fleet.ingress(0), LOOKUP, "late-l").await.expect("an answer");
        for answer in [stream, lookup] {
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(answer.headers.contains_key(RETRY_AFTER));
        }
        assert!(asked.elapsed() < AT_ONCE, "refused after {:?}", asked.elapsed());
        assert_eq!((fleet.runs("late"), fleet.runs("late-l")), (0, 0));

        let settings = ReplicaSettings::with_defaults("engine-3", ENGINE_SERVICE, "a");
        fleet.deployment.add_replica(settings).expect("the replica starts");
        sleep(Duration::from_millis(1_000)).await;
        let answer = Client.stream(fleet.ingress(0), STREAM, "new", 2).await.expect("an answer");
        assert!(is_complete_stream("new", 2, &answer.body));
    });
}

#[test]
fn new_incarnation_of_a_replica_that_left_gets_requests() {
    run_local("leave-again", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        set_leaving(&fleet, &["engine-0"]);
        stream_until_arrival(&fleet, "engine-0").await;
        fleet.deployment.crash_replica("engine-0", Duration::ZERO);
        sleep(Duration::from_millis(50)).await;
        let mut settings = ReplicaSettings::with_defaults("engine-0", ENGINE_SERVICE, "a");
        settings.started_unix_ms = 2;
        fleet.deployment.add_replica(settings).expect("the replica starts");
        sleep(Duration::from_millis(1_500)).await;
        let mut served_by_it = 0;
        for number in 0..60 {
            let id = format!("n{number}");
            Client.stream(fleet.ingress(number % 2), STREAM, &id, 2).await.expect("an answer");
            let log = fleet.deployment.log.borrow();
            served_by_it += log.runs_of(&id).iter().filter(|run| run.replica == "engine-0").count();
        }
        assert!(served_by_it > 0);
    });
}
