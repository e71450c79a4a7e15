//! Tests of the batch lane: yielding to online requests, window growth and fair sharing.

use engine::lane::Action;
use engine::lane::Event;
use engine::lane::Lane;
use engine::lane::LaneItem;
use engine::lane::LaneLimits;
use kernel::settings::LanePolicy;
use wire::DaemonName;
use wire::OrgName;
use wire::RequestId;

const UNIX_MS: u64 = 1_000_000;
const FAR_DUE_MS: u64 = UNIX_MS + 10_000_000;

fn limits() -> LaneLimits {
    LaneLimits {
        slots: 16,
        online_reserve_percent: 25,
        batch_beside_online_percent: 25,
        online_slowdown_percent: 5,
        online_quiet_ms: 250,
        policy: LanePolicy::Yield,
        accepts_batch: true,
        accepts_online: true,
    }
}

fn item(id: &str, org: &str, due_unix_ms: u64) -> LaneItem {
    LaneItem {
        request_id: RequestId::from(id),
        org: OrgName::from(org),
        weight: 1,
        due_unix_ms,
        idempotent: true,
        alone: false,
    }
}

/// Returns a lane whose window has grown to its limit, and the current time.
fn full_lane() -> (Lane, u64) {
    let mut lane = Lane::open(0, limits());
    let mut now_ms = 10_000;
    for number in 0..40 {
        now_ms += 200;
        lane.step(now_ms, UNIX_MS, Event::Submit(item(&format!("i{number}"), "a", FAR_DUE_MS)));
        lane.step(now_ms, UNIX_MS, Event::Tick);
    }
    (lane, now_ms)
}

fn online_level(level: u32) -> Event {
    Event::OnlineLevel { daemon: DaemonName::from("d"), level }
}

#[test]
fn batch_fills_an_idle_replica_up_to_the_reserve() {
    let (lane, _) = full_lane();
    assert_eq!(lane.running(), 12);
}

#[test]
fn rising_online_load_pauses_batch_in_the_same_step() {
    let (mut lane, now_ms) = full_lane();
    let actions = lane.step(now_ms, UNIX_MS, online_level(4));
    let paused = actions.iter().filter(|action| matches!(action, Action::Pause(_))).count();
    assert_eq!(paused, 8);
    assert_eq!(lane.running(), 4);
    lane.step(now_ms, UNIX_MS, online_level(12));
    assert_eq!(lane.running(), 0);
}

#[test]
fn paused_items_resume_before_queued_items_start() {
    let (mut lane, now_ms) = full_lane();
    lane.step(now_ms, UNIX_MS, online_level(12));
    let mut resumed = lane.step(now_ms + 10, UNIX_MS, online_level(0));
    for step in 1..20 {
        let at_ms = now_ms + 10 + step * 200;
        resumed.extend(lane.step(at_ms, UNIX_MS, Event::Tick));
    }
    assert_eq!(resumed.len(), 12);
    assert!(resumed.iter().all(|action| matches!(action, Action::Resume(_))), "{resumed:?}");
}

#[test]
fn online_level_expires_without_refresh() {
    let (mut lane, now_ms) = full_lane();
    lane.step(now_ms, UNIX_MS, online_level(12));
    for step in 1..60 {
        lane.step(now_ms + step * 200, UNIX_MS, Event::Tick);
    }
    assert_eq!(lane.running(), 12);
}

#[test]
fn closed_lane_rejects_new_items_and_keeps_running_ones() {
    let (mut lane, now_ms) = full_lane();
    let running = lane.running();
    lane.set_limits(LaneLimits { accepts_batch: false, ..limits() });
    let actions = lane.step(now_ms, UNIX_MS, Event::Tick);
    assert!(actions.iter().all(|action| matches!(action, Action::Reject { .. })));
    assert_eq!(lane.running(), running);
    let refused = lane.step(now_ms, UNIX_MS, Event::Submit(item("new", "a", FAR_DUE_MS)));
    assert!(matches!(refused[0], Action::Reject { .. }));
}

#[test]
fn organisations_share_a_scarce_lane_fairly() {
    let mut lane = Lane::open(0, LaneLimits { slots: 4, ..limits() });
    let mut now_ms = 10_000;
    let mut served = [0, 0];
    for round in 0..200 {
        now_ms += 200;
        for (index, org) in ["greedy", "modest"].into_iter().enumerate() {
            let copies = if index == 0 { 3 } else { 1 };
            for copy in 0..copies {
                let id = format!("{org}-{round}-{copy}");
                lane.step(now_ms, UNIX_MS, Event::Submit(item(&id, org, FAR_DUE_MS)));
            }
        }
        for action in lane.step(now_ms, UNIX_MS, Event::Tick) {
            let Action::Start(id) = action else { continue };
            served[usize::from(id.as_str().starts_with("modest"))] += 1;
            lane.step(now_ms, UNIX_MS, Event::Ended { request_id: id });
        }
    }
    assert!(served[1] * 3 >= served[0], "{served:?}");
}

#[test]
fn urgent_item_starts_first() {
    let mut lane = Lane::open(0, limits());
    lane.step(0, UNIX_MS, Event::Submit(item("late", "a", FAR_DUE_MS)));
    lane.step(0, UNIX_MS, Event::Submit(item("soon", "a", UNIX_MS + 1_000)));
    let actions = lane.step(10_000, UNIX_MS, Event::Tick);
    assert_eq!(actions[0], Action::Start(RequestId::from("soon")));
}

#[test]
fn learned_step_time_limits_batch_under_online_load() {
    let (mut lane, now_ms) = full_lane();
    // Each stream adds 1 % of the base step time, and a slowdown of 5 % is allowed.
    for level in [0, 4, 8, 0, 2, 6, 0, 4, 8, 1, 3, 5] {
        lane.step(now_ms, UNIX_MS, online_level(level));
        let streams = u64::from(lane.running() + level);
        lane.step(now_ms, UNIX_MS, Event::StepTime { step_us: 20_000 + 200 * streams });
    }
    lane.step(now_ms + 5_000, UNIX_MS, online_level(4));
    lane.step(now_ms + 5_200, UNIX_MS, Event::Tick);
    assert!((3..=7).contains(&lane.running()), "{}", lane.running());
}
