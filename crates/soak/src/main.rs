//! `crocus-soak`: runs the seeds that the command line asks for and reports the results.

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
use soak::options::PathArgs;
use soak::options::RunArgs;
use soak::regressions;
use soak::run::RunConfig;
use soak::run::RunError;
use soak::schedule::FreshSeeds;
use soak::schedule::Run;
use soak::schedule::Schedule;
use tokio_util::sync::CancellationToken;

/// The exit code when the soak could not run.
const EXIT_CANNOT_RUN: u8 = 2;
/// The second byte of the daemons' addresses is this plus the process id modulo 100, so that soaks
/// that run at the same time use different addresses.
const FIRST_SUBNET: u8 = 130;

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("warn");
    let result = match &options.command {
        Command::Run(args) => run_seeds(args),
        Command::Replay(args) => {
            let seeds = vec![(args.seed, args.daemons.into())];
            Soak::new(&args.paths).and_then(|soak| soak.run_all(Schedule::new(seeds, None), 1))
        }
        Command::List(args) => list(&args.paths),
    };
    match result {
        Ok(code) => code,
        Err(error) => {
            eprintln!("crocus-soak: {error}");
            ExitCode::from(EXIT_CANNOT_RUN)
        }
    }
}

fn list(paths: &PathArgs) -> io::Result<ExitCode> {
    for regression in regressions::read(&paths.regressions)? {
        println!("{} ({} daemons): {}", regression.seed, regression.daemons, regression.cause);
    }
    Ok(ExitCode::SUCCESS)
}

fn run_seeds(args: &RunArgs) -> io::Result<ExitCode> {
    let daemons = usize::from(args.daemons);
    let end_seed = args.first_seed + args.seeds;
    let mut seeds: Vec<_> = (args.first_seed..end_seed).map(|seed| (seed, daemons)).collect();
    if args.with_regressions {
        let known = regressions::read(&args.paths.regressions)?;
        seeds.extend(known.iter().map(|known| (known.seed, known.daemons)));
    }
    let fresh = args.minutes.map(|minutes| {
        let stop_at = Instant::now() + Duration::from_secs(minutes * 60);
        FreshSeeds { next_seed: end_seed, daemons, stop_at }
    });
    Soak::new(&args.paths)?.run_all(Schedule::new(seeds, fresh), args.parallel.max(1))
}

/// The runs that are left, and the results of the others.
struct Progress {
    schedule: Schedule,
    done: usize,
    failed: usize,
}

/// The program, log folder and stop signal of all runs.
struct Soak {
    binary: PathBuf,
    logs: PathBuf,
    interrupted: CancellationToken,
}

impl Soak {
    fn new(paths: &PathArgs) -> io::Result<Self> {
        let default_binary = std::env::current_exe()?.with_file_name("crocusd");
        let binary = paths.daemon.clone().unwrap_or(default_binary);
        if !binary.is_file() {
            let message =
                format!("no daemon program at {}; build it or pass --daemon", binary.display());
            return Err(io::Error::new(io::ErrorKind::NotFound, message));
        }
        let logs = paths.logs.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!("crocus-soak-{}", std::process::id()))
        });
        let interrupted = CancellationToken::new();
        cancel_on_signals(interrupted.clone())?;
        Ok(Self { binary, logs, interrupted })
    }

    fn run_all(&self, schedule: Schedule, parallel: usize) -> io::Result<ExitCode> {
        let progress = Mutex::new(Progress { schedule, done: 0, failed: 0 });
        thread::scope(|scope| {
            for _ in 0..parallel {
                scope.spawn(|| self.run_worker(&progress));
            }
        });
        let progress = progress.into_inner().unwrap_or_else(PoisonError::into_inner);
        println!("soak: seeds={} failed={}", progress.done, progress.failed);
        Ok(if progress.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }

    fn run_worker(&self, progress: &Mutex<Progress>) {
        let lock = || progress.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let Some(run) = lock().schedule.next_run(Instant::now()) else { return };
            let has_passed = self.run_one(run);
            let mut progress = lock();
            progress.done += 1;
            progress.failed += usize::from(!has_passed);
            if self.interrupted.is_cancelled() {
                return;
            }
        }
    }

    fn run_one(&self, run: Run) -> bool {
        let Run { seed, daemons, number } = run;
        let config = RunConfig {
            seed,
            daemons,
            binary: self.binary.clone(),
            folder: self.logs.join(run.folder_name()),
            subnet: [FIRST_SUBNET + (std::process::id() % 100) as u8, (number % 256) as u8],
        };
        match soak::run::run(&config, &self.interrupted) {
            Ok(report) => {
                println!(
                    "seed={seed} daemons={daemons} faults={} requests={} served={} jobs={} \
                     key_statuses={:?} peak_kib={} broken={}",
                    report.faults,
                    report.requests,
                    report.served,
                    report.jobs,
                    report.key_statuses,
                    report.peak_kib,
                    report.violations.len()
                );
                for violation in &report.violations {
                    println!("  {violation}");
                }
                if !report.violations.is_empty() {
                    println!("  logs: {}", config.folder.display());
                }
                report.violations.is_empty()
            }
            Err(RunError::Interrupted) => false,
            Err(error) => {
                println!("seed={seed} daemons={daemons} error=\"{error}\"");
                false
            }
        }
    }
}

/// Cancels all runs, which ends their processes, when this process receives SIGINT or SIGTERM.
fn cancel_on_signals(interrupted: CancellationToken) -> io::Result<()> {
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
