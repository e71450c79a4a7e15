//! The command line of `crocus-soak`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

/// Run real daemons under random faults and check what clients and replicas see.
///
/// Each seed is a fleet of its own on loopback addresses. Processes are ended by their ids, also
/// when the soak is interrupted.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus-soak", version)]
pub struct Options {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Run many seeds.
    Run(RunArgs),
    /// Run one seed again and keep its logs.
    Replay(ReplayArgs),
    /// List the seeds that failed once.
    List(ListArgs),
}

/// Many seeds.
#[derive(Clone, Debug, Args)]
pub struct RunArgs {
    /// How many seeds.
    #[arg(long, default_value_t = 10)]
    pub seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// Go on with more seeds for so long.
    #[arg(long, value_name = "MINUTES")]
    pub minutes: Option<u64>,
    /// The daemons of each run.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    pub daemons: u8,
    /// How many seeds run at once.
    #[arg(long, default_value_t = 2)]
    pub parallel: usize,
    /// Run the seeds that failed once as well.
    #[arg(long)]
    pub with_regressions: bool,
    /// Where things are.
    #[command(flatten)]
    pub places: Places,
}

/// One seed.
#[derive(Clone, Debug, Args)]
pub struct ReplayArgs {
    /// The seed.
    pub seed: u64,
    /// The daemons of the run.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u8).range(1..=200))]
    pub daemons: u8,
    /// Where things are.
    #[command(flatten)]
    pub places: Places,
}

/// The list.
#[derive(Clone, Debug, Args)]
pub struct ListArgs {
    /// Where things are.
    #[command(flatten)]
    pub places: Places,
}

/// Where things are.
#[derive(Clone, Debug, Args)]
pub struct Places {
    /// The daemon's program; beside this program unless given.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
    /// Where logs of failed seeds are kept; the folder for temporary files unless given.
    #[arg(long, value_name = "FOLDER")]
    pub logs: Option<PathBuf>,
    /// The seeds that failed once.
    #[arg(long, value_name = "FILE", default_value = "crates/soak/regressions.toml")]
    pub regressions: PathBuf,
}
