//! Tests the transfer of the configuration between daemons.

use bytes::Bytes;
use node::configuration_transfer;
use node::configuration_transfer::ConfigurationSender;

/// The bytes that a 30 Mbit/s link, that of a small host, carries in 200 ms.
const MAX_BYTES_AT_ONCE: usize = 750_000;

/// Returns an encoded configuration with about as many bytes a route as the platform writes.
fn configuration(routes: usize) -> Bytes {
    let route = |number: u64| {
        let hash = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"host":"noka{number}.example","path_prefix":"/{hash:016x}/","service":"wash-llm",\
            "kind":"streaming","timeout_ms":5000,"goal_ms":300,"max_attempts":2,"priority":0}}"#
        )
    };
    let routes: Vec<String> = (0..routes as u64).map(route).collect();
    Bytes::from(format!(r#"{{"version":8,"routes":[{}]}}"#, routes.join(",")))
}

// Guards against a large configuration that all daemons pull at once from the few that have it.
#[test]
fn large_configuration_is_sent_to_a_few_peers_at_a_time() {
    let sender = ConfigurationSender::default();
    sender.set(&configuration(1_400));
    let mut transfers: Vec<Bytes> = Vec::new();
    while let Some(transfer) = sender.begin_transfer(true) {
        transfers.push(transfer);
        assert!(transfers.len() < 200, "all daemons get it at once");
    }
    assert!(transfers.len() > 1);
    let in_flight: usize = transfers.iter().map(Bytes::len).sum();
    assert!(in_flight < MAX_BYTES_AT_ONCE, "{in_flight} bytes");
    transfers.pop();
    assert!(sender.begin_transfer(true).is_some(), "the next peer is refused");
}

#[test]
fn small_configuration_is_refused_to_no_peer() {
    let sender = ConfigurationSender::default();
    sender.set(&configuration(30));
    let transfers: Vec<_> = (0..200).map(|_| sender.begin_transfer(true)).collect();
    assert!(transfers.iter().all(Option::is_some));
}

#[test]
fn configuration_over_the_limit_is_sent_to_one_peer() {
    let sender = ConfigurationSender::default();
    sender.set(&configuration(20_000));
    let only = sender.begin_transfer(false);
    assert!(only.is_some() && sender.begin_transfer(false).is_none());
    drop(only);
    assert!(sender.begin_transfer(false).is_some());
}

#[test]
fn configuration_arrives_as_it_was_with_and_without_compression() {
    let sender = ConfigurationSender::default();
    let json = configuration(1_400);
    sender.set(&json);
    let compressed = sender.begin_transfer(true).expect("it is free");
    assert!(compressed.len() * 4 < json.len(), "{} of {} bytes", compressed.len(), json.len());
    assert_eq!(configuration_transfer::decode(compressed).expect("it is decoded"), json);
    let plain = sender.begin_transfer(false);
    let plain = plain.unwrap_or_else(|| sender.begin_transfer(false).expect("it is free"));
    assert_eq!(configuration_transfer::decode(plain).expect("it is decoded"), json);
    let newer = configuration(10);
    sender.set(&newer);
    let compressed = sender.begin_transfer(true).expect("it is free");
    assert_eq!(configuration_transfer::decode(compressed).expect("it is decoded"), newer);
}

#[test]
fn broken_transfer_is_an_error() {
    let sender = ConfigurationSender::default();
    sender.set(&configuration(100));
    let compressed = sender.begin_transfer(true).expect("it is free");
    assert!(configuration_transfer::decode(compressed.slice(..compressed.len() / 2)).is_err());
}
