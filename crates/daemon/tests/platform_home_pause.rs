//! Tests the home of a job that is paused while another daemon ends or finishes the job.

mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::deployment::JOBS;
use platform_stub::replica::ReplicaFault;
use rustix::process::Signal;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// After this time without heartbeats another daemon has taken over the job.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);

fn set_replica_faults(fleet: &Fleet, fault: ReplicaFault) {
    for name in fleet.deployment.replicas() {
        fleet.deployment.replica(&name).expect("the replica runs").fault.set(fault);
    }
}

/// Submits a job to the first daemon, whose items wait, and pauses that daemon.
async fn pause_home_of_waiting_job(fleet: &mut Fleet, job: &str, items: &[NewItem]) {
    set_replica_faults(fleet, ReplicaFault::Full);
    let accepted = Client.submit_job(fleet.ingress(0), JOBS, job, items).await.expect("an answer");
    assert_eq!(accepted.status, StatusCode::ACCEPTED);
    sleep(Duration::from_secs(1)).await;
    fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
    sleep(TAKEOVER_TIME).await;
}

// Guards against a home that runs the items of a job that its successor has ended.
#[test]
fn paused_home_runs_no_item_of_job_that_was_ended_meanwhile() {
    run_local("ended", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("e1", 5, 20);
        pause_home_of_waiting_job(&mut fleet, "e1", &job).await;
        let ended = Client.end_job(fleet.ingress(1), "e1").await.expect("an answer");
        assert_eq!(ended, StatusCode::OK);
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        sleep(Duration::from_secs(1)).await;
        set_replica_faults(&fleet, ReplicaFault::None);
        sleep(Duration::from_secs(3)).await;
        let ran = job.iter().filter(|item| fleet.runs(&item.id) > 0).count();
        assert_eq!(ran, 0, "items of the ended job ran");
    });
}

// Guards against a home whose heartbeats replace the note of its successor at all other daemons.
#[test]
fn paused_home_does_not_hide_results_that_others_have_shown() {
    run_local("finished", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let job = items("f1", 3, 20);
        pause_home_of_waiting_job(&mut fleet, "f1", &job).await;
        set_replica_faults(&fleet, ReplicaFault::None);
        let results = read_all_results(fleet.ingress(1), "f1", Duration::from_secs(10)).await;
        assert_eq!(results.len(), job.len());
        set_replica_faults(&fleet, ReplicaFault::Full);
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        let deadline = Instant::now() + Duration::from_secs(4);
        while Instant::now() < deadline {
            for number in 0..3 {
                let read = Client.read_results(fleet.ingress(number), "f1", 0).await;
                let Ok((StatusCode::OK, Some(page))) = read else { continue };
                assert_eq!(page.results.len(), job.len(), "at daemon {number}");
            }
            sleep(Duration::from_millis(100)).await;
        }
    });
}
