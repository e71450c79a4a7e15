//! The settings of the stand-ins.

use std::net::SocketAddr;
use std::path::Path;

use kernel::KernelError;
use kernel::settings::parse_yaml;
use serde::Deserialize;

use crate::engine::EngineModel;
use crate::platform::Rates;

/// All stand-ins of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StubSettings {
    /// The platform.
    pub platform: PlatformSettings,
    /// The weight store.
    #[serde(default)]
    pub weight_store: Option<WeightSettings>,
    /// The engines.
    #[serde(default)]
    pub engines: Vec<EngineSettings>,
    /// The plain services.
    #[serde(default)]
    pub services: Vec<ServiceSettings>,
}

/// The platform's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// The rates of the object API.
    #[serde(default = "default_rates")]
    pub rates: Rates,
    /// How late the host list shows a change.
    #[serde(default)]
    pub host_list_lag_ms: u64,
}

/// The weight store's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its rate for all readers together.
    pub mb_per_s: f64,
}

/// One engine's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// The replica's name, as in the bundle.
    pub replica: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// How it spends its time.
    #[serde(default)]
    pub model: EngineModel,
}

/// One plain service's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// The replica's name, as in the bundle.
    pub replica: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
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
