//! Tests jobs at daemon processes on the stub of the users' platform: loss of a job's home, store
//! faults, and the end of jobs.

mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::client::expected_text;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaFault;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

#[test]
fn lost_home_is_replaced_without_loss_of_results() {
    run_local("adopt", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("a1", 10, 60);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "a1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].kill().expect("the daemon is killed");
        let results = read_all_results(fleet.ingress(1), "a1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 10);
        assert!(results.iter().all(|result| result.text == expected_text(&result.id, 60)));
    });
}

#[test]
fn home_replaced_during_pause_shows_no_stale_results() {
    run_local("stale", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let job = items("s1", 150, 200);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "s1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        wait_for_results(fleet.ingress(0), "s1", 1).await;
        // No item runs, so the old home has nothing to write and cannot learn of its successor from a
        // write conflict.
        set_replica_faults(&fleet, ReplicaFault::Full);
        sleep(Duration::from_secs(3)).await;
        let at_old = wait_for_results(fleet.ingress(0), "s1", 1).await;
        fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
        sleep(Duration::from_secs(3)).await;
        set_replica_faults(&fleet, ReplicaFault::None);
        let at_new = wait_for_results(fleet.ingress(1), "s1", at_old + 10).await;
        set_replica_faults(&fleet, ReplicaFault::Full);
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        sleep(Duration::from_millis(1_200)).await;
        let (status, page) =
            Client.read_results(fleet.ingress(0), "s1", 0).await.expect("an answer");
        let shown = page.map_or(0, |page| page.results.len());
        assert!(!status.is_success() || shown >= at_new, "{shown} of {at_new} results are shown");
        set_replica_faults(&fleet, ReplicaFault::None);
        let results = read_all_results(fleet.ingress(0), "s1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 150);
    });
}

#[test]
fn home_with_unanswered_write_shows_no_fewer_results_than_were_read() {
    run_local("unanswered", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let job = items("u1", 150, 200);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "u1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let at_home = wait_for_results(fleet.ingress(0), "u1", 1).await;
        let lost = StoreFault::LostAnswers { share: 1.0, late_ms: 0 };
        fleet.deployment.store.fault.set(lost);
        sleep(Duration::from_millis(2_500)).await;
        // A paused home makes the other daemon answer from the record.
        fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
        let read = wait_for_results(fleet.ingress(1), "u1", at_home + 1).await;
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        sleep(Duration::from_millis(1_100)).await;
        let (status, page) =
            Client.read_results(fleet.ingress(0), "u1", read - 1).await.expect("an answer");
        let shown = page.map_or(0, |page| page.results.len());
        assert!(!status.is_success() || shown > 0, "position {} of {read} is missing", read - 1);
        let (status, page) =
            Client.read_results(fleet.ingress(1), "u1", read - 1).await.expect("an answer");
        assert_eq!(status, StatusCode::OK);
        assert!(page.is_some_and(|page| !page.results.is_empty()), "the record is not shown");
        fleet.deployment.store.fault.set(StoreFault::None);
        let results = read_all_results(fleet.ingress(0), "u1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 150);
    });
}

fn set_replica_faults(fleet: &Fleet, fault: ReplicaFault) {
    for name in fleet.deployment.replicas() {
        fleet.deployment.replica(&name).expect("the replica runs").fault.set(fault);
    }
}

/// Waits until a daemon shows at least `count` results and returns their number.
async fn wait_for_results(daemon: SocketAddr, job: &str, count: usize) -> usize {
    let started = Instant::now();
    loop {
        let shown = match Client.read_results(daemon, job, 0).await {
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
fn items_of_lost_home_resume_from_written_output() {
    run_local("checkpoint", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("c1", 4, 900);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "c1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(3_200)).await;
        fleet.daemons[0].kill().expect("the daemon is killed");
        let results = read_all_results(fleet.ingress(1), "c1", Duration::from_secs(30)).await;
        assert_eq!(results.len(), 4);
        assert!(results.iter().all(|result| result.text == expected_text(&result.id, 900)));
        let log = fleet.deployment.log.borrow();
        let is_resumed =
            |id: &str| log.runs_of(id).iter().any(|run| run.resumed_after.is_some_and(|n| n > 100));
        assert!(
            job.iter().all(|item| is_resumed(&item.id)),
            "an item was not resumed from its written output"
        );
    });
}

#[test]
fn jobs_resume_after_loss_of_all_daemons() {
    run_local("herd", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("h1", 10, 60);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "h1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        for daemon in &mut fleet.daemons {
            daemon.kill().expect("the daemon is killed");
        }
        // The daemon that accepted the job stays down, and no client asks for the job.
        for daemon in &mut fleet.daemons[1..] {
            daemon.restart().expect("the daemon restarts");
        }
        assert!(fleet.daemons[1].wait_until_ready(Duration::from_secs(10)).await);
        let deadline = Instant::now() + Duration::from_secs(15);
        while !all_items_completed(&fleet, &job) && Instant::now() < deadline {
            sleep(Duration::from_millis(100)).await;
        }
        assert!(all_items_completed(&fleet, &job), "the items did not run without a client's call");
    });
}

#[test]
fn ended_job_starts_no_item_and_stays_readable() {
    run_local("end", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let job = items("e1", 30, 200);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "e1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(300)).await;
        let ended = Client.end_job(fleet.ingress(1), "e1").await.expect("an answer");
        assert_eq!(ended, StatusCode::OK);
        let again = Client.end_job(fleet.ingress(0), "e1").await.expect("an answer");
        assert_eq!(again, StatusCode::OK);
        sleep(Duration::from_millis(500)).await;
        let runs: usize = job.iter().map(|item| fleet.runs(&item.id)).sum();
        sleep(Duration::from_millis(1_500)).await;
        let later: usize = job.iter().map(|item| fleet.runs(&item.id)).sum();
        assert_eq!(runs, later, "an item was started after the job had ended");
        let (status, _) = Client.read_results(fleet.ingress(1), "e1", 0).await.expect("an answer");
        assert_eq!(status, StatusCode::OK);
    });
}

#[test]
fn planned_stop_hands_over_jobs_without_restarting_items() {
    run_local("handover", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("o1", 12, 150);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "o1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_millis(400)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        let results = read_all_results(fleet.ingress(1), "o1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 12);
        assert!(results.iter().all(|result| result.text == expected_text(&result.id, 150)));
        let log = fleet.deployment.log.borrow();
        let fresh_runs =
            |id: &str| log.runs_of(id).iter().filter(|run| run.resumed_after.is_none()).count();
        assert!(
            job.iter().all(|item| fresh_runs(&item.id) == 1),
            "an item did not start exactly once"
        );
    });
}

#[test]
fn job_is_refused_or_kept_during_store_faults() {
    run_local("store", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        fleet.deployment.store.fault.set(StoreFault::Busy);
        let job = items("b1", 4, 5);
        let refused =
            Client.submit_job(fleet.ingress(0), JOBS, "b1", &job).await.expect("an answer");
        assert_ne!(refused.status, StatusCode::ACCEPTED);
        let answer = Client.stream(fleet.ingress(0), STREAM, "b2", 5).await.expect("an answer");
        assert!(
            is_complete_stream("b2", 5, &answer.body),
            "an online request failed while the store was unavailable"
        );
        fleet.deployment.store.fault.set(StoreFault::LostAnswers { share: 0.7, late_ms: 300 });
        let mut daemon = 0;
        loop {
            let answer = Client.submit_job(fleet.ingress(daemon % 2), JOBS, "b3", &job).await;
            if answer.is_ok_and(|answer| answer.status == StatusCode::ACCEPTED) {
                break;
            }
            daemon += 1;
            assert!(daemon < 12, "the job was not accepted in 12 attempts");
        }
        fleet.deployment.store.fault.set(StoreFault::None);
        let results = read_all_results(fleet.ingress(1), "b3", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 4);
    });
}

#[test]
fn job_runs_after_its_home_lost_the_answer_to_its_write() {
    run_local("unheard", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let lost = StoreFault::LostAnswers { share: 1.0, late_ms: 300 };
        fleet.deployment.store.fault.set(lost);
        let job = items("u1", 4, 5);
        let unknown = Client.submit_job(fleet.ingress(0), JOBS, "u1", &job).await;
        assert!(unknown.is_ok_and(|answer| answer.status.is_server_error()));
        fleet.deployment.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        let accepted =
            Client.submit_job(fleet.ingress(1), JOBS, "u1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), "u1", Duration::from_secs(20)).await;
        assert_eq!(results.len(), 4);
        assert!(
            job.iter().all(|item| fleet.runs(&item.id) == 1),
            "an item did not run exactly once"
        );
    });
}

#[test]
fn large_job_stored_in_parts_returns_all_results() {
    run_local("parts", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        let events = 40_000 / 17;
        let job = items("p1", 40, events);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "p1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), "p1", Duration::from_secs(60)).await;
        assert_eq!(results.len(), 40);
        assert!(results.iter().all(|result| result.text == expected_text(&result.id, events)));
    });
}

#[test]
fn job_of_home_with_slow_clock_stays_readable_after_home_loss() {
    run_local("slow-clock", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        fleet.daemons[0].shift_clock(-3_600_000).expect("the shift is written");
        let job = items("h1", 6, 20);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "h1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), "h1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), 6);
        fleet.daemons[0].kill().expect("the daemon is killed");
        let deadline = Instant::now() + Duration::from_secs(11);
        while Instant::now() < deadline {
            for daemon in [1, 2] {
                let (status, _) =
                    Client.read_results(fleet.ingress(daemon), "h1", 0).await.expect("an answer");
                assert_ne!(status, StatusCode::NOT_FOUND, "the results were removed");
            }
            sleep(Duration::from_millis(250)).await;
        }
        let results = read_all_results(fleet.ingress(2), "h1", Duration::from_secs(15)).await;
        assert_eq!(results.len(), 6);
    });
}

#[test]
fn expired_job_leaves_no_objects_in_store() {
    run_local("kept", |folder| async move {
        let fleet = Fleet::start_with_retention(folder, 2, 4).await;
        let job = items("k1", 40, 40_000 / 17);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, "k1", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), "k1", Duration::from_secs(60)).await;
        assert_eq!(results.len(), 40);
        let remaining = || {
            let objects = fleet.deployment.store.objects.borrow();
            let count = |kind| objects.page(kind, "", 100).0.len();
            count("jobs") + count("job-inputs") + count("job-results")
        };
        let started = Instant::now();
        while remaining() > 0 {
            assert!(
                started.elapsed() < Duration::from_secs(15),
                "{} objects are left",
                remaining()
            );
            sleep(Duration::from_millis(200)).await;
        }
        for daemon in 0..2 {
            let read =
                Client.read_results(fleet.ingress(daemon), "k1", 0).await.expect("an answer");
            assert_eq!(read.0, StatusCode::NOT_FOUND);
        }
    });
}

/// Returns whether every item has a run that completed.
fn all_items_completed(fleet: &Fleet, items: &[NewItem]) -> bool {
    let log = fleet.deployment.log.borrow();
    items.iter().all(|item| log.runs_of(&item.id).iter().any(|run| run.is_complete))
}
