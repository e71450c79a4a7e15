//! Rule QUOTA: all daemons are killed at the same moment while as many tokens wait as the route allows.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use platform_stub::Client;
use platform_stub::Deployment;
use platform_stub::client::NewItem;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::JOBS;
use platform_stub::replica::ReplicaSettings;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::record::Record;
use crate::record::Verdict;

const DAEMONS: u8 = 3;
const MEMORY_MB: u64 = 260;
const REPLICAS: usize = 3;
/// The time between two events, so that an item of 247 events runs for about 5 s.
const STEP: Duration = Duration::from_millis(20);
/// Items, events and tokens as on the sheet of the depot: jobs of 10 items of 350 tokens in and 247
/// events of 5 tokens out.
const ITEMS: usize = 10;
const OUTPUT_TOKENS: u64 = 247 * 5;
const ITEM_TOKENS: u64 = OUTPUT_TOKENS + 100;
/// The quota of the route: about 30 jobs.
const MAX_TOKENS: u64 = 400_000;
const QUOTA_OVERAGE: f64 = 0.1;
/// The time between two new jobs, 3 a second as in a burst on the sheet (6 times 0.51).
const JOB_INTERVAL: Duration = Duration::from_millis(330);
/// How often a client tries to hand in a job, and the pause between two attempts.
const ATTEMPTS: usize = 2;
const FILL_LIMIT: Duration = Duration::from_secs(40);
const DOWN: Duration = Duration::from_millis(900);
const AFTERWARDS: Duration = Duration::from_secs(12);

#[derive(Default)]
struct Jobs {
    accepted: Vec<(String, Vec<String>)>,
    refused: usize,
    /// The most tokens that waited at a 202.
    most_waiting: u64,
}

impl Jobs {
    /// Returns the tokens of accepted items that no replica has finished.
    fn waiting_tokens(&self, deployment: &Deployment) -> u64 {
        let log = deployment.log.borrow();
        let items = self.accepted.iter().flat_map(|(_, items)| items);
        let open = items.filter(|item| !log.runs_of(item).iter().any(|run| run.is_complete));
        open.count() as u64 * ITEM_TOKENS
    }
}

pub async fn run(
    binary: &Path,
    folder: &Path,
    has_trouble: bool,
    record: &Record,
) -> Result<Verdict, String> {
    let deployment = Deployment::start().map_err(|error| error.to_string())?;
    deployment.configure(|configuration| {
        if let Some(routes) = configuration["routes"].as_array_mut() {
            for route in routes.iter_mut().filter(|route| route["kind"] == "batch") {
                route["max_count"] = json!(MAX_TOKENS);
            }
        }
    });
    for number in 0..REPLICAS {
        let name = format!("engine-{number}");
        let mut settings = ReplicaSettings::with_defaults(&name, ENGINE_SERVICE, "a");
        settings.step = STEP;
        deployment.add_replica(settings).map_err(|error| error.to_string())?;
    }
    let mut fleet =
        Fleet::start(binary, folder, deployment.store_address, DAEMONS, MEMORY_MB).await?;
    let daemons = fleet.ingress();
    let jobs = Rc::new(RefCell::new(Jobs::default()));
    let lines = Rc::new(RefCell::new(Vec::new()));
    let sending = {
        let (jobs, deployment, lines) = (jobs.clone(), deployment.clone(), lines.clone());
        spawn_local(async move {
            for number in 0.. {
                let first = daemons[number % daemons.len()];
                let second = daemons[(number + 1) % daemons.len()];
                let (jobs, deployment, lines) = (jobs.clone(), deployment.clone(), lines.clone());
                spawn_local(async move {
                    hand_in(number, [first, second], &deployment, &jobs, &lines).await;
                });
                sleep(JOB_INTERVAL).await;
            }
        })
    };
    let flush = |record: &Record| {
        lines.borrow_mut().drain(..).for_each(|line: String| record.add(line));
    };
    let deadline = Instant::now() + FILL_LIMIT;
    while jobs.borrow().refused < 3 && Instant::now() < deadline {
        sleep(Duration::from_millis(50)).await;
        flush(record);
    }
    if jobs.borrow().refused < 3 {
        return Err("the quota was not reached".to_owned());
    }
    record.add(format!("the route is full, most waiting at a 202 {}", jobs.borrow().most_waiting));
    if has_trouble {
        record.add("SIGKILL of all daemons");
        fleet.kill(0..DAEMONS as usize)?;
    }
    let down_until = Instant::now() + DOWN;
    let until = Instant::now() + AFTERWARDS;
    let mut is_down = has_trouble;
    while Instant::now() < until {
        sleep(Duration::from_millis(50)).await;
        flush(record);
        if is_down && Instant::now() > down_until {
            is_down = false;
            record.add("all daemons start again");
            fleet.restart(0..DAEMONS as usize)?;
        }
    }
    sending.abort();
    flush(record);
    let most = jobs.borrow().most_waiting;
    let bound = MAX_TOKENS as f64 * (1.0 + QUOTA_OVERAGE);
    let text = format!(
        "at most {most} tokens waited at a 202, allowed {bound}; accepted {} jobs, refused {} attempts",
        jobs.borrow().accepted.len(),
        jobs.borrow().refused
    );
    Ok(if most as f64 > bound { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Hands in a job, again at another daemon after a failure, as clients do.
async fn hand_in(
    number: usize,
    daemons: [SocketAddr; ATTEMPTS],
    deployment: &Deployment,
    jobs: &Rc<RefCell<Jobs>>,
    lines: &Rc<RefCell<Vec<String>>>,
) {
    let job = format!("{number:016x}");
    let ids: Vec<String> =
        (0..ITEMS).map(|item| format!("{:016x}", (number << 8) + item + (1 << 40))).collect();
    let items: Vec<NewItem> = ids
        .iter()
        .map(|id| NewItem {
            id: id.clone(),
            path: format!("{JOBS}{job}/{id}"),
            tokens: OUTPUT_TOKENS,
            prompt_prefix: None,
        })
        .collect();
    for daemon in daemons {
        let request = OutgoingRequest::job(JOBS, &job, &items).with_deadline_ms(4_000);
        let status = Client.call(daemon, &request).await.map(|answer| answer.status);
        if matches!(status, Ok(StatusCode::ACCEPTED)) {
            let mut jobs = jobs.borrow_mut();
            jobs.accepted.push((job.clone(), ids));
            let waiting = jobs.waiting_tokens(deployment);
            jobs.most_waiting = jobs.most_waiting.max(waiting);
            lines.borrow_mut().push(format!("job {job} at {daemon}: 202, {waiting} tokens wait"));
            return;
        }
        jobs.borrow_mut().refused +=
            usize::from(matches!(status, Ok(StatusCode::TOO_MANY_REQUESTS)));
        lines.borrow_mut().push(format!("job {job} at {daemon}: {status:?}"));
        sleep(Duration::from_millis(800)).await;
    }
}
