//! Liveness follows leases on the reader's own clock, and heartbeats.

use fleet::DaemonInfo;
use fleet::Membership;
use fleet::endpoints;
use fleet::handshake;
use fleet::membership::Action;
use fleet::membership::Event;
use fleet::membership::LeaseSeen;
use fleet::membership::OwnerState;
use fleet::membership::Timing;
use wire::DaemonName;
use wire::DataCentre;
use wire::Version;
use wire::link::Heartbeat;

const TIMING: Timing = Timing { lease_ms: 1_000, suspect_after_ms: 300 };

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

fn lease(name: &str, version: u64, leaving: bool) -> LeaseSeen {
    LeaseSeen {
        daemon: DaemonName::from(name),
        incarnation: "1".to_owned(),
        version: Version(version),
        leaving,
    }
}

fn listed(began_at_ms: u64, leases: Vec<LeaseSeen>) -> Event {
    Event::Listed { began_at_ms, leases }
}

fn owner_state(core: &Membership, now_ms: u64, seen_at_ms: u64, incarnation: &str) -> OwnerState {
    core.owner_state(now_ms, seen_at_ms, &DaemonName::from("peer"), incarnation)
}

fn with_peer() -> Membership {
    let mut core = Membership::new(info("own", "a"), TIMING);
    let actions = core.step(0, listed(0, vec![lease("peer", 1, false)]));
    assert!(matches!(actions[0], Action::ReadInfo { .. }));
    core.step(0, Event::InfoRead(info("peer", "a")));
    core
}

fn owners(core: &Membership, now_ms: u64) -> usize {
    core.owners(now_ms, false).len()
}

#[test]
fn a_lease_that_does_not_change_lapses() {
    let mut core = with_peer();
    assert_eq!(owners(&core, 999), 2);
    assert_eq!(owners(&core, 1_000), 1);
    core.step(1_000, listed(1_000, vec![lease("peer", 2, false)]));
    assert_eq!(owners(&core, 1_500), 2);
}

#[test]
fn a_silent_neighbour_is_suspected_and_forgiven() {
    let mut core = with_peer();
    let peer = DaemonName::from("peer");
    core.step(100, Event::Missed { peer: peer.clone() });
    assert_eq!(owners(&core, 399), 2);
    assert_eq!(owners(&core, 400), 1);
    let heartbeat = Heartbeat { incarnation: "1".to_owned(), in_force: 3, leaving: false };
    core.step(450, Event::Heard { peer, heartbeat });
    assert_eq!(owners(&core, 450), 2);
}

#[test]
fn a_leaving_daemon_owns_nothing_and_lives_on() {
    let mut core = with_peer();
    core.step(100, listed(100, vec![lease("peer", 2, true)]));
    assert_eq!(owners(&core, 100), 1);
    assert_eq!(owner_state(&core, 100, 100, "1"), OwnerState::Alive);
}

#[test]
fn an_owner_that_was_never_listed_is_not_taken_for_lost() {
    let mut core = Membership::new(info("own", "a"), TIMING);
    assert_eq!(owner_state(&core, 50, 40, "1"), OwnerState::Unknown);
    // Asked for before the owner was seen: its first lease may have come in between.
    core.step(60, listed(30, Vec::new()));
    assert_eq!(owner_state(&core, 60, 40, "1"), OwnerState::Unknown);
    core.step(80, listed(70, Vec::new()));
    assert_eq!(owner_state(&core, 80, 40, "1"), OwnerState::Lost);
}

#[test]
fn an_owner_started_after_the_last_list_is_not_taken_for_lost() {
    let mut core = with_peer();
    assert_eq!(owner_state(&core, 100, 90, "2"), OwnerState::Unknown);
    assert_eq!(owner_state(&core, 100, 90, "0"), OwnerState::Lost);
    core.step(
        200,
        listed(150, vec![LeaseSeen { incarnation: "2".to_owned(), ..lease("peer", 2, false) }]),
    );
    // Its lease is enough: its content need not be read yet.
    assert_eq!(owner_state(&core, 200, 90, "2"), OwnerState::Alive);
    assert_eq!(owner_state(&core, 200, 90, "1"), OwnerState::Lost);
}

#[test]
fn an_owner_is_not_lost_because_lists_fail_here() {
    let mut core = with_peer();
    assert_eq!(owner_state(&core, 5_000, 100, "1"), OwnerState::Alive);
    core.step(5_000, listed(4_990, vec![lease("peer", 9, false)]));
    assert_eq!(owner_state(&core, 5_000, 100, "1"), OwnerState::Alive);
    core.step(6_100, listed(6_050, vec![lease("peer", 9, false)]));
    assert_eq!(owner_state(&core, 6_100, 100, "1"), OwnerState::Lost);
}

#[test]
fn late_words_of_an_earlier_start_do_not_count() {
    let mut core = with_peer();
    let peer = DaemonName::from("peer");
    let heartbeat = Heartbeat { incarnation: "0".to_owned(), in_force: 0, leaving: true };
    core.step(100, Event::Heard { peer, heartbeat });
    assert_eq!(owners(&core, 100), 2);
}

#[test]
fn endpoints_prefer_the_callers_data_centre_and_spread_callers() {
    let daemons: Vec<DaemonInfo> = (0..9)
        .map(|index| DaemonInfo {
            callers_address: ([127, 0, 0, index as u8 + 1], 80).into(),
            ..info(&format!("d{index}"), &format!("dc{}", index % 3))
        })
        .collect();
    let mut firsts = std::collections::BTreeMap::new();
    for caller in 0..300 {
        let answer = endpoints::for_caller(&daemons, &caller.to_string(), Some("dc1"), 5);
        assert_eq!(answer.endpoints.len(), 9);
        assert!(answer.endpoints[..3].iter().all(|e| e.data_centre.as_str() == "dc1"));
        *firsts.entry(answer.endpoints[0].url.clone()).or_insert(0) += 1;
    }
    assert_eq!(firsts.len(), 3);
    assert!(firsts.values().all(|count| *count > 60), "{firsts:?}");
}

#[test]
fn a_hello_is_good_for_one_listener_and_one_nonce() {
    let (a, b) = (DaemonName::from("a"), DaemonName::from("b"));
    let hello = handshake::sign_hello("new secret 000000", &a, &b, "n1");
    let secrets = ["old secret 000000".to_owned(), "new secret 000000".to_owned()];
    assert!(handshake::is_hello_good(&secrets, &b, "n1", &hello));
    assert!(!handshake::is_hello_good(&secrets, &b, "n2", &hello));
    assert!(!handshake::is_hello_good(&secrets, &a, "n1", &hello));
    assert!(!handshake::is_hello_good(&secrets[..1], &b, "n1", &hello));
}
