//! Tests of the membership: heartbeats, failure detection, restarts and take-over.

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

fn heartbeat(number: u8, incarnation: u64) -> Heartbeat {
    Heartbeat {
        identity: identity(number, incarnation),
        readiness: Readiness::Ready,
        reaches_store: true,
        configuration_version: 1,
        replicas_revision: 1,
        attachments: Vec::new(),
    }
}

fn ip(number: u8) -> IpAddr {
    identity(number, 0).ip
}

/// Runs the ticks of a time span, one every 50 ms, and returns all actions.
fn run_ticks(membership: &mut Membership, from_ms: u64, to_ms: u64) -> Vec<MemberAction> {
    (from_ms..=to_ms).step_by(50).flat_map(|now_ms| membership.tick(now_ms)).collect()
}

#[test]
fn own_pause_does_not_count_as_silence_of_peers() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 1));
    run_ticks(&mut membership, 0, 400);
    let actions = membership.tick(5_000);
    assert!(!actions.contains(&MemberAction::Lost(identity(2, 1).name)));
    assert!(membership.is_alive(&identity(2, 1).name));
    let actions = run_ticks(&mut membership, 5_050, 7_000);
    assert!(
        actions.contains(&MemberAction::Lost(identity(2, 1).name)),
        "it stays silent after the pause"
    );
}

#[test]
fn new_daemon_contacts_seeds_and_receives_member_list() {
    let mut new_daemon = Membership::new(identity(1, 1), vec![ip(2), ip(1)]);
    assert_eq!(new_daemon.tick(0), [MemberAction::SendHeartbeat(ip(2))]);
    let mut seed = Membership::new(identity(2, 1), Vec::new());
    let actions = seed.handle_heartbeat(0, &heartbeat(1, 1));
    assert!(actions.contains(&MemberAction::SendMembers(ip(1))));
    let actions = new_daemon.add_members(1, vec![identity(1, 1), identity(3, 1)]);
    assert_eq!(actions, [MemberAction::SendHeartbeat(ip(3))]);
}

#[test]
fn silent_daemon_is_suspected_then_lost_until_next_heartbeat() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 1));
    assert!(membership.is_alive(&identity(2, 1).name));
    run_ticks(&mut membership, 0, 900);
    assert!(!membership.is_alive(&identity(2, 1).name));
    assert!(
        !membership.has_incarnation_ended(&identity(2, 1).name, 1),
        "suspicion alone does not end an incarnation"
    );
    let actions = run_ticks(&mut membership, 900, 2_100);
    assert!(actions.contains(&MemberAction::Lost(identity(2, 1).name)));
    assert!(membership.has_incarnation_ended(&identity(2, 1).name, 1));
    membership.handle_heartbeat(2_200, &heartbeat(2, 1));
    assert!(membership.is_alive(&identity(2, 1).name));
    assert!(!membership.has_incarnation_ended(&identity(2, 1).name, 1));
}

#[test]
fn restart_ends_previous_incarnation() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 1));
    let actions = membership.handle_heartbeat(100, &heartbeat(2, 5));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 5).name)));
    assert!(membership.has_incarnation_ended(&identity(2, 1).name, 1));
    assert!(!membership.has_incarnation_ended(&identity(2, 1).name, 5));
    membership.handle_heartbeat(110, &heartbeat(2, 1));
    assert!(
        !membership.has_incarnation_ended(&identity(2, 1).name, 5),
        "a delayed heartbeat of the old incarnation is ignored"
    );
}

#[test]
fn lower_incarnation_is_accepted_once_previous_one_is_silent() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 5_000));
    assert!(
        membership.handle_heartbeat(50, &heartbeat(2, 1_000)).is_empty(),
        "it may be a delayed datagram of an earlier start"
    );
    run_ticks(&mut membership, 0, 900);
    let actions = membership.handle_heartbeat(900, &heartbeat(2, 1_000));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 1_000).name)));
    assert!(membership.is_alive(&identity(2, 1_000).name));
    assert!(!membership.has_incarnation_ended(&identity(2, 1_000).name, 1_000));
    assert!(membership.has_incarnation_ended(&identity(2, 1_000).name, 5_000));
}

#[test]
fn messages_of_ended_higher_incarnation_are_ignored() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 5_000));
    run_ticks(&mut membership, 0, 900);
    membership.handle_heartbeat(900, &heartbeat(2, 1_000));
    assert!(membership.add_members(910, vec![identity(2, 5_000)]).is_empty());
    assert!(membership.handle_heartbeat(920, &heartbeat(2, 5_000)).is_empty());
    assert!(!membership.has_incarnation_ended(&identity(2, 1_000).name, 1_000));
    assert!(membership.is_alive(&identity(2, 1_000).name));
    let actions = membership.handle_heartbeat(2_000, &heartbeat(2, 6_000));
    assert!(actions.contains(&MemberAction::Restarted(identity(2, 6_000).name)));
    assert!(membership.has_incarnation_ended(&identity(2, 1_000).name, 1_000));
}

#[test]
fn unknown_daemon_counts_as_ended_only_after_settle_time() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    assert!(!membership.has_incarnation_ended(&identity(9, 1).name, 1));
    membership.tick(1_600);
    assert!(membership.has_incarnation_ended(&identity(9, 1).name, 1));
}

#[test]
fn leaving_daemon_gets_no_new_work_and_keeps_its_own() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.set_own_readiness(Readiness::Ready);
    membership.tick(0);
    membership.handle_heartbeat(0, &Heartbeat { readiness: Readiness::Leaving, ..heartbeat(2, 1) });
    let ready: Vec<_> = membership.ready_daemons().iter().map(|d| d.name.clone()).collect();
    assert_eq!(ready, [identity(1, 1).name]);
    assert!(!membership.has_incarnation_ended(&identity(2, 1).name, 1));
}

#[test]
fn period_grows_with_fleet_and_expedited_heartbeats_skip_it() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    let small_ms = membership.period_ms();
    for number in 2..150 {
        membership.handle_heartbeat(0, &heartbeat(number, 1));
    }
    assert!(membership.period_ms() > small_ms);
    membership.tick(0);
    assert!(membership.tick(10).is_empty());
    membership.expedite_heartbeats();
    assert_eq!(membership.tick(20).len(), 148);
}

#[test]
fn daemon_without_live_peers_is_isolated() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    assert!(!membership.is_isolated(), "a daemon that never had peers is not isolated");
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 1));
    assert!(!membership.is_isolated());
    run_ticks(&mut membership, 0, 1_000);
    assert!(membership.is_isolated());
}

fn heartbeat_from(number: u8, data_centre: &str) -> Heartbeat {
    let identity = Identity { data_centre: data_centre.into(), ..identity(number, 1) };
    Heartbeat { identity, ..heartbeat(number, 1) }
}

/// Returns the membership of a daemon of data centre a that knows 49 others there and 60 of b.
fn large_fleet() -> Membership {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    for number in 2..=110 {
        membership
            .handle_heartbeat(0, &heartbeat_from(number, if number <= 50 { "a" } else { "b" }));
    }
    membership
}

fn count_heartbeats(actions: &[MemberAction], number: u8) -> usize {
    actions.iter().filter(|action| **action == MemberAction::SendHeartbeat(ip(number))).count()
}

#[test]
fn remote_daemons_of_large_fleet_get_every_fourth_heartbeat() {
    let mut membership = large_fleet();
    let period_ms = membership.period_ms();
    let mut all = Vec::new();
    for round in 1..=8 {
        all.extend(membership.tick(round * period_ms));
        for number in 2..=110 {
            membership.handle_heartbeat(
                round * period_ms,
                &heartbeat_from(number, if number <= 50 { "a" } else { "b" }),
            );
        }
    }
    assert!((2..=50).all(|number| count_heartbeats(&all, number) == 8));
    assert!((51..=110).all(|number| count_heartbeats(&all, number) == 2));
    membership.expedite_heartbeats();
    assert_eq!(membership.tick(8 * period_ms + 50).len(), 109, "expedited heartbeats go to all");
}

#[test]
fn remote_daemon_is_lost_after_two_reports() {
    let mut membership = large_fleet();
    let period_ms = membership.period_ms();
    let remote = identity(60, 1).name;
    let hear_others = |membership: &mut Membership, now_ms: u64| {
        for number in (2..=110).filter(|number| *number != 60) {
            membership.handle_heartbeat(
                now_ms,
                &heartbeat_from(number, if number <= 50 { "a" } else { "b" }),
            );
        }
    };
    for now_ms in (50..period_ms * 9).step_by(50) {
        membership.tick(now_ms);
        hear_others(&mut membership, now_ms);
    }
    assert!(membership.is_alive(&remote), "two of its heartbeats may be lost");
    let now_ms = period_ms * 9;
    let outdated = LostDaemon { name: remote.clone(), incarnation: 0 };
    let (reporter, other) = (identity(70, 1).name, identity(71, 1).name);
    membership.handle_loss_report(now_ms, &reporter, &outdated);
    assert!(
        membership.handle_loss_report(now_ms, &other, &outdated).is_empty(),
        "the report is of another incarnation"
    );
    let lost = LostDaemon { name: remote.clone(), incarnation: 1 };
    assert!(
        membership.handle_loss_report(now_ms, &reporter, &lost).is_empty(),
        "a single reporter may be cut off itself"
    );
    assert!(
        membership.handle_loss_report(now_ms, &reporter, &lost).is_empty(),
        "it is the same reporter"
    );
    let actions = membership.handle_loss_report(now_ms, &other, &lost);
    assert!(actions.contains(&MemberAction::Lost(remote.clone())));
    assert!(membership.has_incarnation_ended(&remote, 1) && !membership.is_alive(&remote));
    assert!(
        membership.handle_loss_report(now_ms, &reporter, &lost).is_empty(),
        "the loss is known already"
    );
    membership.handle_heartbeat(now_ms + 1, &heartbeat_from(60, "b"));
    assert!(membership.is_alive(&remote));
    membership.handle_loss_report(now_ms + 2, &reporter, &lost);
    assert!(
        membership.handle_loss_report(now_ms + 2, &other, &lost).is_empty(),
        "its heartbeat arrived just now"
    );
}

#[test]
fn silent_remote_daemon_is_lost_without_reports() {
    let mut membership = large_fleet();
    let remote = identity(60, 1).name;
    let end_ms = membership.period_ms() * 10;
    let actions = run_ticks(&mut membership, 50, end_ms);
    assert!(actions.contains(&MemberAction::Lost(remote)));
}

#[test]
fn two_daemons_of_data_centre_report_loss_to_remote_ones() {
    let reporters = (1..=50)
        .filter(|number| *number != 7)
        .filter(|number| {
            let own = Identity { data_centre: "a".into(), ..identity(*number, 1) };
            let mut membership = Membership::new(own, Vec::new());
            membership.tick(0);
            for peer in (1..=110).filter(|peer| peer != number) {
                membership
                    .handle_heartbeat(0, &heartbeat_from(peer, if peer <= 50 { "a" } else { "b" }));
            }
            // Heartbeats of all daemons but the lost one keep arriving.
            run_ticks(&mut membership, 50, 1_000);
            for peer in (1..=110).filter(|peer| peer != number && *peer != 7) {
                membership.handle_heartbeat(
                    1_000,
                    &heartbeat_from(peer, if peer <= 50 { "a" } else { "b" }),
                );
            }
            run_ticks(&mut membership, 1_050, 3_000);
            for peer in (1..=110).filter(|peer| peer != number && *peer != 7) {
                membership.handle_heartbeat(
                    3_000,
                    &heartbeat_from(peer, if peer <= 50 { "a" } else { "b" }),
                );
            }
            let targets = membership.loss_report_targets(&identity(7, 1).name);
            assert!(targets.is_empty() || targets.len() == 60);
            assert!(membership.loss_report_targets(&identity(60, 1).name).is_empty());
            !targets.is_empty()
        })
        .count();
    assert_eq!(reporters, 2);
}

#[test]
fn two_daemons_and_all_seeds_send_member_list_in_large_fleet() {
    let sends_member_list = |own: u8, seeds: Vec<IpAddr>| {
        let mut membership = Membership::new(identity(own, 1), seeds);
        membership.tick(0);
        for number in (1..=110).filter(|number| *number != own) {
            membership.handle_heartbeat(0, &heartbeat(number, 1));
        }
        let actions = membership.handle_heartbeat(10, &heartbeat(200, 1));
        actions.contains(&MemberAction::SendMembers(ip(200)))
    };
    assert_eq!((1..=110).filter(|own| sends_member_list(*own, Vec::new())).count(), 2);
    assert!((1..=110).all(|own| sends_member_list(own, vec![ip(own)])));
}

#[test]
fn remote_daemon_below_size_limit_is_not_suspected_for_fewer_heartbeats() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    let data_centre = |number: u8| if number <= 50 { "a" } else { "b" };
    for number in 2..=94 {
        membership.handle_heartbeat(0, &heartbeat_from(number, data_centre(number)));
    }
    let period_ms = membership.period_ms();
    let mut all = Vec::new();
    for now_ms in (50..period_ms * 9).step_by(50) {
        all.extend(membership.tick(now_ms));
        for number in 2..=50 {
            membership.handle_heartbeat(now_ms, &heartbeat_from(number, data_centre(number)));
        }
    }
    assert!(!all.iter().any(|action| matches!(action, MemberAction::Lost(_))));
    assert!(membership.is_alive(&identity(60, 1).name));
    assert_eq!(
        count_heartbeats(&all, 60),
        count_heartbeats(&all, 2),
        "this daemon sends all its heartbeats"
    );
}

/// Guards against daemons that are about to be ready being passed over, or lost ones waited for.
#[test]
fn starting_daemons_are_those_that_may_become_ready() {
    let mut membership = Membership::new(identity(1, 1), Vec::new());
    membership.tick(0);
    membership.handle_heartbeat(0, &heartbeat(2, 1));
    let starting = Heartbeat { readiness: Readiness::Starting, ..heartbeat(3, 1) };
    membership.handle_heartbeat(0, &starting);
    let leaving = Heartbeat { readiness: Readiness::Leaving, ..heartbeat(4, 1) };
    membership.handle_heartbeat(0, &leaving);
    membership.add_members(0, vec![identity(5, 1)]);
    let numbers = |membership: &Membership| {
        let starting = membership.starting_daemons().into_iter();
        starting.map(|identity| identity.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(numbers(&membership), ["daemon-1", "daemon-3", "daemon-5"]);
    membership.set_own_readiness(Readiness::Ready);
    run_ticks(&mut membership, 50, 10_000);
    assert!(numbers(&membership).is_empty(), "{:?}", numbers(&membership));
}
