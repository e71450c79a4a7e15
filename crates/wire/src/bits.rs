//! A growable set of small integers, stored one bit each.

use serde::Deserialize;
use serde::Serialize;

/// A set of `u32` kept as a bitmap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BitSet(#[serde(with = "serde_bytes")] Vec<u8>);

impl BitSet {
    /// Adds `index` and returns whether it was absent before.
    pub fn insert(&mut self, index: u32) -> bool {
        let byte = index as usize / 8;
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        let mask = 1 << (index % 8);
        let was_absent = self.0[byte] & mask == 0;
        self.0[byte] |= mask;
        was_absent
    }

    /// Removes `index`.
    pub fn remove(&mut self, index: u32) {
        if let Some(byte) = self.0.get_mut(index as usize / 8) {
            *byte &= !(1 << (index % 8));
        }
    }

    /// Returns whether `index` is in the set.
    pub fn contains(&self, index: u32) -> bool {
        self.0.get(index as usize / 8).is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }

    /// Returns how many integers the set holds.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|byte| *byte == 0)
    }
}
