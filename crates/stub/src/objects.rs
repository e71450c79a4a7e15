//! The stub platform's objects, with versions and conditional updates.

use std::collections::BTreeMap;

use bytes::Bytes;

/// One stored object.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Version, unique across all objects.
    pub version: u64,
    /// Id of the write that created this version.
    pub write_id: String,
    /// Stored bytes.
    pub value: Bytes,
}

/// The object does not have the expected version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionConflict;

/// All stored objects by key.
#[derive(Debug, Default)]
pub struct Objects {
    objects: BTreeMap<String, StoredObject>,
    last_version: u64,
}

impl Objects {
    /// Returns an object.
    pub fn get(&self, key: &str) -> Option<&StoredObject> {
        self.objects.get(key)
    }

    /// Writes an object if it has the version `expected`, where 0 stands for an absent object, and
    /// returns the new version.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expected: u64,
        write_id: &str,
    ) -> Result<u64, VersionConflict> {
        self.check_version(key, expected)?;
        self.last_version += 1;
        let object =
            StoredObject { version: self.last_version, write_id: write_id.to_owned(), value };
        self.objects.insert(key.to_owned(), object);
        Ok(self.last_version)
    }

    /// Deletes an object if it has the version `expected`; succeeds if the object is absent.
    pub fn delete(&mut self, key: &str, expected: u64) -> Result<(), VersionConflict> {
        if !self.objects.contains_key(key) {
            return Ok(());
        }
        self.check_version(key, expected)?;
        self.objects.remove(key);
        Ok(())
    }

    /// Returns up to `limit` keys with a prefix that sort after the key `after`, and their versions.
    pub fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        let start = if after > prefix { after } else { prefix };
        self.objects
            .range(start.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, object)| (key.clone(), object.version))
            .collect()
    }

    /// Returns the total size of all values in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.objects.values().map(|object| object.value.len()).sum()
    }

    fn check_version(&self, key: &str, expected: u64) -> Result<(), VersionConflict> {
        let version = self.objects.get(key).map_or(0, |object| object.version);
        if version == expected { Ok(()) } else { Err(VersionConflict) }
    }
}
