//! A daemon that holds a job stands still for some seconds, while another one takes the job over and
//! finishes it.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::daemon::SIGCONT;
use crate::daemon::SIGSTOP;
use crate::fleet;
use crate::fleet::Engines;
use crate::fleet::Fleet;

/// How long the process stands still: `for_s` of `node_freeze`.
const FREEZE: Duration = Duration::from_secs(5);
/// `settle_ms`.
const SETTLE: Duration = Duration::from_millis(1_000);
/// `cancel_ms` and `contact_ms`.
const CANCEL: Duration = Duration::from_millis(3_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// The streams that keep the engines busy last as long as those of the sheet.
const STREAM_EVENTS: u64 = 36;
const CLIENTS: usize = 28;
const ENGINES: Engines =
    Engines { count: 2, new_count: 0, slots: 8, step_ms: 20, data: fleet::data };
const ZONES: [&str; 3] = ["hcm-a", "hcm-b", "hcm-c"];

fn wait_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// LOST: a position that was read has no result at a machine that was never disturbed.
pub fn stale_reads(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, 6, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let home = &fleet.daemons[0];
    let others: Vec<SocketAddr> = fleet.daemons[1..].iter().map(|daemon| daemon.front()).collect();
    let press = fleet.press(CLIENTS, others.clone(), STREAM_EVENTS);
    thread::sleep(Duration::from_secs(2));
    let job = fleet.new_id();
    let items: Vec<String> = (0..3).map(|_| fleet.new_id()).collect();
    let events = 10;
    if fleet.submit(home.front(), &job, &items, events) != 202 {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(700));
    let frozen = Instant::now();
    if has_trouble {
        fleet.record.say(&format!("{} stands still", home.name));
        home.signal(SIGSTOP);
    }
    wait_until(frozen + Duration::from_millis(1_200));
    fleet.record.say("the peak of streams ends");
    press.end();
    // Clients read twice per second at each of the other daemons.
    let mut read_at = None;
    let mut list = Vec::new();
    while read_at.is_none() && frozen.elapsed() < Duration::from_millis(4_200) {
        for front in &others {
            match fleet.read(*front, &job, 0) {
                Some(results) if results.list.len() == items.len() => {
                    read_at = Some(Instant::now());
                    list = results.list;
                    break;
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
    }
    let Some(read_at) = read_at else {
        fleet.record_logs(&job);
        return Verdict::CouldNotRun("the job was not finished in time".to_owned());
    };
    for (id, state, text) in &list {
        fleet.record.say(&format!("{id} was read at a position as {state}"));
        if state != "completed" || *text != fleet::whole_text(id, events) {
            fleet.record.say("its text is not whole");
        }
    }
    wait_until(frozen + Duration::from_millis(4_000));
    fleet.record.say("a new peak of streams");
    let press = fleet.press(CLIENTS, others.clone(), STREAM_EVENTS);
    wait_until(frozen + FREEZE);
    if has_trouble {
        fleet.record.say(&format!("{} goes on", home.name));
        home.signal(SIGCONT);
    }
    let woken = Instant::now();
    let mut missing = 0;
    while woken.elapsed() < Duration::from_secs(10) {
        for front in &others {
            let Some(results) = fleet.read(*front, &job, 0) else { continue };
            if results.list != list {
                missing += 1;
                let after = read_at.elapsed();
                fleet.record.say(&format!(
                    "{front}, never disturbed, shows {} of {} results, {} ms after they were read",
                    results.list.len(),
                    list.len(),
                    after.as_millis()
                ));
                assert!(after > SETTLE);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    press.end();
    fleet.record_logs(&job);
    fleet.record.say(&format!("{missing} reads had nothing at positions that had been read"));
    if missing > 0 { Verdict::Broken } else { Verdict::Held }
}

/// UNASKED: items of a job run that was ended more than `cancel_ms` ago.
pub fn ended_job(folder: &str, has_trouble: bool) -> Verdict {
    let Some(fleet) = Fleet::start(folder, 6, &ZONES, ENGINES) else {
        return Verdict::CouldNotRun("the daemons did not become ready".to_owned());
    };
    let home = &fleet.daemons[0];
    let others: Vec<SocketAddr> = fleet.daemons[1..].iter().map(|daemon| daemon.front()).collect();
    let press = fleet.press(CLIENTS, others.clone(), STREAM_EVENTS);
    thread::sleep(Duration::from_secs(2));
    let job = fleet.new_id();
    let items: Vec<String> = (0..10).map(|_| fleet.new_id()).collect();
    if fleet.submit(home.front(), &job, &items, 247) != 202 {
        return Verdict::CouldNotRun("the job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_millis(700));
    let frozen = Instant::now();
    if has_trouble {
        fleet.record.say(&format!("{} stands still", home.name));
        home.signal(SIGSTOP);
    }
    wait_until(frozen + Duration::from_millis(2_700));
    let mut ended = None;
    'ending: while frozen.elapsed() < Duration::from_millis(4_800) {
        for front in &others {
            if fleet.end(*front, &job) == 200 {
                ended = Some(Instant::now());
                break 'ending;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    let Some(ended) = ended else {
        fleet.record_logs(&job);
        return Verdict::CouldNotRun("the job could not be ended".to_owned());
    };
    wait_until(frozen + FREEZE);
    if has_trouble {
        fleet.record.say(&format!("{} goes on", home.name));
        home.signal(SIGCONT);
    }
    let woken = Instant::now();
    wait_until(woken + CONTACT + Duration::from_millis(1_000));
    fleet.record.say("the peak of streams ends");
    press.end();
    thread::sleep(Duration::from_secs(6));
    // Only runs count that begin when the home has been in touch again and `cancel_ms` is over.
    let since = (woken + CONTACT).max(ended + CANCEL);
    let late = fleet.runs_since(&items, since);
    for run in &late {
        fleet.record.say(&format!(
            "replica {} ran item {} of the ended job {} ms after its end was acknowledged, {} ms after {} went on",
            run.replica,
            run.id,
            run.started.duration_since(ended).as_millis(),
            run.started.duration_since(woken).as_millis(),
            home.name
        ));
    }
    fleet.record_logs(&job);
    fleet.record.say(&format!("{} items of the ended job ran too late", late.len()));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
