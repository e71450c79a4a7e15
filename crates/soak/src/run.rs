//! One run: a fleet, its clients, its faults, and the check.

use std::fmt::Write;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use kernel::KernelError;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::check;
use crate::check::Evidence;
use crate::check::Violation;
use crate::fleet::Fleet;
use crate::job_client;
use crate::observation::Seen;
use crate::plan;
use crate::traffic;
use crate::traffic::World;

/// The clients of each daemon.
const CLIENTS: usize = 3;
/// The clients that hand jobs in, for each run.
const JOB_CLIENTS: usize = 4;
/// How long after the last fault all must be well again, in milliseconds; the platform's
/// `recover_s`.
const RECOVER_MS: u64 = 12_000;
/// How long clients go on after that, in milliseconds.
const AFTER_MS: u64 = 3_000;
/// How long jobs may take after the clients have stopped, in milliseconds; the platform's
/// `finish_s`.
const FINISH_MS: u64 = 18_000;

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The daemon's program.
    pub binary: PathBuf,
    /// Where the logs lie.
    pub folder: PathBuf,
    /// The second and third number of the daemons' addresses, 127.x.y.*.
    pub net: [u8; 2],
}

/// What came out.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The promises that were broken.
    pub violations: Vec<Violation>,
    /// Online requests.
    pub requests: usize,
    /// Online requests that were served.
    pub served: usize,
    /// Jobs that were accepted.
    pub jobs: usize,
    /// Faults.
    pub faults: usize,
}

/// Why a run has no outcome.
#[derive(Debug)]
pub enum RunError {
    /// The stand-ins or daemons did not start.
    Start(KernelError),
    /// A file could not be written.
    File(io::Error),
    /// The run was interrupted.
    Interrupted,
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Start(error) => write!(f, "the fleet did not start: {error}"),
            Self::File(error) => write!(f, "a file could not be written: {error}"),
            Self::Interrupted => f.write_str("the run was interrupted"),
        }
    }
}

impl std::error::Error for RunError {}

/// Runs one seed on a thread of its own to the end.
pub fn run(plan: &Plan, interrupted: &CancellationToken) -> Result<Outcome, RunError> {
    std::fs::create_dir_all(&plan.folder).map_err(RunError::File)?;
    let runtime = Builder::new_current_thread().enable_all().build().map_err(RunError::File)?;
    let outcome = LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            outcome = play(plan) => outcome,
            () = interrupted.cancelled() => Err(RunError::Interrupted),
        }
    })?;
    if outcome.violations.is_empty() {
        std::fs::remove_dir_all(&plan.folder).map_err(RunError::File)?;
    }
    Ok(outcome)
}

async fn play(plan: &Plan) -> Result<Outcome, RunError> {
    let fleet = Fleet::start(&plan.binary, &plan.folder, plan.net, plan.daemons);
    let fleet = fleet.await.map_err(RunError::Start)?;
    let mut violations = not_ready(&fleet).await;
    let world = Rc::new(World {
        fleet: fleet.clone(),
        seen: Default::default(),
        stopped: CancellationToken::new(),
    });
    let mut clients = Vec::new();
    for daemon in 0..plan.daemons {
        for client in 0..CLIENTS {
            let requests = traffic::send_requests(world.clone(), daemon, client, plan.seed);
            clients.push(spawn_local(requests));
        }
        clients.push(spawn_local(traffic::ask_for_routes(world.clone(), daemon)));
    }
    for client in 0..JOB_CLIENTS {
        clients.push(spawn_local(job_client::send_jobs(world.clone(), client, plan.seed)));
    }
    let faults = plan::faults(plan.seed, plan.daemons);
    disturb(&fleet, &faults).await;
    let recovered_ms = fleet.timeline.borrow().last_end_ms() + RECOVER_MS;
    sleep_until(&fleet, recovered_ms).await;
    violations.extend(not_ready(&fleet).await);
    sleep_until(&fleet, recovered_ms + AFTER_MS).await;
    world.stopped.cancel();
    for client in clients {
        if let Err(error) = client.await {
            let what = format!("a client of the soak failed: {error}");
            violations.push(Violation { promise: "the soak itself", what });
        }
    }
    job_client::read_all(&world, fleet.now_ms() + FINISH_MS).await;
    let seen = world.seen.borrow();
    let log = fleet.deployment.log.borrow();
    let timeline = fleet.timeline.borrow();
    violations.extend(check::violations(&Evidence {
        seen: &seen,
        log: &log,
        timeline: &timeline,
        recovered_ms,
    }));
    let is_served = |seen: &Seen| matches!(seen, Seen::Answered { status: 200, .. });
    let outcome = Outcome {
        requests: seen.attempts.len(),
        served: seen.attempts.iter().filter(|attempt| is_served(&attempt.seen)).count(),
        jobs: seen.jobs.values().filter(|job| job.accepted_ms.is_some()).count(),
        faults: faults.len(),
        violations,
    };
    write_story(&plan.folder, plan.seed, &fleet, &outcome).map_err(RunError::File)?;
    Ok(outcome)
}

async fn not_ready(fleet: &Fleet) -> Vec<Violation> {
    let late = fleet.settle().await;
    let sentence = |daemon| Violation {
        promise: "daemons become ready",
        what: format!("daemon-{daemon} is not ready"),
    };
    late.into_iter().map(sentence).collect()
}

/// Lets every fault happen at its time and waits for the end of all.
async fn disturb(fleet: &Rc<Fleet>, faults: &[plan::PlannedFault]) {
    let start_ms = fleet.now_ms();
    let mut running = Vec::new();
    for planned in faults {
        sleep_until(fleet, start_ms + planned.at_ms).await;
        running.push(spawn_local(fleet.clone().inject(*planned)));
    }
    for fault in running {
        if let Err(error) = fault.await {
            log::warn!("event=fault_failed error=\"{error}\"");
        }
    }
}

async fn sleep_until(fleet: &Fleet, until_ms: u64) {
    sleep(Duration::from_millis(until_ms.saturating_sub(fleet.now_ms()))).await;
}

/// Writes the times of all faults and what was broken beside the logs.
fn write_story(folder: &Path, seed: u64, fleet: &Fleet, outcome: &Outcome) -> io::Result<()> {
    let mut text = format!("seed {seed}\n\nfaults, in milliseconds of the run\n");
    for span in fleet.timeline.borrow().spans() {
        let until = span.until_ms.map_or("-".to_owned(), |ms| ms.to_string());
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{:>6} {until:>6} {}", span.from_ms, span.fault);
    }
    text.push_str("\nbroken promises\n");
    for violation in &outcome.violations {
        let _ = writeln!(text, "{violation}");
    }
    std::fs::write(folder.join("story.txt"), text)
}
