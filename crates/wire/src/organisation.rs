//! The organisations whose requests are served, and their keys.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use crate::OrgName;
use crate::digest::sha256_hex;

/// The number of hexadecimal digits of the hash of a key in the log.
const KEY_HASH_DIGITS: usize = 8;

/// One organisation of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrgName,
    /// The priority of its requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u32>,
    /// The limit on its requests; absent for no limit.
    pub quota: Option<RequestQuota>,
}

/// The limit on the requests of one organisation over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestQuota {
    /// The lasting rate, in requests per second; always positive.
    pub rate_per_s: f64,
    /// The number of requests that may exceed the lasting rate at once.
    pub burst: f64,
}

/// An organisation with its keys, as one entry of the configuration defines it.
#[derive(Clone)]
pub struct OrganisationEntry {
    /// The organisation.
    pub organisation: Organisation,
    /// The keys with which its clients call.
    pub keys: Vec<Arc<str>>,
}

impl fmt::Debug for OrganisationEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OrganisationEntry")
            .field("organisation", &self.organisation)
            .field("keys", &self.keys.len())
            .finish()
    }
}

/// Two organisations that list the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyConflict {
    /// The organisation that is listed first, to which the key belongs.
    pub owner: OrgName,
    /// The organisation that is listed later.
    pub other: OrgName,
    /// The hash of the key, as in the log.
    pub key_hash: String,
}

/// The organisations of one version of the configuration, by name and by key.
#[derive(Clone, Default)]
pub struct Organisations {
    list: Vec<Arc<Organisation>>,
    by_name: HashMap<OrgName, Arc<Organisation>>,
    by_key: HashMap<Arc<str>, Arc<Organisation>>,
}

impl Organisations {
    /// Builds the look-up tables, and returns the keys that several organisations list.
    ///
    /// Entries with the same name are one organisation with the limits of the first of them. A key
    /// that several organisations list belongs to the first, so that all daemons agree.
    pub fn new(entries: Vec<OrganisationEntry>) -> (Self, Vec<KeyConflict>) {
        let mut organisations = Self::default();
        let mut conflicts = Vec::new();
        for OrganisationEntry { organisation, keys } in entries {
            let organisation = organisations.add(organisation);
            for key in keys {
                let owner = organisations.by_key.entry(key.clone());
                let owner = owner.or_insert_with(|| Arc::clone(&organisation));
                if owner.name != organisation.name {
                    conflicts.push(KeyConflict {
                        owner: owner.name.clone(),
                        other: organisation.name.clone(),
                        key_hash: key_hash(&key),
                    });
                }
            }
        }
        (organisations, conflicts)
    }

    /// Returns all organisations, in the order of the configuration.
    pub fn list(&self) -> &[Arc<Organisation>] {
        &self.list
    }

    /// Returns an organisation by its name.
    pub fn by_name(&self, name: &OrgName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns the organisation that a key belongs to.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }

    fn add(&mut self, organisation: Organisation) -> Arc<Organisation> {
        if let Some(listed) = self.by_name.get(&organisation.name) {
            return Arc::clone(listed);
        }
        let organisation = Arc::new(organisation);
        self.by_name.insert(organisation.name.clone(), Arc::clone(&organisation));
        self.list.push(Arc::clone(&organisation));
        organisation
    }
}

impl fmt::Debug for Organisations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Organisations")
            .field("list", &self.list)
            .field("keys", &self.by_key.len())
            .finish()
    }
}

/// Returns the hash of a key with which the log names it.
pub fn key_hash(key: &str) -> String {
    sha256_hex(key.as_bytes())[..KEY_HASH_DIGITS].to_owned()
}
