//! Tests daemon processes beside another writer, whose entries among the replicas are odd.

mod platform_fleet;

use std::time::Duration;

use http::StatusCode;
use platform::names::REPLICA_KIND;
use platform_stub::Client;
use platform_stub::client::is_complete_stream;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::deployment::STREAM;
use platform_stub::replica::ReplicaSettings;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::items;
use crate::platform_fleet::read_all_results;
use crate::platform_fleet::run_local;

/// How long a change of the replicas may take to be known to every daemon.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(5);
/// A depth of nesting at which a recursive parser overflows its stack.
const DEEP: usize = 100_000;

/// Returns odd entries; the names in them, where there are any, start with "odd".
fn odd_entries() -> Vec<Vec<u8>> {
    let nested = format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP));
    let record = |slots: &str, address: &str, more: &str| {
        format!(
            r#"{{"service":"{ENGINE_SERVICE}","address":"{address}","zone":"a","version":"v1",
               "slots":{slots},"state":"ready","cold_left_ms":0,"sequence":1{more}}}"#
        )
    };
    let nowhere = "127.0.0.1:1";
    let mut specs = vec![
        nested.clone(),
        record("1e999", nowhere, ""),
        record("8", "127.0.0.1:70000", ""),
        record("1e300", nowhere, ""),
        record("-1", nowhere, ""),
        record("\"8\"", nowhere, ""),
        record("8", nowhere, ",\"born\":1e300"),
        record("8", nowhere, "").replace("\"v1\"", &nested),
        "null".to_owned(),
        "{}".to_owned(),
    ];
    specs.push(record("8", nowhere, "").replace("ready", "asleep"));
    let mut entries: Vec<Vec<u8>> = specs
        .iter()
        .enumerate()
        .map(|(number, spec)| {
            let metadata = format!(r#"{{"name":"odd-{number:02}","revision":11}}"#);
            format!(r#"{{"metadata":{metadata},"spec":{spec},"status":null}}"#).into_bytes()
        })
        .collect();
    entries.push(b"{\"metadata\":{\"name\":\"odd-bytes\"},\"spec\":\"\xff\xfe\x00\"}".to_vec());
    entries.push(b"{\"metadata\":{\"name\":\"odd\xff\"},\"spec\":{}}".to_vec());
    entries.push(br#"{"spec":{}}"#.to_vec());
    entries.push(br#"{"metadata":{"name":1e999}}"#.to_vec());
    entries.push(nested.into_bytes());
    entries.push(b"\x80\x00".to_vec());
    entries
}

/// Writes the odd entries under names that stand between those of the replicas.
fn write_odd_entries(fleet: &Fleet) -> Vec<String> {
    let entries = odd_entries();
    let names: Vec<String> = (0..entries.len()).map(|number| format!("odd-{number:02}")).collect();
    for (name, entry) in names.iter().zip(entries) {
        fleet.deployment.store.change(|objects| objects.put_raw(REPLICA_KIND, name, entry));
    }
    names
}

fn engine(name: &str) -> ReplicaSettings {
    ReplicaSettings::with_defaults(name, ENGINE_SERVICE, "a")
}

fn read_log(fleet: &Fleet, daemon: usize) -> String {
    let log = std::fs::read(&fleet.daemons[daemon].log).expect("the log can be read");
    String::from_utf8(log).expect("the log is text")
}

async fn wait_until_all_log(fleet: &Fleet, text: &str) {
    let deadline = Instant::now() + SPREAD_TIMEOUT;
    for daemon in 0..fleet.daemons.len() {
        while !read_log(fleet, daemon).contains(text) {
            assert!(Instant::now() < deadline, "daemon {daemon} did not log '{text}' in time");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

async fn assert_all_serve(fleet: &mut Fleet, prefix: &str) {
    for daemon in 0..fleet.daemons.len() {
        for number in 0..4 {
            let id = format!("{prefix}-{daemon}-{number}");
            let answer = Client.stream(fleet.ingress(daemon), STREAM, &id, 6).await;
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "{id}");
            assert!(is_complete_stream(&id, 6, &answer.body), "{id}");
            assert_eq!(fleet.runs(&id), 1, "{id}");
        }
        assert!(fleet.daemons[daemon].is_running(), "a daemon has ended by itself");
    }
}

/// Asserts that no request was sent to an odd entry and that each is logged at most once.
fn assert_odd_entries_unused_and_logged_once(fleet: &Fleet) {
    for daemon in 0..fleet.daemons.len() {
        let log = read_log(fleet, daemon);
        let sent = log
            .lines()
            .find(|line| line.contains("event=request_sent") && line.contains("replica=odd"));
        assert_eq!(sent, None);
        let mut malformed: Vec<&str> = log
            .lines()
            .filter_map(|line| line.split_once("_malformed ").map(|(_, entry)| entry))
            .collect();
        assert!(malformed.len() <= odd_entries().len(), "{malformed:#?}");
        malformed.sort_unstable();
        assert!(malformed.windows(2).all(|pair| pair[0] != pair[1]), "{malformed:#?}");
    }
}

#[test]
fn odd_entry_in_a_watch_costs_no_daemon_and_no_other_replica() {
    run_local("odd-watch", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        let names = write_odd_entries(&fleet);
        fleet.deployment.add_replica(engine("engine-8")).expect("the replica starts");
        wait_until_all_log(&fleet, "event=replica_listed replica=engine-8 ").await;
        assert_all_serve(&mut fleet, "watch").await;
        let job = items("job", 8, 6);
        let daemon = fleet.ingress(1);
        let accepted = Client.submit_job(daemon, JOBS, "job", &job).await.expect("an answer");
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        let results = read_all_results(daemon, "job", Duration::from_secs(10)).await;
        assert_eq!(results.len(), job.len());

        // The daemons read the list again.
        fleet.deployment.store.change(platform_stub::objects::Objects::compact);
        fleet.deployment.add_replica(engine("engine-9")).expect("the replica starts");
        wait_until_all_log(&fleet, "event=replica_listed replica=engine-9 ").await;
        assert_odd_entries_unused_and_logged_once(&fleet);

        fleet.deployment.add_replica(engine(&names[0])).expect("the replica starts");
        wait_until_all_log(&fleet, "event=replica_listed replica=odd-00 ").await;
        for name in &names[1..] {
            fleet.deployment.store.change(|objects| objects.remove(REPLICA_KIND, name));
        }
        fleet.deployment.add_replica(engine("engine-10")).expect("the replica starts");
        wait_until_all_log(&fleet, "event=replica_listed replica=engine-10 ").await;
        assert_all_serve(&mut fleet, "removed").await;
    });
}

#[test]
fn odd_entry_at_the_start_hides_no_replica() {
    run_local("odd-start", |folder| async move {
        let mut fleet = Fleet::start(folder, 3).await;
        for daemon in &mut fleet.daemons {
            daemon.kill().expect("the daemon is killed");
        }
        write_odd_entries(&fleet);
        for daemon in &mut fleet.daemons {
            daemon.restart().expect("the daemon restarts");
        }
        for daemon in &mut fleet.daemons {
            assert!(daemon.wait_until_ready(Duration::from_secs(5)).await);
        }
        fleet.wait_until_settled(3).await;
        assert_all_serve(&mut fleet, "start").await;
        fleet.deployment.add_replica(engine("engine-8")).expect("the replica starts");
        wait_until_all_log(&fleet, "event=replica_listed replica=engine-8 ").await;
        assert_odd_entries_unused_and_logged_once(&fleet);
    });
}

#[test]
fn replica_overwritten_by_an_odd_entry_gets_no_more_requests() {
    run_local("odd-overwrite", |folder| async move {
        let mut fleet = Fleet::start(folder, 2).await;
        let odd = br#"{"metadata":{"name":"engine-0","revision":1e999},"spec":"\ud800"}"#;
        fleet
            .deployment
            .store
            .change(|objects| objects.put_raw(REPLICA_KIND, "engine-0", odd.to_vec()));
        wait_until_all_log(&fleet, "event=replica_gone replica=engine-0 ").await;
        assert_all_serve(&mut fleet, "others").await;
        let log = fleet.deployment.log.borrow();
        let sent = log
            .ids()
            .flat_map(|id| log.runs_of(id))
            .filter(|run| run.replica == "engine-0")
            .count();
        assert_eq!(sent, 0);
    });
}
