//! `crocusd`: reads the settings, runs the daemon, stops it gracefully.

use std::process::ExitCode;

use clap::Parser;
use daemon::options::Options;
use kernel::KernelError;
use kernel::Settings;
use kernel::logs;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("info");
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocusd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), KernelError> {
    let settings = Settings::load(&options.settings)?;
    if options.check {
        println!("{}: the settings are good", options.settings.display());
        return Ok(());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|source| KernelError::File { path: "the runtime".to_owned(), source })?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), KernelError> {
    let signals = |source| KernelError::File { path: "signals".to_owned(), source };
    let mut terminate = signal(SignalKind::terminate()).map_err(signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signals)?;
    let daemon = daemon::start(settings).await?;
    wait_for_one(&mut terminate, &mut interrupt).await;
    tokio::select! {
        drained = daemon.drain() => drained.stop(),
        () = wait_for_one(&mut terminate, &mut interrupt) => {
            log::warn!("event=stopped_at_once");
        }
    }
    Ok(())
}

async fn wait_for_one(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
