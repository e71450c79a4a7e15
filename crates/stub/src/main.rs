//! The `crocus-stub` binary: runs the stubs of a settings file until it is interrupted.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use kernel::KernelError;
use kernel::logs;
use stub::Stubs;
use stub::settings::StubSettings;

/// Run stubs of the platform, the weight store, model engines and plain services.
///
/// Each stub accepts faults as JSON at POST /stub/fault, for example
/// {"fault": "down"}, {"fault": "drop_answers", "count": 3} or {"fault": "heal"}.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus-stub", version)]
struct Options {
    /// YAML file that lists the stubs.
    #[arg(long, short, value_name = "FILE")]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("info");
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocus-stub: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), KernelError> {
    let settings = StubSettings::load(&options.settings)?;
    let runtime = tokio::runtime::Runtime::new()
        .map_err(|source| KernelError::Start { what: "the async runtime".to_owned(), source })?;
    runtime.block_on(async {
        let stubs = Stubs::start(&settings)?;
        log::info!("event=serving engines={}", stubs.engines.len());
        let _ = tokio::signal::ctrl_c().await;
        stubs.stop();
        Ok(())
    })
}
