//! The detectors of the replicas that a daemon owns, one for each incarnation.

use std::collections::HashMap;

use catalog::Incarnation;
use wire::ReplicaName;
use wire::ReplicaRecord;

use crate::outlier::Detector;

/// The detectors of owned replicas, by name.
#[derive(Clone, Debug, Default)]
pub struct Detectors {
    by_replica: HashMap<ReplicaName, (Incarnation, Detector)>,
}

impl Detectors {
    /// Returns the detector of a replica, if it has one.
    pub fn get(&self, replica: &ReplicaName) -> Option<&Detector> {
        self.by_replica.get(replica).map(|(_, detector)| detector)
    }

    /// Returns the detector of a replica to change it, if it has one.
    pub fn get_mut(&mut self, replica: &ReplicaName) -> Option<&mut Detector> {
        self.by_replica.get_mut(replica).map(|(_, detector)| detector)
    }

    /// Returns the detector of a record's incarnation, which is new if there is none.
    pub fn of(&mut self, record: &ReplicaRecord) -> &mut Detector {
        let incarnation = Incarnation::from(record);
        let new = || (incarnation.clone(), Detector::default());
        let entry = self.by_replica.entry(record.name.clone()).or_insert_with(new);
        if entry.0 != incarnation {
            *entry = new();
        }
        &mut entry.1
    }

    /// Returns all detectors.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Detector> {
        self.by_replica.values_mut().map(|(_, detector)| detector)
    }

    /// Removes the detector of a replica.
    pub fn remove(&mut self, replica: &ReplicaName) {
        self.by_replica.remove(replica);
    }

    /// Removes all detectors but those of the given records' incarnations.
    pub fn retain<'a>(&mut self, records: impl Iterator<Item = &'a ReplicaRecord>) {
        let kept: HashMap<&ReplicaName, Incarnation> =
            records.map(|record| (&record.name, Incarnation::from(record))).collect();
        self.by_replica.retain(|name, (incarnation, _)| kept.get(name) == Some(incarnation));
    }
}
