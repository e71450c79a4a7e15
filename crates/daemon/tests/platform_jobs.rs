//! Jobs at real daemons on the stand-in of the users' platform: lost homes, the store, the end.

mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::client::is_whole_stream;
use platform_stub::client::whole_text;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaFault;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_whole_job;
use crate::platform_fleet::run_local;

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
        while !ran_whole(&fleet, &job) && Instant::now() < until {
            sleep(Duration::from_millis(100)).await;
        }
        assert!(ran_whole(&fleet, &job), "the items run though nobody asked for the job");
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
fn a_job_of_a_daemon_whose_clock_was_an_hour_slow_stays_readable_when_its_home_is_lost() {
    run_local("slow-clock", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        fleet.daemons[0].shift_clock(-3_600_000).expect("the shift is written");
        let job = items("h1", 6, 20);
        let accepted = Client.submit(fleet.ingress(0), JOBS, "h1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_whole_job(fleet.ingress(1), "h1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), 6);
        fleet.daemons[0].kill().expect("it ends");
        let until = Instant::now() + Duration::from_secs(11);
        while Instant::now() < until {
            for daemon in [1, 2] {
                let (status, _) =
                    Client.results(fleet.ingress(daemon), "h1", 0).await.expect("an answer");
                assert_ne!(status, StatusCode::NOT_FOUND, "the results were removed");
            }
            sleep(Duration::from_millis(250)).await;
        }
        let results = read_whole_job(fleet.ingress(2), "h1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), 6);
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

/// Returns whether every item of a job ran to its end.
fn ran_whole(fleet: &Fleet, items: &[NewItem]) -> bool {
    let log = fleet.deployment.log.borrow();
    items.iter().all(|item| log.of(&item.id).iter().any(|run| run.is_whole))
}
