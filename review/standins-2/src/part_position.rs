//! Rule BUDGET: the prompt part that crashes replicas is the 17th of 18 parts.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::Deployment;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::STREAM;
use platform_stub::replica::CRASHING_PART;
use platform_stub::replica::ReplicaSettings;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::record::Record;
use crate::record::Verdict;

const DAEMONS: u8 = 3;
const MEMORY_MB: u64 = 260;
const REPLICAS: usize = 9;
/// How long a crashed replica is down.
const DOWNTIME: Duration = Duration::from_secs(2);
const CONTACT_MS: u64 = 3_000;
/// The most requests with the part that may reach replicas later than `CONTACT_MS` after the fifth
/// crash.
const MAX_LATE: usize = 3;
/// The parts before the one that crashes replicas; sound requests have them too.
const SHARED_PARTS: usize = 16;
/// The time between two requests with the part, and between two sound ones.
const INTERVAL: Duration = Duration::from_millis(1_000);
const SOUND_INTERVAL: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(30);

pub async fn run(
    binary: &Path,
    folder: &Path,
    has_trouble: bool,
    record: &Record,
) -> Result<Verdict, String> {
    let deployment = Deployment::start().map_err(|error| error.to_string())?;
    deployment.configure(|_| {});
    for number in 0..REPLICAS {
        let name = format!("engine-{number}");
        let settings = ReplicaSettings::with_defaults(&name, ENGINE_SERVICE, "a");
        deployment.add_replica(settings).map_err(|error| error.to_string())?;
    }
    deployment.restart_crashed_replicas(DOWNTIME);
    let fleet = Fleet::start(binary, folder, deployment.store_address, DAEMONS, MEMORY_MB).await?;
    let lines = Rc::new(RefCell::new(Vec::new()));
    let part = if has_trouble { CRASHING_PART } else { "50450001" };
    let senders = [("bad", part, INTERVAL), ("sound", "50450002", SOUND_INTERVAL)].map(
        |(kind, part, interval)| {
            let (daemons, lines) = (fleet.ingress(), lines.clone());
            let started = deployment.started;
            spawn_local(async move {
                for number in 0usize.. {
                    let daemon = daemons[number % daemons.len()];
                    let id = format!("{kind}-{number}");
                    let request = OutgoingRequest::stream(STREAM, &id, 36)
                        .with_prompt_prefix(&prefix(part, kind, number))
                        .with_deadline_ms(5_000);
                    let lines = lines.clone();
                    spawn_local(async move {
                        let sent_ms = started.elapsed().as_millis();
                        let status = Client.call(daemon, &request).await;
                        let status = status.map(|answer| answer.status);
                        lines
                            .borrow_mut()
                            .push(format!("{id} sent at {sent_ms} to {daemon}: {status:?}"));
                    });
                    sleep(interval).await;
                }
            })
        },
    );
    let until = Instant::now() + LENGTH;
    while Instant::now() < until {
        sleep(Duration::from_millis(50)).await;
        lines.borrow_mut().drain(..).for_each(|line: String| record.add(line));
    }
    senders.iter().for_each(tokio::task::JoinHandle::abort);
    let log = deployment.log.borrow();
    for crash in &log.crashes {
        record.add(format!("crash of {} by {} at {}", crash.replica, crash.id, crash.at_ms));
    }
    let Some(fifth) = log.crashes.get(4) else {
        return Ok(Verdict::Held(format!("{} crashes", log.crashes.len())));
    };
    let from_ms = fifth.at_ms + CONTACT_MS;
    let reached = |id: &&str| {
        id.starts_with("bad-") && log.runs_of(id).iter().any(|run| run.started_ms > from_ms)
    };
    let late = log.ids().filter(reached).count();
    let text = format!(
        "{late} requests with the part reached replicas later than {CONTACT_MS} ms after the fifth crash, \
         allowed {MAX_LATE}; {} crashes",
        log.crashes.len()
    );
    Ok(if late > MAX_LATE { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Returns the prompt of a request: parts that all share, then `part`, then one of its own.
fn prefix(part: &str, kind: &str, number: usize) -> String {
    let shared = (0..SHARED_PARTS).map(|shared| format!("5a{shared:06x}:100"));
    let own = format!("{}{number:06x}:250", if kind == "bad" { "b0" } else { "c0" });
    let parts: Vec<String> = shared.chain([format!("{part}:100"), own]).collect();
    parts.join(",")
}
