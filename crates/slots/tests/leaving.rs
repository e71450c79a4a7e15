//! Tests of slots at replicas that have announced that they leave.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use catalog::Incarnation;
use catalog::ReplicaSet;
use futures::future::LocalBoxFuture;
use kernel::BootClock;
use kernel::Counters;
use peers::Membership;
use peers::Transport;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use slots::Class;
use slots::NoSlot;
use slots::SlotLease;
use slots::SlotRequest;
use slots::Slots;
use slots::client::Probe;
use slots::client::ProbeResult;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::ReplicaRecord;

/// Less than the time after which a search looks for another replica by itself.
const AT_ONCE: Duration = Duration::from_millis(30);
const SHORT_WAIT: Duration = Duration::from_millis(300);

/// A probe whose answers announce that the replica leaves and have no readable state.
struct LeavingProbe;

impl Probe for LeavingProbe {
    fn fetch_state(
        &self,
        _replica: &ReplicaRecord,
        _use_new_connection: bool,
    ) -> LocalBoxFuture<'static, ProbeResult> {
        let result = ProbeResult { is_leaving: true, ..ProbeResult::default() };
        Box::pin(std::future::ready(result))
    }
}

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

/// Starts slot scheduling for a single daemon, which therefore owns every replica.
async fn start_single_daemon(records: Vec<ReplicaRecord>) -> Rc<Slots> {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let free = UdpSocket::bind((ip, 0)).and_then(|socket| socket.local_addr());
    let port = free.expect("a port is free").port();
    let own = Identity {
        name: "own".into(),
        incarnation: 1,
        ip,
        data_centre: "a".into(),
        ingress: None,
        control: None,
        cpu_millis: 250,
    };
    let counters = Counters::new(None).expect("counters need no address");
    let transport = Transport::bind(ip, port, own.name.clone(), 1, counters.clone());
    let transport = Rc::new(transport.await.expect("the port is free"));
    let mut membership = Membership::new(own, Vec::new());
    membership.set_own_readiness(Readiness::Ready);
    let mut replicas = ReplicaSet::default();
    replicas.replace(0, 1, records);
    Slots::start(
        BootClock::start(),
        counters,
        transport,
        Rc::new(RefCell::new(membership)),
        Rc::new(RefCell::new(replicas)),
    )
}

async fn acquire(slots: &Rc<Slots>, class: Class, waits: bool) -> Result<SlotLease, NoSlot> {
    let service = "engines".into();
    let request = SlotRequest {
        service: &service,
        class,
        on_time_at_ms: u64::MAX / 4,
        order_at_ms: u64::MAX / 4,
        give_up_at_ms: u64::MAX / 4,
        waits_for_replica: waits,
        excluded: &[],
        share: None,
    };
    slots.acquire(&request).await
}

async fn acquire_now(slots: &Rc<Slots>) -> SlotLease {
    let lease = timeout(SHORT_WAIT, acquire(slots, Class::Online, false)).await;
    lease.expect("a slot is free").expect("a slot is free")
}

fn run(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), test());
}

#[test]
fn request_is_refused_at_once_when_all_replicas_drain() {
    run(async || {
        let draining = ReplicaRecord { is_draining: true, ..replica("engine", 1) };
        let slots = start_single_daemon(vec![draining]).await;
        let refused = timeout(AT_ONCE, acquire(&slots, Class::Online, false)).await;
        let refusal = refused.expect("the request is refused at once").err();
        assert_eq!(refusal, Some(NoSlot::NoReplica));
    });
}

#[test]
fn request_waits_for_the_first_record_of_its_service() {
    run(async || {
        let slots = start_single_daemon(Vec::new()).await;
        assert!(timeout(SHORT_WAIT, acquire(&slots, Class::Online, false)).await.is_err());
    });
}

#[test]
fn item_and_resumed_request_wait_while_all_replicas_drain() {
    run(async || {
        let draining = ReplicaRecord { is_draining: true, ..replica("engine", 1) };
        let slots = start_single_daemon(vec![draining]).await;
        for class in [Class::Batch, Class::Online] {
            assert!(timeout(SHORT_WAIT, acquire(&slots, class, true)).await.is_err());
        }
    });
}

#[test]
fn waiting_request_is_refused_as_soon_as_the_last_replica_announces_its_leaving() {
    run(async || {
        let slots = start_single_daemon(vec![replica("engine", 1)]).await;
        let lease = acquire_now(&slots).await;
        let waiting_slots = slots.clone();
        let waiting =
            spawn_local(async move { acquire(&waiting_slots, Class::Online, false).await.err() });
        sleep(Duration::from_millis(5)).await;
        lease.record_leaving(false);
        assert!(!lease.is_usable());
        let refusal = timeout(AT_ONCE, waiting).await.expect("the request is refused at once");
        assert_eq!(refusal.expect("the task ends"), Some(NoSlot::NoReplica));
    });
}

#[test]
fn slot_granted_at_a_leaving_replica_is_not_used() {
    run(async || {
        let slots = start_single_daemon(vec![replica("a", 1), replica("b", 2)]).await;
        let (first, second) = (acquire_now(&slots).await, acquire_now(&slots).await);
        let waiting_slots = slots.clone();
        let waiting = spawn_local(async move {
            let lease = acquire(&waiting_slots, Class::Online, false).await.expect("a slot");
            lease.replica.name.clone()
        });
        sleep(Duration::from_millis(5)).await;
        let remaining = second.replica.name.clone();
        // The grant of the freed slot and the announcement arrive before the waiting request runs.
        first.record_leaving(false);
        drop(first);
        sleep(AT_ONCE).await;
        drop(second);
        assert_eq!(waiting.await.expect("the task ends"), remaining);
    });
}

#[test]
fn item_and_resumed_request_wait_while_all_replicas_leave() {
    run(async || {
        let slots = start_single_daemon(vec![replica("engine", 1)]).await;
        acquire_now(&slots).await.record_leaving(false);
        for class in [Class::Batch, Class::Online] {
            assert!(timeout(SHORT_WAIT, acquire(&slots, class, true)).await.is_err());
        }
    });
}

#[test]
fn announcement_in_a_misdirected_answer_counts_for_all_at_the_address() {
    run(async || {
        let records = vec![replica("old", 1), replica("new", 1), replica("other", 2)];
        let slots = start_single_daemon(records.clone()).await;
        slots.record_leaving_answer(&records[0], true);
        let lease = acquire_now(&slots).await;
        assert_eq!(lease.replica.name.as_str(), "other");
        let shared = slots.take_unshared_leaving();
        let expected: Vec<Incarnation> = records[..2].iter().map(Incarnation::from).collect();
        assert_eq!(shared, expected);
        assert!(slots.take_unshared_leaving().is_empty());
    });
}

#[test]
fn report_of_a_peer_counts_for_the_listed_incarnation_and_is_not_passed_on() {
    run(async || {
        let record = replica("engine", 1);
        let slots = start_single_daemon(vec![record.clone()]).await;
        let restarted = ReplicaRecord { started_unix_ms: 2, ..record.clone() };
        slots.apply_leaving_report(&[Incarnation::from(&restarted)]);
        assert!(acquire_now(&slots).await.is_usable());
        slots.apply_leaving_report(&[Incarnation::from(&record)]);
        assert_eq!(acquire(&slots, Class::Online, false).await.err(), Some(NoSlot::NoReplica));
        assert!(slots.take_unshared_leaving().is_empty());
    });
}

#[test]
fn announcement_in_the_answer_to_a_probe_counts() {
    run(async || {
        let slots = start_single_daemon(vec![replica("engine", 1)]).await;
        slots.set_probe(Rc::new(LeavingProbe));
        let lease = acquire_now(&slots).await;
        slots.report_suspect(&"engine".into());
        sleep(Duration::from_millis(5)).await;
        assert!(!lease.is_usable());
    });
}
