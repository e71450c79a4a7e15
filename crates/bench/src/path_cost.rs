//! Measures one daemon on the platform's path: CPU time for each request and event, and memory.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;

use cli::CliError;
use futures::future::try_join_all;
use platform_stub::Deployment;
use platform_stub::client::Client;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::deployment::STREAM;
use platform_stub::processes::DaemonProcess;
use platform_stub::replica::ReplicaSettings;
use platform_stub::settings::DaemonSettings;
use platform_stub::settings::SMALLEST_MEMORY_MB;
use platform_stub::settings::USUAL_MAX_FDS;
use serde::Serialize;
use tokio::task::LocalSet;
use upstream::Connection;

use crate::options::PathArgs;
use crate::process;

/// The number of concurrent clients; fewer than the slots of the replica stubs.
const CLIENT_COUNT: usize = 12;
/// The number of replicas of each service.
const REPLICAS_PER_SERVICE: usize = 2;
/// The number of slots of each replica.
const SLOTS_PER_REPLICA: usize = 8;
/// The time between two events; the users' engines take 20 ms.
const STEP_MS: u64 = 5;
/// The first of the daemon's ports.
const FIRST_PORT: u16 = 21_900;
/// The longest time that the daemon may take to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// The longest time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of the measurement.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathCost {
    /// The number of plain requests.
    pub requests: u64,
    /// The daemon's CPU time for one plain request.
    pub request_us: f64,
    /// The number of streams.
    pub streams: u64,
    /// The number of events of each stream.
    pub events: u64,
    /// The daemon's CPU time for one event, including a share of the stream's request.
    pub event_us: f64,
    /// The daemon's peak resident memory.
    pub peak_mb: f64,
}

/// Measures one daemon in front of replica stubs.
pub async fn run(args: &PathArgs) -> Result<PathCost, CliError> {
    LocalSet::new().run_until(measure(args)).await.map_err(CliError::Measurement)
}

async fn measure(args: &PathArgs) -> io::Result<PathCost> {
    let folder = std::env::temp_dir().join(format!("crocus-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let deployment = Deployment::start().map_err(io::Error::other)?;
    deployment.configure(|_| {});
    for number in 0..REPLICAS_PER_SERVICE {
        for service in [ENGINE_SERVICE, PLAIN_SERVICE] {
            deployment.add_replica(replica(service, number)).map_err(io::Error::other)?;
        }
    }
    let settings = DaemonSettings {
        name: "path".to_owned(),
        ip: IpAddr::V4(Ipv4Addr::new(127, 119, 0, 1)),
        data_centre: "a".to_owned(),
        first_port: FIRST_PORT,
        seeds: Vec::new(),
        store: deployment.store_address,
        grace_s: 3,
        status_s: 120,
        contracts: Vec::new(),
        is_first_start: true,
        memory_mb: SMALLEST_MEMORY_MB,
        max_fds: USUAL_MAX_FDS,
    };
    let program = binary(args)?;
    let mut daemon = DaemonProcess::start(&program, settings, &folder).map_err(|error| {
        let text = format!("cannot start '{}': {error}", program.display());
        io::Error::new(error.kind(), text)
    })?;
    if !daemon.wait_until_ready(START_TIMEOUT).await {
        return Err(io::Error::other("the daemon did not become ready"));
    }
    let lookup = |client: usize, number: u64| {
        OutgoingRequest::lookup(LOOKUP, &format!("l{client}-{number}"))
    };
    let request_us = cpu_per_call_us(&daemon, args.requests, lookup).await?;
    let events = args.events;
    let stream = |client: usize, number: u64| {
        OutgoingRequest::stream(STREAM, &format!("s{client}-{number}"), events)
    };
    let stream_us = cpu_per_call_us(&daemon, args.streams, stream).await?;
    let peak_mb = process::process_peak_mb(daemon.id())?;
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

/// Makes `count` calls over persistent connections and returns the daemon's CPU time for one call.
async fn cpu_per_call_us(
    daemon: &DaemonProcess,
    count: u64,
    call: impl Fn(usize, u64) -> OutgoingRequest + Copy,
) -> io::Result<f64> {
    let ingress = daemon.settings.ingress();
    let calls_per_client = count.div_ceil(CLIENT_COUNT as u64).max(1);
    let before_s = process::process_cpu_s(daemon.id())?;
    let clients = (0..CLIENT_COUNT).map(|client| async move {
        let mut connection = Connection::open(ingress, CONNECT_TIMEOUT).await?;
        for number in 0..calls_per_client {
            let answer = Client.call_on(&mut connection, &call(client, number)).await?;
            if !answer.status.is_success() {
                return Err(upstream::ExchangeError::Malformed("the daemon refused a request"));
            }
        }
        Ok(())
    });
    try_join_all(clients).await.map_err(|error| io::Error::other(format!("{error}")))?;
    let used_s = process::process_cpu_s(daemon.id())? - before_s;
    Ok(used_s * 1e6 / (calls_per_client * CLIENT_COUNT as u64) as f64)
}

fn binary(args: &PathArgs) -> io::Result<PathBuf> {
    match &args.daemon {
        Some(path) => Ok(path.clone()),
        None => Ok(std::env::current_exe()?.with_file_name("crocusd")),
    }
}

fn replica(service: &str, number: usize) -> ReplicaSettings {
    ReplicaSettings {
        slots: SLOTS_PER_REPLICA,
        queue: SLOTS_PER_REPLICA,
        step: Duration::from_millis(STEP_MS),
        ..ReplicaSettings::with_defaults(&format!("{service}-{number}"), service, "a")
    }
}
