//! Many batch jobs come at once, one of them with as many items as a job may have. The outputs of the
//! items are JSON, so that their quotes are escaped in the job's record.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet::Engines;
use crate::fleet::Fleet;

/// The most items of a batch job.
const MOST_ITEMS: usize = 200;
/// The usual items of a batch job of the sheet.
const USUAL_ITEMS: usize = 10;
/// The other batch jobs of the burst: 6 times the traffic of 0.514 a second for 3 s.
const OTHER_JOBS: usize = 8;
/// `finish_s`, counted from the end of the traffic.
const FINISH: Duration = Duration::from_secs(18);
/// How long the replicas must have had no item.
const CALM: Duration = Duration::from_secs(5);
const ENGINES: Engines = Engines { count: 9, new_count: 0, slots: 8, step_ms: 20, data: json_data };
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];
/// An item has 60 events of 104 bytes; on the sheet it has 247 of 55.
const EVENTS: u64 = 60;

/// The data of an event: a line of JSON, as a model writes that fills in a form.
fn json_data(id: &str, event: u64) -> String {
    let tail = &id[id.len() - 4..];
    format!(
        r#"{{"crate":"{tail}","n":"{event}","dmg":"no","line":"b","kg":"12","wash":"ok","lid":"y","tag":"q","due":"1"}}"#
    )
}

/// LOST: the results of a job whose items have all run are never listed.
pub fn large_results(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, 6, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let fronts: Vec<SocketAddr> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let mut sizes = vec![USUAL_ITEMS];
    if has_trouble {
        fleet.record.say("many batch jobs come at once");
        sizes.push(MOST_ITEMS);
        sizes.extend([USUAL_ITEMS; OTHER_JOBS]);
    }
    let mut jobs = Vec::new();
    for (i, size) in sizes.into_iter().enumerate() {
        let job = fleet.new_id();
        let items: Vec<String> = (0..size).map(|_| fleet.new_id()).collect();
        if fleet.submit(fronts[i % fronts.len()], &job, &items, EVENTS) != 202 {
            return Verdict::CouldNotRun("a job was not accepted".to_owned());
        }
        jobs.push((job, items));
    }
    let accepted = Instant::now();
    let has_run = |items: &[String]| {
        let runs = fleet.runs.lock().unwrap();
        let complete: HashSet<&str> =
            runs.iter().filter(|run| run.is_complete).map(|run| run.id.as_str()).collect();
        items.iter().filter(|id| complete.contains(id.as_str())).count()
    };
    // Reads all results of a job, page by page.
    let read_all = |job: &str| {
        let mut list = Vec::new();
        for front in fronts.iter().cycle().take(12) {
            if let Some(results) = fleet.read(*front, job, list.len()) {
                if results.list.is_empty() {
                    break;
                }
                list.extend(results.list);
            }
        }
        list
    };
    let mut is_held = true;
    for (job, items) in &jobs {
        let mut list;
        loop {
            thread::sleep(Duration::from_millis(500));
            list = read_all(job);
            if list.len() == items.len() || accepted.elapsed() > FINISH + Duration::from_secs(20) {
                break;
            }
        }
        let runs = fleet.runs_since(items, accepted);
        let last = runs.iter().map(|run| run.started.elapsed()).min().unwrap_or_default();
        fleet.record.say(&format!(
            "{} s after the acceptance {} of {} items of job {job} are listed; replicas completed {}, \
             the last run began {} s ago",
            accepted.elapsed().as_secs(),
            list.len(),
            items.len(),
            has_run(items),
            last.as_secs()
        ));
        is_held &= list.len() == items.len() || last < CALM;
        fleet.record_logs(job);
    }
    if is_held { Verdict::Held } else { Verdict::Broken }
}
