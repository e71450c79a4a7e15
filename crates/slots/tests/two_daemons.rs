//! Tests of a holder and an owner of two replicas that exchange datagrams.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaSet;
use kernel::BootClock;
use kernel::Counters;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Heartbeat;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use peers::transport::decode_prefix;
use slots::Class;
use slots::NoSlot;
use slots::SlotLease;
use slots::SlotRequest;
use slots::Slots;
use slots::message::LoadReport;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::ReplicaRecord;

/// Longer than datagrams on the loopback interface take; less than the time after which a request is sent
/// again.
const DELIVERY: Duration = Duration::from_millis(60);
/// Longer than any test.
const FAR_MS: u64 = u64::MAX / 4;
/// The runs of the test of early refusals, in ms.
const RUN_MS: u64 = 400;

fn replica(name: &str, host: u8) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, host], 80)),
        data_centre: "a".into(),
        slots: 1,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

fn identity(name: &str, host: u8) -> Identity {
    Identity {
        name: name.into(),
        incarnation: 1,
        ip: IpAddr::V4(Ipv4Addr::new(127, 0, 0, host)),
        data_centre: "a".into(),
        ingress: None,
        control: None,
        cpu_millis: 250,
    }
}

/// Starts slot scheduling for a daemon that knows of `peer`; only `owner` is ready and owns the replicas.
async fn start(
    clock: BootClock,
    own: &Identity,
    peer: &Identity,
    owner: &Identity,
    port: u16,
) -> Rc<Slots> {
    let counters = Counters::new(None).expect("counters need no address");
    let transport = Transport::bind(own.ip, port, own.name.clone(), 1, counters.clone());
    let transport = Rc::new(transport.await.expect("the port is free"));
    spawn_local(transport.clone().run());
    let mut membership = Membership::new(own.clone(), Vec::new());
    membership.add_members(0, vec![peer.clone()]);
    if own.name == owner.name {
        membership.set_own_readiness(Readiness::Ready);
    } else {
        let heartbeat = Heartbeat {
            identity: peer.clone(),
            readiness: Readiness::Ready,
            reaches_store: true,
            configuration_version: 1,
            replicas_revision: 1,
            attachments: Vec::new(),
        };
        membership.handle_heartbeat(0, &heartbeat);
    }
    let mut replicas = ReplicaSet::default();
    replicas.replace(0, 1, vec![replica("first", 101), replica("second", 102)]);
    Slots::start(
        clock,
        counters,
        transport,
        Rc::new(RefCell::new(membership)),
        Rc::new(RefCell::new(replicas)),
    )
}

/// Returns the online runs and the queued online requests at all replicas that a daemon owns.
fn counts(owner: &Slots) -> (u16, u16) {
    let attachment = owner.encode_loads();
    let decoded = decode_prefix::<Vec<LoadReport>>(Topic::Slots, &attachment.payload);
    let (reports, _) = decoded.expect("the loads are readable");
    let sum = |count: fn(&LoadReport) -> u16| reports.iter().map(count).sum();
    (sum(|report| report.load.online), sum(|report| report.load.online_waiting))
}

/// Starts the holder and the owner, which refuses early if `refuses_early` is set.
async fn start_pair(clock: BootClock, refuses_early: bool) -> (Rc<Slots>, Rc<Slots>) {
    let (holder, owner) = (identity("holder", 1), identity("owner", 2));
    let free = UdpSocket::bind((holder.ip, 0)).and_then(|socket| socket.local_addr());
    let port = free.expect("a port is free").port();
    let owner_slots = start(clock, &owner, &holder, &owner, port).await;
    owner_slots.set_refuses_early(refuses_early);
    let holder_slots = start(clock, &holder, &owner, &owner, port).await;
    (holder_slots, owner_slots)
}

async fn acquire(
    slots: &Rc<Slots>,
    on_time_at_ms: u64,
    give_up_at_ms: u64,
) -> Result<SlotLease, NoSlot> {
    let service = "engines".into();
    let request = SlotRequest {
        service: &service,
        class: Class::Online,
        on_time_at_ms,
        order_at_ms: on_time_at_ms,
        give_up_at_ms,
        waits_for_replica: false,
        excluded: &[],
        share: None,
    };
    slots.acquire(&request).await
}

async fn hold(slots: &Rc<Slots>) {
    let _lease = acquire(slots, FAR_MS, FAR_MS).await.expect("a slot is granted");
    std::future::pending().await
}

fn run(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), test());
}

/// A request waits in the queues of two replicas of another daemon, and its task ends, as when the gate's
/// client disconnects. Guards against places in queues that stay occupied until the request times out.
#[test]
fn dropped_request_leaves_all_queues_at_once() {
    run(async || {
        let (holder_slots, owner_slots) = start_pair(BootClock::start(), false).await;
        let mut tasks = Vec::new();
        for _ in 0..3 {
            let slots = holder_slots.clone();
            tasks.push(spawn_local(async move { hold(&slots).await }));
            sleep(DELIVERY).await;
        }
        assert_eq!(counts(&owner_slots), (2, 2), "one request waits at both replicas");
        tasks.remove(2).abort();
        sleep(DELIVERY).await;
        assert_eq!(counts(&owner_slots), (2, 0), "the places are free");
        tasks.remove(0).abort();
        sleep(DELIVERY).await;
        assert_eq!(counts(&owner_slots), (1, 0), "the slot is free");
    });
}

/// Plays two runs of 400 ms, takes both slots again, and returns what a request gets that has to have one
/// within 100 ms, and after how long.
async fn request_beside_new_runs(refuses_early: bool) -> (Option<NoSlot>, u64) {
    let clock = BootClock::start();
    let (holder_slots, _owner_slots) = start_pair(clock, refuses_early).await;
    let take_both = async || {
        let first = acquire(&holder_slots, FAR_MS, clock.now_ms() + 1_600).await;
        let second = acquire(&holder_slots, FAR_MS, clock.now_ms() + 1_600).await;
        (first.expect("a slot is free"), second.expect("a slot is free"))
    };
    let leases = take_both().await;
    sleep(Duration::from_millis(RUN_MS)).await;
    drop(leases);
    sleep(DELIVERY).await;
    let _leases = take_both().await;
    let asked_ms = clock.now_ms();
    let refusal = acquire(&holder_slots, asked_ms + 100, asked_ms + 1_600).await.err();
    (refusal, clock.now_ms() - asked_ms)
}

/// Guards against an expected time that does not reach the holder, and against early refusals without the
/// switch.
#[test]
fn request_that_cannot_be_on_time_is_refused_at_once_with_an_expected_time() {
    run(async || {
        let (refusal, took_ms) = request_beside_new_runs(true).await;
        let Some(NoSlot::Late { slot_in_ms }) = refusal else { panic!("{refusal:?}") };
        assert!((1_000..=1_520).contains(&slot_in_ms), "75% to 95% of 1,600 ms: {slot_in_ms}");
        assert!(took_ms < 1_000, "refused after {took_ms} ms");
    });
    run(async || {
        let (refusal, took_ms) = request_beside_new_runs(false).await;
        assert_eq!(refusal, Some(NoSlot::Full));
        assert!(took_ms >= 1_600, "it waits: {took_ms} ms");
    });
}
