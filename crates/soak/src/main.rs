//! `crocus-soak`: parses the command line, runs seeds, reports.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clap::Parser;
use kernel::logs;
use soak::options::Command;
use soak::options::Options;
use soak::options::Places;
use soak::options::RunArgs;
use soak::regressions;
use soak::run::Plan;
use soak::run::RunError;
use soak::schedule::Fresh;
use soak::schedule::Run;
use soak::schedule::Schedule;
use tokio_util::sync::CancellationToken;

/// The exit code of a soak that could not run.
const CANNOT_RUN: u8 = 2;
/// The second number of the daemons' addresses: the first of a hundred, by the process's id.
const FIRST_NET: u8 = 130;

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("warn");
    let result = match &options.command {
        Command::Run(args) => run_seeds(args),
        Command::Replay(args) => {
            let seeds = vec![(args.seed, args.daemons.into())];
            Soak::new(&args.places).and_then(|soak| soak.run_all(Schedule::new(seeds, None), 1))
        }
        Command::List(args) => list(&args.places),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("crocus-soak: {error}");
            ExitCode::from(CANNOT_RUN)
        }
    }
}

fn list(places: &Places) -> io::Result<ExitCode> {
    for regression in regressions::read(&places.regressions)? {
        println!("{} ({} daemons): {}", regression.seed, regression.daemons, regression.cause);
    }
    Ok(ExitCode::SUCCESS)
}

fn run_seeds(args: &RunArgs) -> io::Result<ExitCode> {
    let daemons = usize::from(args.daemons);
    let last = args.first_seed + args.seeds;
    let mut seeds: Vec<_> = (args.first_seed..last).map(|seed| (seed, daemons)).collect();
    if args.with_regressions {
        let known = regressions::read(&args.places.regressions)?;
        seeds.extend(known.iter().map(|known| (known.seed, known.daemons)));
    }
    let fresh = args.minutes.map(|minutes| {
        let until = Instant::now() + Duration::from_secs(minutes * 60);
        Fresh { next_seed: last, daemons, until }
    });
    Soak::new(&args.places)?.run_all(Schedule::new(seeds, fresh), args.parallel.max(1))
}

/// The runs that are left, and how the others ended.
struct Progress {
    schedule: Schedule,
    done: usize,
    failed: usize,
}

/// Where the seeds of this process run.
struct Soak {
    binary: PathBuf,
    logs: PathBuf,
    interrupted: CancellationToken,
}

impl Soak {
    fn new(places: &Places) -> io::Result<Self> {
        let beside = std::env::current_exe()?.with_file_name("crocusd");
        let binary = places.daemon.clone().unwrap_or(beside);
        if !binary.is_file() {
            let what = format!("no daemon at {}; build it or give --daemon", binary.display());
            return Err(io::Error::new(io::ErrorKind::NotFound, what));
        }
        let logs = places.logs.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("crocus-soak-{}", std::process::id()))
        });
        let interrupted = CancellationToken::new();
        watch_for_interrupts(interrupted.clone())?;
        Ok(Self { binary, logs, interrupted })
    }

    fn run_all(&self, schedule: Schedule, parallel: usize) -> io::Result<ExitCode> {
        let progress = Mutex::new(Progress { schedule, done: 0, failed: 0 });
        thread::scope(|scope| {
            for _ in 0..parallel {
                scope.spawn(|| self.work(&progress));
            }
        });
        let progress = progress.into_inner().unwrap_or_else(PoisonError::into_inner);
        println!("soak: seeds={} failed={}", progress.done, progress.failed);
        Ok(if progress.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn work(&self, progress: &Mutex<Progress>) {
        let lock = || progress.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let Some(run) = lock().schedule.next_run(Instant::now()) else { return };
            let is_good = self.run_one(run);
            let mut progress = lock();
            progress.done += 1;
            progress.failed += usize::from(!is_good);
            if self.interrupted.is_cancelled() {
                return;
            }
        }
    }

    fn run_one(&self, run: Run) -> bool {
        let Run { seed, daemons, number } = run;
        let plan = Plan {
            seed,
            daemons,
            binary: self.binary.clone(),
            folder: self.logs.join(run.folder_name()),
            net: [FIRST_NET + (std::process::id() % 100) as u8, (number % 256) as u8],
        };
        match soak::run::run(&plan, &self.interrupted) {
            Ok(outcome) => {
                println!(
                    "seed={seed} daemons={daemons} faults={} requests={} served={} jobs={} broken={}",
                    outcome.faults,
                    outcome.requests,
                    outcome.served,
                    outcome.jobs,
                    outcome.violations.len()
                );
                for violation in &outcome.violations {
                    println!("  {violation}");
                }
                if !outcome.violations.is_empty() {
                    println!("  logs: {}", plan.folder.display());
                }
                outcome.violations.is_empty()
            }
            Err(RunError::Interrupted) => false,
            Err(error) => {
                println!("seed={seed} daemons={daemons} error=\"{error}\"");
                false
            }
        }
    }
}

/// Ends all runs, and with them their processes, when this process is told to stop.
fn watch_for_interrupts(interrupted: CancellationToken) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        runtime.block_on(async {
            use tokio::signal::unix::SignalKind;
            use tokio::signal::unix::signal;
            let (Ok(mut interrupt), Ok(mut terminate)) =
                (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
            else {
                return log::error!("event=signals_not_watched");
            };
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
            interrupted.cancel();
        });
    });
    Ok(())
}
