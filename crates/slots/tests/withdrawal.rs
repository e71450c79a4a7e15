//! Tests of the places in queues of requests whose clients have disconnected.

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
async fn start(own: &Identity, peer: &Identity, owner: &Identity, port: u16) -> Rc<Slots> {
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
        BootClock::start(),
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

async fn acquire(slots: &Rc<Slots>) {
    let service = "engines".into();
    let request = SlotRequest {
        service: &service,
        class: Class::Online,
        on_time_at_ms: u64::MAX / 4,
        order_at_ms: u64::MAX / 4,
        give_up_at_ms: u64::MAX / 4,
        waits_for_replica: false,
        excluded: &[],
        share: None,
    };
    let lease = slots.acquire(&request).await;
    let _lease = lease.expect("a slot is granted");
    std::future::pending().await
}

/// A request waits in the queues of two replicas of another daemon, and its task ends, as when the gate's
/// client disconnects. Guards against places in queues that stay occupied until the request times out.
#[test]
fn dropped_request_leaves_all_queues_at_once() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
        let (holder, owner) = (identity("holder", 1), identity("owner", 2));
        let free = UdpSocket::bind((holder.ip, 0)).and_then(|socket| socket.local_addr());
        let port = free.expect("a port is free").port();
        let owner_slots = start(&owner, &holder, &owner, port).await;
        let holder_slots = start(&holder, &owner, &owner, port).await;
        let mut tasks = Vec::new();
        for _ in 0..3 {
            let slots = holder_slots.clone();
            tasks.push(spawn_local(async move { acquire(&slots).await }));
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
