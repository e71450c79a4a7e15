//! The store turns the machines away that watch it, and serves the others. A new configuration moves
//! a route to another service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::{self, Engines, Fleet};

/// `for_s` of `platform_down` with `nodes`; its `share` is at most 0.35, here 3 of 9 daemons.
const TURNED_AWAY: Duration = Duration::from_secs(9);
const DAEMONS: usize = 9;
const MOST_TURNED_AWAY: usize = 3;
/// `config_ms`.
const CONFIG: Duration = Duration::from_millis(2_000);
const ENGINES: Engines =
    Engines { count: 3, new_count: 3, slots: 8, step_ms: 20, data: fleet::data };
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];

/// CONFIG: requests are run by the old service at daemons that the store serves.
pub fn silent_watchers(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, DAEMONS, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let is_watcher = |i: &usize| fleet.doors[*i].config_watches.load(Ordering::SeqCst) > 0;
    let watchers: Vec<usize> = (0..DAEMONS).filter(is_watcher).collect();
    if watchers.is_empty() || watchers.len() > MOST_TURNED_AWAY {
        return Verdict::CouldNotRun(format!("{} daemons watch the store", watchers.len()));
    }
    let served: Vec<SocketAddr> =
        (0..DAEMONS).filter(|i| !watchers.contains(i)).map(|i| fleet.daemons[i].front()).collect();
    let began = Instant::now();
    if has_trouble {
        for i in &watchers {
            fleet.record.say(&format!("the store turns {} away", fleet.daemons[*i].name));
            fleet.doors[*i].is_silent.store(true, Ordering::SeqCst);
        }
    }
    thread::sleep(Duration::from_millis(500));
    fleet.store.put("config", "main", &fleet::configuration(8, "llm-new"));
    let acknowledged = Instant::now();
    fleet.record.say("the store acknowledges version 8: streams go to llm-new");
    let mut sent = HashMap::new();
    while began.elapsed() < TURNED_AWAY {
        for front in &served {
            let id = fleet.new_id();
            let at = Instant::now();
            let status = fleet::stream(*front, &id, 1);
            let after = at.duration_since(acknowledged);
            fleet.record.line(&format!(
                "client sends stream {id} to {front} {} ms after the acknowledgement: {status}",
                after.as_millis()
            ));
            sent.insert(id, (after, *front));
        }
        thread::sleep(Duration::from_millis(100));
    }
    for i in &watchers {
        fleet.doors[*i].is_silent.store(false, Ordering::SeqCst);
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
            "{front}, which the store serves: {count} requests sent more than 2 s after the \
             acknowledgement were run by the old service, the last one {} ms after it",
            latest.as_millis()
        ));
    }
    fleet.record_logs("configuration_in_force");
    if by_front.is_empty() { Verdict::Held } else { Verdict::Broken }
}
