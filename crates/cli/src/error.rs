//! Errors of the client and the exit codes they map to.

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
    OutcomeUnknown(String),
    /// An answer could not be decoded.
    InvalidAnswer(String),
    /// A file could not be read or written.
    File {
        /// Path of the file.
        path: String,
        /// Error from the operating system.
        source: io::Error,
    },
    /// A measurement could not be made.
    Measurement(io::Error),
    /// An option is missing or invalid.
    Usage(String),
    /// A bundle is invalid; lists every problem.
    InvalidBundle(Vec<String>),
    /// The job ended and some of its items are not done.
    ItemsNotDone(String),
    /// The id is in none of the logs.
    NotInLogs(String),
}

impl CliError {
    /// Returns whether the same call may succeed later.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.retry_after_ms.is_some(),
            Self::Unreachable(_) | Self::OutcomeUnknown(_) => true,
            _ => false,
        }
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => refusal.ran == Ran::Unknown,
            Self::OutcomeUnknown(_) | Self::InvalidAnswer(_) => true,
            _ => false,
        }
    }

    /// Returns the error of a call that an earlier attempt may have run.
    pub fn with_unknown_outcome(self) -> Self {
        match self {
            Self::Refused(mut refusal) => {
                refusal.ran = Ran::Unknown;
                Self::Refused(refusal)
            }
            Self::Unreachable(message) => Self::OutcomeUnknown(message),
            other => other,
        }
    }

    /// Returns the exit code: 1 refused or not done, 2 usage error, 3 outcome unknown, 4 unreachable.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::Refused(refusal) if refusal.ran == Ran::Unknown => ExitCode::from(3),
            Self::Refused(_)
            | Self::InvalidBundle(_)
            | Self::ItemsNotDone(_)
            | Self::NotInLogs(_) => ExitCode::from(1),
            Self::Usage(_) | Self::File { .. } | Self::Measurement(_) => ExitCode::from(2),
            Self::OutcomeUnknown(_) | Self::InvalidAnswer(_) => ExitCode::from(3),
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
                    Some(wait_ms) => write!(f, "; retry after {wait_ms} ms"),
                    None => Ok(()),
                }
            }
            Self::Unreachable(message) => {
                write!(f, "no entry host could be reached: {message}; check --entry or --admin")
            }
            Self::OutcomeUnknown(message) => {
                write!(f, "the answer was lost and the request may have run: {message}")
            }
            Self::InvalidAnswer(message) => write!(f, "cannot decode the answer: {message}"),
            Self::File { path, source } => write!(f, "cannot read or write '{path}': {source}"),
            Self::Measurement(source) => write!(f, "cannot measure: {source}"),
            Self::Usage(message) => f.write_str(message),
            Self::InvalidBundle(problems) => {
                write!(f, "the bundle has {} problems:", problems.len())?;
                problems.iter().try_for_each(|problem| write!(f, "\n  {problem}"))
            }
            Self::ItemsNotDone(message) => f.write_str(message),
            Self::NotInLogs(id) => {
                write!(
                    f,
                    "no log contains '{id}'; pass the logs of all daemons, including older ones"
                )
            }
        }
    }
}

impl std::error::Error for CliError {}
