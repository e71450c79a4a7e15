//! The schema of the bundle document, which operators write in YAML.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use wire::DataCentre;
use wire::Millis;
use wire::ModelName;
use wire::OrgName;
use wire::ReplicaName;

/// A bundle: the models, services, replicas, organisations and rules of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// The name that operators give this bundle.
    pub name: String,
    /// The models.
    pub models: Vec<Model>,
    /// The services that are not models.
    #[serde(default)]
    pub services: Vec<PlainService>,
    /// The backend servers.
    pub replicas: Vec<Replica>,
    /// The organisations whose callers may use the fleet.
    pub organisations: Vec<Organisation>,
    /// The rules by which online and batch work share the replicas.
    #[serde(default)]
    pub rules: Rules,
}

/// One model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: ModelName,
    /// The version of the weights.
    pub version: String,
    /// The adapters that are loaded with the weights.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// The number of streams that one replica runs concurrently.
    pub slots: u32,
    /// The most tokens that a request may ask for.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether an online request may run again after its first run was lost.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// The size of the weights in megabytes, by which loads are paced.
    #[serde(default)]
    pub weights_mb: u64,
}

/// One adapter of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name of the adapter; callers request it as `model:adapter`.
    pub name: String,
    /// The version of the adapter.
    pub version: String,
}

/// A service that is not a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The name that callers use.
    pub name: ModelName,
    /// The calls that the service offers.
    pub calls: Vec<ServiceCall>,
    /// The number of calls that one replica runs concurrently.
    pub slots: u32,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// The name of the call, which is the last segment of its path.
    pub name: String,
    /// Whether the call may be retried after its answer was lost.
    pub idempotent: bool,
}

/// One backend server, which the host list maps to an address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The name of the replica in the host list.
    pub name: ReplicaName,
    /// The model or plain service that it runs.
    pub runs: ModelName,
    /// The data centre of the replica.
    pub data_centre: DataCentre,
    /// Whether the replica rejects orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The kind of work that the replica accepts.
    #[serde(default)]
    pub role: Role,
}

/// The kind of work that a replica accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Online requests, and batch items in the capacity that they leave free.
    #[default]
    Mixed,
    /// Online requests only.
    Online,
    /// Batch items only.
    Batch,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrgName,
    /// The hexadecimal SHA-256 digest of the token that its callers send.
    pub token_sha256: String,
    /// The limit on online requests per second over the whole fleet.
    #[serde(default = "default_requests_per_s")]
    pub requests_per_s: f64,
    /// The limit on online requests in flight at one daemon.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// The weight of the organisation in the fair share of batch capacity.
    #[serde(default = "default_batch_weight")]
    pub batch_weight: u32,
}

/// The rules by which online and batch work share the replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The target for the 95th percentile of the time to the first token.
    pub first_token_ms: Millis,
    /// The target for the 95th percentile of the time between tokens.
    pub between_tokens_ms: Millis,
    /// The percentage of each replica's slots that batch work leaves free for new online requests.
    pub online_reserve_percent: u32,
    /// The percentage of each replica's slots that batch work may use while online requests run
    /// there and the step time of the replica has not been learned.
    pub batch_beside_online_percent: u32,
    /// The percentage by which batch work may slow the steps of online requests.
    pub online_slowdown_percent: u32,
    /// How long after the last online request at a replica the limit on batch work for online load
    /// still applies.
    pub online_quiet_ms: Millis,
    /// The maximum queue of online requests at a replica, as a percentage of its slots.
    pub online_queue_percent: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            first_token_ms: 780,
            between_tokens_ms: 77,
            online_reserve_percent: 25,
            batch_beside_online_percent: 25,
            online_slowdown_percent: 8,
            online_quiet_ms: 1_000,
            online_queue_percent: 100,
        }
    }
}

fn default_max_tokens() -> u32 {
    1024
}

fn default_idempotent() -> bool {
    true
}

fn default_requests_per_s() -> f64 {
    1_000.0
}

fn default_max_in_flight() -> u32 {
    1_000
}

fn default_batch_weight() -> u32 {
    1
}

impl Bundle {
    /// Returns the model of this name, which may include an adapter as `model:adapter`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let (base, adapter) = match name.split_once(':') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (name, None),
        };
        let model = self.models.iter().find(|model| model.name.as_str() == base)?;
        let has_adapter =
            adapter.is_none_or(|adapter| model.adapters.iter().any(|known| known.name == adapter));
        has_adapter.then_some(model)
    }

    /// Returns the plain service of this name.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the replicas of a model or plain service.
    pub fn replicas_of<'a>(&'a self, target: &'a ModelName) -> impl Iterator<Item = &'a Replica> {
        self.replicas.iter().filter(move |replica| replica.runs == *target)
    }

    /// Returns the slots of one replica of a model or plain service, or 0 if neither exists.
    pub fn slots_of(&self, target: &ModelName) -> u32 {
        let model = self.models.iter().find(|model| model.name == *target);
        let service = self.services.iter().find(|service| service.name == *target);
        model.map(|model| model.slots).or(service.map(|service| service.slots)).unwrap_or(0)
    }

    /// Returns the organisations, indexed by the digest of their token.
    pub fn organisations_by_token(&self) -> BTreeMap<&str, &Organisation> {
        self.organisations.iter().map(|org| (org.token_sha256.as_str(), org)).collect()
    }
}
