//! Rule LOST: daemons whose memory for jobs is used up take over the jobs of killed ones.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::JOBS;
use platform_stub::run_log::Run;
use serde_json::Value;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::platform::Platform;
use crate::record::Record;
use crate::record::Verdict;

/// As in the deployment of Dakar: 9 hosts of 110 MB.
const DAEMONS: u8 = 9;
const MEMORY_MB: u64 = 110;
const REPLICAS: usize = 9;
/// The time between two events, so that an item of 124 events runs for about 2.5 s.
const STEP: Duration = Duration::from_millis(20);
/// The slots of a replica.
const SLOTS: usize = 8;
/// The longest time that a run takes.
const MAX_RUN_MS: u64 = 3_000;
/// The last part of the case, in which the rule looks at the replicas.
const LAST: Duration = Duration::from_secs(5);
/// The quota of the route.
const MAX_TOKENS: u64 = 1_600_000;
/// The Base64 bytes of the bodies of a job's items together.
const BODY_BYTES: usize = 400_000;
/// The daemons that are killed: a share of 0.55.
const KILLED: usize = 5;
const ITEMS: usize = 2;
const OUTPUT_TOKENS: u64 = 124 * 5;
/// The time for which the killed daemons are down.
const DOWN: Duration = Duration::from_millis(3_500);
/// When the case ends, from its start.
const END: Duration = Duration::from_secs(105);
/// The pause between two reads of a job's results.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// The number of listed items by job.
type Listed = Rc<RefCell<BTreeMap<String, usize>>>;

pub async fn run(
    binary: &Path,
    folder: &Path,
    has_trouble: bool,
    record: &Record,
) -> Result<Verdict, String> {
    let started = Instant::now();
    let platform = Rc::new(Platform::start(REPLICAS, STEP, MAX_TOKENS)?);
    let mut fleet =
        Fleet::start(binary, folder, platform.store.address, DAEMONS, MEMORY_MB).await?;
    let daemons = fleet.ingress();
    let listed = Listed::default();
    let mut number = 0;
    let mut refusals = vec![0; daemons.len()];
    while refusals.iter().any(|refused| *refused < 2) && number < 2_000 {
        let daemon = number % daemons.len();
        if refusals[daemon] < 2 {
            let job = format!("{:016x}", number + (1 << 32));
            match hand_in(&job, daemons[daemon]).await {
                Ok(StatusCode::ACCEPTED) => {
                    listed.borrow_mut().insert(job.clone(), 0);
                    spawn_local(read(job, number, daemons.clone(), listed.clone()));
                }
                status => {
                    refusals[daemon] += 1;
                    record.add(format!("job {job} at {}: {status:?}", daemons[daemon]));
                }
            }
        }
        number += 1;
    }
    let total = listed.borrow().len() * ITEMS;
    record.add(format!("{} jobs of {BODY_BYTES} bytes accepted", listed.borrow().len()));
    if has_trouble {
        record.add(format!("SIGKILL of {KILLED} of {DAEMONS} daemons"));
        fleet.kill(0..KILLED)?;
    }
    let down_until = Instant::now() + DOWN;
    let mut is_down = has_trouble;
    let mut watch = Watch::new(platform.clone(), listed.clone(), total);
    while started.elapsed() < END && !watch.is_done() {
        sleep(Duration::from_millis(250)).await;
        watch.sample(&fleet, record).await;
        if is_down && Instant::now() > down_until {
            is_down = false;
            record.add("they start again");
            fleet.restart(0..KILLED)?;
        }
    }
    Ok(watch.judge(record))
}

/// What is seen of the items, the replicas and the daemons' memory.
struct Watch {
    platform: Rc<Platform>,
    listed: Listed,
    total: usize,
    started: Instant,
    next_line: Instant,
    peaks_kb: Vec<u64>,
    /// The time, the requests that run or wait at replicas and the items that replicas finished.
    samples: Vec<(Instant, u64, usize)>,
}

impl Watch {
    fn new(platform: Rc<Platform>, listed: Listed, total: usize) -> Self {
        Self {
            platform,
            listed,
            total,
            started: Instant::now(),
            next_line: Instant::now(),
            peaks_kb: vec![0; usize::from(DAEMONS)],
            samples: Vec::new(),
        }
    }

    fn listed_count(&self) -> usize {
        self.listed.borrow().values().sum()
    }

    fn is_done(&self) -> bool {
        self.listed_count() == self.total
    }

    fn finished_count(&self) -> usize {
        let log = self.platform.log.borrow();
        log.ids().filter(|id| log.runs_of(id).iter().any(|run| run.is_complete)).count()
    }

    async fn sample(&mut self, fleet: &Fleet, record: &Record) {
        for (daemon, peak_kb) in fleet.daemons.iter().zip(self.peaks_kb.iter_mut()) {
            *peak_kb = anonymous_kb(daemon.id()).unwrap_or(0).max(*peak_kb);
        }
        let load = self.replica_load().await;
        let finished = self.finished_count();
        self.samples.push((Instant::now(), load, finished));
        if Instant::now() >= self.next_line {
            self.next_line += Duration::from_secs(2);
            record.add(format!(
                "listed {} of {} items, finished {finished}, at replicas {load}; highest memory {:?} kB",
                self.listed_count(),
                self.total,
                self.peaks_kb
            ));
        }
    }

    /// Returns how many requests run or wait at all replicas, as these report it.
    async fn replica_load(&self) -> u64 {
        let mut load = 0;
        for address in self.platform.engines.values().copied() {
            let report = Client.send(address, Method::GET, "/-/report", &[], &[]).await;
            let report = report.ok().and_then(|answer| serde_json::from_slice(&answer.body).ok());
            let Some::<Value>(report) = report else { continue };
            let count = |field: &str| report[field].as_u64().unwrap_or(0);
            load += count("running") + count("waiting");
        }
        load
    }

    /// Judges by the rule: an item of an open job is not listed, although in the last 5 s no replica
    /// had an unlisted item of the job and the replicas were under half full, and the items finished in
    /// the last 5 s are under a tenth of those that wait.
    fn judge(&self, record: &Record) -> Verdict {
        let listed = self.listed_count();
        let most_kb = self.peaks_kb.iter().copied().max().unwrap_or(0);
        let memory = format!("at most {most_kb} kB of anonymous memory of {} kB", MEMORY_MB * 1024);
        if listed == self.total {
            return Verdict::Held(format!("all {listed} items listed; {memory}"));
        }
        let from = Instant::now() - LAST;
        let last = || self.samples.iter().filter(|(at, ..)| *at >= from);
        let load = last().map(|(_, load, _)| *load).max().unwrap_or(0);
        let first_finished = last().map(|(.., finished)| *finished).min().unwrap_or(0);
        let finished = self.finished_count() - first_finished;
        let waiting = self.total - listed;
        let now_ms = self.platform.started.elapsed().as_millis() as u64;
        let log = self.platform.log.borrow();
        let may_run = |id: &String| {
            let recent = |run: &Run| run.started_ms + MAX_RUN_MS + LAST.as_millis() as u64 > now_ms;
            log.runs_of(id).iter().any(|run| !run.is_complete && recent(run))
        };
        let counts = self.listed.borrow();
        let lost = counts
            .iter()
            .filter(|(job, count)| **count < ITEMS && !item_ids(job).iter().any(may_run));
        let lost = lost.count();
        let slots = (REPLICAS * SLOTS) as u64;
        let text = format!(
            "{listed} of {} items listed {} s after the disruption began; in the last 5 s at most {load} of \
             {slots} places were taken and {finished} items finished; {lost} jobs have unlisted items of \
             which none was at a replica then; {memory}",
            self.total,
            self.started.elapsed().as_secs()
        );
        record.add(format!("{waiting} items wait"));
        if lost > 0 && load * 2 < slots && finished * 10 < waiting {
            return Verdict::Broken(text);
        }
        Verdict::Held(text)
    }
}

/// Reads the results of a job twice a second at changing daemons until all are there.
async fn read(job: String, number: usize, daemons: Vec<SocketAddr>, listed: Listed) {
    let mut count = 0;
    for turn in number.. {
        let daemon = daemons[turn % daemons.len()];
        if let Ok((StatusCode::OK, Some(page))) = Client.read_results(daemon, &job, count).await {
            count += page.results.len();
            listed.borrow_mut().insert(job.clone(), count);
            if count == page.total {
                return;
            }
        }
        sleep(READ_INTERVAL).await;
    }
}

/// Hands in a job.
async fn hand_in(job: &str, daemon: SocketAddr) -> Result<StatusCode, String> {
    let text = "QUJD".repeat(BODY_BYTES / ITEMS / 4);
    let items: Vec<_> = item_ids(job)
        .iter()
        .map(|id| {
            json!({ "id": id, "path": format!("{JOBS}{job}/{id}"),
                    "headers": { "x-token-counts": format!("350,{OUTPUT_TOKENS}") },
                    "body": text, "tokens": 350 + OUTPUT_TOKENS })
        })
        .collect();
    let request = OutgoingRequest {
        method: Method::POST,
        target: format!("{JOBS}{job}"),
        headers: vec![
            ("x-request-id".to_owned(), job.to_owned()),
            ("content-type".to_owned(), "application/json".to_owned()),
            ("x-deadline-ms".to_owned(), "4000".to_owned()),
        ],
        body: Bytes::from(json!({ "items": items }).to_string()),
    };
    let answer = Client.call(daemon, &request).await;
    answer.map(|answer| answer.status).map_err(|failure| format!("{failure:?}"))
}

/// Returns the resident memory of a process that is not mapped from files, in kB.
fn anonymous_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Returns the ids of the items of a job.
fn item_ids(job: &str) -> Vec<String> {
    (1..=ITEMS).map(|item| format!("{item:04x}{}", &job[4..])).collect()
}
