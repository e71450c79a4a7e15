//! Daemon processes on loopback addresses of their own, beside a stub deployment.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::time::Duration;

use platform_stub::Client;
use platform_stub::DaemonProcess;
use platform_stub::settings::DaemonSettings;
use tokio::time::Instant;
use tokio::time::sleep;

/// The first port of every daemon; daemons differ by address.
const FIRST_PORT: u16 = 23_400;
/// The descriptors that a daemon may open.
const MAX_FDS: u64 = 4_100;
/// How long the daemons may take to become ready and to find each other.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Daemons and the deployment that they serve.
pub struct Fleet {
    pub daemons: Vec<DaemonProcess>,
    _claim: TcpListener,
}

impl Fleet {
    /// Starts `count` daemons on machines of `memory_mb`.
    pub async fn start(
        binary: &Path,
        folder: &Path,
        store: SocketAddr,
        count: u8,
        memory_mb: u64,
    ) -> Result<Self, String> {
        let (claim, [net, subnet]) = claim_subnet()?;
        let ip = |number: u8| IpAddr::V4(Ipv4Addr::new(127, net, subnet, number + 1));
        let mut daemons = Vec::new();
        for number in 0..count {
            let settings = DaemonSettings {
                name: format!("edge-{number}"),
                ip: ip(number),
                data_centre: "a".to_owned(),
                first_port: FIRST_PORT,
                seeds: (0..count.min(3)).map(ip).collect(),
                store,
                grace_s: 8,
                status_s: 120,
                contracts: Vec::new(),
                is_first_start: true,
                memory_mb,
                max_fds: MAX_FDS,
            };
            let daemon = DaemonProcess::start(binary, settings, folder);
            daemons.push(daemon.map_err(|error| format!("no daemon: {error}"))?);
        }
        let mut fleet = Self { daemons, _claim: claim };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Waits until all daemons are ready and know each other.
    pub async fn wait_until_ready(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + START_LIMIT;
        let count = self.daemons.len();
        for daemon in &mut self.daemons {
            if !daemon.wait_until_ready(START_LIMIT).await {
                return Err(format!("{} was not ready in time", daemon.settings.name));
            }
        }
        for daemon in &self.daemons {
            let directory = daemon.settings.directory();
            while Client.resolve(directory).await.map_or(0, |found| found.len()) < count {
                if Instant::now() > deadline {
                    return Err("the daemons did not find each other".to_owned());
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        sleep(Duration::from_millis(1_000)).await;
        Ok(())
    }

    /// Returns the addresses for clients.
    pub fn ingress(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.settings.ingress()).collect()
    }

    /// Kills the processes of daemons with SIGKILL.
    pub fn kill(&mut self, numbers: impl IntoIterator<Item = usize>) -> Result<(), String> {
        for number in numbers {
            self.daemons[number].kill().map_err(|error| format!("not killed: {error}"))?;
        }
        Ok(())
    }

    /// Starts the processes of killed daemons again.
    pub fn restart(&mut self, numbers: impl IntoIterator<Item = usize>) -> Result<(), String> {
        for number in numbers {
            self.daemons[number].restart().map_err(|error| format!("not started: {error}"))?;
        }
        Ok(())
    }
}

/// Chooses loopback addresses that no other process uses; returns a listener that claims them and
/// their second and third byte.
fn claim_subnet() -> Result<(TcpListener, [u8; 2]), String> {
    let net = (std::process::id() % 200) as u8 + 20;
    for subnet in 1..u8::MAX {
        let address = |number| Ipv4Addr::new(127, net, subnet, number);
        let claim = TcpListener::bind((address(u8::MAX), FIRST_PORT));
        let is_free = UdpSocket::bind((address(1), FIRST_PORT + 4)).is_ok();
        if let (Ok(claim), true) = (claim, is_free) {
            return Ok((claim, [net, subnet]));
        }
    }
    Err("no loopback addresses are free".to_owned())
}
