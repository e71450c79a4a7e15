//! Tests of the health of a replica that was restarted under its name.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaChange;
use catalog::ReplicaSet;
use kernel::BootClock;
use kernel::Counters;
use peers::Membership;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use peers::transport::decode;
use slots::Class;
use slots::SlotLease;
use slots::SlotRequest;
use slots::Slots;
use slots::message::LoadReport;
use tokio::task::LocalSet;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::ReplicaName;
use wire::ReplicaRecord;
use wire::RequestId;

const SLOTS: u32 = 8;
const NAMES: [&str; 3] = ["failing", "sound-1", "sound-2"];
/// Failures at a replica that only one daemon uses count once they span a second.
const FAILURE_INTERVAL: Duration = Duration::from_millis(250);
const FAILURES: u32 = 6;

fn record(name: &str, started_unix_ms: u64) -> ReplicaRecord {
    ReplicaRecord {
        name: name.into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "a".into(),
        slots: SLOTS,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms,
    }
}

/// Starts slot scheduling for a single daemon, which therefore owns every replica.
async fn start_single_daemon(replicas: Rc<RefCell<ReplicaSet>>) -> Rc<Slots> {
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
    let membership = Rc::new(RefCell::new(membership));
    Slots::start(BootClock::start(), counters, transport, membership, replicas)
}

/// Acquires a slot at one replica.
async fn acquire_at(slots: &Rc<Slots>, name: &str) -> SlotLease {
    let service = "engines".into();
    let excluded: Vec<ReplicaName> =
        NAMES.into_iter().filter(|other| *other != name).map(ReplicaName::from).collect();
    let request = SlotRequest {
        service: &service,
        class: Class::Online,
        on_time_at_ms: u64::MAX / 4,
        order_at_ms: u64::MAX / 4,
        give_up_at_ms: u64::MAX / 4,
        waits_for_replica: true,
        excluded: &excluded,
        share: None,
    };
    let acquired = timeout(Duration::from_secs(1), slots.acquire(&request)).await;
    acquired.expect("a slot in time").expect("a slot")
}

/// Returns the slots of a replica that its owner grants.
fn granted_slots(slots: &Slots, name: &str) -> u32 {
    let reports: Vec<LoadReport> =
        decode(Topic::Slots, &slots.encode_loads().payload).expect("the loads are readable");
    let report = reports.iter().find(|report| report.replica.as_str() == name);
    u32::from(report.expect("the replica is owned").load.slots)
}

// Guards against a replica that gets few requests after its restart because its former incarnation failed.
#[test]
fn restarted_replica_does_not_inherit_the_failures_of_its_former_incarnation() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let test = async {
        let mut set = ReplicaSet::default();
        set.replace(0, 1, NAMES.into_iter().map(|name| record(name, 1)).collect());
        let replicas = Rc::new(RefCell::new(set));
        let slots = start_single_daemon(replicas.clone()).await;
        slots.set_replicas_may_degrade(true);
        for name in &NAMES[1..] {
            for _ in 0..FAILURES {
                let lease = acquire_at(&slots, name).await;
                slots.record_success(&lease.replica.name);
            }
        }
        for number in 0..FAILURES {
            let lease = acquire_at(&slots, NAMES[0]).await;
            slots.record_failed_run(&lease.replica, &RequestId::from(format!("r{number}")));
            drop(lease);
            sleep(FAILURE_INTERVAL).await;
            slots.tick();
            if granted_slots(&slots, NAMES[0]) < SLOTS {
                break;
            }
        }
        assert!(granted_slots(&slots, NAMES[0]) < SLOTS, "the replica fails");
        let restarted = ReplicaChange::Set(record(NAMES[0], 2));
        replicas.borrow_mut().apply(1, 2, restarted);
        slots.tick();
        assert_eq!(granted_slots(&slots, NAMES[0]), SLOTS);
    };
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}
