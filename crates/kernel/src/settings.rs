//! The settings of a daemon: YAML that is validated at start; errors name the path of the field.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use wire::DaemonName;
use wire::DataCentre;
use wire::Millis;
use wire::name::is_valid_name;

use crate::KernelError;

/// The settings that a daemon reads at start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name; unique in the fleet and unchanged by restarts.
    pub daemon: DaemonName,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// The listener for callers.
    pub callers: Listener,
    /// The listener for operators.
    pub admin: Listener,
    /// The links between daemons.
    pub links: LinkSettings,
    /// The metrics page and the statsd server.
    pub metrics: MetricsSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The operators, who sign bundles and make administration calls.
    pub operators: Vec<OperatorSettings>,
    /// The number of different operators that must sign a bundle.
    #[serde(default = "default_signatures_needed")]
    pub signatures_needed: u32,
    /// Liveness and leases among daemons.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits on online requests.
    #[serde(default)]
    pub online: OnlineSettings,
    /// The settings for batch jobs.
    #[serde(default)]
    pub batch: BatchSettings,
}

/// A listening address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The address and port.
    pub address: SocketAddr,
    /// The files for TLS; without them the listener uses plain text.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

/// The certificate and key for TLS, as PEM files.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    /// The certificate chain.
    pub cert_file: PathBuf,
    /// The private key.
    pub key_file: PathBuf,
}

/// Links between daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// The address and port to listen on; other daemons connect to it as well.
    pub address: SocketAddr,
    /// Shared secrets: the first one signs and all are accepted, so that they can be rotated.
    pub secrets: Vec<String>,
    /// Daemons to ask for the bundle in force when the object API is down at start.
    #[serde(default)]
    pub seeds: Vec<Seed>,
}

/// A daemon that is known without the object API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seed {
    /// Its name.
    pub daemon: DaemonName,
    /// The address of its link listener.
    pub address: SocketAddr,
}

/// The settings for metrics.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// The address of the metrics page; it should be a local one.
    pub address: SocketAddr,
    /// The statsd server that metrics are sent to.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The base URL of the object API and the host list.
    pub url: String,
    /// The maximum wait for one call.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: Millis,
    /// The writes per second that the whole fleet may make.
    #[serde(default = "default_fleet_writes")]
    pub fleet_writes_per_s: f64,
    /// The reads per second that the whole fleet may make.
    #[serde(default = "default_fleet_reads")]
    pub fleet_reads_per_s: f64,
    /// The rate at which the whole fleet may load weights.
    #[serde(default = "default_weight_rate")]
    pub weight_store_mb_per_s: f64,
    /// The interval at which the host list is read.
    #[serde(default = "default_host_list_ms")]
    pub host_list_every_ms: Millis,
}

/// One operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The operator's name.
    pub name: String,
    /// The ed25519 public key that signs bundles, in hexadecimal.
    pub public_key: String,
    /// The SHA-256 of the token for administration calls, in hexadecimal.
    pub token_sha256: String,
}

/// Liveness and leases among daemons.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MembershipSettings {
    /// How long a daemon's lease is valid after its last renewal.
    pub lease_ms: Millis,
    /// The interval at which the lease is renewed.
    pub renew_every_ms: Millis,
    /// The interval at which a daemon that watches the leases reads their list.
    pub list_every_ms: Millis,
    /// The interval at which neighbours exchange heartbeats.
    pub heartbeat_every_ms: Millis,
    /// How long a neighbour may be silent before it is suspected.
    pub suspect_after_ms: Millis,
    /// The number of neighbours that a daemon probes.
    pub neighbours: usize,
    /// The number of daemons in a data centre that read the in-force pointer from the object API.
    pub watchers_per_data_centre: usize,
    /// The interval at which these daemons read the in-force pointer.
    pub pointer_every_ms: Millis,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            lease_ms: 30_000,
            renew_every_ms: 10_000,
            list_every_ms: 2_000,
            heartbeat_every_ms: 500,
            suspect_after_ms: 2_000,
            neighbours: 3,
            watchers_per_data_centre: 2,
            pointer_every_ms: 1_000,
        }
    }
}

/// Limits on online requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OnlineSettings {
    /// How long callers may cache an endpoints answer, and how long a leaving daemon still serves.
    pub endpoints_keep_ms: Millis,
    /// The deadline of a request that does not specify one.
    pub default_deadline_ms: Millis,
    /// How long a backend server's stream may be silent before it is resumed elsewhere.
    pub stream_progress_ms: Millis,
    /// The maximum time until a backend server sends the first token.
    pub first_token_ms: Millis,
    /// The number of replicas of a model that one daemon uses.
    pub subset: usize,
    /// The maximum number of retries as a fraction of the requests.
    pub retry_ratio: f64,
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            endpoints_keep_ms: 5_000,
            default_deadline_ms: 60_000,
            stream_progress_ms: 2_000,
            first_token_ms: 5_000,
            subset: 24,
            retry_ratio: 0.1,
        }
    }
}

/// How batch work shares replicas with online requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LanePolicy {
    /// Batch work uses the capacity that online requests leave, and returns it at once when needed.
    #[default]
    Yield,
    /// Batch work runs at a fixed concurrency, independent of online requests.
    Fixed,
    /// Some replicas run only batch work, and the others only online requests.
    Partition,
}

/// The settings for batch jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSettings {
    /// How batch work shares replicas with online requests.
    pub policy: LanePolicy,
    /// The number of ledger chunks of one job that are processed concurrently.
    pub open_chunks: u32,
    /// The number of items of a non-idempotent job that are marked in one write.
    pub mark_group: u32,
    /// The maximum time for which marks and outcomes of non-idempotent items wait to be written.
    pub group_commit_ms: Millis,
    /// The maximum time until outcomes of idempotent items are written.
    pub record_within_ms: Millis,
    /// The interval at which a job shard is listed, to find jobs whose notice was lost.
    pub shard_list_every_ms: Millis,
    /// The maximum time for which one item may run.
    pub item_timeout_ms: Millis,
    /// How long a stopping daemon that runs no item of a job waits for the object API to answer
    /// before it leaves the job to the next owner without recording the last outcomes.
    pub stop_grace_ms: Millis,
    /// An item is not retried after this many backend servers were lost while they ran it.
    pub max_attempts: u32,
    /// The folder for the result cache, on hosts with a disk.
    pub data_folder: Option<PathBuf>,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            policy: LanePolicy::Yield,
            open_chunks: 8,
            mark_group: 64,
            group_commit_ms: 250,
            record_within_ms: 20_000,
            shard_list_every_ms: 10_000,
            item_timeout_ms: 120_000,
            stop_grace_ms: 10_000,
            max_attempts: 4,
            data_folder: None,
        }
    }
}

fn default_signatures_needed() -> u32 {
    1
}

fn default_call_timeout_ms() -> Millis {
    1_000
}

fn default_fleet_writes() -> f64 {
    200.0
}

fn default_fleet_reads() -> f64 {
    1_500.0
}

fn default_weight_rate() -> f64 {
    20_000.0
}

fn default_host_list_ms() -> Millis {
    500
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, KernelError> {
        let origin = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| KernelError::File { path: origin.clone(), source })?;
        Self::parse(&text, &origin)
    }

    /// Parses and validates settings; `origin` names their source in errors.
    pub fn parse(text: &str, origin: &str) -> Result<Self, KernelError> {
        let settings: Self = parse_yaml(text, origin)?;
        match settings.find_invalid_field() {
            None => Ok(settings),
            Some(invalid) => Err(KernelError::Settings {
                origin: origin.to_owned(),
                field: invalid.field,
                message: invalid.message,
            }),
        }
    }

    fn find_invalid_field(&self) -> Option<InvalidField> {
        self.check_names()
            .or_else(|| self.check_addresses())
            .or_else(|| self.check_operators())
            .or_else(|| self.check_numbers())
    }

    fn check_names(&self) -> Option<InvalidField> {
        let names = [("daemon", self.daemon.as_str()), ("data_centre", self.data_centre.as_str())];
        let invalid_name = names.into_iter().find(|(_, name)| !is_valid_name(name))?;
        Some(InvalidField::new(invalid_name.0, "use 1 to 128 letters, digits, '-', '_' or '.'"))
    }

    fn check_addresses(&self) -> Option<InvalidField> {
        let listeners = [
            ("callers.address", self.callers.address),
            ("admin.address", self.admin.address),
            ("links.address", self.links.address),
            ("metrics.address", self.metrics.address),
        ];
        let mut seen = BTreeSet::new();
        if let Some((field, _)) = listeners.iter().find(|(_, address)| !seen.insert(*address)) {
            return Some(InvalidField::new(field, "the address is used by another listener"));
        }
        if listeners.iter().any(|(_, address)| address.ip().is_unspecified()) {
            return Some(InvalidField::new("*.address", "name the host's own IP, not a wildcard"));
        }
        let is_http_url = ["http://", "https://"].iter().any(|s| self.platform.url.starts_with(s));
        (!is_http_url)
            .then(|| InvalidField::new("platform.url", "start it with http:// or https://"))
    }

    fn check_operators(&self) -> Option<InvalidField> {
        if self.links.secrets.iter().all(|secret| secret.len() < MIN_SECRET_BYTES) {
            return Some(InvalidField::new(
                "links.secrets",
                "give a secret of at least 16 characters",
            ));
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if !is_hex_of_32_bytes(&operator.public_key) {
                let field = format!("operators[{index}].public_key");
                return Some(InvalidField::new(&field, "give 64 hexadecimal digits"));
            }
            if !is_hex_of_32_bytes(&operator.token_sha256) {
                let field = format!("operators[{index}].token_sha256");
                return Some(InvalidField::new(&field, "give 64 hexadecimal digits"));
            }
        }
        let needed = self.signatures_needed as usize;
        (needed == 0 || needed > self.operators.len()).then(|| {
            let message = format!("use 1 to {}, the number of operators", self.operators.len());
            InvalidField::new("signatures_needed", &message)
        })
    }

    fn check_numbers(&self) -> Option<InvalidField> {
        let membership = &self.membership;
        let checks = [
            (
                membership.renew_every_ms * 2 < membership.lease_ms,
                "membership.renew_every_ms",
                "under half a lease",
            ),
            (membership.heartbeat_every_ms > 0, "membership.heartbeat_every_ms", "over 0"),
            (
                membership.suspect_after_ms >= 2 * membership.heartbeat_every_ms,
                "membership.suspect_after_ms",
                "at least two heartbeats",
            ),
            (membership.neighbours > 0, "membership.neighbours", "over 0"),
            (
                membership.watchers_per_data_centre > 0,
                "membership.watchers_per_data_centre",
                "over 0",
            ),
            (self.online.subset > 0, "online.subset", "over 0"),
            (
                (0.0..=1.0).contains(&self.online.retry_ratio),
                "online.retry_ratio",
                "between 0 and 1",
            ),
            (self.batch.open_chunks > 0, "batch.open_chunks", "over 0"),
            (
                (1..=wire::job::CHUNK_ITEMS).contains(&self.batch.mark_group),
                "batch.mark_group",
                "between 1 and 256",
            ),
            (self.batch.max_attempts > 0, "batch.max_attempts", "over 0"),
            (self.platform.fleet_writes_per_s > 0.0, "platform.fleet_writes_per_s", "over 0"),
            (self.platform.fleet_reads_per_s > 0.0, "platform.fleet_reads_per_s", "over 0"),
            (self.platform.weight_store_mb_per_s > 0.0, "platform.weight_store_mb_per_s", "over 0"),
        ];
        let (_, field, requirement) = checks.into_iter().find(|(is_valid, _, _)| !is_valid)?;
        Some(InvalidField::new(field, &format!("must be {requirement}")))
    }
}

/// The minimum length of a link secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

struct InvalidField {
    field: String,
    message: String,
}

impl InvalidField {
    fn new(field: &str, message: &str) -> Self {
        Self { field: field.to_owned(), message: message.to_owned() }
    }
}

/// Parses YAML into `T`; an error names the path of the invalid field.
pub fn parse_yaml<T: DeserializeOwned>(text: &str, origin: &str) -> Result<T, KernelError> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| KernelError::Settings {
        origin: origin.to_owned(),
        field: error.path().to_string(),
        message: error.inner().to_string(),
    })
}

fn is_hex_of_32_bytes(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
