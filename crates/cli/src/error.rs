//! Errors of the client, each a sentence that tells what to do.

use std::fmt;
use std::io;
use std::process::ExitCode;

use wire::Ran;
use wire::Refusal;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// The system refused the request.
    Refused(Refusal),
    /// No entry host could be reached; nothing was run.
    Unreachable(String),
    /// The answer was lost; the request may have run.
    Unknown(String),
    /// An answer cannot be read.
    Answer(String),
    /// A file cannot be read or written.
    File {
        /// The path.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// An option is missing or wrong.
    Usage(String),
    /// A bundle has problems.
    BadBundle(Vec<String>),
    /// The job ended without every item done.
    ItemsNotDone(String),
    /// No log names the id.
    NotInLogs(String),
}

impl CliError {
    /// Returns whether the same call may succeed later.
    pub fn is_passing(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.retry_after_ms.is_some(),
            Self::Unreachable(_) | Self::Unknown(_) => true,
            _ => false,
        }
    }

    /// Returns the exit code: 1 refused, 2 wrong usage, 3 outcome unknown, 4 not reached.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(refusal) if refusal.ran == Ran::Unknown => ExitCode::from(3),
            Self::Refused(_) | Self::BadBundle(_) | Self::ItemsNotDone(_) | Self::NotInLogs(_) => {
                ExitCode::from(1)
            }
            Self::Usage(_) | Self::File { .. } => ExitCode::from(2),
            Self::Unknown(_) | Self::Answer(_) => ExitCode::from(3),
            Self::Unreachable(_) => ExitCode::from(4),
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(refusal) => {
                write!(f, "{refusal}")?;
                match refusal.retry_after_ms {
                    Some(wait_ms) => write!(f, "; try again in {wait_ms} ms"),
                    None => Ok(()),
                }
            }
            Self::Unreachable(message) => {
                write!(f, "no entry host could be reached: {message}; check --entry or --admin")
            }
            Self::Unknown(message) => {
                write!(f, "the answer was lost and the request may have run: {message}")
            }
            Self::Answer(message) => write!(f, "the answer cannot be read: {message}"),
            Self::File { path, source } => write!(f, "cannot use the file '{path}': {source}"),
            Self::Usage(message) => f.write_str(message),
            Self::BadBundle(problems) => {
                write!(f, "the bundle has {} problems:", problems.len())?;
                problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
            }
            Self::ItemsNotDone(message) => f.write_str(message),
            Self::NotInLogs(id) => {
                write!(f, "no log names '{id}'; give the logs of all daemons, the older ones too")
            }
        }
    }
}

impl std::error::Error for CliError {}
