//! The open connections to the store go silent for good, while new ones work. A new configuration
//! moves a route to another service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Engines;
use crate::fleet::Fleet;

const DAEMONS: usize = 6;
/// `contact_ms`: after that the machines are in touch again.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `config_ms`.
const CONFIG: Duration = Duration::from_millis(2_000);
/// How long clients go on after the acknowledgement.
const TRAFFIC: Duration = Duration::from_secs(10);
const ENGINES: Engines =
    Engines { count: 3, new_count: 3, slots: 8, step_ms: 20, data: fleet::data };
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];

/// CONFIG: requests are run by the old service at daemons in touch.
pub fn silent_watches(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, DAEMONS, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    for (daemon, door) in fleet.daemons.iter().zip(&fleet.doors) {
        if door.config_watches.load(Ordering::SeqCst) > 0 {
            fleet.record.say(&format!("{} watches the configuration", daemon.name));
        }
    }
    if has_trouble {
        fleet.record.say("all open connections to the store go silent; new ones work");
        for door in &fleet.doors {
            door.silence_connections();
        }
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    fleet.store.put("config", "main", &fleet::configuration(fleet::ADDING_VERSION, "llm-new"));
    let acknowledged = Instant::now();
    fleet.record.say("the store acknowledges version 8: streams go to llm-new, a route is added");
    let mut sent = HashMap::new();
    let mut denied = 0;
    while acknowledged.elapsed() < TRAFFIC {
        for front in &fronts {
            let id = fleet.new_id();
            let after = acknowledged.elapsed();
            let status = fleet::stream(*front, &id, 1);
            fleet.record.line(&format!(
                "client sends stream {id} to {front} {} ms after the acknowledgement: {status}",
                after.as_millis()
            ));
            sent.insert(id, (after, *front));
            let id = fleet.new_id();
            let after = acknowledged.elapsed();
            let status = fleet::stream_at(*front, fleet::ADDED, &id, 1);
            fleet.record.line(&format!(
                "client sends stream {id} of the added route to {front} {} ms after the \
                 acknowledgement: {status}",
                after.as_millis()
            ));
            if status == 404 && after > CONFIG {
                denied += 1;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let old: Vec<&str> =
        fleet.replicas[..ENGINES.count].iter().map(|replica| replica.name.as_str()).collect();
    let runs = fleet.runs.lock().unwrap().clone();
    let mut by_front: HashMap<SocketAddr, (u32, Duration)> = HashMap::new();
    for run in runs.iter().filter(|run| old.contains(&run.replica.as_str())) {
        let Some((after, front)) = sent.get(&run.id) else { continue };
        if *after > CONFIG {
            let entry = by_front.entry(*front).or_default();
            entry.0 += 1;
            entry.1 = entry.1.max(*after);
        }
    }
    for (front, (count, latest)) in &by_front {
        fleet.record.say(&format!(
            "{front}: {count} requests sent more than 2 s after the acknowledgement were run by the old \
             service, the last one {} ms after it",
            latest.as_millis()
        ));
    }
    fleet.record.say(&format!(
        "{denied} requests of the added route sent more than 2 s after the acknowledgement got 404"
    ));
    fleet.record_logs("configuration_in_force");
    if by_front.is_empty() && denied == 0 { Verdict::Held } else { Verdict::Broken }
}
