//! Who lives: heartbeats, silence, restarts and take-over.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use peers::Heartbeat;
use peers::Membership;
use peers::heartbeat::Identity;
use peers::heartbeat::LostDaemon;
use peers::heartbeat::Readiness;
use peers::membership::MemberAction;

fn identity(number: u8, incarnation: u64) -> Identity {
    Identity {
        name: format!("daemon-{number}").as_str().into(),
        incarnation,
        ip: IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)),
        data_centre: "a".into(),
        ingress: None,
        control: None,
        cpu_millis: 250,
    }
}

fn beat(number: u8, incarnation: u64) -> Heartbeat {
    Heartbeat {
        identity: identity(number, incarnation),
        readiness: Readiness::Ready,
        reaches_store: true,
        configuration_version: 1,
        replicas_revision: 1,
        riders: Vec::new(),
    }
}

fn ip(number: u8) -> IpAddr {
    identity(number, 0).ip
}

/// Ticks as a daemon does and returns all actions.
fn ticks(membership: &mut Membership, from_ms: u64, to_ms: u64) -> Vec<MemberAction> {
    (from_ms..=to_ms).step_by(50).flat_map(|now_ms| membership.tick(now_ms)).collect()
}

#[test]
fn a_daemon_that_was_paused_itself_takes_nobodys_silence_for_a_loss() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.heard(0, &beat(2, 1));
    ticks(&mut membership, 0, 400);
    let actions = membership.tick(5_000);
    assert!(!actions.contains(&MemberAction::Lost(identity(2, 1).name)));
    assert!(membership.is_alive(&identity(2, 1).name));
    let actions = ticks(&mut membership, 5_050, 7_000);
    assert!(actions.contains(&MemberAction::Lost(identity(2, 1).name)), "it really is silent");
}

#[test]
fn a_new_daemon_greets_its_seeds_and_is_told_of_the_others() {
    let mut newcomer = Membership::new(identity(1, 1), vec![ip(2), ip(1)]);
    assert_eq!(newcomer.tick(0), [MemberAction::SendHeartbeat(ip(2))]);
    let mut seed = Membership::new(identity(2, 1), Vec::new());
    let actions = seed.heard(0, &beat(1, 1));
    assert!(actions.contains(&MemberAction::SendMembers(ip(1))));
    let actions = newcomer.told(1, vec![identity(1, 1), identity(3, 1)]);
    assert_eq!(actions, [MemberAction::SendHeartbeat(ip(3))]);
}

#[test]
fn a_silent_daemon_is_suspected_then_lost_and_heard_again() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.heard(0, &beat(2, 1));
    assert!(membership.is_alive(&identity(2, 1).name));
    ticks(&mut membership, 0, 900);
    assert!(!membership.is_alive(&identity(2, 1).name));
    assert!(!membership.is_gone(&identity(2, 1).name, 1), "its work is not taken over yet");
    let actions = ticks(&mut membership, 900, 2_100);
    assert!(actions.contains(&MemberAction::Lost(identity(2, 1).name)));
    assert!(membership.is_gone(&identity(2, 1).name, 1));
    membership.heard(2_200, &beat(2, 1));
    assert!(membership.is_alive(&identity(2, 1).name));
    assert!(!membership.is_gone(&identity(2, 1).name, 1));
}

#[test]
fn a_restart_ends_the_life_before() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.heard(0, &beat(2, 1));
    let actions = membership.heard(100, &beat(2, 5));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 5).name)));
    assert!(membership.is_gone(&identity(2, 1).name, 1));
    assert!(!membership.is_gone(&identity(2, 1).name, 5));
    membership.heard(110, &beat(2, 1));
    assert!(!membership.is_gone(&identity(2, 1).name, 5), "a late heartbeat changes nothing");
}

#[test]
fn a_restart_on_a_clock_that_went_back_is_heard_once_the_life_before_is_silent() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.heard(0, &beat(2, 5_000));
    assert!(membership.heard(50, &beat(2, 1_000)).is_empty(), "it may be a late datagram");
    ticks(&mut membership, 0, 900);
    let actions = membership.heard(900, &beat(2, 1_000));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 1_000).name)));
    assert!(membership.is_alive(&identity(2, 1_000).name));
    assert!(!membership.is_gone(&identity(2, 1_000).name, 1_000));
    assert!(membership.is_gone(&identity(2, 1_000).name, 5_000));
}

#[test]
fn words_of_a_life_that_is_over_change_nothing_even_if_its_number_is_higher() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.heard(0, &beat(2, 5_000));
    ticks(&mut membership, 0, 900);
    membership.heard(900, &beat(2, 1_000));
    assert!(membership.told(910, vec![identity(2, 5_000)]).is_empty());
    assert!(membership.heard(920, &beat(2, 5_000)).is_empty());
    assert!(!membership.is_gone(&identity(2, 1_000).name, 1_000));
    assert!(membership.is_alive(&identity(2, 1_000).name));
    let actions = membership.heard(2_000, &beat(2, 6_000));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 6_000).name)));
    assert!(membership.is_gone(&identity(2, 1_000).name, 1_000));
}

#[test]
fn a_new_daemon_takes_nothing_over_before_it_has_heard_who_lives() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    assert!(!membership.is_gone(&identity(9, 1).name, 1));
    membership.tick(1_600);
    assert!(membership.is_gone(&identity(9, 1).name, 1));
}

#[test]
fn a_leaving_daemon_gets_no_work_and_keeps_its_own() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.set_own_readiness(Readiness::Ready);
    membership.tick(0);
    membership.heard(0, &Heartbeat { readiness: Readiness::Leaving, ..beat(2, 1) });
    let working: Vec<_> = membership.working().iter().map(|d| d.name.clone()).collect();
    assert_eq!(working, [identity(1, 1).name]);
    assert!(!membership.is_gone(&identity(2, 1).name, 1));
}

#[test]
fn the_period_grows_with_the_fleet_and_news_do_not_wait_for_it() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    let small_ms = membership.period_ms();
    for number in 2..150 {
        membership.heard(0, &beat(number, 1));
    }
    assert!(membership.period_ms() > small_ms);
    membership.tick(0);
    assert!(membership.tick(10).is_empty());
    membership.hurry();
    assert_eq!(membership.tick(20).len(), 148);
}

#[test]
fn a_daemon_that_hears_none_of_those_it_knew_is_isolated() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    assert!(!membership.is_isolated(), "a daemon alone is not cut off");
    membership.tick(0);
    membership.heard(0, &beat(2, 1));
    assert!(!membership.is_isolated());
    ticks(&mut membership, 0, 1_000);
    assert!(membership.is_isolated());
}

fn in_zone(number: u8, zone: &str) -> Heartbeat {
    let identity = Identity { data_centre: zone.into(), ..identity(number, 1) };
    Heartbeat { identity, ..beat(number, 1) }
}

/// A daemon of zone a that knows 49 others there and 60 of zone b.
fn large() -> Membership {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    for number in 2..=110 {
        membership.heard(0, &in_zone(number, if number <= 50 { "a" } else { "b" }));
    }
    membership
}

fn sent(actions: &[MemberAction], number: u8) -> usize {
    actions.iter().filter(|action| **action == MemberAction::SendHeartbeat(ip(number))).count()
}

#[test]
fn in_a_large_fleet_daemons_of_other_data_centres_get_each_fourth_heartbeat() {
    let mut membership = large();
    let period_ms = membership.period_ms();
    let mut all = Vec::new();
    for round in 1..=8 {
        all.extend(membership.tick(round * period_ms));
        for number in 2..=110 {
            membership
                .heard(round * period_ms, &in_zone(number, if number <= 50 { "a" } else { "b" }));
        }
    }
    assert!((2..=50).all(|number| sent(&all, number) == 8));
    assert!((51..=110).all(|number| sent(&all, number) == 2));
    membership.hurry();
    assert_eq!(membership.tick(8 * period_ms + 50).len(), 109, "news go to all");
}

#[test]
fn in_a_large_fleet_the_loss_of_a_far_daemon_is_told_by_those_near_it() {
    let mut membership = large();
    let period_ms = membership.period_ms();
    let far = identity(60, 1).name;
    let keep = |membership: &mut Membership, now_ms: u64| {
        for number in (2..=110).filter(|number| *number != 60) {
            membership.heard(now_ms, &in_zone(number, if number <= 50 { "a" } else { "b" }));
        }
    };
    for now_ms in (50..period_ms * 9).step_by(50) {
        membership.tick(now_ms);
        keep(&mut membership, now_ms);
    }
    assert!(membership.is_alive(&far), "some of its heartbeats may be lost");
    let now_ms = period_ms * 9;
    let late = LostDaemon { name: far.clone(), incarnation: 0 };
    let (teller, other) = (identity(70, 1).name, identity(71, 1).name);
    membership.told_lost(now_ms, &teller, &late);
    assert!(membership.told_lost(now_ms, &other, &late).is_empty(), "that is another start");
    let lost = LostDaemon { name: far.clone(), incarnation: 1 };
    assert!(membership.told_lost(now_ms, &teller, &lost).is_empty(), "it may be cut off itself");
    assert!(membership.told_lost(now_ms, &teller, &lost).is_empty(), "that is the same word");
    let actions = membership.told_lost(now_ms, &other, &lost);
    assert!(actions.contains(&MemberAction::Lost(far.clone())));
    assert!(membership.is_gone(&far, 1) && !membership.is_alive(&far));
    assert!(membership.told_lost(now_ms, &teller, &lost).is_empty(), "it is known");
    membership.heard(now_ms + 1, &in_zone(60, "b"));
    assert!(membership.is_alive(&far));
    membership.told_lost(now_ms + 2, &teller, &lost);
    assert!(membership.told_lost(now_ms + 2, &other, &lost).is_empty(), "it was heard just now");
}

#[test]
fn a_far_daemon_of_which_nobody_tells_is_lost_in_the_end() {
    let mut membership = large();
    let far = identity(60, 1).name;
    let until_ms = membership.period_ms() * 10;
    let actions = ticks(&mut membership, 50, until_ms);
    assert!(actions.contains(&MemberAction::Lost(far)));
}

#[test]
fn two_daemons_of_a_data_centre_tell_of_a_loss_there_and_only_far_ones() {
    let tellers = (1..=50)
        .filter(|number| *number != 7)
        .filter(|number| {
            let own = Identity { data_centre: "a".into(), ..identity(*number, 1) };
            let mut membership = Membership::new(own, Vec::new());
            membership.tick(0);
            for peer in (1..=110).filter(|peer| peer != number) {
                membership.heard(0, &in_zone(peer, if peer <= 50 { "a" } else { "b" }));
            }
            // The lost one is not heard any more; all others are.
            ticks(&mut membership, 50, 1_000);
            for peer in (1..=110).filter(|peer| peer != number && *peer != 7) {
                membership.heard(1_000, &in_zone(peer, if peer <= 50 { "a" } else { "b" }));
            }
            ticks(&mut membership, 1_050, 3_000);
            for peer in (1..=110).filter(|peer| peer != number && *peer != 7) {
                membership.heard(3_000, &in_zone(peer, if peer <= 50 { "a" } else { "b" }));
            }
            let told = membership.to_tell_of_loss(&identity(7, 1).name);
            assert!(told.is_empty() || told.len() == 60);
            assert!(membership.to_tell_of_loss(&identity(60, 1).name).is_empty());
            !told.is_empty()
        })
        .count();
    assert_eq!(tellers, 2);
}

#[test]
fn in_a_large_fleet_a_new_daemon_is_told_of_the_others_by_two_and_by_seeds() {
    let tells = |own: u8, seeds: Vec<IpAddr>| {
        let mut membership = Membership::new(identity(own, 1), seeds);
        membership.tick(0);
        for number in (1..=110).filter(|number| *number != own) {
            membership.heard(0, &beat(number, 1));
        }
        let actions = membership.heard(10, &beat(200, 1));
        actions.contains(&MemberAction::SendMembers(ip(200)))
    };
    assert_eq!((1..=110).filter(|own| tells(*own, Vec::new())).count(), 2);
    assert!((1..=110).all(|own| tells(own, vec![ip(own)])));
}

#[test]
fn a_far_daemon_that_sees_a_larger_fleet_is_not_suspected_for_its_fewer_heartbeats() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    let zone = |number: u8| if number <= 50 { "a" } else { "b" };
    for number in 2..=94 {
        membership.heard(0, &in_zone(number, zone(number)));
    }
    let period_ms = membership.period_ms();
    let mut all = Vec::new();
    for now_ms in (50..period_ms * 9).step_by(50) {
        all.extend(membership.tick(now_ms));
        for number in 2..=50 {
            membership.heard(now_ms, &in_zone(number, zone(number)));
        }
    }
    assert!(!all.iter().any(|action| matches!(action, MemberAction::Lost(_))));
    assert!(membership.is_alive(&identity(60, 1).name));
    assert_eq!(sent(&all, 60), sent(&all, 2), "it sends to all itself");
}
