//! Settings of the stubs.

use std::net::SocketAddr;
use std::path::Path;

use kernel::KernelError;
use kernel::settings::parse_yaml;
use serde::Deserialize;

use crate::engine::EngineParameters;
use crate::platform::Rates;

/// Settings of all stubs of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StubSettings {
    /// Settings of the platform.
    pub platform: PlatformSettings,
    /// Settings of the weight store, if there is one.
    #[serde(default)]
    pub weight_store: Option<WeightSettings>,
    /// Settings of the engines.
    #[serde(default)]
    pub engines: Vec<EngineSettings>,
    /// Settings of the plain services.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
}

/// Settings of the platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Rate limits of the object API.
    #[serde(default = "default_rates")]
    pub rates: Rates,
    /// Delay until a change shows in the host list.
    #[serde(default)]
    pub host_list_lag_ms: u64,
}

/// Settings of the weight store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Transfer rate, shared by all readers.
    pub mb_per_s: f64,
}

/// Settings of one engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Name of the replica, as in the bundle.
    pub replica: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub data_centre: String,
    /// Capacity and timing of the engine.
    #[serde(default)]
    pub model: EngineParameters,
}

/// Settings of one plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the replica, as in the bundle.
    pub replica: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Data centre of the replica.
    pub data_centre: String,
}

fn default_rates() -> Rates {
    Rates { writes_per_s: 400.0, reads_per_s: 2_000.0 }
}

impl StubSettings {
    /// Reads a settings file.
    pub fn load(path: &Path) -> Result<Self, KernelError> {
        let origin = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|source| KernelError::File { path: origin.clone(), source })?;
        parse_yaml(&text, &origin)
    }
}
