//! The versions of malformed entries that were logged, so that each is logged only once.

use std::collections::HashSet;
use std::collections::VecDeque;

/// The maximum number of versions that are remembered.
const MAX_VERSIONS: usize = 1_024;
/// The maximum length of text from an entry in a line of the log, in characters.
const MAX_EXCERPT_CHARS: usize = 120;

/// The versions that were logged, by their digests; the oldest are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct LoggedVersions {
    digests: HashSet<u64>,
    oldest_first: VecDeque<u64>,
}

impl LoggedVersions {
    /// Adds a version and returns whether it is new.
    pub fn add(&mut self, digest: u64) -> bool {
        if !self.digests.insert(digest) {
            return false;
        }
        self.oldest_first.push_back(digest);
        if self.oldest_first.len() > MAX_VERSIONS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.digests.remove(&oldest);
        }
        true
    }
}

/// Returns the start of a text from an entry, escaped for the log.
pub fn excerpt(text: &str) -> String {
    text.chars().take(MAX_EXCERPT_CHARS).flat_map(char::escape_debug).collect()
}
