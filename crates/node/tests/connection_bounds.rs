//! Tests the bounds of the servers' open connections.

use node::connection_bounds::ConnectionBounds;

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
