//! Tests the bounds of the servers' open connections.

use budget::Limits;
use node::connection_bounds::ConnectionBounds;
use node::connection_bounds::INGRESS_CONNECTION_BYTES;
use node::connection_bounds::OTHER_CONNECTION_BYTES;

/// The descriptors that the platform reserves.
const RESERVED_DESCRIPTORS: usize = 200;

// Guards against servers that take all descriptors together, such that no replica can be called.
#[test]
fn servers_leave_as_many_descriptors_for_replicas_as_clients_have() {
    for max_descriptors in [600, 3_075, 4_100, 10_250] {
        let bounds = ConnectionBounds::for_max_descriptors(max_descriptors);
        let all = bounds.ingress
            + bounds.control
            + bounds.directory
            + bounds.readiness
            + bounds.metrics
            + bounds.ingress;
        assert!(
            all + RESERVED_DESCRIPTORS < max_descriptors as usize,
            "{all} of {max_descriptors}: {bounds:?}"
        );
    }
}

// Guards against bounds that ordinary load meets on the smallest known host.
#[test]
fn smallest_host_serves_a_thousand_connections() {
    let bounds = ConnectionBounds::for_max_descriptors(3_075);
    assert!(bounds.ingress >= 1_000, "{bounds:?}");
    assert!(bounds.control >= 100, "{bounds:?}");
}

// Guards against a daemon that cannot be reached because its settings have no descriptors.
#[test]
fn each_server_accepts_connections_whatever_the_settings_say() {
    let bounds = ConnectionBounds::for_max_descriptors(0);
    assert!(bounds.readiness > 0 && bounds.control > 0 && bounds.ingress > 0, "{bounds:?}");
}

// Guards against connections that take the memory of the host, though the descriptors allow them.
#[test]
fn connections_and_budget_leave_a_quarter_of_the_memory_at_each_size() {
    for memory_mb in 88..=512 {
        for max_descriptors in [3_075, 4_100, 8_192, 10_250, 1 << 20] {
            let bounds = ConnectionBounds::for_host(max_descriptors, memory_mb);
            let ingress_bytes = bounds.ingress as u64 * INGRESS_CONNECTION_BYTES;
            let others = bounds.control + bounds.directory + bounds.readiness + bounds.metrics;
            let other_bytes = others as u64 * OTHER_CONNECTION_BYTES;
            let budget_bytes = Limits::for_memory_mb(memory_mb).total_bytes as u64;
            let memory_bytes = memory_mb << 20;
            assert!(
                ingress_bytes + other_bytes + budget_bytes <= memory_bytes / 4 * 3,
                "{memory_mb} MB, {max_descriptors} descriptors: {bounds:?}"
            );
        }
    }
}

// Guards against bounds that the usual clients of a deployment reach, some tens for each daemon.
#[test]
fn smallest_host_serves_the_usual_clients_several_times() {
    let bounds = ConnectionBounds::for_host(4_100, 88);
    assert!(bounds.ingress >= 200, "{bounds:?}");
    assert!(bounds.control >= 150, "{bounds:?}");
    assert!(bounds.directory >= 50 && bounds.readiness >= 8, "{bounds:?}");
    // A host with less memory than the smallest known one counts as that one.
    assert_eq!(ConnectionBounds::for_host(4_100, 0), bounds);
}
