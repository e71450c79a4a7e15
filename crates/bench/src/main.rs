//! `crocus-bench`: parses the command line, runs one measurement and prints its result.

use std::process::ExitCode;

use bench::compare;
use bench::experiment;
use bench::experiment::Plan;
use bench::job_run;
use bench::matrix;
use bench::options::Command;
use bench::options::Options;
use bench::path_cost;
use bench::report;
use bench::rolls;
use bench::slopes;
use clap::Parser;
use cli::CliError;
use kernel::logs;
use serde::Serialize;

fn main() -> ExitCode {
    let options = Options::parse();
    logs::init("error");
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("crocus-bench: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&options)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("crocus-bench: {error}");
            error.exit_code()
        }
    }
}

async fn run(options: &Options) -> Result<ExitCode, CliError> {
    match &options.command {
        Command::Run(args) => {
            let plan = Plan {
                scenario: args.scenario,
                policy: args.policy,
                deployment: args.common.deployment,
                seed: args.common.seed,
                seconds: args.common.seconds,
            };
            print(&experiment::run(plan).await?);
        }
        Command::Compare(args) => print(&compare::run(args).await?),
        Command::Report(args) => report::run(args).await?,
        Command::Matrix(args) => return matrix::run(args).await,
        Command::Slopes(args) => slopes::run(args).await?,
        Command::Job(args) => print(&job_run::run(args).await?),
        Command::Path(args) => print(&path_cost::run(args).await?),
        Command::Rolls(args) => print(&rolls::run(args).await?),
    }
    Ok(ExitCode::SUCCESS)
}

fn print<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
