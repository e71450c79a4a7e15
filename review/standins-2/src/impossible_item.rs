//! Rule BUDGET: the homes of a job with an item that can never be done are killed one after another.

use std::path::Path;
use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::JOBS;
use platform_stub::replica::IMPOSSIBLE_SEGMENT;
use serde_json::Value;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::platform::Platform;
use crate::record::Record;
use crate::record::Verdict;

const DAEMONS: u8 = 9;
const MEMORY_MB: u64 = 260;
const REPLICAS: usize = 9;
/// The time between two events, so that a sound item of 247 events runs for about 5 s.
const STEP: Duration = Duration::from_millis(20);
const OUTPUT_TOKENS: u64 = 247 * 5;
const SOUND_ITEMS: usize = 9;
const MAX_TOKENS: u64 = 1_500_000;
/// The answers of 422 after which the item must not reach a replica again.
const MAX_ANSWERS: usize = 3;
/// How long after an answer of 422 the home is killed, and how long it is down.
const KILL_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(3_500);
const LENGTH: Duration = Duration::from_secs(40);
const JOB: &str = "00000000000000aa";

pub async fn run(
    binary: &Path,
    folder: &Path,
    has_trouble: bool,
    record: &Record,
) -> Result<Verdict, String> {
    let platform = Platform::start(REPLICAS, STEP, MAX_TOKENS)?;
    let store = platform.store.clone();
    let mut fleet = Fleet::start(binary, folder, store.address, DAEMONS, MEMORY_MB).await?;
    let daemons = fleet.ingress();
    let item = |number: usize, path: String| NewItem {
        id: format!("{number:016x}"),
        path,
        tokens: OUTPUT_TOKENS,
        prompt_prefix: None,
    };
    let impossible = item(1, format!("{JOBS}{JOB}{IMPOSSIBLE_SEGMENT}1"));
    let id = impossible.id.clone();
    let sound = (0..SOUND_ITEMS).map(|number| item(number + 2, format!("{JOBS}{JOB}/{number}")));
    let items: Vec<NewItem> = std::iter::once(impossible).chain(sound).collect();
    let request = OutgoingRequest::job(JOBS, JOB, &items).with_deadline_ms(4_000);
    let answer = Client.call(daemons[0], &request).await;
    if !matches!(&answer, Ok(answer) if answer.status == StatusCode::ACCEPTED) {
        return Err("the job was not accepted".to_owned());
    }
    record.add("the job is accepted by edge-0");
    let until = Instant::now() + LENGTH;
    let mut kill_at: Option<Instant> = None;
    let mut restarts: Vec<(Instant, usize)> = Vec::new();
    let mut seen = 0;
    let mut listed = 0;
    let mut next_read = Instant::now();
    let mut turn = 0;
    while Instant::now() < until {
        sleep(Duration::from_millis(20)).await;
        let runs = platform.log.borrow().runs_of(&id).len();
        if runs > seen {
            seen = runs;
            record.add(format!("the item is answered 422, answer {seen}"));
            kill_at = (has_trouble && seen <= MAX_ANSWERS).then(|| Instant::now() + KILL_AFTER);
        }
        if kill_at.is_some_and(|at| Instant::now() >= at) {
            kill_at = None;
            let Some(home) = home_of(&store.get("jobs", JOB).unwrap_or_default()) else {
                return Err("the job's record names no home".to_owned());
            };
            record.add(format!("SIGKILL of edge-{home}"));
            fleet.kill([home])?;
            restarts.push((Instant::now() + DOWN, home));
        }
        if let Some(index) = restarts.iter().position(|(at, _)| Instant::now() >= *at) {
            let (_, home) = restarts.remove(index);
            record.add(format!("edge-{home} starts again"));
            fleet.restart([home])?;
        }
        if Instant::now() >= next_read {
            next_read = Instant::now() + Duration::from_millis(500);
            turn += 1;
            let read = Client.read_results(daemons[turn % daemons.len()], JOB, listed).await;
            if let Ok((StatusCode::OK, Some(page))) = read {
                listed += page.results.len();
            }
        }
    }
    let text = format!(
        "the item reached replicas {seen} times and was answered 422 each time, allowed are \
         {MAX_ANSWERS}; {listed} of {} items listed",
        items.len()
    );
    Ok(if seen > MAX_ANSWERS { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Returns the number of the daemon that a job's record names as its home.
fn home_of(record: &[u8]) -> Option<usize> {
    let record: Value = serde_json::from_slice(record).ok()?;
    let home = record["status"]["home"]["daemon"].as_str();
    let home = home.or_else(|| record["spec"]["home"]["daemon"].as_str());
    home?.strip_prefix("edge-")?.parse().ok()
}
