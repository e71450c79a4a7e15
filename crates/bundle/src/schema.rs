//! The bundle document that operators write in YAML.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use wire::DataCentre;
use wire::Millis;
use wire::ModelName;
use wire::OrgName;
use wire::ReplicaName;

/// Everything that a fleet runs, in one document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    /// What the operators call this bundle.
    pub name: String,
    /// The models.
    pub models: Vec<Model>,
    /// The plain services beside the models.
    #[serde(default)]
    pub services: Vec<PlainService>,
    /// The backend servers.
    pub replicas: Vec<Replica>,
    /// The organisations whose callers are served.
    pub organisations: Vec<Organisation>,
    /// The rules for online and batch work.
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
    /// The adapters loaded beside the weights.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// The streams that one replica should run at once.
    pub slots: u32,
    /// The most tokens that one request may ask for.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether online requests may run again after a first run was lost.
    #[serde(default = "yes")]
    pub idempotent: bool,
    /// The size of the weights in megabytes, for pacing loads.
    #[serde(default)]
    pub weights_mb: u64,
}

/// One adapter of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The adapter's name; callers ask for `model:adapter`.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// One plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// The name that callers use.
    pub name: ModelName,
    /// The calls that the service takes.
    pub calls: Vec<ServiceCall>,
    /// The calls that one replica should run at once.
    pub slots: u32,
}

/// One call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCall {
    /// The call's name, which is the last part of its path.
    pub name: String,
    /// Whether the call may be repeated after its answer was lost.
    pub idempotent: bool,
}

/// One backend server, found in the host list by its name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// The name in the host list.
    pub name: ReplicaName,
    /// The model or plain service that it runs.
    pub runs: ModelName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The work it takes.
    #[serde(default)]
    pub role: Role,
}

/// The work that a replica takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Online requests, and batch items on what they leave.
    #[default]
    Mixed,
    /// Online requests alone.
    Online,
    /// Batch items alone.
    Batch,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: OrgName,
    /// The SHA-256 of the token that its callers send, in hexadecimal.
    pub token_sha256: String,
    /// Online requests a second over the whole fleet.
    #[serde(default = "default_requests_per_s")]
    pub requests_per_s: f64,
    /// Online requests in flight at one daemon.
    #[serde(default = "default_in_flight")]
    pub max_in_flight: u32,
    /// The organisation's weight when batch capacity is short.
    #[serde(default = "default_weight")]
    pub batch_weight: u32,
}

/// The rules for online and batch work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The target time to the first token, which 95 of 100 requests should meet.
    pub first_token_ms: Millis,
    /// The target time between tokens, which 95 of 100 gaps should meet.
    pub between_tokens_ms: Millis,
    /// Slots of each replica that batch leaves free for arrivals, in percent.
    pub online_reserve_percent: u32,
    /// Slots of each replica that batch may use while online requests run there and the step
    /// time of the replica is not learned yet, in percent.
    pub batch_beside_online_percent: u32,
    /// How much batch may slow the steps of online requests, in percent.
    pub online_slowdown_percent: u32,
    /// How long a replica is left to online requests after its last one.
    pub online_quiet_ms: Millis,
    /// The longest queue of online requests at a replica, in percent of its slots.
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

fn yes() -> bool {
    true
}

fn default_requests_per_s() -> f64 {
    1_000.0
}

fn default_in_flight() -> u32 {
    1_000
}

fn default_weight() -> u32 {
    1
}

impl Bundle {
    /// Finds a model; `name` may carry an adapter as `model:adapter`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        let (base, adapter) = match name.split_once(':') {
            Some((base, adapter)) => (base, Some(adapter)),
            None => (name, None),
        };
        let model = self.models.iter().find(|model| model.name.as_str() == base)?;
        let has_adapter =
            adapter.is_none_or(|wanted| model.adapters.iter().any(|known| known.name == wanted));
        has_adapter.then_some(model)
    }

    /// Finds a plain service.
    pub fn service(&self, name: &str) -> Option<&PlainService> {
        self.services.iter().find(|service| service.name.as_str() == name)
    }

    /// Returns the replicas of a model or plain service.
    pub fn replicas_of<'a>(&'a self, target: &'a ModelName) -> impl Iterator<Item = &'a Replica> {
        self.replicas.iter().filter(move |replica| replica.runs == *target)
    }

    /// Returns the slots of one replica of a model or plain service.
    pub fn slots_of(&self, target: &ModelName) -> u32 {
        let model = self.models.iter().find(|model| model.name == *target);
        let service = self.services.iter().find(|service| service.name == *target);
        model.map(|model| model.slots).or(service.map(|service| service.slots)).unwrap_or(0)
    }

    /// Returns the organisations by the digest of their token.
    pub fn organisations_by_token(&self) -> BTreeMap<&str, &Organisation> {
        self.organisations.iter().map(|org| (org.token_sha256.as_str(), org)).collect()
    }
}
