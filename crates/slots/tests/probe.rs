//! Tests of how an owner grants slots by the state that a replica reports to its probes.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaSet;
use futures::future::LocalBoxFuture;
use kernel::BootClock;
use kernel::Counters;
use peers::Membership;
use peers::Transport;
use peers::heartbeat::Identity;
use peers::heartbeat::Readiness;
use slots::Class;
use slots::SlotRequest;
use slots::Slots;
use slots::client::Probe;
use slots::client::ProbeResult;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use wire::ReplicaRecord;
use wire::ReplicaState;

const SLOTS: u32 = 2;
/// The time limit of a probe in `SilentProbe`.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
const SHORT_WAIT: Duration = Duration::from_millis(300);

/// A probe that returns a settable number of running requests, or no answer.
#[derive(Clone, Default)]
struct FakeProbe(Rc<Cell<Option<u32>>>);

impl Probe for FakeProbe {
    fn fetch_state(
        &self,
        _replica: &ReplicaRecord,
        _use_new_connection: bool,
    ) -> LocalBoxFuture<'static, ProbeResult> {
        let state = self.0.get().map(|running| ReplicaState { running, waiting: 0 });
        Box::pin(std::future::ready(ProbeResult { state, ..ProbeResult::default() }))
    }
}

/// A probe of a replica that is silent until `answers_at`; it times out as the daemon's does.
#[derive(Clone)]
struct SilentProbe {
    answers_at: Instant,
}

impl Probe for SilentProbe {
    fn fetch_state(
        &self,
        _replica: &ReplicaRecord,
        _use_new_connection: bool,
    ) -> LocalBoxFuture<'static, ProbeResult> {
        let answers_at = self.answers_at;
        Box::pin(async move {
            let answer = timeout(PROBE_TIMEOUT, sleep_until(answers_at)).await;
            let state = answer.ok().map(|()| ReplicaState { running: 0, waiting: 0 });
            ProbeResult { state, ..ProbeResult::default() }
        })
    }
}

fn replica() -> ReplicaRecord {
    ReplicaRecord {
        name: "engine".into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: "a".into(),
        slots: SLOTS,
        is_draining: false,
        cold_left_ms: 0,
        started_unix_ms: 1,
    }
}

/// Starts slot scheduling for a single daemon, which therefore owns every replica.
async fn start_single_daemon(probe: &(impl Probe + Clone + 'static)) -> Rc<Slots> {
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
    replicas.replace(0, 1, vec![replica()]);
    let slots = Slots::start(
        BootClock::start(),
        counters,
        transport,
        Rc::new(RefCell::new(membership)),
        Rc::new(RefCell::new(replicas)),
    );
    slots.set_probe(Rc::new(probe.clone()));
    slots
}

async fn can_acquire(slots: &Rc<Slots>, wait: Duration) -> bool {
    let service = "engines".into();
    let request = SlotRequest {
        service: &service,
        class: Class::Online,
        on_time_at_ms: u64::MAX / 4,
        order_at_ms: u64::MAX / 4,
        give_up_at_ms: u64::MAX / 4,
        waits_for_replica: true,
        excluded: &[],
        share: None,
    };
    timeout(wait, slots.acquire(&request)).await.is_ok_and(|lease| lease.is_ok())
}

fn run(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime starts"), test());
}

#[test]
fn a_new_owner_counts_runs_reported_by_the_replica() {
    run(async || {
        let probe = FakeProbe::default();
        probe.0.set(Some(SLOTS));
        let slots = start_single_daemon(&probe).await;
        // The first request is granted before the replica has answered.
        assert!(can_acquire(&slots, SHORT_WAIT).await);
        tokio::task::yield_now().await;
        assert!(!can_acquire(&slots, SHORT_WAIT).await, "the replica is full");
        probe.0.set(Some(0));
        assert!(
            can_acquire(&slots, Duration::from_secs(2)).await,
            "the replica reports that it is idle"
        );
    });
}

#[test]
fn a_suspect_replica_gets_requests_after_it_answers() {
    run(async || {
        let probe = FakeProbe::default();
        let slots = start_single_daemon(&probe).await;
        assert!(can_acquire(&slots, SHORT_WAIT).await);
        slots.report_suspect(&"engine".into());
        assert!(
            !can_acquire(&slots, SHORT_WAIT).await,
            "no slot is granted before the replica answers"
        );
        probe.0.set(Some(0));
        assert!(can_acquire(&slots, Duration::from_secs(2)).await);
    });
}

#[test]
fn a_silent_suspect_replica_is_retried_after_four_seconds() {
    run(async || {
        let slots = start_single_daemon(&FakeProbe::default()).await;
        slots.report_suspect(&"engine".into());
        assert!(!can_acquire(&slots, Duration::from_secs(3)).await);
        assert!(can_acquire(&slots, Duration::from_secs(3)).await);
    });
}

#[test]
fn waiting_request_gets_its_slot_soon_after_a_second_of_silence() {
    run(async || {
        for suspect_after_ms in [300, 400, 500, 600] {
            let answers_at = Instant::now() + Duration::from_secs(1);
            let slots = start_single_daemon(&SilentProbe { answers_at }).await;
            sleep(Duration::from_millis(suspect_after_ms)).await;
            slots.report_suspect(&"engine".into());
            assert!(can_acquire(&slots, Duration::from_secs(2)).await, "the request got no slot");
            assert!(Instant::now() >= answers_at, "the silent replica got a request");
            let late = answers_at.elapsed();
            assert!(
                late < Duration::from_millis(350),
                "suspect after {suspect_after_ms}: {late:?}"
            );
        }
    });
}
