//! Errors at the start of a process, and in the look-up of a service.

use std::fmt;
use std::io;

/// The reason why a process could not start.
#[derive(Debug)]
pub enum KernelError {
    /// A file could not be read.
    File {
        /// The path as configured.
        path: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The settings are not valid.
    Settings {
        /// The source of the settings.
        origin: String,
        /// The dotted path of the invalid field.
        field: String,
        /// The error.
        message: String,
    },
    /// A part of the process, or another process, could not be started.
    Start {
        /// What could not be started.
        what: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// An address could not be bound.
    Bind {
        /// The address.
        address: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The certificate or key files for TLS are invalid.
    Tls {
        /// The file.
        path: String,
        /// The error.
        message: String,
    },
    /// A plug-in requires a service that no earlier plug-in provides.
    MissingService {
        /// The type name of the service.
        service: &'static str,
    },
    /// Plug-ins depend on each other in a cycle, or on one that is not linked.
    PluginOrder {
        /// A plug-in that could not be ordered.
        plugin: &'static str,
    },
    /// A plug-in failed to start.
    Plugin {
        /// The plug-in.
        plugin: &'static str,
        /// The cause.
        message: String,
    },
}

impl fmt::Display for KernelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => write!(f, "cannot read '{path}': {source}"),
            Self::Settings { origin, field, message } => {
                write!(f, "settings '{origin}', field '{field}': {message}")
            }
            Self::Start { what, source } => write!(f, "cannot start {what}: {source}"),
            Self::Bind { address, source } => write!(f, "cannot listen on {address}: {source}"),
            Self::Tls { path, message } => write!(f, "TLS file '{path}': {message}"),
            Self::MissingService { service } => {
                write!(f, "no plug-in provides the service '{service}'")
            }
            Self::PluginOrder { plugin } => {
                write!(
                    f,
                    "plug-in '{plugin}' depends on a missing plug-in or on a dependency cycle"
                )
            }
            Self::Plugin { plugin, message } => write!(f, "plug-in '{plugin}': {message}"),
        }
    }
}

impl std::error::Error for KernelError {}
