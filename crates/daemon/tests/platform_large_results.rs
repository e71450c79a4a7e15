//! Tests results that are larger in the store's encoding than as text.

#[expect(dead_code, reason = "not all helpers are used here")]
mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::expected_text;
use platform_stub::deployment::JOBS;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

const TIME_LIMIT: Duration = Duration::from_secs(30);

/// Runs a job and checks that all its results are listed, by its home and by a daemon that adopts it.
fn check_all_results_are_listed(job: &'static str, count: usize, events: u64) {
    run_local(job, move |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let items = items(job, count, events);
        let accepted =
            Client.submit_job(fleet.ingress(0), JOBS, job, &items).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(fleet.ingress(1), job, TIME_LIMIT).await;
        assert_eq!(results.len(), count);
        fleet.daemons[0].kill().expect("the daemon is killed");
        let adopted = read_all_results(fleet.ingress(1), job, TIME_LIMIT).await;
        assert_eq!(adopted, results);
        assert!(results.iter().all(|result| result.text == expected_text(&result.id, events)));
    });
}

// Guards against results with many quotes that the store refuses as too large for good.
#[test]
fn results_that_double_when_escaped_are_listed() {
    check_all_results_are_listed("quoted", 40, 80);
}

// Guards against a store that counts characters in another encoding than ours.
#[test]
fn results_that_the_store_counts_larger_than_sent_are_listed() {
    check_all_results_are_listed("emoji", 40, 80);
}

// Guards against one result that is too large for any single object.
#[test]
fn result_over_the_size_of_an_object_is_listed() {
    check_all_results_are_listed("quoted-large", 1, 1_500);
}
