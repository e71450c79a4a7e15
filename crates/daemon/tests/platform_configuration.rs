//! Tests a daemon process with requests and connections that last beyond a change of the
//! configuration.

mod newer_peer;
mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::client::expected_text;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use rustix::process::Signal;
use serde_json::json;
use tokio::task::spawn_local;
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
/// The number of events of a stream that lasts beyond the change of the configuration.
const EVENTS: u64 = 400;

#[test]
fn streams_in_progress_are_whole_although_their_route_and_service_go() {
    run_local("config-streams", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let streams: Vec<_> = (0..12)
            .map(|number| {
                let prefix = if number % 2 == 0 { STREAM } else { RESUMABLE };
                let id = format!("s{number}");
                spawn_local(async move {
                    let answer = Client.stream(daemon, prefix, &id, EVENTS).await;
                    (id, answer)
                })
            })
            .collect();
        sleep(Duration::from_millis(100)).await;
        fleet.deployment.configure(|configuration| {
            configuration["routes"] = json!([]);
            configuration["services"] = json!([]);
        });
        sleep(IN_FORCE_AFTER).await;
        let unrouted = Client.lookup(daemon, LOOKUP, "l").await.expect("an answer");
        assert_eq!(unrouted.status, StatusCode::NOT_FOUND);
        for stream in streams {
            let (id, answer) = stream.await.expect("the task ends");
            let answer = answer.unwrap_or_else(|failure| panic!("{id} was cut: {failure:?}"));
            assert!(is_complete_stream(&id, EVENTS, &answer.body), "{id} is not whole");
        }
    });
}

#[test]
fn items_are_whole_beside_a_series_of_configurations() {
    run_local("config-items", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let job = items("j", 12, EVENTS);
        Client.submit_job(daemon, JOBS, "j", &job).await.expect("an answer");
        for number in 0..30 {
            fleet.deployment.configure(|configuration| {
                configuration["limits"]["idle_ms"] = json!(2000 + 100 * number);
                configuration["routes"][0]["timeout_ms"] = json!(3000 + 100 * number);
            });
            sleep(Duration::from_millis(40)).await;
        }
        let mut results = read_all_results(daemon, "j", Duration::from_secs(20)).await;
        results.sort_by(|a, b| a.id.cmp(&b.id));
        assert_eq!(results.len(), 12, "items are open");
        for result in results {
            assert_eq!(
                result.text,
                expected_text(&result.id, EVENTS),
                "{} is not whole",
                result.id
            );
        }
    });
}

#[test]
fn stream_is_resumed_although_its_service_is_gone_from_the_configuration() {
    run_local("config-resumed", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let stream =
            spawn_local(async move { Client.stream(daemon, RESUMABLE, "r", EVENTS).await });
        sleep(Duration::from_millis(100)).await;
        fleet.deployment.configure(|configuration| {
            configuration["routes"] = json!([]);
            configuration["services"] = json!([]);
        });
        sleep(IN_FORCE_AFTER).await;
        let log = fleet.deployment.log.clone();
        let first = log.borrow().runs_of("r").first().expect("the request runs").replica.clone();
        fleet.deployment.crash_replica(&first, Duration::ZERO);
        let answer = stream.await.expect("the task ends").expect("the stream is not cut");
        assert!(fleet.runs("r") > 1, "the stream was not resumed");
        assert!(is_complete_stream("r", EVENTS, &answer.body));
    });
}

#[test]
fn connection_is_not_closed_within_an_idle_limit_that_was_raised() {
    run_local("config-idle-raised", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        fleet
            .deployment
            .configure(|configuration| configuration["limits"]["idle_ms"] = json!(1000));
        sleep(IN_FORCE_AFTER).await;
        let mut connection = Connection::open(daemon, CONNECT_TIMEOUT).await.expect("it opens");
        let first = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l1")).await;
        assert_eq!(first.expect("an answer").status, StatusCode::OK);
        fleet
            .deployment
            .configure(|configuration| configuration["limits"]["idle_ms"] = json!(5000));
        sleep(IN_FORCE_AFTER).await;
        let second = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l2")).await;
        assert_eq!(second.expect("an answer").status, StatusCode::OK);
        sleep(Duration::from_millis(3000)).await;
        let third = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l3")).await;
        assert_eq!(third.expect("the connection is open").status, StatusCode::OK);
    });
}

#[test]
fn connection_is_not_closed_within_an_idle_limit_that_was_lowered() {
    run_local("config-idle-lowered", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let mut connection = Connection::open(daemon, CONNECT_TIMEOUT).await.expect("it opens");
        let first = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l1")).await;
        assert_eq!(first.expect("an answer").status, StatusCode::OK);
        fleet
            .deployment
            .configure(|configuration| configuration["limits"]["idle_ms"] = json!(2000));
        sleep(IN_FORCE_AFTER).await;
        for id in ["l2", "l3"] {
            sleep(Duration::from_millis(1600)).await;
            let next = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, id)).await;
            assert_eq!(next.expect("the connection is open").status, StatusCode::OK);
        }
    });
}

#[test]
fn request_that_arrives_while_its_daemon_is_paused_is_answered_after_the_idle_limit() {
    run_local("config-idle-paused", |folder| async move {
        let mut fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        fleet
            .deployment
            .configure(|configuration| configuration["limits"]["idle_ms"] = json!(1000));
        sleep(IN_FORCE_AFTER).await;
        let mut connection = Connection::open(daemon, CONNECT_TIMEOUT).await.expect("it opens");
        let first = Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l1")).await;
        assert_eq!(first.expect("an answer").status, StatusCode::OK);
        sleep(Duration::from_millis(300)).await;
        fleet.daemons[0].signal(Signal::STOP).expect("the signal is sent");
        sleep(Duration::from_millis(300)).await;
        let call = spawn_local(async move {
            Client.call_on(&mut connection, &OutgoingRequest::lookup(LOOKUP, "l2")).await
        });
        sleep(Duration::from_millis(1_000)).await;
        fleet.daemons[0].signal(Signal::CONT).expect("the signal is sent");
        let second = call.await.expect("the task ends");
        assert_eq!(second.expect("an answer").status, StatusCode::OK);
    });
}

// Guards against 404, which clients do not try again, for a route that a newer configuration has.
#[test]
fn unknown_route_is_refused_for_now_while_a_peer_has_a_newer_configuration() {
    run_local("outdated", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        let call = async |id: &str| {
            let lookup = OutgoingRequest::lookup("/unknown/", id);
            Client.call(daemon, &lookup).await.expect("an answer")
        };
        assert_eq!(call("before").await.status, StatusCode::NOT_FOUND);
        report_configuration(&fleet, 1_000_000).await;
        sleep(Duration::from_millis(200)).await;
        let refused = call("meanwhile").await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(refused.headers.contains_key("retry-after"));
        let known = Client.lookup(daemon, LOOKUP, "known").await.expect("an answer");
        assert_eq!(known.status, StatusCode::OK, "a known route is not served");
    });
}
