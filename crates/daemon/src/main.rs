//! `crocusd`: reads the settings, runs the daemon and stops it gracefully.

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use daemon::options::Options;
use kernel::KernelError;
use kernel::Settings;
use kernel::logs;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// The exit code if the platform's settings file cannot be loaded.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let options = Options::parse();
    match &options.settings {
        Some(settings) if !options.platform => {
            logs::init("info");
            report(run(settings, options.check))
        }
        _ => run_on_platform(options.check),
    }
}

fn report(result: Result<(), KernelError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_platform(is_check: bool) -> ExitCode {
    let settings = match platform::settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("crocusd: {error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if is_check {
        println!("the settings of daemon '{}' are valid", settings.daemon);
        return ExitCode::SUCCESS;
    }
    let log = match logs::init_bounded("info") {
        Ok(log) => log,
        Err(error) => {
            eprintln!("crocusd: cannot start the log: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = node::run(settings);
    drop(log);
    report(result)
}

fn run(path: &Path, is_check: bool) -> Result<(), KernelError> {
    let settings = Settings::load(path)?;
    if is_check {
        println!("{}: the settings are valid", path.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|source| KernelError::Start { what: "the async runtime".to_owned(), source })?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), KernelError> {
    let signal_error =
        |source| KernelError::Start { what: "the signal handlers".to_owned(), source };
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    let daemon = daemon::start(settings).await?;
    wait_for_signal(&mut terminate, &mut interrupt).await;
    tokio::select! {
        drained = daemon.drain() => drained.stop(),
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            log::warn!("event=stopped_at_once");
        }
    }
    Ok(())
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
