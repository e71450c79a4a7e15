//! Tests jobs end to end with daemon processes that are killed, paused and stopped.

mod common;

use std::process::Child;
use std::time::Duration;

use common::Fleet;
use serde_json::Value;
use stub::engine::expected_answer;

const TOKENS: u32 = 8;

struct Results {
    lines: Vec<Value>,
}

impl Results {
    fn read(path: &str) -> Self {
        let text = std::fs::read_to_string(path).expect("the results can be read");
        let lines = text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
        Self { lines }
    }

    fn count_outcome(&self, outcome: &str) -> usize {
        self.lines.iter().filter(|line| line["outcome"] == outcome).count()
    }

    /// Asserts that every item has one outcome and that every answer belongs to the item's prompt.
    fn assert_complete(&self, name: &str, items: usize) {
        assert_eq!(self.lines.len(), items);
        for (index, line) in self.lines.iter().enumerate() {
            assert_eq!(line["index"], index);
            if line["outcome"] == "done" {
                let expected = expected_answer(&format!("{name} item {index}"), TOKENS as usize);
                assert_eq!(line["text"], expected);
            }
        }
    }
}

fn start_job(fleet: &Fleet, file: &str, extra_args: &[&str]) -> (Child, String) {
    let results = format!("{file}.results");
    let mut args = vec!["job", "start", file, "--model", "depot", "--wait", "--results", &results];
    args.extend(extra_args);
    (fleet.spawn_as_caller(&args), results.clone())
}

fn wait_for_runs(fleet: &Fleet, count: usize) {
    fleet.wait_until("items to run", || fleet.runs().len() >= count);
}

fn wait_for_job(child: Child) -> std::process::Output {
    child.wait_with_output().expect("crocus ends")
}

#[test]
fn job_returns_a_result_for_every_item() {
    let fleet = Fleet::start("plain", 201, 1);
    let file = fleet.write_items("logs", 600, TOKENS);
    let (child, results) = start_job(&fleet, &file, &[]);
    let output = wait_for_job(child);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let results = Results::read(&results);
    results.assert_complete("logs", 600);
    assert_eq!(results.count_outcome("done"), 600);
}

#[test]
fn killed_owner_neither_loses_nor_repeats_items() {
    let mut fleet = Fleet::start("killed", 202, 3);
    let file = fleet.write_items("bills", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 500);
    fleet.kill(1);
    fleet.start_daemon(1);
    wait_for_runs(&fleet, 1200);
    fleet.kill(2);
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_complete("bills", 3000);
    assert_eq!(results.count_outcome("done") + results.count_outcome("interrupted"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn paused_owner_repeats_no_item_after_it_resumes() {
    let fleet = Fleet::start("paused", 203, 3);
    let file = fleet.write_items("drafts", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 500);
    fleet.signal(1, "-STOP");
    std::thread::sleep(Duration::from_secs(5));
    fleet.signal(1, "-CONT");
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_complete("drafts", 3000);
    assert_eq!(results.count_outcome("done") + results.count_outcome("interrupted"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn graceful_restart_of_each_daemon_interrupts_no_item() {
    let mut fleet = Fleet::start("graceful", 204, 3);
    let file = fleet.write_items("invoices", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 300);
    for index in 0..3 {
        fleet.stop(index);
        fleet.start_daemon(index);
    }
    let output = wait_for_job(child);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let results = Results::read(&results);
    results.assert_complete("invoices", 3000);
    assert_eq!(results.count_outcome("done"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn store_outage_loses_no_results_and_blocks_only_new_jobs() {
    let fleet = Fleet::start("outage", 205, 2);
    let file = fleet.write_items("summaries", 2000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &[]);
    wait_for_runs(&fleet, 300);
    fleet.inject_platform_fault("{\"fault\": \"down\"}");
    std::thread::sleep(Duration::from_secs(6));
    let other = fleet.write_items("refused", 10, TOKENS);
    let refused = fleet.run_as_caller(&["job", "start", &other, "--model", "depot"]);
    assert!(!refused.status.success(), "nothing can be accepted while the store is down");
    let answer = fleet.run_as_caller(&["ask", "--model", "depot", "--max-tokens", "8", "crate 7"]);
    assert!(answer.status.success(), "{}", String::from_utf8_lossy(&answer.stderr));
    assert_eq!(
        String::from_utf8_lossy(&answer.stdout).trim_end(),
        expected_answer("crate 7", 8).trim_end()
    );
    fleet.inject_platform_fault("{\"fault\": \"heal\"}");
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_complete("summaries", 2000);
    assert_eq!(results.count_outcome("done"), 2000);
}

#[test]
fn job_owner_stops_during_store_outage_and_repeats_no_item() {
    let mut fleet = Fleet::start("stop-outage", 208, 2);
    let file = fleet.write_items("manifests", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 300);
    let owner = (0..2).find(|index| fleet.read_log(*index).contains("event=job_run_started"));
    let owner = owner.expect("a daemon runs the job");
    fleet.inject_platform_fault("{\"fault\": \"down\"}");
    std::thread::sleep(Duration::from_millis(500));
    fleet.stop_within(owner, Duration::from_secs(20));
    fleet.inject_platform_fault("{\"fault\": \"heal\"}");
    fleet.start_daemon(owner);
    let output = wait_for_job(child);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let results = Results::read(&results);
    results.assert_complete("manifests", 3000);
    assert_eq!(results.count_outcome("done") + results.count_outcome("interrupted"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn cancelled_job_starts_no_item_and_keeps_outcomes() {
    let fleet = Fleet::start("cancelled", 206, 2);
    let file = fleet.write_items("wrong", 3000, TOKENS);
    let output =
        fleet.run_as_caller(&["job", "start", &file, "--model", "depot", "--output", "json"]);
    let status: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let job = status["job"].as_str().expect("the job has an id").to_owned();
    wait_for_runs(&fleet, 300);
    assert!(fleet.run_as_caller(&["job", "cancel", &job]).status.success());
    fleet.wait_until("the job to be cancelled", || {
        let output = fleet.run_as_caller(&["job", "status", &job, "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        status["state"] == "cancelled"
    });
    let runs = fleet.runs().len();
    let results_path = fleet.path("wrong.results");
    assert!(
        fleet.run_as_caller(&["job", "results", &job, "--out", &results_path]).status.success()
    );
    let results = Results::read(&results_path);
    results.assert_complete("wrong", 3000);
    assert!(results.count_outcome("cancelled") > 0);
    assert_eq!(results.count_outcome("done") + results.count_outcome("cancelled"), 3000);
    assert_eq!(fleet.runs().len(), runs, "a cancelled job started another item");
}

#[test]
fn job_resent_with_same_key_is_not_run_again() {
    let fleet = Fleet::start("resent", 207, 2);
    let file = fleet.write_items("same", 50, TOKENS);
    let start = |file: &str| {
        fleet.run_as_caller(&[
            "job", "start", file, "--model", "depot", "--key", "march", "--output", "json",
        ])
    };
    let first: Value = serde_json::from_slice(&start(&file).stdout).expect("JSON");
    let again: Value = serde_json::from_slice(&start(&file).stdout).expect("JSON");
    assert_eq!(first["job"], again["job"]);
    let other = fleet.write_items("other", 50, TOKENS);
    let refused = start(&other);
    assert_eq!(refused.status.code(), Some(1));
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(message.contains("used before with other content"), "{message}");
    fleet.wait_until("the job to finish", || {
        let id = first["job"].as_str().unwrap_or_default();
        let output = fleet.run_as_caller(&["job", "status", id, "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        status["state"] == "finished"
    });
    assert_eq!(fleet.runs_of("same item 7"), 1);
}
