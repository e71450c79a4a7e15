//! Rule BUDGET: all daemons are killed at the same moment while a prompt part crashes replicas.

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
/// The time between two requests with the part.
const INTERVAL: Duration = Duration::from_millis(4_000);
const DOWN: Duration = Duration::from_millis(900);
const BEFORE: Duration = Duration::from_secs(16);
const AFTERWARDS: Duration = Duration::from_secs(32);

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
    let mut fleet =
        Fleet::start(binary, folder, deployment.store_address, DAEMONS, MEMORY_MB).await?;
    let daemons = fleet.ingress();
    let lines = Rc::new(RefCell::new(Vec::new()));
    let started = deployment.started;
    let sending = {
        let lines = lines.clone();
        spawn_local(async move {
            for number in 0usize.. {
                // The first requests come together, at all daemons.
                let together = if number == 0 { REPLICAS } else { 1 };
                for part in 0..together {
                    let daemon = daemons[(number + part) % daemons.len()];
                    let id = format!("bad-{number}-{part}");
                    let lines = lines.clone();
                    spawn_local(async move {
                        let prefix = format!("a1:100,{CRASHING_PART}:100,{number:x}0{part}:250");
                        let request = OutgoingRequest::stream(STREAM, &id, 36)
                            .with_prompt_prefix(&prefix)
                            .with_deadline_ms(5_000);
                        let sent_ms = started.elapsed().as_millis();
                        let status =
                            Client.call(daemon, &request).await.map(|answer| answer.status);
                        lines
                            .borrow_mut()
                            .push(format!("{id} sent at {sent_ms} to {daemon}: {status:?}"));
                    });
                }
                sleep(INTERVAL).await;
            }
        })
    };
    sleep(BEFORE).await;
    let before = deployment.log.borrow().crashes.len();
    record.add(format!("{before} crashes so far"));
    let mut in_touch_from_ms = 0;
    if has_trouble {
        record.add("SIGKILL of all daemons");
        fleet.kill(0..DAEMONS as usize)?;
        sleep(DOWN).await;
        record.add("all daemons start again");
        fleet.restart(0..DAEMONS as usize)?;
        in_touch_from_ms = started.elapsed().as_millis() as u64 + CONTACT_MS;
    }
    let until = Instant::now() + AFTERWARDS;
    while Instant::now() < until {
        sleep(Duration::from_millis(50)).await;
        lines.borrow_mut().drain(..).for_each(|line: String| record.add(line));
    }
    sending.abort();
    let log = deployment.log.borrow();
    for crash in &log.crashes {
        record.add(format!("crash of {} by {} at {}", crash.replica, crash.id, crash.at_ms));
    }
    let mut arrivals: Vec<(u64, String)> = log
        .ids()
        .filter(|id| id.starts_with("bad-"))
        .flat_map(|id| log.runs_of(id).iter().map(move |run| (run.started_ms, id.to_owned())))
        .collect();
    arrivals.sort();
    let Some(fifth) = log.crashes.get(4) else {
        return Ok(Verdict::Held(format!("{} crashes only", log.crashes.len())));
    };
    let from_ms = fifth.at_ms + CONTACT_MS;
    // While a daemon is not in touch after its start, nothing counts.
    let restarted_ms = in_touch_from_ms.saturating_sub(CONTACT_MS);
    let counts = |at_ms: u64| at_ms > from_ms && !(restarted_ms..in_touch_from_ms).contains(&at_ms);
    let late: Vec<&(u64, String)> = arrivals.iter().filter(|(at_ms, _)| counts(*at_ms)).collect();
    for (at_ms, id) in &late {
        record.add(format!("{id} reached a replica at {at_ms}, fifth crash at {}", fifth.at_ms));
    }
    let text = format!(
        "{} requests with the part reached replicas later than {CONTACT_MS} ms after the fifth crash, \
         allowed {MAX_LATE}; {} crashes",
        late.len(),
        log.crashes.len()
    );
    Ok(if late.len() > MAX_LATE { Verdict::Broken(text) } else { Verdict::Held(text) })
}
