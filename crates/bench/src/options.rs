//! The command line of `crocus-bench`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;

use crate::scenario::Deployment;
use crate::scenario::Policy;
use crate::scenario::Scenario;

/// Measure real daemons that run against stubs of the outside systems.
///
/// Daemons and stubs run as tasks of this process, each on its own loopback address; only `path`
/// starts its daemon as a separate process. Absolute figures from different machines or days are
/// not comparable; ratios within one run are.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus-bench", version)]
pub struct Options {
    /// The measurement to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Run one experiment and print its results as JSON.
    Run(RunArgs),
    /// Run two policies in alternation and print the ratios of their results.
    Compare(CompareArgs),
    /// Run every experiment with its baselines and write a report.
    Report(ReportArgs),
    /// Run every cell of the fault matrix and check the results against the stubs' records.
    Matrix(MatrixArgs),
    /// Measure how cost grows with size.
    Slopes(SlopesArgs),
    /// Run one large job and count the object API calls for each item.
    Job(JobArgs),
    /// Roll bundles with concurrent operators and lost answers, and measure how fast they reach
    /// every daemon.
    Rolls(RollsArgs),
    /// Measure the CPU time and memory of one daemon process on the platform's path.
    ///
    /// With RUST_LOG=off the daemon writes no log; the difference is the cost of logging.
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
    /// The number of events of each stream.
    #[arg(long, default_value_t = 100)]
    pub events: u64,
    /// The daemon's program; by default `crocusd` in the folder of this program.
    #[arg(long, value_name = "FILE")]
    pub daemon: Option<PathBuf>,
}

/// The arguments that all experiments share.
#[derive(Clone, Copy, Debug, Args)]
pub struct CommonArgs {
    /// The users' deployment to model.
    #[arg(long, value_enum, default_value_t = Deployment::Depot)]
    pub deployment: Deployment,
    /// The seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The duration of one measurement.
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    pub seconds: u64,
}

/// The arguments of `run`.
#[derive(Clone, Copy, Debug, Args)]
pub struct RunArgs {
    /// The experiment.
    #[arg(value_enum)]
    pub scenario: Scenario,
    /// How batch work shares the replicas with online requests.
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
    /// The policy to measure.
    #[arg(value_enum)]
    pub policy: Policy,
    /// How often each policy is run.
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// The arguments that all experiments share.
    #[command(flatten)]
    pub common: CommonArgs,
}

/// The arguments of `report`.
#[derive(Clone, Debug, Args)]
pub struct ReportArgs {
    /// The folder for the report as JSON, Markdown and HTML, with plots as SVG.
    #[arg(long, default_value = "target/report")]
    pub out: PathBuf,
    /// The seed of arrivals and prompts.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// The duration of one measurement.
    #[arg(long, default_value_t = 8, value_name = "SECONDS")]
    pub seconds: u64,
    /// Run only these experiments.
    #[arg(long, value_enum, value_delimiter = ',')]
    pub only: Vec<Scenario>,
}

/// The arguments of `matrix`.
#[derive(Clone, Debug, Args)]
pub struct MatrixArgs {
    /// The base seed; the number of each cell is added to it.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Run only the cells whose name contains this text.
    #[arg(long)]
    pub only: Option<String>,
}

/// The arguments of `slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopesArgs {
    /// The maximum number of daemons in the series that varies it.
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
    /// Submit a non-idempotent job: each item runs at most once.
    #[arg(long)]
    pub not_idempotent: bool,
    /// The number of items of a non-idempotent job that are marked in one write.
    #[arg(long, default_value_t = 64)]
    pub mark_group: u32,
    /// The maximum time for which marks and outcomes of non-idempotent items wait to be written.
    #[arg(long, default_value_t = 250, value_name = "MS")]
    pub group_commit_ms: u64,
    /// How often the job's owner is killed, at equal intervals of progress.
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
