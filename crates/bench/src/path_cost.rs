//! What a request, an event and a kept connection cost one daemon on the platform's path.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use cli::CliError;
use futures::future::try_join_all;
use platform_stub::Deployment;
use platform_stub::client::Call;
use platform_stub::client::Client;
use platform_stub::deployment::ENGINES;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::PLAIN;
use platform_stub::deployment::STREAM;
use platform_stub::processes::DaemonProcess;
use platform_stub::replica::ReplicaSettings;
use platform_stub::settings::DaemonSettings;
use serde::Serialize;
use tokio::task::LocalSet;
use upstream::Connection;

use crate::options::PathArgs;
use crate::process;

/// The clients at the same time; fewer than the slots of the stand-in replicas.
const CLIENTS: usize = 12;
/// The replicas of each service.
const REPLICAS: usize = 2;
/// The slots of each replica.
const SLOTS: usize = 8;
/// The time between two events, in milliseconds; that of the users' engines is 20 ms.
const STEP_MS: u64 = 5;
/// The first of the daemon's ports.
const FIRST_PORT: u16 = 21_900;
/// How long the daemon may take to start.
const START: Duration = Duration::from_secs(10);
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);

/// What was measured.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathCost {
    /// Plain requests.
    pub requests: u64,
    /// The processor time of the daemon for one of them, in microseconds.
    pub request_us: f64,
    /// Streams.
    pub streams: u64,
    /// The events of each stream.
    pub events: u64,
    /// The processor time for one event, the requests of the streams included, in microseconds.
    pub event_us: f64,
    /// The most memory that the daemon had, in megabytes.
    pub peak_mb: f64,
}

/// Measures one daemon before stand-in replicas.
pub async fn run(args: &PathArgs) -> Result<PathCost, CliError> {
    let failed = |error: io::Error| CliError::File { path: "the daemon".to_owned(), source: error };
    LocalSet::new().run_until(measure(args)).await.map_err(failed)
}

async fn measure(args: &PathArgs) -> io::Result<PathCost> {
    let folder = std::env::temp_dir().join(format!("crocus-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let deployment = Deployment::start().map_err(io::Error::other)?;
    deployment.configure(|_| {});
    for number in 0..REPLICAS {
        for service in [ENGINES, PLAIN] {
            deployment.add_replica(replica(service, number)).map_err(io::Error::other)?;
        }
    }
    let settings = DaemonSettings {
        name: "path".to_owned(),
        ip: IpAddr::V4(Ipv4Addr::new(127, 119, 0, 1)),
        zone: "a".to_owned(),
        first_port: FIRST_PORT,
        seeds: Vec::new(),
        store: deployment.store_address,
        grace_s: 3,
        status_s: 120,
        is_first_start: true,
    };
    let mut daemon = DaemonProcess::start(&binary(args)?, settings, &folder)?;
    if !daemon.ready(START).await {
        return Err(io::Error::other("the daemon did not become ready"));
    }
    let lookup = |client: usize, number: u64| Call::lookup(LOOKUP, &format!("l{client}-{number}"));
    let request_us = cost_us(&daemon, args.requests, lookup).await?;
    let events = args.events;
    let stream =
        |client: usize, number: u64| Call::stream(STREAM, &format!("s{client}-{number}"), events);
    let stream_us = cost_us(&daemon, args.streams, stream).await?;
    let peak_mb = process::peak_mb(daemon.id())?;
    daemon.kill()?;
    std::fs::remove_dir_all(&folder)?;
    Ok(PathCost {
        requests: args.requests,
        request_us,
        streams: args.streams,
        events,
        event_us: stream_us / events.max(1) as f64,
        peak_mb,
    })
}

/// Makes `count` calls on kept connections; returns the daemon's processor time for one of them.
async fn cost_us(
    daemon: &DaemonProcess,
    count: u64,
    call: impl Fn(usize, u64) -> Call + Copy,
) -> io::Result<f64> {
    let ingress = daemon.settings.ingress();
    let each = count.div_ceil(CLIENTS as u64).max(1);
    let before_s = process::cpu_of_s(daemon.id())?;
    let clients = (0..CLIENTS).map(|client| async move {
        let mut connection = Connection::open(ingress, CONNECT).await?;
        for number in 0..each {
            let answer = Client.call_on(&mut connection, &call(client, number)).await?;
            if !answer.status.is_success() {
                return Err(upstream::ExchangeError::Malformed("the daemon refused a request"));
            }
        }
        Ok(())
    });
    try_join_all(clients).await.map_err(|error| io::Error::other(format!("{error}")))?;
    let used_s = process::cpu_of_s(daemon.id())? - before_s;
    Ok(used_s * 1e6 / (each * CLIENTS as u64) as f64)
}

fn binary(args: &PathArgs) -> io::Result<PathBuf> {
    match &args.daemon {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("crocusd")),
    }
}

fn replica(service: &str, number: usize) -> ReplicaSettings {
    ReplicaSettings {
        slots: SLOTS,
        queue: SLOTS,
        step: Duration::from_millis(STEP_MS),
        ..ReplicaSettings::usual(&format!("{service}-{number}"), service, "a")
    }
}
