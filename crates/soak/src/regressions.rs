//! Seeds that failed before, each with its cause.

use std::fs;
use std::io;
use std::path::Path;

use serde::Deserialize;

/// A seed that failed before.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Regression {
    /// The seed.
    pub seed: u64,
    /// The number of daemons.
    pub daemons: usize,
    /// The fault that made it fail.
    pub cause: String,
}

#[derive(Deserialize)]
struct RegressionFile {
    #[serde(default)]
    regression: Vec<Regression>,
}

/// Reads the regressions from a file.
pub fn read(path: &Path) -> io::Result<Vec<Regression>> {
    let text = fs::read_to_string(path)?;
    let file: RegressionFile = toml::from_str(&text).map_err(|error| {
        io::Error::new(io::ErrorKind::InvalidData, format!("{}: {error}", path.display()))
    })?;
    Ok(file.regression)
}
