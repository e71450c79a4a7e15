//! The whole path over separate processes that are killed, paused and stopped.

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
        let text = std::fs::read_to_string(path).expect("the results are there");
        let lines = text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
        Self { lines }
    }

    fn with(&self, outcome: &str) -> usize {
        self.lines.iter().filter(|line| line["outcome"] == outcome).count()
    }

    /// Every item has one outcome, and every answer is the one for its own prompt.
    fn assert_whole(&self, name: &str, items: usize) {
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

fn start_job(fleet: &Fleet, file: &str, more: &[&str]) -> (Child, String) {
    let results = format!("{file}.results");
    let mut args = vec!["job", "start", file, "--model", "depot", "--wait", "--results", &results];
    args.extend(more);
    (fleet.spawn_caller(&args), results.clone())
}

fn wait_for_runs(fleet: &Fleet, count: usize) {
    fleet.wait_until("items to run", || fleet.runs().len() >= count);
}

fn wait_for_job(child: Child) -> std::process::Output {
    child.wait_with_output().expect("crocus ends")
}

#[test]
fn a_job_gives_every_result_back() {
    let fleet = Fleet::start("plain", 201, 1);
    let file = fleet.items("logs", 600, TOKENS);
    let (child, results) = start_job(&fleet, &file, &[]);
    let output = wait_for_job(child);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let results = Results::read(&results);
    results.assert_whole("logs", 600);
    assert_eq!(results.with("done"), 600);
}

#[test]
fn a_killed_owner_loses_and_doubles_nothing() {
    let mut fleet = Fleet::start("killed", 202, 3);
    let file = fleet.items("bills", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 500);
    fleet.kill(1);
    fleet.start_daemon(1);
    wait_for_runs(&fleet, 1200);
    fleet.kill(2);
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_whole("bills", 3000);
    assert_eq!(results.with("done") + results.with("interrupted"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn a_paused_owner_that_wakes_changes_nothing() {
    let fleet = Fleet::start("paused", 203, 3);
    let file = fleet.items("drafts", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 500);
    fleet.signal(1, "-STOP");
    std::thread::sleep(Duration::from_secs(5));
    fleet.signal(1, "-CONT");
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_whole("drafts", 3000);
    assert_eq!(results.with("done") + results.with("interrupted"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn a_graceful_stop_interrupts_nothing() {
    let mut fleet = Fleet::start("graceful", 204, 3);
    let file = fleet.items("invoices", 3000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &["--not-idempotent"]);
    wait_for_runs(&fleet, 300);
    for index in 0..3 {
        fleet.stop(index);
        fleet.start_daemon(index);
    }
    let output = wait_for_job(child);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let results = Results::read(&results);
    results.assert_whole("invoices", 3000);
    assert_eq!(results.with("done"), 3000);
    assert!(fleet.runs().values().all(|count| *count == 1), "an item was run twice");
}

#[test]
fn a_store_outage_loses_nothing() {
    let fleet = Fleet::start("outage", 205, 2);
    let file = fleet.items("summaries", 2000, TOKENS);
    let (child, results) = start_job(&fleet, &file, &[]);
    wait_for_runs(&fleet, 300);
    fleet.platform_fault("{\"fault\": \"down\"}");
    std::thread::sleep(Duration::from_secs(6));
    let other = fleet.items("refused", 10, TOKENS);
    let refused = fleet.caller(&["job", "start", &other, "--model", "depot"]);
    assert!(!refused.status.success(), "nothing can be accepted while the store is down");
    let answer = fleet.caller(&["ask", "--model", "depot", "--max-tokens", "8", "crate 7"]);
    assert!(answer.status.success(), "{}", String::from_utf8_lossy(&answer.stderr));
    assert_eq!(
        String::from_utf8_lossy(&answer.stdout).trim_end(),
        expected_answer("crate 7", 8).trim_end()
    );
    fleet.platform_fault("{\"fault\": \"heal\"}");
    wait_for_job(child);
    let results = Results::read(&results);
    results.assert_whole("summaries", 2000);
    assert_eq!(results.with("done"), 2000);
}

#[test]
fn a_cancelled_job_stops_and_keeps_its_outcomes() {
    let fleet = Fleet::start("cancelled", 206, 2);
    let file = fleet.items("wrong", 3000, TOKENS);
    let output = fleet.caller(&["job", "start", &file, "--model", "depot", "--output", "json"]);
    let status: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let job = status["job"].as_str().expect("the job has an id").to_owned();
    wait_for_runs(&fleet, 300);
    assert!(fleet.caller(&["job", "cancel", &job]).status.success());
    fleet.wait_until("the job to be cancelled", || {
        let output = fleet.caller(&["job", "status", &job, "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        status["state"] == "cancelled"
    });
    let runs = fleet.runs().len();
    let results_path = fleet.path("wrong.results");
    assert!(fleet.caller(&["job", "results", &job, "--out", &results_path]).status.success());
    let results = Results::read(&results_path);
    results.assert_whole("wrong", 3000);
    assert!(results.with("cancelled") > 0);
    assert_eq!(results.with("done") + results.with("cancelled"), 3000);
    assert_eq!(fleet.runs().len(), runs, "a cancelled job starts nothing more");
}

#[test]
fn a_resent_job_is_the_same_job() {
    let fleet = Fleet::start("resent", 207, 2);
    let file = fleet.items("same", 50, TOKENS);
    let start = |file: &str| {
        fleet.caller(&[
            "job", "start", file, "--model", "depot", "--key", "march", "--output", "json",
        ])
    };
    let first: Value = serde_json::from_slice(&start(&file).stdout).expect("JSON");
    let again: Value = serde_json::from_slice(&start(&file).stdout).expect("JSON");
    assert_eq!(first["job"], again["job"]);
    let other = fleet.items("other", 50, TOKENS);
    let refused = start(&other);
    assert_eq!(refused.status.code(), Some(1));
    let message = String::from_utf8_lossy(&refused.stderr).into_owned();
    assert!(message.contains("used before with other content"), "{message}");
    fleet.wait_until("the job to finish", || {
        let id = first["job"].as_str().unwrap_or_default();
        let output = fleet.caller(&["job", "status", id, "--output", "json"]);
        let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
        status["state"] == "finished"
    });
    assert_eq!(fleet.runs_of("same item 7"), 1);
}
