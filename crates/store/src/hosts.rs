//! The platform's host list, and the task that polls it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kernel::http_client::HttpClient;
use kernel::http_client::get_request;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use wire::DataCentre;
use wire::Millis;
use wire::ReplicaName;

/// The state of a host as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to leave and must get no new work.
    Leaving,
}

/// The host of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the backend server on the host, as used in bundles.
    pub replica: ReplicaName,
    /// The address on which the backend server listens.
    pub address: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// The state of the host.
    pub state: HostState,
}

/// The hosts of the latest list, by replica.
pub type Hosts = Arc<BTreeMap<ReplicaName, HostEntry>>;

/// Polls the host list and keeps the latest version.
pub struct HostList {
    latest: watch::Receiver<Hosts>,
}

impl HostList {
    /// Starts a task that reads the list from `base_url` every `interval_ms` until `stopped`.
    pub fn start(
        client: Arc<HttpClient>,
        base_url: &str,
        interval_ms: Millis,
        stopped: CancellationToken,
    ) -> Self {
        let (sender, latest) = watch::channel(Hosts::default());
        let url = format!("{}/v1/hosts", base_url.trim_end_matches('/'));
        tokio::spawn(async move {
            let mut interval = tokio::time::interval(Duration::from_millis(interval_ms.max(1)));
            interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = stopped.cancelled() => return,
                    _ = interval.tick() => {}
                }
                refresh(&client, &url, &sender).await;
            }
        });
        Self { latest }
    }

    /// Returns the latest list; it does not change during an outage of the platform.
    pub fn latest(&self) -> Hosts {
        Arc::clone(&self.latest.borrow())
    }

    /// Returns a receiver that is notified of every change.
    pub fn subscribe(&self) -> watch::Receiver<Hosts> {
        self.latest.clone()
    }
}

/// The maximum wait for one answer.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

async fn refresh(client: &HttpClient, url: &str, sender: &watch::Sender<Hosts>) {
    let Ok(request) = get_request(url) else {
        return;
    };
    let response = match client.call(request, READ_TIMEOUT).await {
        Ok(response) if response.status().is_success() => response,
        Ok(response) => {
            warn!("event=host_list_refused status={}", response.status());
            return;
        }
        Err(error) => {
            warn!("event=host_list_unavailable error=\"{error}\"");
            return;
        }
    };
    let entries: Vec<HostEntry> = match serde_json::from_slice(response.body()) {
        Ok(entries) => entries,
        Err(error) => {
            warn!("event=host_list_malformed error=\"{error}\"");
            return;
        }
    };
    let hosts: BTreeMap<_, _> =
        entries.into_iter().map(|entry| (entry.replica.clone(), entry)).collect();
    sender.send_if_modified(|latest| {
        let is_changed = **latest != hosts;
        if is_changed {
            info!("event=hosts_changed hosts={}", hosts.len());
            *latest = Arc::new(hosts);
        }
        is_changed
    });
}
