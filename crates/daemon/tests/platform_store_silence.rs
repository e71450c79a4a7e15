//! Tests a daemon process after the store was silent for a while.

#[expect(dead_code, reason = "not all helpers are used here")]
mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::JOBS;
use platform_stub::store_server::StoreFault;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::run_local;

/// The longest time until a daemon applies a new configuration, the settings' `config_ms`.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(2);
/// How long the store is silent; the daemon calls it again for changes meanwhile.
const SILENCE: Duration = Duration::from_millis(3_000);
/// How long after a disruption the bounds hold again, the settings' `contact_ms`.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_000);

#[test]
fn configuration_is_in_force_in_time_after_a_watch_call_went_unanswered() {
    run_local("lost-watch", |folder| async move {
        let fleet = Fleet::start(folder, 1).await;
        let daemon = fleet.ingress(0);
        fleet.deployment.store.fault.set(StoreFault::Silent);
        // The store answers the call that waits for changes, but not the next one.
        fleet.deployment.add_route("/early/");
        let submitted = Client.submit_job(daemon, JOBS, "j", &items("j", 1, 1)).await;
        assert!(submitted.is_ok_and(|answer| answer.status != StatusCode::ACCEPTED));
        sleep(SILENCE).await;
        fleet.deployment.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        fleet.deployment.add_route("/late/");
        let added = Instant::now();
        let mut number = 0;
        loop {
            number += 1;
            let lookup = OutgoingRequest::lookup("/late/", &format!("late-{number}"));
            let status = Client.call(daemon, &lookup).await.expect("an answer").status;
            if status == StatusCode::OK {
                break;
            }
            assert!(added.elapsed() < MAX_CONFIG_DELAY, "still {status}");
            sleep(Duration::from_millis(50)).await;
        }
    });
}

// Guards against an old configuration that stays in force since the watches' connections went silent.
#[test]
fn configuration_is_in_force_in_time_after_connections_of_watches_went_silent() {
    run_local("silent-connections", |folder| async move {
        let fleet = Fleet::start(folder, 4).await;
        fleet.deployment.store.silence_waiting_watches();
        sleep(IN_TOUCH_AFTER).await;
        check_new_route_is_served_in_time(&fleet, "/after-silence/").await;
    });
}

// Guards against watchers that go on watching though the store answers none of their watch calls.
#[test]
fn configuration_is_in_force_in_time_while_the_store_answers_no_watch_calls() {
    run_local("silent-watches", |folder| async move {
        let fleet = Fleet::start(folder, 4).await;
        fleet.deployment.store.fault.set(StoreFault::SilentWatches);
        sleep(IN_TOUCH_AFTER).await;
        check_new_route_is_served_in_time(&fleet, "/without-watches/").await;
    });
}

/// Adds a route and checks that every daemon serves it within the bound for a configuration.
async fn check_new_route_is_served_in_time(fleet: &Fleet, prefix: &str) {
    fleet.deployment.add_route(prefix);
    let added = Instant::now();
    for number in 0..fleet.daemons.len() {
        let mut calls = 0;
        loop {
            calls += 1;
            let lookup = OutgoingRequest::lookup(prefix, &format!("late-{number}-{calls}"));
            let status =
                Client.call(fleet.ingress(number), &lookup).await.expect("an answer").status;
            if status == StatusCode::OK {
                break;
            }
            assert!(added.elapsed() < MAX_CONFIG_DELAY, "daemon {number}: still {status}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}
