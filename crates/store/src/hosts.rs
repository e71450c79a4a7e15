//! The platform's host list, and the watcher that keeps the latest answer.

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

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host serves.
    Live,
    /// The host goes away soon and must get no new work.
    Leaving,
}

/// One backend server host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The backend server on the host, as bundles name it.
    pub replica: ReplicaName,
    /// Where the backend server listens.
    pub address: SocketAddr,
    /// The host's data centre.
    pub data_centre: DataCentre,
    /// Whether the host stays.
    pub state: HostState,
}

/// The hosts of the latest answer, by replica.
pub type Hosts = Arc<BTreeMap<ReplicaName, HostEntry>>;

/// Keeps the latest host list.
pub struct HostList {
    latest: watch::Receiver<Hosts>,
}

impl HostList {
    /// Starts reading the list at `base_url` every `every_ms` until `stopped`.
    pub fn start(
        client: Arc<HttpClient>,
        base_url: &str,
        every_ms: Millis,
        stopped: CancellationToken,
    ) -> Self {
        let (sender, latest) = watch::channel(Hosts::default());
        let url = format!("{}/v1/hosts", base_url.trim_end_matches('/'));
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(every_ms.max(1)));
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    () = stopped.cancelled() => return,
                    _ = ticks.tick() => {}
                }
                read_once(&client, &url, &sender).await;
            }
        });
        Self { latest }
    }

    /// Returns the latest list; an outage of the platform leaves it as it was.
    pub fn latest(&self) -> Hosts {
        Arc::clone(&self.latest.borrow())
    }

    /// Returns a receiver that is told of every change.
    pub fn changes(&self) -> watch::Receiver<Hosts> {
        self.latest.clone()
    }
}

/// The longest wait for one answer.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

async fn read_once(client: &HttpClient, url: &str, sender: &watch::Sender<Hosts>) {
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
        let is_new = **latest != hosts;
        if is_new {
            info!("event=hosts_changed hosts={}", hosts.len());
            *latest = Arc::new(hosts);
        }
        is_new
    });
}
