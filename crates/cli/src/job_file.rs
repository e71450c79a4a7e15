//! Splits a file of items into lots.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;

use wire::digest::sha256_hex;
use wire::job::LOT_ITEMS;

use crate::error::CliError;

/// A group of items that is sent in one call.
pub struct Lot {
    /// The items as JSON Lines.
    pub lines: Vec<u8>,
    /// Number of items.
    pub items: u32,
}

/// Reads a JSON Lines file as lots of at most `LOT_ITEMS` items; empty lines are skipped.
pub fn read_lots(path: &Path) -> Result<Vec<Lot>, CliError> {
    let file_error = |source| CliError::File { path: path.display().to_string(), source };
    let reader = BufReader::new(File::open(path).map_err(file_error)?);
    let mut lots = Vec::new();
    let mut current = Lot { lines: Vec::new(), items: 0 };
    for line in reader.lines() {
        let line = line.map_err(file_error)?;
        if line.trim().is_empty() {
            continue;
        }
        current.lines.extend_from_slice(line.as_bytes());
        current.lines.push(b'\n');
        current.items += 1;
        if current.items == LOT_ITEMS {
            lots.push(std::mem::replace(&mut current, Lot { lines: Vec::new(), items: 0 }));
        }
    }
    if current.items > 0 {
        lots.push(current);
    }
    if lots.is_empty() {
        return Err(CliError::Usage(format!("the file '{}' contains no items", path.display())));
    }
    Ok(lots)
}

/// Derives a job key from the digests of the lots, so that the same file always has the same key.
pub fn default_key(lots: &[Lot]) -> String {
    let digests: Vec<String> = lots.iter().map(|lot| sha256_hex(&lot.lines)).collect();
    sha256_hex(digests.join("\n").as_bytes())
}
