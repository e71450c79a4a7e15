//! Real daemons as processes on the stand-in of the users' platform.

mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform::names::DEADLINE_MS;
use platform_stub::Client;
use platform_stub::client::Call;
use platform_stub::client::NewItem;
use platform_stub::client::is_whole_stream;
use platform_stub::client::whole_text;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::FAILING;
use platform_stub::replica::IMPOSSIBLE;
use platform_stub::replica::ReplicaFault;
use platform_stub::replica::plain_body;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_whole_job;
use crate::platform_fleet::run_local;

#[test]
fn streams_lookups_and_a_job_are_served_whole() {
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
            assert!(is_whole_stream(&id, 20, &answer.body));
            assert_eq!(fleet.runs(&id), 1);
        }
        let answer = Client.lookup(daemon, LOOKUP, "l1").await.expect("an answer");
        assert_eq!(answer.body, plain_body("l1").as_bytes());

        let mut job = items("j1", 12, 10);
        job.push(NewItem { id: "j1-x".into(), path: format!("{JOBS}{IMPOSSIBLE}x"), tokens: 50 });
        job.push(NewItem { id: "j1-f".into(), path: format!("{JOBS}{FAILING}f"), tokens: 50 });
        let accepted = Client.submit(daemon, JOBS, "j1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let again = Client.submit(fleet.ingress(1), JOBS, "j1", &job).await.expect("an answer");
        assert_eq!(again.status, StatusCode::ACCEPTED);
        let body = Client.item_body(fleet.ingress(2), "j1", "j1-0").await.expect("an answer");
        assert_eq!((body.status, &body.body[..]), (StatusCode::OK, &b"prompt"[..]));

        let results = read_whole_job(fleet.ingress(2), "j1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), job.len());
        for result in &results {
            let is_poison = result.id == "j1-x" || result.id == "j1-f";
            assert_eq!(result.state, if is_poison { "dead_letter" } else { "completed" });
            if !is_poison {
                assert_eq!(result.text, whole_text(&result.id, 10));
            }
        }
        assert_eq!(fleet.runs("j1-x"), 1);
        assert_eq!(fleet.runs("j1-f"), 3);
        for daemon in 0..3 {
            let read = read_whole_job(fleet.ingress(daemon), "j1", Duration::from_secs(3)).await;
            assert_eq!(read, results, "every daemon shows the same results in the same order");
        }
    });
}

#[test]
fn a_request_that_is_refused_was_not_run() {
    run_local("refused", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let unknown = Client.lookup(daemon, "/nothing/", "n1").await.expect("an answer");
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        for name in fleet.deployment.replicas() {
            let replica = fleet.deployment.replica(&name).expect("it runs");
            replica.fault.set(ReplicaFault::Full);
        }
        let refused = Client.stream(daemon, STREAM, "f1", 5).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.runs("f1"), 0);
    });
}

#[test]
fn a_resumable_stream_goes_on_at_another_replica_and_other_streams_never_run_twice() {
    run_local("resume", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        for name in fleet.deployment.replicas().iter().filter(|name| name.starts_with("engine-0")) {
            let replica = fleet.deployment.replica(name).expect("it runs");
            replica.fault.set(ReplicaFault::BreaksOff);
        }
        let mut resumed = 0;
        for number in 0..20 {
            let id = format!("r{number}");
            let answer = Client.stream(daemon, RESUMABLE, &id, 12).await.expect("an answer");
            assert!(is_whole_stream(&id, 12, &answer.body), "{id} is whole");
            resumed += usize::from(fleet.runs(&id) > 1);
            let id = format!("n{number}");
            let answer = Client.stream(daemon, STREAM, &id, 12).await;
            assert!(fleet.runs(&id) <= 1, "{id} ran once");
            if let Ok(answer) = answer {
                assert!(
                    !answer.status.is_success() || is_whole_stream(&id, 12, &answer.body),
                    "{id} does not look complete"
                );
            }
        }
        assert!(resumed > 0, "a stream met the broken replica");
    });
}

#[test]
fn a_fleet_that_was_lost_as_a_whole_is_ready_within_two_seconds() {
    run_local("ready", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        for daemon in &mut fleet.daemons {
            daemon.kill().expect("it ends");
        }
        let started = Instant::now();
        for daemon in &mut fleet.daemons {
            daemon.restart().expect("it starts");
        }
        for daemon in &mut fleet.daemons {
            assert!(daemon.ready(Duration::from_secs(2)).await, "{:?}", started.elapsed());
        }
        for daemon in 0..3 {
            let id = format!("again-{daemon}");
            let answer = Client.stream(fleet.ingress(daemon), STREAM, &id, 10).await;
            assert!(is_whole_stream(&id, 10, &answer.expect("an answer").body));
        }
    });
}

#[test]
fn a_daemon_that_was_started_again_on_a_clock_that_went_back_is_named_to_callers() {
    run_local("clock", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        fleet.daemons[1].shift_clock(-3_600_000).expect("the shift is written");
        fleet.daemons[1].kill().expect("it ends");
        fleet.daemons[1].restart().expect("it starts");
        assert!(fleet.daemons[1].ready(Duration::from_secs(10)).await);
        // By now its peers have missed the heartbeats of the life before.
        sleep(Duration::from_millis(2_500)).await;
        fleet.settle(3).await;
        let answer = Client.stream(fleet.ingress(1), STREAM, "after", 10).await.expect("an answer");
        assert!(is_whole_stream("after", 10, &answer.body));
    });
}

#[test]
fn a_planned_stop_cuts_no_request() {
    run_local("stop", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        let streams: Vec<_> = (0..10)
            .map(|number| {
                spawn_local(async move {
                    let id = format!("t{number}");
                    let answer = Client.stream(daemon, STREAM, &id, 60).await;
                    answer.is_ok_and(|answer| is_whole_stream(&id, 60, &answer.body))
                })
            })
            .collect();
        sleep(Duration::from_millis(200)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("it is told");
        sleep(Duration::from_millis(100)).await;
        let late = Client.stream(daemon, STREAM, "late", 10).await.expect("it still serves");
        assert!(is_whole_stream("late", 10, &late.body));
        for stream in streams {
            assert!(stream.await.expect("it ran"), "a stream was cut");
        }
        assert!(fleet.daemons[0].stop(Duration::from_secs(10)).await.expect("it ends"));
    });
}

#[test]
fn a_stopping_daemon_takes_no_request_that_may_outlast_it() {
    run_local("outlast", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        fleet.daemons[0].signal(Signal::TERM).expect("it is told");
        sleep(Duration::from_millis(1_400)).await;
        // Its deadline is 5 s and the daemon's end is 1.6 s away.
        let late = Client.stream(daemon, STREAM, "late", 10).await.expect("an answer");
        assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(fleet.runs("late"), 0);
        let elsewhere = Client.stream(fleet.ingress(1), STREAM, "late", 10).await;
        assert!(is_whole_stream("late", 10, &elsewhere.expect("an answer").body));
    });
}

#[test]
fn no_request_reaches_a_replica_that_has_drained() {
    run_local("drain", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let name = "engine-0".to_owned();
        fleet.deployment.drain_replica(&name);
        let until = Instant::now() + Duration::from_millis(3_500);
        let mut number = 0;
        while Instant::now() < until {
            let id = format!("d{number}");
            let daemon = fleet.ingress(number % 2);
            let answer = Client.stream(daemon, STREAM, &id, 4).await.expect("an answer");
            assert!(is_whole_stream(&id, 4, &answer.body));
            number += 1;
        }
        assert_eq!(fleet.deployment.log.borrow().late_arrivals, Vec::new());
    });
}

#[test]
fn a_daemon_that_stood_still_blames_no_replica_for_it() {
    run_local("pause", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let daemon = fleet.ingress(0);
        let streams: Vec<_> = (0..20)
            .map(|number| {
                spawn_local(async move {
                    // Their replicas work on while the daemon stands still.
                    Client.stream(daemon, RESUMABLE, &format!("p{number}"), 300).await.ok()
                })
            })
            .collect();
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].signal(Signal::STOP).expect("it stops");
        sleep(Duration::from_millis(900)).await;
        fleet.daemons[0].signal(Signal::CONT).expect("it goes on");
        for stream in streams {
            stream.await.expect("it ran");
        }
        let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log is there");
        assert!(!log.contains("event=replica_silent"), "a replica was blamed");
        let answer = Client.stream(fleet.ingress(1), STREAM, "after", 10).await;
        assert!(is_whole_stream("after", 10, &answer.expect("an answer").body));
    });
}

#[test]
fn a_replica_that_was_silent_for_a_while_gets_requests_again() {
    run_local("silence", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let set = |fault| {
            for name in fleet.deployment.replicas().iter().filter(|name| name.starts_with("engine"))
            {
                fleet.deployment.replica(name).expect("it runs").fault.set(fault);
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
        let until = Instant::now() + Duration::from_secs(6);
        let mut served = 0;
        for number in 0.. {
            let id = format!("w{number}");
            let answer = Client.stream(fleet.ingress(number % 2), STREAM, &id, 10).await;
            served += usize::from(answer.is_ok_and(|answer| answer.status == StatusCode::OK));
            if served >= 4 || Instant::now() > until {
                break;
            }
        }
        assert!(served >= 4, "{served} were served");
    });
}

#[test]
fn a_request_that_found_no_slot_is_logged_with_the_time_that_it_waited() {
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
        let mut call = Call::stream(STREAM, "late", 5);
        for (name, value) in &mut call.headers {
            if name == DEADLINE_MS {
                *value = "1500".to_owned();
            }
        }
        let asked = Instant::now();
        let refused = Client.call(daemon, &call).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(asked.elapsed() < Duration::from_millis(750), "it is held for over half its time");
        // The log is written by a thread of its own.
        sleep(Duration::from_millis(500)).await;
        let log = std::fs::read_to_string(&fleet.daemons[0].log).expect("the log");
        let line = log.lines().find(|line| line.contains("event=request id=late "));
        let line = line.expect("the refusal is logged");
        let waited = line.split("slot_wait_ms=").nth(1).and_then(|rest| rest.split(' ').next());
        let waited: u64 = waited.and_then(|ms| ms.parse().ok()).expect("a number");
        assert!(line.contains("outcome=overload") && waited >= 400, "{line}");
        busy.iter().for_each(tokio::task::JoinHandle::abort);
    });
}
