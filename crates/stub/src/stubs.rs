//! Starts and stops all stubs of one process.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use kernel::KernelError;
use kernel::http_server::Server;
use tokio_util::sync::CancellationToken;

use crate::engine::Engine;
use crate::engine_http;
use crate::platform::Host;
use crate::platform::Platform;
use crate::service::Service;
use crate::settings::StubSettings;
use crate::weights::WeightStore;

/// The running stubs of one process.
pub struct Stubs {
    /// The stub platform.
    pub platform: Arc<Platform>,
    /// The stub engines by replica.
    pub engines: BTreeMap<String, Arc<Engine>>,
    /// The stub services by replica.
    pub services: BTreeMap<String, Arc<Service>>,
    servers: Vec<Server>,
    stopped: CancellationToken,
}

impl Stubs {
    /// Starts the stubs that the settings list.
    pub fn start(settings: &StubSettings) -> Result<Self, KernelError> {
        let stopped = CancellationToken::new();
        let lag = Duration::from_millis(settings.platform.host_list_lag_ms);
        let platform = Platform::new(settings.platform.rates, list_hosts(settings), lag);
        let mut servers = vec![platform.serve(settings.platform.address)?];
        let mut engines = BTreeMap::new();
        for entry in &settings.engines {
            let engine = Engine::new(entry.model.clone());
            engine.spawn(stopped.clone());
            servers.push(engine_http::serve(&engine, entry.address)?);
            engines.insert(entry.replica.clone(), engine);
        }
        let mut services = BTreeMap::new();
        for entry in &settings.services {
            let service = Service::new();
            servers.push(service.serve(entry.address)?);
            services.insert(entry.replica.clone(), service);
        }
        if let Some(weights) = &settings.weight_store {
            servers.push(WeightStore::new(weights.mb_per_s).serve(weights.address)?);
        }
        Ok(Self { platform, engines, services, servers, stopped })
    }

    /// Returns how many runs of a prompt the engines have started in total.
    pub fn run_count(&self, prompt: &str) -> u32 {
        self.engines.values().map(|engine| engine.run_count(prompt)).sum()
    }

    /// Stops all stubs.
    pub fn stop(&self) {
        self.stopped.cancel();
        self.servers.iter().for_each(Server::stop);
    }
}

fn list_hosts(settings: &StubSettings) -> Vec<Host> {
    let engines = settings.engines.iter().map(|entry| Host {
        replica: entry.replica.clone(),
        address: entry.address,
        data_centre: entry.data_centre.clone(),
        state: "live".to_owned(),
    });
    let services = settings.services.iter().map(|entry| Host {
        replica: entry.replica.clone(),
        address: entry.address,
        data_centre: entry.data_centre.clone(),
        state: "live".to_owned(),
    });
    engines.chain(services).collect()
}
