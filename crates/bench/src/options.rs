//! The command line of `crocus-bench`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use crate::scenario::Deployment;
use crate::scenario::Policy;
use crate::scenario::Scenario;

/// Measure the real daemons with stand-ins for everything outside.
///
/// Daemons and stand-ins run as tasks of this process, each on its own loopback address. Figures
/// of different machines or days do not compare; ratios within one run do.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus-bench", version)]
pub struct Options {
    /// What to measure.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Run one experiment and print what it saw as JSON.
    Run(RunArgs),
    /// Run two policies in alternation and print their ratios.
    Compare(CompareArgs),
    /// Run every experiment with the baselines and write the whole table.
    Report(ReportArgs),
    /// Show every fault at every step and check against the stand-ins' own records.
    Matrix(MatrixArgs),
    /// Measure how cost grows with size.
    Slopes(SlopesArgs),
    /// Run one large job and count the object API's calls for each item.
    Job(JobArgs),
    /// Roll bundles with racing operators and lost answers and measure how fast they spread.
    Rolls(RollsArgs),
    /// Measure one daemon's processor time and memory on the platform's path.
    ///
    /// With RUST_LOG=off the daemon writes no log, which gives the log's cost.
    Path(PathArgs),
}

/// The arguments of `path`.
#[derive(Clone, Debug, Args)]
pub struct PathArgs {
    /// The number of plain requests.
    #[arg(long, default_value_t = 12_000)]
    pub requests: u64,
    /// The number of streams.
    #[arg(long, default_value_t = 480)]
    pub streams: u64,
    /// The events of each stream.
    #[arg(long, default_value_t = 100)]
    pub events: u64,
    /// The daemon's program; beside this program unless given.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
}

/// The arguments that all experiments share.
#[derive(Clone, Copy, Debug, Args)]
pub struct CommonArgs {
    /// Which of the first users is modelled.
    #[arg(long, value_enum, default_value_t = Deployment::Depot)]
    pub deployment: Deployment,
    /// The seed of arrivals, questions and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The length of one measurement.
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    pub seconds: u64,
}

/// The arguments of `run`.
#[derive(Clone, Copy, Debug, Args)]
pub struct RunArgs {
    /// The experiment.
    #[arg(value_enum)]
    pub scenario: Scenario,
    /// How batch shares the replicas.
    #[arg(long, value_enum, default_value_t = Policy::Yield)]
    pub policy: Policy,
    /// The arguments that all experiments share.
    #[command(flatten)]
    pub common: CommonArgs,
}

/// The arguments of `compare`.
#[derive(Clone, Copy, Debug, Args)]
pub struct CompareArgs {
    /// The experiment.
    #[arg(value_enum)]
    pub scenario: Scenario,
    /// The policy to compare with.
    #[arg(value_enum)]
    pub baseline: Policy,
    /// The policy to look at.
    #[arg(value_enum)]
    pub policy: Policy,
    /// How often each is run.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// The arguments that all experiments share.
    #[command(flatten)]
    pub common: CommonArgs,
}

/// The arguments of `report`.
#[derive(Clone, Debug, Args)]
pub struct ReportArgs {
    /// The folder for the table as JSON, Markdown and HTML, with plots as SVG.
    #[arg(long, default_value = "target/report")]
    pub out: PathBuf,
    /// The seed of arrivals, questions and faults.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The length of one measurement.
    #[arg(long, default_value_t = 8, value_name = "SECONDS")]
    pub seconds: u64,
    /// Only these experiments.
    #[arg(long, value_enum, value_delimiter = ',')]
    pub only: Vec<Scenario>,
}

/// The arguments of `matrix`.
#[derive(Clone, Debug, Args)]
pub struct MatrixArgs {
    /// The seed of the cells.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Only cells whose name contains this.
    #[arg(long)]
    pub only: Option<String>,
}

/// The arguments of `slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopesArgs {
    /// The most daemons.
    #[arg(long, default_value_t = 48)]
    pub daemons: usize,
    /// The file for the points and fits as JSON.
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}

/// The arguments of `job`.
#[derive(Clone, Copy, Debug, Args)]
pub struct JobArgs {
    /// The number of items.
    #[arg(long, default_value_t = 720_000)]
    pub items: u32,
    /// Never run an item twice.
    #[arg(long)]
    pub not_idempotent: bool,
    /// Items marked in one write of a non-idempotent job.
    #[arg(long, default_value_t = 64)]
    pub mark_group: u32,
    /// The longest wait of marks and outcomes for their write.
    #[arg(long, default_value_t = 250, value_name = "MS")]
    pub group_commit_ms: u64,
    /// Kill the job's owner this often, at equal distances.
    #[arg(long, default_value_t = 0)]
    pub kills: u32,
}

/// The arguments of `rolls`.
#[derive(Clone, Copy, Debug, Args)]
pub struct RollsArgs {
    /// The number of rolls.
    #[arg(long, default_value_t = 100)]
    pub rolls: u32,
    /// The number of daemons.
    #[arg(long, default_value_t = 9)]
    pub daemons: usize,
}
