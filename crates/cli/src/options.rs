//! The command line of `crocus`.

use std::path::PathBuf;

use clap::Args;
use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;

/// Ask models, run batch jobs and roll bundles.
///
/// Exit codes: 0 done, 1 refused and not run, 2 wrong usage, 3 the outcome is not known,
/// 4 no host was reached.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocus", version)]
pub struct Options {
    /// How to reach the system.
    #[command(flatten)]
    pub connection: Connection,

    /// The form of the output.
    #[arg(long, value_enum, default_value_t = OutputForm::Text, global = true)]
    pub output: OutputForm,

    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to reach the system.
#[derive(Clone, Debug, Args)]
pub struct Connection {
    /// Callers' addresses of one or more entry hosts, as URLs with commas between them.
    #[arg(long, env = "CROCUS_ENTRY", value_delimiter = ',', global = true, value_name = "URL")]
    pub entry: Vec<String>,

    /// The operators' address of an entry host.
    #[arg(long, env = "CROCUS_ADMIN", global = true, value_name = "URL")]
    pub admin: Option<String>,

    /// The token of the organisation, or of the operator for commands that use --admin.
    #[arg(long, env = "CROCUS_TOKEN", global = true, hide_env_values = true, value_name = "TOKEN")]
    pub token: Option<String>,

    /// Prefer entry hosts of this data centre.
    #[arg(long, env = "CROCUS_DATA_CENTRE", global = true, value_name = "NAME")]
    pub data_centre: Option<String>,

    /// Trust the certificates in this PEM file.
    #[arg(long, env = "CROCUS_CA_FILE", global = true, value_name = "FILE")]
    pub ca_file: Option<PathBuf>,
}

/// The form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutputForm {
    /// Lines for people.
    Text,
    /// One JSON value.
    Json,
}

/// The commands.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Show which addresses callers should use now.
    Endpoints,
    /// Ask a model one question.
    Ask(AskArgs),
    /// Check, sign, roll and look at bundles.
    #[command(subcommand)]
    Bundle(BundleCommand),
    /// Start, follow and cancel batch jobs.
    #[command(subcommand)]
    Job(JobCommand),
    /// Make keys, tokens and certificates.
    #[command(subcommand)]
    Key(KeyCommand),
    /// Tell from logs what happened to a request, an item or a job.
    Explain(ExplainArgs),
}

/// What to explain from which logs.
#[derive(Clone, Debug, Args)]
pub struct ExplainArgs {
    /// The id of the request, the item or the job.
    pub id: String,
    /// Logs of daemons; give those of all daemons, since a request's story crosses them.
    #[arg(required = true, value_name = "LOG")]
    pub logs: Vec<PathBuf>,
}

/// One question to a model.
#[derive(Clone, Debug, Args)]
pub struct AskArgs {
    /// The model, with an adapter as MODEL:ADAPTER.
    #[arg(long, short)]
    pub model: String,
    /// The most tokens to generate.
    #[arg(long, default_value_t = 64)]
    pub max_tokens: u32,
    /// A key; a resend with the same key never runs a second time.
    #[arg(long)]
    pub key: Option<String>,
    /// How long to wait for the whole answer.
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<u64>,
    /// The text to complete.
    pub prompt: String,
}

/// Commands on bundles.
#[derive(Clone, Debug, Subcommand)]
pub enum BundleCommand {
    /// Check a bundle file without sending it anywhere.
    Check {
        /// The bundle, a YAML file.
        file: PathBuf,
    },
    /// Sign a bundle; a signed file gets one signature more.
    Sign {
        /// The bundle, a YAML file, or the output of an earlier sign.
        file: PathBuf,
        /// The operator's name, as in the daemons' settings.
        #[arg(long)]
        operator: String,
        /// The file with the operator's secret key.
        #[arg(long, value_name = "FILE")]
        key_file: PathBuf,
        /// Where to write the signed bundle.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Put a signed bundle in force on the whole fleet.
    Roll {
        /// The signed bundle.
        file: PathBuf,
        /// Roll only if this number is in force now.
        #[arg(long, value_name = "NUMBER")]
        expect: Option<u64>,
    },
    /// Show the bundle in force on each daemon.
    Status,
}

/// Commands on jobs.
#[derive(Clone, Debug, Subcommand)]
pub enum JobCommand {
    /// Start a job from a file of JSON lines with custom_id, prompt and max_tokens.
    Start {
        /// The items.
        file: PathBuf,
        /// The model.
        #[arg(long, short)]
        model: String,
        /// The job's key; the same key and file are the same job. The default is the file's
        /// digest.
        #[arg(long)]
        key: Option<String>,
        /// When the job is due, in seconds from now.
        #[arg(long, default_value_t = 3600, value_name = "SECONDS")]
        due_in: u64,
        /// Never run an item twice, even if its answer is lost.
        #[arg(long)]
        not_idempotent: bool,
        /// Wait until every item has its outcome.
        #[arg(long)]
        wait: bool,
        /// With --wait, write the results to this file.
        #[arg(long, value_name = "FILE", requires = "wait")]
        results: Option<PathBuf>,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Show a job's state.
    Status {
        /// The job's id.
        job: String,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Write the recorded results as JSON lines.
    Results {
        /// The job's id.
        job: String,
        /// The file to write; standard output if there is none.
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
    /// Cancel a job; items that have ended keep their outcome.
    Cancel {
        /// The job's id.
        job: String,
        /// Act for this organisation, with an operator's token at --admin.
        #[arg(long, value_name = "NAME")]
        organisation: Option<String>,
    },
}

/// Commands that make keys.
#[derive(Clone, Debug, Subcommand)]
pub enum KeyCommand {
    /// Make an operator's signing key; the public key goes into the daemons' settings.
    New {
        /// Where to write the secret key.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Make a token; its digest goes into a bundle or into the daemons' settings.
    Token,
    /// Make a certificate for an entry host, signed by itself.
    Tls {
        /// The host's IP.
        #[arg(long)]
        ip: String,
        /// The folder for cert.pem and key.pem.
        #[arg(long, value_name = "FOLDER")]
        out: PathBuf,
    },
}
