//! A peer that reports a newer configuration and hands it to nobody.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use kernel::Counters;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Heartbeat;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use tokio::time::sleep;
use wire::DaemonName;

use crate::platform_fleet::Fleet;

/// Sends a heartbeat of a peer that has a configuration in force and hands it to nobody.
pub async fn report_configuration(fleet: &Fleet, version: u64) {
    let settings = &fleet.daemons[0].settings;
    let IpAddr::V4(ip) = settings.ip else { panic!("the address is no IPv4 address") };
    let [a, b, c, _] = ip.octets();
    let own_ip = IpAddr::V4(Ipv4Addr::new(a, b, c, 99));
    let counters = Counters::new(None).expect("counters without an address");
    let name = DaemonName::from("newer");
    let transport = Transport::bind(own_ip, settings.peer_port(), name.clone(), 1, counters);
    let identity = Identity {
        name,
        incarnation: 1,
        ip: own_ip,
        data_centre: settings.data_centre.as_str().into(),
        ingress: None,
        control: None,
        cpu_millis: 100,
    };
    let heartbeat = Heartbeat {
        identity,
        readiness: Readiness::Ready,
        reaches_store: false,
        configuration_version: version,
        replicas_revision: 0,
        attachments: Vec::new(),
    };
    let transport = transport.await.expect("the port is free");
    // The socket is found writable only after a turn of the runtime.
    sleep(Duration::from_millis(50)).await;
    transport.send(settings.ip, Topic::Heartbeat, &heartbeat);
}
