//! Tests daemon processes on a configuration with organisations: keys, and jobs of several
//! organisations.

mod newer_peer;
mod platform_fleet;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::Answer;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::ResultsPage;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaFault;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;
use upstream::Connection;

use crate::newer_peer::report_configuration;
use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// The time in which a daemon puts a new configuration in force.
const IN_FORCE_AFTER: Duration = Duration::from_millis(600);
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The keys of the organisations `alpha` and `beta`.
const ALPHA: &str = "key-of-alpha";
const ALPHA_SECOND: &str = "second-key-of-alpha";
const BETA: &str = "key-of-beta";
const UNKNOWN: &str = "key-of-nobody";

fn organisations() -> Value {
    json!([
        { "name": "alpha", "api_keys": [ALPHA, ALPHA_SECOND] },
        { "name": "beta", "api_keys": [BETA], "priority": 1 },
    ])
}

async fn start(folder: std::path::PathBuf, count: u8) -> Fleet {
    let fleet = Fleet::start(folder, count).await;
    fleet.deployment.set_organisations(organisations());
    sleep(IN_FORCE_AFTER).await;
    fleet
}

async fn call(daemon: SocketAddr, request: OutgoingRequest) -> Answer {
    Client.call(daemon, &request).await.expect("an answer")
}

async fn status_of(daemon: SocketAddr, request: OutgoingRequest) -> StatusCode {
    call(daemon, request).await.status
}

fn lookup(id: &str) -> OutgoingRequest {
    OutgoingRequest::lookup(LOOKUP, id)
}

/// Returns the organisations that the runs of a request were sent for.
fn organisations_of(fleet: &Fleet, id: &str) -> Vec<Option<String>> {
    let log = fleet.deployment.log.borrow();
    log.runs_of(id).iter().map(|run| run.organisation.clone()).collect()
}

/// Asserts that no replica got a credential and no log shows a key.
fn assert_no_key_is_shown(fleet: &Fleet) {
    assert_eq!(fleet.deployment.log.borrow().credential_arrivals, [""; 0]);
    for daemon in &fleet.daemons {
        let log = std::fs::read_to_string(&daemon.log).expect("the log is read");
        for key in [ALPHA, BETA, UNKNOWN] {
            assert!(!log.contains(key), "the log of {} shows a key", daemon.settings.name);
        }
    }
}

/// Reads the results of a job with a key until all are there; panics after 20 s.
async fn read_all(daemon: SocketAddr, job: &str, key: &str) -> usize {
    let deadline = Instant::now() + Duration::from_secs(20);
    loop {
        let answer = call(daemon, OutgoingRequest::results(job, 0).with_key(key)).await;
        let page: Option<ResultsPage> = serde_json::from_slice(&answer.body).ok();
        match page {
            Some(page) if page.results.len() == page.total => return page.total,
            _ => assert!(Instant::now() < deadline, "{job} is not done: {}", answer.status),
        }
        sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a key, or a client's own choice of the organisation, that reaches a replica: on
/// first sends, retries, resumed streams and items.
#[test]
fn replica_gets_the_organisation_in_place_of_credentials() {
    run_local("org-heads", |folder| async move {
        let fleet = start(folder, 2).await;
        let daemon = fleet.ingress(0);
        let aborting = fleet.deployment.replica("engine-0").expect("the replica runs");
        aborting.fault.set(ReplicaFault::AbortsStreams);
        let refusing = fleet.deployment.replica("plain-0").expect("the replica runs");
        refusing.fault.set(ReplicaFault::Full);
        let mut resumed = 0;
        for number in 0..15 {
            let id = format!("r{number}");
            let request = OutgoingRequest::stream(RESUMABLE, &id, 12).with_key(ALPHA);
            let answer = call(daemon, request.with_header("x-tenant", "beta")).await;
            assert!(is_complete_stream(&id, 12, &answer.body), "the stream of {id} is incomplete");
            let runs = organisations_of(&fleet, &id);
            assert!(runs.iter().all(|run| run.as_deref() == Some("alpha")), "{id}: {runs:?}");
            resumed += usize::from(runs.len() > 1);
            let id = format!("l{number}");
            let request = lookup(&id).with_key(BETA).with_header("connection", "x-tenant");
            assert_eq!(status_of(daemon, request).await, StatusCode::OK);
            assert_eq!(organisations_of(&fleet, &id), [Some("beta".to_owned())]);
        }
        assert!(resumed > 0, "no stream was resumed at another replica");

        let headers = json!({ "Authorization": format!("Bearer {ALPHA}"), "X-Tenant": "alpha",
            "x-token-counts": "100,50" });
        let items: Vec<Value> = (0..6)
            .map(|n| {
                json!({ "id": format!("i{n}"), "path": format!("{JOBS}j/{n}"), "headers": headers,
                        "tokens": 150 })
            })
            .collect();
        let mut job = OutgoingRequest::job(JOBS, "j", &[]).with_key(BETA);
        job.body = Bytes::from(json!({ "items": items }).to_string());
        assert_eq!(status_of(daemon, job).await, StatusCode::ACCEPTED);
        assert_eq!(read_all(fleet.ingress(1), "j", BETA).await, 6);
        for number in 0..6 {
            let runs = organisations_of(&fleet, &format!("i{number}"));
            assert!(!runs.is_empty() && runs.iter().all(|run| run.as_deref() == Some("beta")));
        }
        assert_no_key_is_shown(&fleet);
    });
}

/// Guards against requests that run without a valid key, and against keys that are asked for on an
/// open route.
#[test]
fn unknown_key_is_refused_except_on_open_route() {
    run_local("org-unknown", |folder| async move {
        let fleet = start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let requests = [
            lookup("l").with_key(UNKNOWN),
            lookup("l"),
            lookup("l").with_header("authorization", ALPHA),
            lookup("l").with_header("authorization", &format!("Basic {ALPHA}")),
            lookup("l").with_key(UNKNOWN).with_key(ALPHA),
            lookup("l").with_header("x-tenant", "alpha"),
            OutgoingRequest::stream(STREAM, "l", 5).with_key(UNKNOWN),
            OutgoingRequest::job(JOBS, "l", &items("l", 1, 5)).with_key(UNKNOWN),
            OutgoingRequest::job(JOBS, "l", &items("l", 1, 5)),
            OutgoingRequest::results("l", 0).with_key(UNKNOWN),
            OutgoingRequest::item_body("l", "l-0"),
            OutgoingRequest::end_of_job("l").with_key(UNKNOWN),
        ];
        for request in requests {
            let text = format!("{} {:?}", request.target, request.headers);
            assert_eq!(status_of(daemon, request).await, StatusCode::UNAUTHORIZED, "{text}");
        }
        assert_eq!(fleet.runs("l") + fleet.runs("l-0"), 0);

        fleet.deployment.configure(|configuration| {
            configuration["routes"][2]["anonymous"] = json!(true);
        });
        sleep(IN_FORCE_AFTER).await;
        let spoofed = |id: &str| lookup(id).with_header("x-tenant", "alpha");
        for (id, request, expected) in [
            ("o1", spoofed("o1"), None),
            ("o2", spoofed("o2").with_key(UNKNOWN), None),
            ("o3", spoofed("o3").with_key(BETA), Some("beta")),
        ] {
            assert_eq!(status_of(daemon, request).await, StatusCode::OK, "{id}");
            assert_eq!(organisations_of(&fleet, id), [expected.map(str::to_owned)], "{id}");
        }
        assert_no_key_is_shown(&fleet);
    });
}

/// Guards against a configuration without organisations that changes what replicas get.
#[test]
fn credentials_are_forwarded_without_organisations() {
    run_local("org-none", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let request = lookup("l").with_key(UNKNOWN).with_header("x-tenant", "own");
        assert_eq!(status_of(fleet.ingress(0), request).await, StatusCode::OK);
        assert_eq!(organisations_of(&fleet, "l"), [Some("own".to_owned())]);
        assert_eq!(fleet.deployment.log.borrow().credential_arrivals, ["l"]);
        let job = OutgoingRequest::job(JOBS, "j", &items("j", 3, 5));
        assert_eq!(status_of(fleet.ingress(0), job).await, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(0), "j", Duration::from_secs(10)).await;
        assert_eq!(results.len(), 3);
        assert_eq!(organisations_of(&fleet, "j-0"), [None]);
    });
}

/// Guards against a revoked key that goes on to work on an open connection, and against a new key
/// that does not.
#[test]
fn keys_are_revoked_and_added_with_a_version() {
    run_local("org-versions", |folder| async move {
        let fleet = start(folder, 2).await;
        let mut connection =
            Connection::open(fleet.ingress(0), CONNECT_TIMEOUT).await.expect("it opens");
        let before = lookup("b").with_key(ALPHA);
        let before = Client.call_on(&mut connection, &before).await.expect("an answer");
        assert_eq!(before.status, StatusCode::OK);
        fleet.deployment.set_organisations(json!([
            { "name": "alpha", "api_keys": ["new-key", ALPHA_SECOND] },
            { "name": "beta", "api_keys": [BETA] },
        ]));
        sleep(IN_FORCE_AFTER).await;
        let after = lookup("a").with_key(ALPHA);
        let after = Client.call_on(&mut connection, &after).await.expect("an answer");
        assert_eq!(after.status, StatusCode::UNAUTHORIZED);
        assert_eq!(fleet.runs("a"), 0);
        for daemon in 0..2 {
            for key in ["new-key", ALPHA_SECOND, BETA] {
                let request = lookup(&format!("{key}{daemon}")).with_key(key);
                assert_eq!(status_of(fleet.ingress(daemon), request).await, StatusCode::OK);
            }
            let revoked = lookup("revoked").with_key(ALPHA);
            let status = status_of(fleet.ingress(daemon), revoked).await;
            assert_eq!(status, StatusCode::UNAUTHORIZED);
        }
        assert_eq!(fleet.runs("revoked"), 0);
    });
}

/// Guards against a request that is sent with a key that was revoked while it waited for a slot.
#[test]
fn request_with_a_key_that_is_revoked_while_it_waits_does_not_run() {
    run_local("org-waiting", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let configure = |organisations: Value| {
            fleet.deployment.configure(|configuration| {
                configuration["routes"][0]["timeout_ms"] = json!(15_000);
                configuration["tenants"] = organisations;
            });
        };
        configure(organisations());
        sleep(IN_FORCE_AFTER).await;
        let stream = |id: &str, events: u64, key: &str| {
            let stream = OutgoingRequest::stream(STREAM, id, events).with_deadline_ms(15_000);
            let request = stream.with_key(key);
            spawn_local(async move { Client.call(daemon, &request).await })
        };
        // The slots of all engines.
        let running: Vec<_> = (0..24).map(|n| stream(&format!("s{n}"), 300, ALPHA)).collect();
        sleep(Duration::from_millis(300)).await;
        let waiting = stream("w", 5, BETA);
        let waiting_alpha = stream("wa", 5, ALPHA);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(fleet.runs("w"), 0, "the request does not wait");
        configure(json!([{ "name": "alpha", "api_keys": [ALPHA] }]));
        let refused = waiting.await.expect("the task ends").expect("an answer");
        assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
        assert_eq!(fleet.runs("w"), 0);
        let served = waiting_alpha.await.expect("the task ends").expect("an answer");
        assert_eq!(served.status, StatusCode::OK);
        for stream in running {
            let answer = stream.await.expect("the task ends").expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
        }
    });
}

/// Guards against 401, which clients do not try again, for a key that a newer configuration has.
#[test]
fn unknown_key_is_refused_for_now_by_an_outdated_daemon() {
    run_local("org-outdated", |folder| async move {
        let fleet = start(folder, 1).await;
        let daemon = fleet.ingress(0);
        report_configuration(&fleet, 1_000_000).await;
        sleep(Duration::from_millis(200)).await;
        for request in [
            lookup("u").with_key(UNKNOWN),
            lookup("u"),
            OutgoingRequest::job(JOBS, "u", &items("u", 1, 5)).with_key(UNKNOWN),
            OutgoingRequest::results("u", 0).with_key(UNKNOWN),
            OutgoingRequest::end_of_job("u").with_key(UNKNOWN),
        ] {
            let target = request.target.clone();
            let answer = call(daemon, request).await;
            assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{target}");
            assert!(answer.headers.contains_key("retry-after"), "{target}");
            assert!(String::from_utf8_lossy(&answer.body).contains("outdated_bundle"), "{target}");
        }
        assert_eq!(fleet.runs("u"), 0);
        assert_eq!(status_of(daemon, lookup("k").with_key(ALPHA)).await, StatusCode::OK);
    });
}

/// Guards against 401 from a daemon that cannot hear of a newer configuration.
#[test]
fn unknown_key_is_refused_for_now_without_contact_to_the_store() {
    run_local("org-cut-off", |folder| async move {
        let fleet = start(folder, 1).await;
        let daemon = fleet.ingress(0);
        fleet.deployment.store.fault.set(platform_stub::store_server::StoreFault::Silent);
        sleep(Duration::from_millis(2_500)).await;
        let answer = call(daemon, lookup("u").with_key(UNKNOWN)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(status_of(daemon, lookup("k").with_key(ALPHA)).await, StatusCode::OK);
        assert_eq!(fleet.runs("u"), 0);
    });
}

/// Guards against a job that another organisation can read, end or take over: at its home, through
/// another daemon, after a hand-over and after an adoption.
#[test]
fn job_exists_only_for_its_organisation() {
    run_local("org-jobs", |folder| async move {
        let mut fleet = start(folder, 3).await;
        let job = OutgoingRequest::job(JOBS, "j", &items("j", 20, 300));
        let submitted = job.clone().with_key(ALPHA);
        assert_eq!(status_of(fleet.ingress(0), submitted.clone()).await, StatusCode::ACCEPTED);
        assert_hidden(&fleet, &[0, 1, 2]).await;
        for daemon in 0..3 {
            let taken = status_of(fleet.ingress(daemon), job.clone().with_key(BETA)).await;
            assert_eq!(taken, StatusCode::CONFLICT);
            let again = submitted.clone();
            assert_eq!(status_of(fleet.ingress(daemon), again).await, StatusCode::ACCEPTED);
        }
        let stopped = fleet.daemons[0].stop(Duration::from_secs(6)).await.expect("it stops");
        assert!(stopped, "the daemon did not stop by itself");
        assert_hidden(&fleet, &[1, 2]).await;
        let home = if log_contains(&fleet, 1, "event=handover_accepted") { 1 } else { 2 };
        assert!(log_contains(&fleet, home, "event=handover_accepted"), "no daemon took the job");
        fleet.daemons[home].kill().expect("the daemon is killed");
        let last = 3 - home;
        assert_eq!(read_all(fleet.ingress(last), "j", ALPHA_SECOND).await, 20);
        assert_hidden(&fleet, &[last]).await;
        let log = fleet.deployment.log.borrow();
        for run in (0..20).flat_map(|n| log.runs_of(&format!("j-{n}"))) {
            assert_eq!(run.organisation.as_deref(), Some("alpha"));
        }
    });
}

/// Asserts that for the other organisation the job is like one that does not exist.
async fn assert_hidden(fleet: &Fleet, daemons: &[usize]) {
    for daemon in daemons.iter().map(|daemon| fleet.ingress(*daemon)) {
        let calls = |job: &str| {
            [
                OutgoingRequest::results(job, 0),
                OutgoingRequest::item_body(job, "j-0"),
                OutgoingRequest::end_of_job(job),
            ]
        };
        for (request, absent) in calls("j").into_iter().zip(calls("no-such-job")) {
            let target = request.target.clone();
            let answer = call(daemon, request.clone().with_key(BETA)).await;
            let absent = call(daemon, absent.with_key(BETA)).await;
            assert_eq!(answer.status, StatusCode::NOT_FOUND, "{target}");
            assert_eq!((answer.status, answer.body), (absent.status, absent.body), "{target}");
            let unknown = status_of(daemon, request.with_key(UNKNOWN)).await;
            assert_eq!(unknown, StatusCode::UNAUTHORIZED, "{target}");
        }
        let own = OutgoingRequest::item_body("j", "j-0").with_key(ALPHA_SECOND);
        let own = call(daemon, own).await;
        assert_eq!((own.status, &own.body[..]), (StatusCode::OK, &b"prompt"[..]));
    }
}

fn log_contains(fleet: &Fleet, daemon: usize, text: &str) -> bool {
    let log = std::fs::read_to_string(&fleet.daemons[daemon].log).expect("the log is read");
    log.contains(text)
}

/// Guards against a job that ends with the key that submitted it.
#[test]
fn revoked_key_ends_no_job() {
    run_local("org-revoked-job", |folder| async move {
        let fleet = start(folder, 2).await;
        let job = OutgoingRequest::job(JOBS, "j", &items("j", 30, 200)).with_key(ALPHA);
        assert_eq!(status_of(fleet.ingress(0), job).await, StatusCode::ACCEPTED);
        fleet.deployment.set_organisations(json!([{ "name": "beta", "api_keys": [BETA] }]));
        sleep(IN_FORCE_AFTER).await;
        let read = OutgoingRequest::results("j", 0).with_key(ALPHA);
        assert_eq!(status_of(fleet.ingress(1), read).await, StatusCode::UNAUTHORIZED);
        let end = OutgoingRequest::end_of_job("j").with_key(ALPHA);
        assert_eq!(status_of(fleet.ingress(0), end).await, StatusCode::UNAUTHORIZED);
        sleep(Duration::from_secs(3)).await;
        fleet.deployment.set_organisations(json!([{ "name": "alpha", "api_keys": ["new"] }]));
        sleep(IN_FORCE_AFTER).await;
        assert_eq!(read_all(fleet.ingress(1), "j", "new").await, 30);
    });
}

/// Guards against a limit on waiting tokens that organisations share, or that daemons do not.
#[test]
fn waiting_tokens_are_limited_for_each_organisation_over_all_daemons() {
    run_local("org-tokens", |folder| async move {
        let fleet = start(folder, 2).await;
        for name in fleet.deployment.replicas() {
            fleet.deployment.replica(&name).expect("it runs").fault.set(ReplicaFault::Full);
        }
        fleet.deployment.configure(|configuration| {
            configuration["routes"][3]["max_count"] = json!(1_000);
        });
        sleep(IN_FORCE_AFTER).await;
        // Each item has 150 tokens.
        let submit = async |daemon: usize, job: &str, count: usize, key: &str| {
            let job = OutgoingRequest::job(JOBS, job, &items(job, count, 10)).with_key(key);
            status_of(fleet.ingress(daemon), job).await
        };
        assert_eq!(submit(0, "a1", 6, ALPHA).await, StatusCode::ACCEPTED);
        // The heartbeats of the home report its waiting tokens.
        sleep(Duration::from_millis(1_500)).await;
        assert_eq!(submit(1, "a2", 1, ALPHA_SECOND).await, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(submit(0, "a3", 1, ALPHA).await, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(submit(1, "b1", 6, BETA).await, StatusCode::ACCEPTED);
        assert_eq!(submit(1, "b2", 1, BETA).await, StatusCode::TOO_MANY_REQUESTS);
    });
}

/// Guards against an organisation whose requests wait behind all those of another one, also at the
/// owners of slots at another daemon.
#[test]
fn waiting_requests_get_slots_by_fair_shares() {
    run_local("org-shares", |folder| async move {
        let fleet = Fleet::start(folder, 2).await;
        fleet.deployment.configure(|configuration| {
            configuration["routes"][0]["timeout_ms"] = json!(15_000);
            // Late requests would wait behind those of beta whatever the shares are.
            configuration["routes"][0]["goal_ms"] = json!(14_000);
            configuration["tenants"] = organisations();
            configuration["tenants"][1]["priority"] = Value::Null;
        });
        sleep(IN_FORCE_AFTER).await;
        let stream = |id: String, key: &str, daemon: usize| {
            let stream = OutgoingRequest::stream(STREAM, &id, 60).with_deadline_ms(15_000);
            let (request, daemon) = (stream.with_key(key), fleet.ingress(daemon));
            spawn_local(async move { Client.call(daemon, &request).await })
        };
        // Four times the slots of all engines.
        let mut streams: Vec<_> =
            (0..96).map(|number| stream(format!("a{number}"), ALPHA, number % 2)).collect();
        sleep(Duration::from_millis(200)).await;
        streams.extend((0..4).map(|number| stream(format!("b{number}"), BETA, number % 2)));
        for stream in streams {
            let answer = stream.await.expect("the task ends").expect("an answer");
            assert_eq!(answer.status, StatusCode::OK);
        }
        let log = fleet.deployment.log.borrow();
        let started_ms = |id: &str| log.runs_of(id).first().expect("it ran").started_ms;
        let last_of_beta = (0..4).map(|number| started_ms(&format!("b{number}"))).max();
        let later = (0..96).map(|number| started_ms(&format!("a{number}")));
        let later = later.filter(|started_ms| Some(*started_ms) > last_of_beta).count();
        assert!(later >= 30, "{later} requests of alpha started after those of beta");
    });
}

/// Guards against a paused daemon that serves a revoked key after the pause.
#[test]
fn key_that_is_revoked_during_a_pause_does_not_work_after_it() {
    run_local("org-paused", |folder| async move {
        let mut fleet = start(folder, 2).await;
        fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
        fleet.deployment.set_organisations(json!([{ "name": "beta", "api_keys": [BETA] }]));
        sleep(Duration::from_secs(1)).await;
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        sleep(Duration::from_secs(2)).await;
        let revoked = lookup("r").with_key(ALPHA);
        assert_eq!(status_of(fleet.ingress(0), revoked).await, StatusCode::UNAUTHORIZED);
        assert_eq!(fleet.runs("r"), 0);
    });
}
