//! Timelines of requests, items and jobs that `crocus explain` builds from logs.

use std::path::PathBuf;
use std::process::Command;

use cli::explain::LogLine;
use cli::explain::build_timeline;

const LOGS: [(&str, &str); 2] = [
    (
        "daemon-1",
        r#"ts=2026-12-04T10:00:00.100Z level=info at=gate event=request_sent id=r1 replica=e-1 granted=true load_age_ms=12 left_ms=4900
ts=2026-12-04T10:00:00.200Z level=info at=node event=replica_listed replica=e-1 service=engines draining=false
ts=2026-12-04T10:00:00.500Z level=info at=gate event=replica_silent replica=e-1 for_ms=400
ts=2026-12-04T10:00:05.100Z level=info at=gate event=request id=r1 route=a outcome=deadline status=504 replica=e-1 slot_wait_ms=2 first_ms=-1 events=0 total_ms=5000
not a line of the log
ts=2026-12-04T10:00:06.000Z level=info at=gate event=request id=r2 outcome=overload status=503 replica=- slot_wait_ms=1200 first_ms=-1 events=0 total_ms=1200
"#,
    ),
    (
        "daemon-2",
        r#"  12.5 daemon-2 ts=2026-12-04T10:00:00.502Z level=info at=slots event=replica_suspect replica=e-1 said_by=daemon-1
ts=2026-12-04T10:00:01.000Z level=info at=jobs event=job_accepted job=j1 route=b items=2
ts=2026-12-04T10:00:02.000Z level=info at=jobs event=item_try item=i1 job=j1 end=interrupted cause=slot_revoked replica=e-2 from_event=0 events=7 took_ms=150
ts=2026-12-04T10:00:03.000Z level=info at=jobs event=item_try item=i2 job=j1 end=completed cause=whole replica=e-2 from_event=0 events=9 took_ms=200
ts=2026-12-04T10:00:04.000Z level=info at=jobs event=item_try item=i1 job=j1 end=impossible cause=answered_422 replica=e-3 from_event=7 events=7 took_ms=20
ts=2026-12-04T10:00:05.000Z level=warn at=jobs event=job_refused job=j2 reason=rate_limit message="too many tokens wait on the route"
"#,
    ),
];

fn lines() -> Vec<LogLine> {
    LOGS.iter()
        .flat_map(|(name, text)| text.lines().filter_map(|line| LogLine::parse(line, name)))
        .collect()
}

#[test]
fn request_timeline_includes_its_suspected_replica() {
    let timeline = build_timeline("r1", lines());
    assert_eq!(timeline.lines.len(), 2);
    assert_eq!(timeline.context.len(), 2);
    assert_eq!(
        timeline.outcome_summary(),
        "Its deadline passed after 5000 ms while e-1 (found silent by its owner) was working on it."
    );
}

#[test]
fn overload_refusal_reports_the_slot_wait() {
    let summary = build_timeline("r2", lines()).outcome_summary();
    assert_eq!(summary, "It was refused without being run: no slot came free within 1200 ms.");
}

#[test]
fn refusal_because_of_a_quarantined_part_is_reported() {
    let line = "ts=2026-12-04T10:00:04.000Z level=info at=gate::report event=request id=r4 route=r \
                version=1 outcome=quarantined status=503 replica=- tried=0 slot_wait_ms=0 \
                first_ms=-1 events=0 total_ms=0";
    let lines = LogLine::parse(line, "daemon-1").into_iter().collect();
    let summary = build_timeline("r4", lines).outcome_summary();
    assert!(summary.starts_with("It was refused without being run: a part of its prompt"));
}

#[test]
fn refusal_because_of_the_request_itself_is_reported() {
    let lines = [
        "ts=2026-12-04T10:00:04.000Z level=info at=gate::forward event=request_quarantined id=r5 \
         fingerprint=00000000000000ab",
        "ts=2026-12-04T10:00:04.001Z level=info at=gate::report event=request id=r5 route=r \
         version=1 outcome=quarantined status=503 replica=- tried=0 slot_wait_ms=0 first_ms=-1 \
         events=0 total_ms=0",
    ];
    let lines = lines.iter().filter_map(|line| LogLine::parse(line, "daemon-1")).collect();
    assert_eq!(
        build_timeline("r5", lines).outcome_summary(),
        "It was refused without being run: it crashed replicas under other ids and is quarantined."
    );
}

#[test]
fn refusal_of_a_body_is_reported() {
    let line = "ts=2026-12-04T10:00:04.000Z level=info at=gate::gateway event=body_refused id=r6 \
                reason=evicted client=10.0.0.1 path=/a received_bytes=1000 announced_bytes=4000 \
                took_ms=700 bodies_held_bytes=9000 held_bytes=9500";
    let lines = LogLine::parse(line, "daemon-1").into_iter().collect();
    assert_eq!(
        build_timeline("r6", lines).outcome_summary(),
        "It was refused without being run: its body was not read (evicted); 1000 of 4000 bytes came in \
         700 ms."
    );
}

#[test]
fn refusal_by_a_stopping_daemon_is_reported() {
    let line = "ts=2026-12-04T10:00:04.000Z level=info at=gate::report event=request id=r3 route=r \
                version=1 outcome=leaving status=503 replica=- tried=0 slot_wait_ms=0 first_ms=-1 \
                events=0 total_ms=0";
    let lines = LogLine::parse(line, "daemon-1").into_iter().collect();
    assert_eq!(
        build_timeline("r3", lines).outcome_summary(),
        "It was refused without being run: its daemon was stopping and might have ended first."
    );
}

#[test]
fn refusal_of_a_key_that_went_away_is_reported() {
    let line = "ts=2026-12-04T10:00:04.000Z level=info at=gate::report event=request id=r6 route=r \
                version=2 outcome=unauthenticated status=401 replica=- tried=0 slot_wait_ms=700 \
                first_ms=-1 events=0 total_ms=700";
    let lines = LogLine::parse(line, "daemon-1").into_iter().collect();
    assert_eq!(
        build_timeline("r6", lines).outcome_summary(),
        "It was refused without being run: its key went away while it waited for a slot."
    );
}

#[test]
fn item_timeline_covers_its_attempts_and_job() {
    let timeline = build_timeline("i1", lines());
    let events: Vec<&str> = timeline.lines.iter().filter_map(|line| line.get("event")).collect();
    assert_eq!(events, ["job_accepted", "item_try", "item_try"]);
    assert_eq!(
        timeline.outcome_summary(),
        "The item's last try ended as impossible (answered_422); its tries: \
         answered_422 1 times, slot_revoked 1 times."
    );
}

#[test]
fn refused_job_reports_its_message() {
    let summary = build_timeline("j2", lines()).outcome_summary();
    assert_eq!(summary, "The job was refused: too many tokens wait on the route.");
}

#[test]
fn explain_command_counts_unreadable_lines() {
    let folder = std::env::temp_dir().join(format!("crocus-explain-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let paths: Vec<PathBuf> =
        LOGS.iter().map(|(name, _)| folder.join(format!("{name}.log"))).collect();
    for (path, (_, text)) in paths.iter().zip(LOGS) {
        std::fs::write(path, text).expect("the log file is written");
    }
    let explain = |id: &str| {
        Command::new(env!("CARGO_BIN_EXE_crocus")).arg("explain").arg(id).args(&paths).output()
    };
    let output = explain("r1").expect("crocus runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success());
    assert!(text.contains("(1 lines of the logs could not be read)"), "{text}");
    assert!(text.contains("daemon-2 event=replica_suspect"), "{text}");
    let missing = explain("nobody").expect("crocus runs");
    assert_eq!(missing.status.code(), Some(1));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
