//! The settings of a daemon: YAML, checked once at start, the wrong field named by its path.

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

/// Everything that a daemon is told at start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The daemon's name, unique in the fleet and kept over restarts.
    pub daemon: DaemonName,
    /// The data centre of the host.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: Listener,
    /// Where operators connect.
    pub admin: Listener,
    /// Where other daemons connect.
    pub links: LinkSettings,
    /// Where the metrics page is, and whom to send metrics.
    pub metrics: MetricsSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Who may sign bundles and give administration calls.
    pub operators: Vec<OperatorSettings>,
    /// How many different operators must sign a bundle.
    #[serde(default = "one")]
    pub signatures_needed: u32,
    /// Liveness and leases among daemons.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits on online requests.
    #[serde(default)]
    pub online: OnlineSettings,
    /// The batch side.
    #[serde(default)]
    pub batch: BatchSettings,
}

/// One listening address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listener {
    /// The address and port.
    pub address: SocketAddr,
    /// The keys for TLS; plain text without.
    #[serde(default)]
    pub tls: Option<TlsFiles>,
}

/// The operator's keys for TLS, as PEM files.
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
    /// The address and port, which other daemons also dial.
    pub address: SocketAddr,
    /// Shared secrets: the first signs, all are accepted, so that keys can be changed in turn.
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
    /// The address of its links.
    pub address: SocketAddr,
}

/// Metrics.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MetricsSettings {
    /// The address of the metrics page, which should be local.
    pub address: SocketAddr,
    /// A statsd server to send metrics to.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The base URL of the object API and the host list.
    pub url: String,
    /// The longest wait for one call.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: Millis,
    /// The writes a second that the whole fleet may use.
    #[serde(default = "default_fleet_writes")]
    pub fleet_writes_per_s: f64,
    /// The reads a second that the whole fleet may use.
    #[serde(default = "default_fleet_reads")]
    pub fleet_reads_per_s: f64,
    /// The rate at which the whole fleet may load weights.
    #[serde(default = "default_weight_rate")]
    pub weight_store_mb_per_s: f64,
    /// How often the host list is read.
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
    /// How long a daemon's lease lasts after its last renewal.
    pub lease_ms: Millis,
    /// How often the lease is renewed.
    pub renew_every_ms: Millis,
    /// How often the list of leases is read by a daemon that reads it.
    pub list_every_ms: Millis,
    /// How often neighbours exchange heartbeats.
    pub heartbeat_every_ms: Millis,
    /// How long a neighbour may be silent before it is suspected.
    pub suspect_after_ms: Millis,
    /// How many neighbours a daemon probes.
    pub neighbours: usize,
    /// How many daemons of one data centre read the in-force pointer from the object API.
    pub watchers_per_data_centre: usize,
    /// How often those read it.
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
    /// How long callers may keep an endpoints answer, and a leaving daemon goes on serving.
    pub endpoints_keep_ms: Millis,
    /// The deadline of a request that names none.
    pub default_deadline_ms: Millis,
    /// The longest silence on a backend server's stream before it is resumed elsewhere.
    pub stream_progress_ms: Millis,
    /// How long a backend server may take to the first token.
    pub first_token_ms: Millis,
    /// How many replicas of a model one daemon uses.
    pub subset: usize,
    /// Retries allowed as a share of requests.
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
    /// Batch takes what online leaves and gives it back at once.
    #[default]
    Yield,
    /// Batch runs at a fixed concurrency whatever online does.
    Fixed,
    /// Some replicas are for batch alone and the others for online alone.
    Partition,
}

/// The batch side.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BatchSettings {
    /// How batch work shares replicas with online requests.
    pub policy: LanePolicy,
    /// Ledger chunks of one job that are worked on at once.
    pub open_chunks: u32,
    /// Items of a non-idempotent job marked in one write.
    pub mark_group: u32,
    /// The longest time that recorded marks and outcomes of non-idempotent items wait.
    pub group_commit_ms: Millis,
    /// The longest time that outcomes of idempotent items stay unrecorded.
    pub record_within_ms: Millis,
    /// How often a job shard is listed for jobs that no notice told of.
    pub shard_list_every_ms: Millis,
    /// How long one item may run.
    pub item_timeout_ms: Millis,
    /// Runs of one item before it fails for good.
    pub max_attempts: u32,
    /// The folder for the cache of results on hosts with a disk.
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
            max_attempts: 4,
            data_folder: None,
        }
    }
}

fn one() -> u32 {
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
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, KernelError> {
        let origin = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| KernelError::File { path: origin.clone(), source })?;
        Self::parse(&text, &origin)
    }

    /// Parses and checks settings; `origin` names their source in errors.
    pub fn parse(text: &str, origin: &str) -> Result<Self, KernelError> {
        let settings: Self = parse_yaml(text, origin)?;
        match settings.first_problem() {
            None => Ok(settings),
            Some(problem) => Err(KernelError::Settings {
                origin: origin.to_owned(),
                field: problem.field,
                message: problem.message,
            }),
        }
    }

    fn first_problem(&self) -> Option<Problem> {
        self.name_problem()
            .or_else(|| self.address_problem())
            .or_else(|| self.operator_problem())
            .or_else(|| self.number_problem())
    }

    fn name_problem(&self) -> Option<Problem> {
        let names = [("daemon", self.daemon.as_str()), ("data_centre", self.data_centre.as_str())];
        let wrong = names.into_iter().find(|(_, name)| !is_valid_name(name))?;
        Some(Problem::new(wrong.0, "use 1 to 128 letters, digits, '-', '_' or '.'"))
    }

    fn address_problem(&self) -> Option<Problem> {
        let listeners = [
            ("callers.address", self.callers.address),
            ("admin.address", self.admin.address),
            ("links.address", self.links.address),
            ("metrics.address", self.metrics.address),
        ];
        let mut seen = BTreeSet::new();
        if let Some((field, _)) = listeners.iter().find(|(_, address)| !seen.insert(*address)) {
            return Some(Problem::new(field, "the address is used by another listener"));
        }
        if listeners.iter().any(|(_, address)| address.ip().is_unspecified()) {
            return Some(Problem::new("*.address", "name the host's own IP, not a wildcard"));
        }
        let url_is_http = ["http://", "https://"].iter().any(|s| self.platform.url.starts_with(s));
        (!url_is_http).then(|| Problem::new("platform.url", "start it with http:// or https://"))
    }

    fn operator_problem(&self) -> Option<Problem> {
        if self.links.secrets.iter().all(|secret| secret.len() < MIN_SECRET_BYTES) {
            return Some(Problem::new("links.secrets", "give a secret of at least 16 characters"));
        }
        for (index, operator) in self.operators.iter().enumerate() {
            if !is_hex_of_32_bytes(&operator.public_key) {
                let field = format!("operators[{index}].public_key");
                return Some(Problem::new(&field, "give 64 hexadecimal digits"));
            }
            if !is_hex_of_32_bytes(&operator.token_sha256) {
                let field = format!("operators[{index}].token_sha256");
                return Some(Problem::new(&field, "give 64 hexadecimal digits"));
            }
        }
        let needed = self.signatures_needed as usize;
        (needed == 0 || needed > self.operators.len()).then(|| {
            let message = format!("use 1 to {}, the number of operators", self.operators.len());
            Problem::new("signatures_needed", &message)
        })
    }

    fn number_problem(&self) -> Option<Problem> {
        let m = &self.membership;
        let checks = [
            (m.renew_every_ms * 2 < m.lease_ms, "membership.renew_every_ms", "under half a lease"),
            (m.heartbeat_every_ms > 0, "membership.heartbeat_every_ms", "over 0"),
            (
                m.suspect_after_ms >= 2 * m.heartbeat_every_ms,
                "membership.suspect_after_ms",
                "at least two heartbeats",
            ),
            (m.neighbours > 0, "membership.neighbours", "over 0"),
            (m.watchers_per_data_centre > 0, "membership.watchers_per_data_centre", "over 0"),
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
        let (_, field, bound) = checks.into_iter().find(|(holds, _, _)| !holds)?;
        Some(Problem::new(field, &format!("must be {bound}")))
    }
}

/// The shortest link secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

struct Problem {
    field: String,
    message: String,
}

impl Problem {
    fn new(field: &str, message: &str) -> Self {
        Self { field: field.to_owned(), message: message.to_owned() }
    }
}

/// Parses YAML into `T`; an error names the path of the wrong field.
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
