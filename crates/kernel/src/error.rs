//! Errors that keep a process from starting or a service from being found.

use std::fmt;
use std::io;

/// Why a process could not start.
#[derive(Debug)]
pub enum KernelError {
    /// A file could not be read.
    File {
        /// The path as given.
        path: String,
        /// What the system said.
        source: io::Error,
    },
    /// The settings are not valid.
    Settings {
        /// Where the settings came from.
        origin: String,
        /// The dotted path of the wrong field.
        field: String,
        /// What is wrong with it.
        message: String,
    },
    /// An address could not be bound.
    Bind {
        /// The address.
        address: String,
        /// What the system said.
        source: io::Error,
    },
    /// The keys for TLS cannot be used.
    Tls {
        /// The file.
        path: String,
        /// What is wrong with it.
        message: String,
    },
    /// A plug-in asked for a service that no plug-in before it provides.
    MissingService {
        /// The type name of the service.
        service: &'static str,
    },
    /// Plug-ins wait for each other, or for one that is not linked in.
    PluginOrder {
        /// The plug-in that could not be placed.
        plugin: &'static str,
    },
    /// A plug-in could not start.
    Plugin {
        /// The plug-in.
        plugin: &'static str,
        /// Why.
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
            Self::Bind { address, source } => write!(f, "cannot listen on {address}: {source}"),
            Self::Tls { path, message } => write!(f, "TLS file '{path}': {message}"),
            Self::MissingService { service } => {
                write!(f, "no plug-in provides the service '{service}'")
            }
            Self::PluginOrder { plugin } => {
                write!(f, "plug-in '{plugin}' waits for a plug-in that is missing or waits for it")
            }
            Self::Plugin { plugin, message } => write!(f, "plug-in '{plugin}': {message}"),
        }
    }
}

impl std::error::Error for KernelError {}
