//! The command line of `crocusd`.

use std::path::PathBuf;

use clap::Parser;

/// Serve online and batch inference on one fleet.
///
/// Every entry host runs this daemon with its own settings file. SIGTERM or SIGINT stops it
/// gracefully; a second one stops it at once.
#[derive(Clone, Debug, Parser)]
#[command(name = "crocusd", version)]
pub struct Options {
    /// The YAML file with this daemon's settings.
    #[arg(
        long,
        short,
        value_name = "FILE",
        env = "CROCUS_SETTINGS",
        required_unless_present = "platform"
    )]
    pub settings: Option<PathBuf>,

    /// Run on the users' platform, which writes the settings file and names it in the environment.
    #[arg(long, conflicts_with = "settings")]
    pub platform: bool,

    /// Check the settings, print what is wrong, and exit.
    #[arg(long)]
    pub check: bool,
}
