//! Liveness from leases and heartbeats, preference among endpoints, and signed hellos.

use fleet::DaemonInfo;
use fleet::Membership;
use fleet::endpoints;
use fleet::handshake;
use fleet::membership::Action;
use fleet::membership::Event;
use fleet::membership::ListedLease;
use fleet::membership::LivenessTiming;
use fleet::membership::OwnerState;
use wire::DaemonName;
use wire::DataCentre;
use wire::Version;
use wire::link::Heartbeat;

const TIMING: LivenessTiming = LivenessTiming { lease_ms: 1_000, suspect_after_ms: 300 };

fn info(name: &str, data_centre: &str) -> DaemonInfo {
    DaemonInfo {
        daemon: DaemonName::from(name),
        incarnation: "1".to_owned(),
        data_centre: DataCentre::from(data_centre),
        callers_address: ([127, 0, 0, 1], 1).into(),
        callers_tls: false,
        links_address: ([127, 0, 0, 1], 2).into(),
    }
}

fn lease(name: &str, version: u64, is_leaving: bool) -> ListedLease {
    ListedLease {
        daemon: DaemonName::from(name),
        incarnation: "1".to_owned(),
        version: Version(version),
        is_leaving,
    }
}

fn listed(began_at_ms: u64, leases: Vec<ListedLease>) -> Event {
    Event::LeasesListed { began_at_ms, leases }
}

fn owner_state(
    membership: &Membership,
    now_ms: u64,
    seen_at_ms: u64,
    incarnation: &str,
) -> OwnerState {
    membership.owner_state(now_ms, seen_at_ms, &DaemonName::from("peer"), incarnation)
}

fn membership_with_peer() -> Membership {
    let mut membership = Membership::new(info("own", "a"), TIMING);
    let actions = membership.step(0, listed(0, vec![lease("peer", 1, false)]));
    assert!(matches!(actions[0], Action::ReadLease { .. }));
    membership.step(0, Event::LeaseRead(info("peer", "a")));
    membership
}

fn owner_count(membership: &Membership, now_ms: u64) -> usize {
    membership.eligible_owners(now_ms, false).len()
}

#[test]
fn lease_without_renewal_expires() {
    let mut membership = membership_with_peer();
    assert_eq!(owner_count(&membership, 999), 2);
    assert_eq!(owner_count(&membership, 1_000), 1);
    membership.step(1_000, listed(1_000, vec![lease("peer", 2, false)]));
    assert_eq!(owner_count(&membership, 1_500), 2);
}

#[test]
fn silent_neighbour_is_suspected_until_its_next_heartbeat() {
    let mut membership = membership_with_peer();
    let peer = DaemonName::from("peer");
    membership.step(100, Event::HeartbeatMissed { peer: peer.clone() });
    assert_eq!(owner_count(&membership, 399), 2);
    assert_eq!(owner_count(&membership, 400), 1);
    let heartbeat = Heartbeat { incarnation: "1".to_owned(), in_force: 3, leaving: false };
    membership.step(450, Event::HeartbeatReceived { peer, heartbeat });
    assert_eq!(owner_count(&membership, 450), 2);
}

#[test]
fn leaving_daemon_is_alive_and_owns_nothing() {
    let mut membership = membership_with_peer();
    membership.step(100, listed(100, vec![lease("peer", 2, true)]));
    assert_eq!(owner_count(&membership, 100), 1);
    assert_eq!(owner_state(&membership, 100, 100, "1"), OwnerState::Alive);
}

#[test]
fn owner_is_lost_only_after_a_later_listing() {
    let mut membership = Membership::new(info("own", "a"), TIMING);
    assert_eq!(owner_state(&membership, 50, 40, "1"), OwnerState::Unknown);
    // This listing was requested before the owner was seen, so it may miss the owner's first lease.
    membership.step(60, listed(30, Vec::new()));
    assert_eq!(owner_state(&membership, 60, 40, "1"), OwnerState::Unknown);
    membership.step(80, listed(70, Vec::new()));
    assert_eq!(owner_state(&membership, 80, 40, "1"), OwnerState::Lost);
}

#[test]
fn owner_started_after_the_last_listing_is_not_lost() {
    let mut membership = membership_with_peer();
    assert_eq!(owner_state(&membership, 100, 90, "2"), OwnerState::Unknown);
    assert_eq!(owner_state(&membership, 100, 90, "0"), OwnerState::Lost);
    membership.step(
        200,
        listed(150, vec![ListedLease { incarnation: "2".to_owned(), ..lease("peer", 2, false) }]),
    );
    // The listed lease is enough; its content has not been read yet.
    assert_eq!(owner_state(&membership, 200, 90, "2"), OwnerState::Alive);
    assert_eq!(owner_state(&membership, 200, 90, "1"), OwnerState::Lost);
}

#[test]
fn owner_is_not_lost_while_listings_fail() {
    let mut membership = membership_with_peer();
    assert_eq!(owner_state(&membership, 5_000, 100, "1"), OwnerState::Alive);
    membership.step(5_000, listed(4_990, vec![lease("peer", 9, false)]));
    assert_eq!(owner_state(&membership, 5_000, 100, "1"), OwnerState::Alive);
    membership.step(6_100, listed(6_050, vec![lease("peer", 9, false)]));
    assert_eq!(owner_state(&membership, 6_100, 100, "1"), OwnerState::Lost);
}

#[test]
fn heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut membership = membership_with_peer();
    let peer = DaemonName::from("peer");
    let heartbeat = Heartbeat { incarnation: "0".to_owned(), in_force: 0, leaving: true };
    membership.step(100, Event::HeartbeatReceived { peer, heartbeat });
    assert_eq!(owner_count(&membership, 100), 2);
}

#[test]
fn endpoints_prefer_own_data_centre_and_spread_callers() {
    let daemons: Vec<DaemonInfo> = (0..9)
        .map(|index| DaemonInfo {
            callers_address: ([127, 0, 0, index as u8 + 1], 80).into(),
            ..info(&format!("d{index}"), &format!("dc{}", index % 3))
        })
        .collect();
    let mut first_choices = std::collections::BTreeMap::new();
    for caller in 0..300 {
        let answer = endpoints::for_caller(&daemons, &caller.to_string(), Some("dc1"), 5);
        assert_eq!(answer.endpoints.len(), 9);
        assert!(answer.endpoints[..3].iter().all(|e| e.data_centre.as_str() == "dc1"));
        *first_choices.entry(answer.endpoints[0].url.clone()).or_insert(0) += 1;
    }
    assert_eq!(first_choices.len(), 3);
    assert!(first_choices.values().all(|count| *count > 60), "{first_choices:?}");
}

#[test]
fn hello_is_valid_for_one_listener_and_nonce() {
    let (a, b) = (DaemonName::from("a"), DaemonName::from("b"));
    let hello = handshake::sign_hello("new secret 000000", &a, &b, "n1");
    let secrets = ["old secret 000000".to_owned(), "new secret 000000".to_owned()];
    assert!(handshake::is_hello_valid(&secrets, &b, "n1", &hello));
    assert!(!handshake::is_hello_valid(&secrets, &b, "n2", &hello));
    assert!(!handshake::is_hello_valid(&secrets, &a, "n1", &hello));
    assert!(!handshake::is_hello_valid(&secrets[..1], &b, "n1", &hello));
}
