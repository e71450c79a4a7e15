//! Seeds that failed once and the cause of each.

use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// A seed that failed once.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// Why it failed.
    pub cause: String,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    regression: Vec<Regression>,
}

/// Reads the regressions.
pub fn read(path: &Path) -> io::Result<Vec<Regression>> {
    let text = fs::read_to_string(path)?;
    let file: File = toml::from_str(&text).map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", path.display()))
    })?;
    Ok(file.regression)
}
