//! The store is down for some seconds, and the entries of the replicas lapse meanwhile. All are back
//! within two seconds of its return.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::Engines;
use crate::fleet::Fleet;

/// `for_s` of `platform_down` with `lapse`, in the sites' lists of troubles.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// `contact_ms`.
const CONTACT: Duration = Duration::from_millis(3_000);
/// `finish_s`.
const FINISH: Duration = Duration::from_secs(18);
const ENGINES: Engines =
    Engines { count: 3, new_count: 0, slots: 8, step_ms: 20, data: fleet::data };
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
const EVENTS: u64 = 40;
/// As many as on the sheet.
const DAEMONS: usize = 9;

/// LOST: the items of a job that is accepted after the outage are never run.
pub fn lapsed_entries(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, DAEMONS, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let probe = |what: &str| {
        let answers: Vec<u16> =
            fronts.iter().map(|front| fleet::stream(*front, &fleet.new_id(), 5)).collect();
        fleet.record.say(&format!("{what}: a stream at each daemon is answered {answers:?}"));
        answers
    };
    probe("before");
    if has_trouble {
        // The first heartbeat after the outage comes 0.5 to 1 s after its end.
        let beat = Duration::from_millis(1_200);
        let wanted = Duration::from_millis(700).as_millis();
        let at_end = (fleet.started.elapsed() + OUTAGE).as_millis() % beat.as_millis();
        let wait = (2 * beat.as_millis() - wanted - at_end) % beat.as_millis();
        thread::sleep(Duration::from_millis(wait as u64));
        fleet.record.say("the store goes down");
        fleet.store.set_down(true);
        thread::sleep(OUTAGE);
        fleet.record.say("the store is back");
        fleet.store.set_down(false);
    }
    let back = Instant::now();
    while back.elapsed() < CONTACT {
        thread::sleep(Duration::from_millis(100));
        let listed = fleet.replicas.iter().filter(|r| fleet.store.has("servers", &r.name)).count();
        fleet.record.line(&format!(
            "{} ms after the return {listed} of {} entries are in the store",
            back.elapsed().as_millis(),
            fleet.replicas.len()
        ));
        if listed < fleet.replicas.len() && back.elapsed() > Duration::from_secs(2) {
            return Verdict::CouldNotRun("the entries were not back in time".to_owned());
        }
    }
    probe("3 s after the return");
    let job = fleet.new_id();
    let items: Vec<String> = (0..10).map(|_| fleet.new_id()).collect();
    if fleet.submit(fronts[0], &job, &items, EVENTS) != 202 {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    let accepted = Instant::now();
    let mut listed = 0;
    while accepted.elapsed() < FINISH + Duration::from_secs(1) {
        thread::sleep(Duration::from_millis(500));
        let results = fronts.iter().find_map(|front| fleet.read(*front, &job, 0));
        listed = results.map_or(0, |results| results.list.len());
        if listed == items.len() {
            break;
        }
    }
    let answers = probe("at the end");
    let runs = fleet.runs_since(&items, accepted);
    fleet.record_logs(&job);
    fleet.record_logs("replica_gone");
    fleet.record.say(&format!(
        "{} s after the acceptance {listed} of {} items are listed; replicas ran {} of them",
        accepted.elapsed().as_secs(),
        items.len(),
        runs.len()
    ));
    let refused = answers.iter().filter(|status| **status != 200).count();
    fleet.record.say(&format!("{refused} of {} streams were refused", answers.len()));
    if listed < items.len() && runs.is_empty() { Verdict::Broken } else { Verdict::Held }
}
