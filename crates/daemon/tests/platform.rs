//! Tests daemon processes on the stub of the users' platform.

mod platform_fleet;

use std::time::Duration;

use futures::future::join_all;
use http::StatusCode;
use platform::names::DEADLINE_MS;
use platform::names::REPLICA_KIND;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::expected_text;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::FAILING_SEGMENT;
use platform_stub::replica::IMPOSSIBLE_SEGMENT;
use platform_stub::replica::ReplicaFault;
use platform_stub::replica::ReplicaSettings;
use platform_stub::replica::plain_body;
use platform_stub::settings::DaemonSettings;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// The requests after the fault; an equal share of the faulty engine, one of four, is 60.
const REQUESTS: usize = 240;
/// The requests in which the fault may be found.
const FINDING: usize = 60;
/// The runs of the faulty engine after it was found: single trials, each after a longer pause.
const MAX_LATER_RUNS: usize = 12;

#[test]
fn streams_lookups_and_job_are_served_completely() {
    run_local("whole", |folder| async move {
        let fleet = Fleet::start(folder, 3).await;
        let daemon = fleet.ingress(0);
        let directory = fleet.daemons[0].settings.directory();
        let addresses = Client.resolve(directory).await.expect("the directory answers");
        assert_eq!(addresses.len(), 3);
        for (number, prefix) in [STREAM, RESUMABLE].iter().enumerate() {
            let id = format!("s{number}");
            let answer = Client.stream(daemon, prefix, &id, 20).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
            assert!(is_complete_stream(&id, 20, &answer.body));
            assert_eq!(fleet.runs(&id), 1);
        }
        let answer = Client.lookup(daemon, LOOKUP, "l1").await.expect("an answer");
        assert_eq!(answer.body, plain_body("l1").as_bytes());

        let mut job = items("j1", 12, 10);
        job.push(NewItem {
            id: "j1-x".into(),
            path: format!("{JOBS}{IMPOSSIBLE_SEGMENT}x"),
            tokens: 50,
            prompt_prefix: None,
        });
        job.push(NewItem {
            id: "j1-f".into(),
            path: format!("{JOBS}{FAILING_SEGMENT}f"),
            tokens: 50,
            prompt_prefix: None,
        });
        let accepted = Client.submit_job(daemon, JOBS, "j1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let again = Client.submit_job(fleet.ingress(1), JOBS, "j1", &job).await.expect("an answer");
        assert_eq!(again.status, StatusCode::ACCEPTED);
        let body = Client.read_item_body(fleet.ingress(2), "j1", "j1-0").await.expect("an answer");
        assert_eq!((body.status, &body.body[..]), (StatusCode::OK, &b"prompt"[..]));

        let results = read_all_results(fleet.ingress(2), "j1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), job.len());
        for result in &results {
            let is_dead_letter = result.id == "j1-x" || result.id == "j1-f";
            assert_eq!(result.state, if is_dead_letter { "dead_letter" } else { "completed" });
            if !is_dead_letter {
                assert_eq!(result.text, expected_text(&result.id, 10));
            }
        }
        assert_eq!(fleet.runs("j1-x"), 1);
        assert_eq!(fleet.runs("j1-f"), 3);
        for daemon in 0..3 {
            let read = read_all_results(fleet.ingress(daemon), "j1", Duration::from_secs(3)).await;
            assert_eq!(read, results, "the results or their order differ between daemons");
        }
    });
}

#[test]
fn refused_request_was_not_run() {
    run_local("refused", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let unknown = Client.lookup(daemon, "/nothing/", "n1").await.expect("an answer");
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        for name in fleet.deployment.replicas() {
            let replica = fleet.deployment.replica(&name).expect("the replica runs");
            replica.fault.set(ReplicaFault::Full);
        }
        let refused = Client.stream(daemon, STREAM, "f1", 5).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.runs("f1"), 0);
    });
}

#[test]
fn only_resumable_streams_continue_at_another_replica() {
    run_local("resume", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        for name in fleet.deployment.replicas().iter().filter(|name| name.starts_with("engine-0")) {
            let replica = fleet.deployment.replica(name).expect("the replica runs");
            replica.fault.set(ReplicaFault::AbortsStreams);
        }
        let mut resumed = 0;
        for number in 0..20 {
            let id = format!("r{number}");
            let answer = Client.stream(daemon, RESUMABLE, &id, 12).await.expect("an answer");
            assert!(is_complete_stream(&id, 12, &answer.body), "the stream of {id} is incomplete");
            resumed += usize::from(fleet.runs(&id) > 1);
            let id = format!("n{number}");
            let answer = Client.stream(daemon, STREAM, &id, 12).await;
            assert!(fleet.runs(&id) <= 1, "{id} ran more than once");
            if let Ok(answer) = answer {
                assert!(
                    !answer.status.is_success() || is_complete_stream(&id, 12, &answer.body),
                    "the answer to {id} looks complete but is not"
                );
            }
        }
        assert!(resumed > 0, "no stream was resumed at another replica");
    });
}

#[test]
fn fleet_is_ready_two_seconds_after_loss_of_all_daemons() {
    run_local("ready", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        for daemon in &mut fleet.daemons {
            daemon.kill().expect("the daemon is killed");
        }
        let started = Instant::now();
        for daemon in &mut fleet.daemons {
            daemon.restart().expect("the daemon restarts");
        }
        for daemon in &mut fleet.daemons {
            assert!(
                daemon.wait_until_ready(Duration::from_secs(2)).await,
                "{:?}",
                started.elapsed()
            );
        }
        for daemon in 0..3 {
            let id = format!("again-{daemon}");
            let answer = Client.stream(fleet.ingress(daemon), STREAM, &id, 10).await;
            assert!(is_complete_stream(&id, 10, &answer.expect("an answer").body));
        }
    });
}

#[test]
fn daemon_restarted_with_earlier_clock_returns_to_directory() {
    run_local("clock", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        fleet.daemons[1].shift_clock(-3_600_000).expect("the shift is written");
        fleet.daemons[1].kill().expect("the daemon is killed");
        fleet.daemons[1].restart().expect("the daemon restarts");
        assert!(fleet.daemons[1].wait_until_ready(Duration::from_secs(10)).await);
        // By now its peers have noticed that the heartbeats of the previous incarnation stopped.
        sleep(Duration::from_millis(2_500)).await;
        fleet.wait_until_settled(3).await;
        let answer = Client.stream(fleet.ingress(1), STREAM, "after", 10).await.expect("an answer");
        assert!(is_complete_stream("after", 10, &answer.body));
    });
}

#[test]
fn planned_stop_aborts_no_request() {
    run_local("stop", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        let streams: Vec<_> = (0..10)
            .map(|number| {
                spawn_local(async move {
                    let id = format!("t{number}");
                    let answer = Client.stream(daemon, STREAM, &id, 60).await;
                    answer.is_ok_and(|answer| is_complete_stream(&id, 60, &answer.body))
                })
            })
            .collect();
        sleep(Duration::from_millis(200)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        sleep(Duration::from_millis(100)).await;
        let late = Client
            .stream(daemon, STREAM, "late", 10)
            .await
            .expect("the draining daemon still answers");
        assert!(is_complete_stream("late", 10, &late.body));
        for stream in streams {
            assert!(stream.await.expect("the task ends"), "a stream was aborted");
        }
        assert!(fleet.daemons[0].stop(Duration::from_secs(10)).await.expect("the daemon stops"));
    });
}

#[test]
fn stopping_daemon_refuses_request_that_may_outlast_it() {
    run_local("outlast", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        sleep(Duration::from_millis(1_400)).await;
        // The request's deadline is in 5 s, but the daemon stops in 1.6 s.
        let late = Client.stream(daemon, STREAM, "late", 10).await.expect("an answer");
        assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.runs("late"), 0);
        let elsewhere = Client.stream(fleet.ingress(1), STREAM, "late", 10).await;
        assert!(is_complete_stream("late", 10, &elsewhere.expect("an answer").body));
    });
}

#[test]
fn no_request_reaches_a_drained_replica() {
    run_local("drain", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let name = "engine-0".to_owned();
        fleet.deployment.drain_replica(&name);
        let deadline = Instant::now() + Duration::from_millis(3_500);
        let mut number = 0;
        while Instant::now() < deadline {
            let id = format!("d{number}");
            let daemon = fleet.ingress(number % 2);
            let answer = Client.stream(daemon, STREAM, &id, 4).await.expect("an answer");
            assert!(is_complete_stream(&id, 4, &answer.body));
            number += 1;
        }
        assert_eq!(fleet.deployment.log.borrow().late_arrivals, Vec::new());
    });
}

#[test]
fn record_that_expired_during_store_outage_is_not_removed_before_it_can_return() {
    run_local("outage", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let any_logs = |text: &str| {
            fleet.daemons.iter().any(|daemon| {
                std::fs::read_to_string(&daemon.log).expect("the log can be read").contains(text)
            })
        };
        let store = &fleet.deployment.store;
        store.fault.set(StoreFault::Busy);
        fleet.deployment.reset_store().expect("the store is reset");
        sleep(Duration::from_millis(1_500)).await;
        assert!(any_logs("event=dependency_lost"), "no daemon noticed the outage");
        store.change(|objects| objects.remove(REPLICA_KIND, "engine-0"));
        sleep(Duration::from_millis(500)).await;
        store.fault.set(StoreFault::None);
        let gone = "event=replica_gone replica=engine-0 ";
        let returned = Instant::now();
        while returned.elapsed() < Duration::from_millis(2_000) {
            assert!(!any_logs(gone), "removed {:?} after the store's return", returned.elapsed());
            sleep(Duration::from_millis(50)).await;
        }
        while !any_logs(gone) {
            assert!(returned.elapsed() < Duration::from_secs(6), "the record was not removed");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

#[test]
fn resumed_daemon_reports_no_replica_as_silent() {
    run_local("pause", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        let streams: Vec<_> = (0..20)
            .map(|number| {
                spawn_local(async move {
                    // The replicas continue to stream while the daemon is paused.
                    Client.stream(daemon, RESUMABLE, &format!("p{number}"), 300).await.ok()
                })
            })
            .collect();
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
        sleep(Duration::from_millis(900)).await;
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        for stream in streams {
            stream.await.expect("the task ends");
        }
        let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log can be read");
        assert!(!log.contains("event=replica_silent"), "a replica was reported as silent");
        let answer = Client.stream(fleet.ingress(1), STREAM, "after", 10).await;
        assert!(is_complete_stream("after", 10, &answer.expect("an answer").body));
    });
}

#[test]
fn replica_gets_requests_again_after_silent_period() {
    run_local("silence", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let set = |fault| {
            for name in fleet.deployment.replicas().iter().filter(|name| name.starts_with("engine"))
            {
                fleet.deployment.replica(name).expect("the replica runs").fault.set(fault);
            }
        };
        set(ReplicaFault::Silent);
        for number in 0..6 {
            let daemon = fleet.ingress(number % 2);
            spawn_local(
                async move { Client.stream(daemon, STREAM, &format!("q{number}"), 10).await },
            );
        }
        sleep(Duration::from_millis(1_500)).await;
        set(ReplicaFault::None);
        let deadline = Instant::now() + Duration::from_secs(6);
        let mut served = 0;
        for number in 0.. {
            let id = format!("w{number}");
            let answer = Client.stream(fleet.ingress(number % 2), STREAM, &id, 10).await;
            served += usize::from(answer.is_ok_and(|answer| answer.status == StatusCode::OK));
            if served >= 4 || Instant::now() > deadline {
                break;
            }
        }
        assert!(served >= 4, "{served} requests were served");
    });
}

#[test]
fn request_refused_for_lack_of_slot_logs_its_wait() {
    run_local("full", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let busy: Vec<_> = (0..24)
            .map(|number| {
                let id = format!("busy{number}");
                spawn_local(async move { Client.stream(daemon, STREAM, &id, 900).await })
            })
            .collect();
        sleep(Duration::from_secs(1)).await;
        let mut call = OutgoingRequest::stream(STREAM, "late", 5);
        for (name, value) in &mut call.headers {
            if name == DEADLINE_MS {
                *value = "1500".to_owned();
            }
        }
        let asked = Instant::now();
        let refused = Client.call(daemon, &call).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            asked.elapsed() < Duration::from_millis(750),
            "the request waited for more than half of its deadline"
        );
        // A separate thread writes the log.
        sleep(Duration::from_millis(500)).await;
        let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log can be read");
        let line = log.lines().find(|line| line.contains("event=request id=late "));
        let line = line.expect("the refusal is logged");
        let waited = line.split("slot_wait_ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let waited: u64 = waited.and_then(|ms| ms.parse().ok()).expect("a number");
        assert!(line.contains("outcome=overload") && waited >= 400, "{line}");
        busy.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// Guards against a request that goes on waiting for a slot after its client has disconnected.
#[test]
fn request_of_a_disconnected_client_stops_waiting() {
    run_local("left", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let busy: Vec<_> = (0..24)
            .map(|number| {
                let id = format!("busy{number}");
                spawn_local(async move { Client.stream(daemon, STREAM, &id, 900).await })
            })
            .collect();
        sleep(Duration::from_secs(1)).await;
        let call = OutgoingRequest::stream(STREAM, "gone", 5);
        let waiting = spawn_local(async move { Client.call(daemon, &call).await.is_ok() });
        sleep(Duration::from_millis(200)).await;
        waiting.abort();
        // A separate thread writes the log.
        sleep(Duration::from_millis(500)).await;
        let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log can be read");
        let line = log.lines().find(|line| line.contains("event=request id=gone "));
        let line = line.expect("the end of the request is logged");
        assert!(line.contains("outcome=client_left") && line.contains("replica=- "), "{line}");
        busy.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

/// All 24 slots are taken by streams of 130 events, some 0.8 s, as before, when a stream with an objective of 300 ms comes.
/// Guards against a `Retry-After` that ignores the expected time, and against a wait in vain.
#[test]
fn request_that_cannot_be_on_time_is_told_when_to_return() {
    run_local("pressure", |folder| async move {
        let pressure =
            |settings: &mut DaemonSettings| settings.contracts.push("pressure".to_owned());
        let fleet = Fleet::start_with_settings(folder, 1, pressure).await;
        fleet
            .deployment
            .configure(|configuration| configuration["routes"][0]["goal_ms"] = json!(300));
        sleep(Duration::from_secs(2)).await;
        let daemon = fleet.ingress(0);
        let streams = |name: &'static str| {
            let start = move |number| {
                let id = format!("{name}{number}");
                spawn_local(async move { Client.stream(daemon, STREAM, &id, 130).await })
            };
            (0..24).map(start).collect::<Vec<_>>()
        };
        join_all(streams("first")).await;
        let busy = streams("second");
        sleep(Duration::from_millis(200)).await;
        let asked = Instant::now();
        let call = OutgoingRequest::stream(STREAM, "early", 5);
        let refused = Client.call(daemon, &call).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(asked.elapsed() < Duration::from_millis(1_000), "{:?}", asked.elapsed());
        let header = refused.headers.get("retry-after").and_then(|value| value.to_str().ok());
        let retry_after_s: f64 = header.and_then(|text| text.parse().ok()).expect("a number");
        // 75% to 95% of a third of 5 s, less the time that the refusal took.
        assert!((1.0..=1.59).contains(&retry_after_s), "{retry_after_s}");
        busy.iter().for_each(tokio::task::JoinHandle::abort);
    });
}

fn replicas_may_degrade(settings: &mut DaemonSettings) {
    settings.contracts.push("health".to_owned());
}

/// Guards against a replica that answers 500 at once and gets ever more requests for being empty.
#[test]
fn an_engine_that_answers_500_gets_few_requests() {
    run_local("uneven", |folder| async move {
        let fleet = Fleet::start_with_settings(folder, 3, replicas_may_degrade).await;
        let settings = ReplicaSettings::with_defaults("engine-3", ENGINE_SERVICE, "a");
        fleet.deployment.add_replica(settings).expect("the replica starts");
        sleep(Duration::from_millis(700)).await;
        send(&fleet, STREAM, "sound", 30).await;
        let faulty = fleet.deployment.replica("engine-3").expect("the replica runs");
        faulty.fault.set(ReplicaFault::ServerError);
        let finding_lost = send(&fleet, STREAM, "finding", FINDING).await;
        let later_lost = send(&fleet, STREAM, "later", REQUESTS - FINDING).await;
        let runs = |prefix: &str, count: usize| runs_at(&fleet, "engine-3", prefix, count);
        let (finding, later) = (runs("finding", FINDING), runs("later", REQUESTS - FINDING));
        println!("runs {finding} then {later}, lost {finding_lost} then {later_lost}");
        assert!(finding <= FINDING / 4, "{finding} runs while it is found");
        assert!(later <= MAX_LATER_RUNS, "{later} runs after it is found");
        assert!(later_lost <= MAX_LATER_RUNS, "{later_lost} requests lost");

        faulty.fault.set(ReplicaFault::None);
        sleep(Duration::from_secs(5)).await;
        send(&fleet, STREAM, "sound-again", REQUESTS).await;
        assert!(runs("sound-again", REQUESTS) > MAX_LATER_RUNS, "it gets requests again");
    });
}

/// Two plain replicas, whose requests need no grants. Guards against holders that learn nothing from
/// owners that grant nothing.
#[test]
fn a_plain_replica_that_answers_500_gets_few_requests() {
    run_local("uneven-plain", |folder| async move {
        let fleet = Fleet::start_with_settings(folder, 3, replicas_may_degrade).await;
        send(&fleet, LOOKUP, "sound", 30).await;
        let faulty = fleet.deployment.replica("plain-0").expect("the replica runs");
        faulty.fault.set(ReplicaFault::ServerError);
        send(&fleet, LOOKUP, "finding", FINDING).await;
        send(&fleet, LOOKUP, "later", REQUESTS - FINDING).await;
        let finding = runs_at(&fleet, "plain-0", "finding", FINDING);
        let later = runs_at(&fleet, "plain-0", "later", REQUESTS - FINDING);
        println!("plain: runs {finding} then {later}");
        assert!(finding <= FINDING / 3, "{finding} runs while it is found");
        assert!(later <= 2 * MAX_LATER_RUNS, "{later} runs after it is found");
    });
}

fn runs_at(fleet: &Fleet, replica: &str, prefix: &str, count: usize) -> usize {
    let log = fleet.deployment.log.borrow();
    let runs = (0..count).flat_map(|number| log.runs_of(&format!("{prefix}-{number}")));
    runs.filter(|run| run.replica == replica).count()
}

/// Sends requests through all daemons, six at a time; returns how many were not answered.
async fn send(fleet: &Fleet, route: &str, prefix: &str, count: usize) -> usize {
    let mut lost = 0;
    let numbers: Vec<usize> = (0..count).collect();
    for batch in numbers.chunks(6) {
        let calls = batch.iter().map(|number| async move {
            let daemon = fleet.ingress(number % fleet.daemons.len());
            let id = format!("{prefix}-{number}");
            let answer = match route {
                LOOKUP => Client.lookup(daemon, LOOKUP, &id).await,
                _ => Client.stream(daemon, route, &id, 5).await,
            };
            answer.is_ok_and(|answer| answer.status.is_success())
        });
        lost += join_all(calls).await.into_iter().filter(|is_answered| !is_answered).count();
    }
    lost
}
