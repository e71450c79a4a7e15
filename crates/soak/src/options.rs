//! The command line of `crocus-soak`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Run real daemons under random faults and check what clients and replicas observe.
///
/// Each seed runs in a separate fleet on loopback addresses. Processes are ended by their ids, even
/// when the soak is interrupted.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus-soak", version)]
pub struct Options {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of `crocus-soak`.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Run many seeds.
    Run(RunArgs),
    /// Run one seed again and keep its logs.
    Replay(ReplayArgs),
    /// List the seeds that failed before.
    List(ListArgs),
}

/// The arguments of `run`.
#[derive(Clone, Debug, Args)]
pub struct RunArgs {
    /// The number of seeds.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// Run further seeds until this many minutes have passed since the start.
    #[arg(long, value_name = "MINUTES")]
    pub minutes: Option<u64>,
    /// The number of daemons of each run.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    pub daemons: u8,
    /// The number of seeds that run at the same time.
    #[arg(long, default_value_t = 2)]
    pub parallel: usize,
    /// Also run the seeds that failed before.
    #[arg(long)]
    pub with_regressions: bool,
    /// The paths of files and folders.
    #[command(flatten)]
    pub paths: PathArgs,
}

/// The arguments of `replay`.
#[derive(Clone, Debug, Args)]
pub struct ReplayArgs {
    /// The seed to run.
    pub seed: u64,
    /// The number of daemons of the run.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    pub daemons: u8,
    /// The paths of files and folders.
    #[command(flatten)]
    pub paths: PathArgs,
}

/// The arguments of `list`.
#[derive(Clone, Debug, Args)]
pub struct ListArgs {
    /// The paths of files and folders.
    #[command(flatten)]
    pub paths: PathArgs,
}

/// The paths of files and folders.
#[derive(Clone, Debug, Args)]
pub struct PathArgs {
    /// The daemon's program; by default `crocusd` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
    /// The folder for the logs of failed seeds; by default a folder in the temporary files.
    #[arg(long, value_name = "FOLDER")]
    pub logs: Option<PathBuf>,
    /// The file that lists the seeds that failed before.
    #[arg(long, value_name = "FILE", default_value = "crates/soak/regressions.toml")]
    pub regressions: PathBuf,
}
