//! Tests a daemon process that is told to stop while its replicas have not answered.

#[expect(dead_code, reason = "the helpers for jobs are not used here")]
mod platform_fleet;
#[expect(dead_code, reason = "the scripts of answers are not used here")]
mod raw_replicas;

use std::future::pending;
use std::time::Duration;

use http::StatusCode;
use platform::names::WAIT_MS;
use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::STREAM;
use platform_stub::store_server::StoreFault;
use rustix::process::Signal;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::run_local;
use crate::raw_replicas::Requests;
use crate::raw_replicas::reads_of;
use crate::raw_replicas::recorded;
use crate::raw_replicas::start_with_raw_engines;

/// When a late request is sent after SIGTERM; its daemon has 3 s.
const LATE: Duration = Duration::from_millis(1_300);
/// When a call that waits for the store is sent after SIGTERM, so that it waits until the last answers.
const STORE_CALL_AFTER: Duration = Duration::from_millis(700);

async fn start_with_silent_engines(folder: std::path::PathBuf, requests: &Requests) -> Fleet {
    let answer = recorded(requests, |_, stream| async move {
        pending::<()>().await;
        Some(stream)
    });
    start_with_raw_engines(folder, 2, answer).await
}

#[test]
fn request_sent_before_the_stop_is_answered_before_the_process_exits() {
    run_local("stop-silent", |folder| async move {
        let requests = Requests::default();
        let mut fleet = start_with_silent_engines(folder, &requests).await;
        let daemon = fleet.ingress(0);
        let request = OutgoingRequest::stream(STREAM, "r", 4).with_deadline_ms(20_000);
        let call = spawn_local(async move { Client.call(daemon, &request).await });
        sleep(Duration::from_millis(200)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        let answer = call.await.expect("the task ends").expect("an answer");
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(fleet.daemons[0].stop(Duration::from_secs(5)).await.expect("the daemon stops"));
    });
}

#[test]
fn late_request_whose_time_ends_with_the_grace_period_is_not_sent() {
    run_local("stop-late", |folder| async move {
        let requests = Requests::default();
        let mut fleet = start_with_silent_engines(folder, &requests).await;
        let daemon = fleet.ingress(0);
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        sleep(LATE).await;
        let request = OutgoingRequest::stream(STREAM, "r", 4).with_deadline_ms(1_650);
        let answer = Client.call(daemon, &request).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(reads_of(&requests, "r"), 0, "the request was sent");
    });
}

// Guards against a submission that is cut though its write may have reached the store, and against a
// promise that the job was not accepted.
#[test]
fn submission_that_waits_for_the_store_is_answered_before_the_process_exits() {
    run_local("stop-submission", |folder| async move {
        let mut fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        fleet.deployment.store.fault.set(StoreFault::LostAnswers { share: 1.0, late_ms: 100 });
        let submission = OutgoingRequest::job(JOBS, "j", &items("j", 1, 1));
        let call = spawn_local(async move { Client.call(daemon, &submission).await });
        sleep(Duration::from_millis(200)).await;
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        let answer = call.await.expect("the task ends").expect("an answer");
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        let written = fleet.deployment.store.objects.borrow().get("jobs", "j");
        assert!(written.is_some(), "the job was accepted");
        assert!(fleet.daemons[0].stop(Duration::from_secs(5)).await.expect("the daemon stops"));
    });
}

// Guards against an end of a job that is cut, and against a promise that the job goes on.
#[test]
fn end_that_waits_for_the_store_is_answered_before_the_process_exits() {
    run_local("stop-end", |folder| async move {
        let mut fleet = start_with_silent_engines(folder, &Requests::default()).await;
        let daemon = fleet.ingress(0);
        let accepted = Client.submit_job(daemon, JOBS, "j", &items("j", 1, 1)).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        fleet.deployment.store.fault.set(StoreFault::Silent);
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        sleep(STORE_CALL_AFTER).await;
        let status = Client.end_job(daemon, "j").await.expect("an answer");
        assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
        assert!(fleet.daemons[0].stop(Duration::from_secs(5)).await.expect("the daemon stops"));
    });
}

// Guards against a read of results that is cut while it waits for the next result.
#[test]
fn read_that_waits_for_results_is_answered_before_the_process_exits() {
    run_local("stop-read", |folder| async move {
        let mut fleet = start_with_silent_engines(folder, &Requests::default()).await;
        let daemon = fleet.ingress(0);
        let accepted = Client.submit_job(daemon, JOBS, "j", &items("j", 1, 1)).await;
        assert_eq!(accepted.expect("an answer").status, StatusCode::ACCEPTED);
        fleet.deployment.store.fault.set(StoreFault::Silent);
        fleet.daemons[0].signal(Signal::TERM).expect("the signal is sent");
        sleep(STORE_CALL_AFTER).await;
        let mut read = OutgoingRequest::results("j", 0);
        read.headers = vec![(WAIT_MS.to_owned(), "20000".to_owned())];
        let answer = Client.call(daemon, &read).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(fleet.daemons[0].stop(Duration::from_secs(5)).await.expect("the daemon stops"));
    });
}
