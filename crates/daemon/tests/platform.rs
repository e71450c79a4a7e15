//! Real daemons as processes on the stand-in of the users' platform.

mod platform_fleet;

use std::net::SocketAddr;
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
use platform_stub::store_server::StoreFault;
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
fn a_lost_home_is_replaced_and_no_result_is_lost() {
    run_local("adopt", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("a1", 10, 60);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "a1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].kill().expect("it ends");
        let results = read_whole_job(fleet.ingress(1), "a1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 10);
        assert!(results.iter().all(|result| result.text == whole_text(&result.id, 60)));
    });
}

#[test]
fn a_home_that_was_replaced_while_it_stood_still_shows_no_old_results() {
    run_local("stale", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let job = items("s1", 150, 200);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "s1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        wait_for_results(fleet.ingress(0), "s1", 1).await;
        // Nothing runs, so the old home has nothing to write and cannot meet a conflict.
        set_faults(&fleet, ReplicaFault::Full);
        sleep(Duration::from_secs(3)).await;
        let at_old = wait_for_results(fleet.ingress(0), "s1", 1).await;
        fleet.daemons[0].signal(Signal::STOP).expect("it is sent");
        sleep(Duration::from_secs(3)).await;
        set_faults(&fleet, ReplicaFault::None);
        let at_new = wait_for_results(fleet.ingress(1), "s1", at_old + 10).await;
        set_faults(&fleet, ReplicaFault::Full);
        fleet.daemons[0].signal(Signal::CONT).expect("it is sent");
        sleep(Duration::from_millis(1_200)).await;
        let (status, page) = Client.results(fleet.ingress(0), "s1", 0).await.expect("an answer");
        let shown = page.map_or(0, |page| page.results.len());
        assert!(!status.is_success() || shown >= at_new, "{shown} of {at_new} results are shown");
        set_faults(&fleet, ReplicaFault::None);
        let results = read_whole_job(fleet.ingress(0), "s1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 150);
    });
}

fn set_faults(fleet: &Fleet, fault: ReplicaFault) {
    for name in fleet.deployment.replicas() {
        fleet.deployment.replica(&name).expect("it runs").fault.set(fault);
    }
}

/// Waits until a daemon shows at least `count` results and returns their number.
async fn wait_for_results(daemon: SocketAddr, job: &str, count: usize) -> usize {
    let started = Instant::now();
    loop {
        let shown = match Client.results(daemon, job, 0).await {
            Ok((_, Some(page))) => page.results.len(),
            _ => 0,
        };
        if shown >= count {
            return shown;
        }
        assert!(started.elapsed() < Duration::from_secs(20), "{shown} of {count} results");
        sleep(Duration::from_millis(50)).await;
    }
}

#[test]
fn items_of_a_lost_home_go_on_from_their_last_written_output() {
    run_local("checkpoint", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("c1", 4, 900);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "c1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(3_200)).await;
        fleet.daemons[0].kill().expect("it ends");
        let results = read_whole_job(fleet.ingress(1), "c1", Duration::from_secs(30)).await;
        assert_eq!(results.len(), 4);
        assert!(results.iter().all(|result| result.text == whole_text(&result.id, 900)));
        let log = fleet.deployment.log.borrow();
        let goes_on = |id: &str| log.of(id).iter().any(|run| run.after.is_some_and(|n| n > 100));
        assert!(job.iter().all(|item| goes_on(&item.id)), "an item began anew");
    });
}

#[test]
fn jobs_of_a_fleet_that_was_lost_as_a_whole_go_on() {
    run_local("herd", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("h1", 10, 60);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "h1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        for daemon in &mut fleet.daemons {
            daemon.kill().expect("it ends");
        }
        // The daemon that accepted the job does not come back, and no client asks for the job.
        for daemon in &mut fleet.daemons[1..] {
            daemon.restart().expect("it starts");
        }
        assert!(fleet.daemons[1].ready(Duration::from_secs(10)).await);
        let until = Instant::now() + Duration::from_secs(15);
        while !fleet.ran_whole(&job) && Instant::now() < until {
            sleep(Duration::from_millis(100)).await;
        }
        assert!(fleet.ran_whole(&job), "the items run though nobody asked for the job");
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
fn an_ended_job_stops_and_stays_readable() {
    run_local("end", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let job = items("e1", 30, 200);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "e1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(300)).await;
        let ended = Client.end(fleet.ingress(1), "e1").await.expect("an answer");
        assert_eq!(ended, StatusCode::OK);
        let again = Client.end(fleet.ingress(0), "e1").await.expect("an answer");
        assert_eq!(again, StatusCode::OK);
        sleep(Duration::from_millis(500)).await;
        let runs: usize = job.iter().map(|item| fleet.runs(&item.id)).sum();
        sleep(Duration::from_millis(1_500)).await;
        let later: usize = job.iter().map(|item| fleet.runs(&item.id)).sum();
        assert_eq!(runs, later, "nothing was started after the end");
        let (status, _) = Client.results(fleet.ingress(1), "e1", 0).await.expect("an answer");
        assert_eq!(status, StatusCode::OK);
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
fn a_planned_stop_hands_jobs_over_and_no_item_starts_anew() {
    run_local("handover", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("o1", 12, 150);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "o1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("it is told");
        let results = read_whole_job(fleet.ingress(1), "o1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 12);
        assert!(results.iter().all(|result| result.text == whole_text(&result.id, 150)));
        let log = fleet.deployment.log.borrow();
        let anew = |id: &str| log.of(id).iter().filter(|run| run.after.is_none()).count();
        assert!(job.iter().all(|item| anew(&item.id) == 1), "each item began once");
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
fn a_job_is_refused_or_kept_while_the_store_is_away() {
    run_local("store", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        fleet.deployment.store.fault.set(StoreFault::Busy);
        let job = items("b1", 4, 5);
        let refused = Client.submit(fleet.ingress(0), JOBS, "b1", &job).await.expect("an answer");
        assert_ne!(refused.status, StatusCode::ACCEPTED);
        let answer = Client.stream(fleet.ingress(0), STREAM, "b2", 5).await.expect("an answer");
        assert!(is_whole_stream("b2", 5, &answer.body), "online requests go on");
        fleet.deployment.store.fault.set(StoreFault::LostAnswers { share: 0.7, late_ms: 300 });
        let mut daemon = 0;
        loop {
            let answer = Client.submit(fleet.ingress(daemon % 2), JOBS, "b3", &job).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::ACCEPTED) {
                break;
            }
            daemon += 1;
            assert!(daemon < 12, "the job is accepted at last");
        }
        fleet.deployment.store.fault.set(StoreFault::None);
        let results = read_whole_job(fleet.ingress(1), "b3", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 4);
    });
}

#[test]
fn a_job_whose_home_never_heard_that_it_was_stored_is_run() {
    run_local("unheard", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let lost = StoreFault::LostAnswers { share: 1.0, late_ms: 300 };
        fleet.deployment.store.fault.set(lost);
        let job = items("u1", 4, 5);
        let unknown = Client.submit(fleet.ingress(0), JOBS, "u1", &job).await;
        assert!(unknown.is_ok_and(|answer| answer.status.is_server_error()));
        fleet.deployment.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        let accepted = Client.submit(fleet.ingress(1), JOBS, "u1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_whole_job(fleet.ingress(1), "u1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 4);
        assert!(job.iter().all(|item| fleet.runs(&item.id) == 1), "each item ran once");
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
fn a_large_job_lies_in_parts() {
    run_local("parts", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let events = 40_000 / 17;
        let job = items("p1", 40, events);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "p1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_whole_job(fleet.ingress(1), "p1", Duration::from_secs(60)).await;
        assert_eq!(results.len(), 40);
        assert!(results.iter().all(|result| result.text == whole_text(&result.id, events)));
    });
}

#[test]
fn a_job_that_was_kept_for_long_enough_leaves_nothing_behind() {
    run_local("kept", |folder| async move {
        let fleet = Fleet::start_keeping(folder, 2, 4).await;
        let job = items("k1", 40, 40_000 / 17);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "k1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_whole_job(fleet.ingress(1), "k1", Duration::from_secs(60)).await;
        assert_eq!(results.len(), 40);
        let left = || {
            let objects = fleet.deployment.store.objects.borrow();
            let count = |kind| objects.page(kind, "", 100).0.len();
            count("jobs") + count("job-inputs") + count("job-results")
        };
        let started = Instant::now();
        while left() > 0 {
            assert!(started.elapsed() < Duration::from_secs(15), "{} objects are left", left());
            sleep(Duration::from_millis(200)).await;
        }
        for daemon in 0..2 {
            let read = Client.results(fleet.ingress(daemon), "k1", 0).await.expect("an answer");
            assert_eq!(read.0, StatusCode::NOT_FOUND);
        }
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
                *value = "600".to_owned();
            }
        }
        let refused = Client.call(daemon, &call).await.expect("an answer");
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
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
