//! Command-line options of `crocus`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// Send requests to models, run batch jobs and roll out bundles.
///
/// Exit codes: 0 success, 1 refused and not run, 2 usage error, 3 outcome unknown,
/// 4 no host reachable.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus", version)]
pub struct Options {
    /// Connection options.
    #[command(flatten)]
    pub connection: Connection,

    /// Output format.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text, global = true)]
    pub output: OutputFormat,

    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// Connection options.
#[derive(Clone, Debug, Args)]
pub struct Connection {
    /// Caller addresses of one or more entry hosts, as comma-separated URLs.
    #[arg(long, env = "CROCUS_ENTRY", value_delimiter = ',', global = true, value_name = "URL")]
    pub entry: Vec<String>,

    /// Operator address of an entry host.
    #[arg(long, env = "CROCUS_ADMIN", global = true, value_name = "URL")]
    pub admin: Option<String>,

    /// Token of the organisation, or of the operator for commands that use --admin.
    #[arg(long, env = "CROCUS_TOKEN", global = true, hide_env_values = true, value_name = "TOKEN")]
    pub token: Option<String>,

    /// Prefer entry hosts of this data centre.
    #[arg(long, env = "CROCUS_DATA_CENTRE", global = true, value_name = "NAME")]
    pub data_centre: Option<String>,

    /// Trust the certificates in this PEM file.
    #[arg(long, env = "CROCUS_CA_FILE", global = true, value_name = "FILE")]
    pub ca_file: Option<PathBuf>,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON value.
    Json,
}

/// Commands of `crocus`.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Show the addresses that callers should use.
    Endpoints,
    /// Send one prompt to a model.
    Ask(AskArgs),
    /// Check, sign, roll out and inspect bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Start, monitor and cancel batch jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Generate keys, tokens and certificates.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Reconstruct from logs what happened to a request, an item or a job.
    Explain(ExplainArgs),
}

/// Arguments of `crocus explain`.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// Id of the request, item or job.
    pub id: String,
    /// Log files of all daemons, since one request may be logged by several of them.
    #[arg(required = true, value_name = "LOG")]
    pub logs: Vec<PathBuf>,
}

/// Arguments of `crocus ask`.
#[derive(Clone, Debug, Args)]
pub struct AskArgs {
    /// Model name, or MODEL:ADAPTER for an adapter.
    #[arg(long, short)]
    pub model: String,
    /// Maximum number of tokens to generate.
    #[arg(long, default_value_t = 64)]
    pub max_tokens: u32,
    /// Idempotency key; a request that is sent again with the same key does not run twice.
    #[arg(long)]
    pub key: Option<String>,
    /// Time limit for the whole answer, in milliseconds.
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<u64>,
    /// Text to complete.
    pub prompt: String,
}

/// Bundle commands.
#[derive(Clone, Debug, Subcommand)]
pub enum BundleCommand {
    /// Check a bundle file without sending it anywhere.
    Check {
        /// Bundle file in YAML.
        file: PathBuf,
    },
    /// Sign a bundle; adds a signature to one that is already signed.
    Sign {
        /// Bundle file in YAML, or the output of an earlier `sign`.
        file: PathBuf,
        /// Operator name, as in the daemons' settings.
        #[arg(long)]
        operator: String,
        /// File with the operator's secret key.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// File to write the signed bundle to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Roll out a signed bundle to the whole fleet.
    Roll {
        /// Signed bundle file.
        file: PathBuf,
        /// Roll out only if the bundle in force has this number.
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
    },
    /// Show the bundle in force on each daemon.
    Status,
}

/// Job commands.
#[derive(Clone, Debug, Subcommand)]
pub enum JobCommand {
    /// Start a job from a JSON Lines file with custom_id, prompt and max_tokens.
    Start {
        /// JSON Lines file with the items.
        file: PathBuf,
        /// Model name.
        #[arg(long, short)]
        model: String,
        /// Job key; the same key with the same file is the same job. Defaults to the digest of the
        /// file.
        #[arg(long)]
        key: Option<String>,
        /// Time until the job is due, in seconds.
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        due_in: u64,
        /// Do not run an item again when its answer is lost.
        #[arg(long)]
        not_idempotent: bool,
        /// Wait until every item has an outcome.
        #[arg(long)]
        wait: bool,
        /// With --wait, write the results to this file.
        #[arg(long, value_name = "FILE", requires = "wait")]
        results: Option<PathBuf>,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Show the state of a job.
    Status {
        /// Job id.
        job: String,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Write the recorded results as JSON Lines.
    Results {
        /// Job id.
        job: String,
        /// File to write; defaults to standard output.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Cancel a job; items that have already ended keep their outcome.
    Cancel {
        /// Job id.
        job: String,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
}

/// Key, token and certificate commands.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Generate an operator's signing key; the public key goes into the daemons' settings.
    New {
        /// File to write the secret key to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Generate a token; its digest goes into a bundle or into the daemons' settings.
    Token,
    /// Generate a self-signed certificate for an entry host.
    Tls {
        /// IP address of the host.
        #[arg(long)]
        ip: String,
        /// Folder for cert.pem and key.pem.
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
    },
}
