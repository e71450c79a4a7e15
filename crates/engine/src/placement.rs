//! The adapter round the order cores: engines are ordered to run what the bundle in force says.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bundle::Active;
use bundle::schema::Model;
use bundle::schema::Replica;
use fleet::Members;
use kernel::Services;
use log::info;
use log::warn;
use store::CallClass;
use store::PutEnd;
use store::Store;
use tokio::time::Instant;
use wire::Millis;
use wire::ReplicaName;
use wire::Version;
use wire::digest::sha256_hex;

use crate::backend::Backend;
use crate::backend::Order;
use crate::orders::Action;
use crate::orders::Event;
use crate::orders::LeaseRecord;
use crate::orders::OrderTiming;
use crate::orders::Orders;
use crate::replicas::Replicas;

/// How often the wanted state is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// How often a core that waits is told the time.
const TICK: Duration = Duration::from_millis(100);
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(500);
/// The times of order leases.
const TIMING: OrderTiming = OrderTiming { lease_ms: 10_000, order_ms: 5_000 };

/// Brings engines to what the bundle in force says.
pub struct Placement {
    services: Arc<Services>,
    replicas: Arc<Replicas>,
    backend: Arc<dyn Backend>,
    store: Arc<Store>,
    members: Arc<Members>,
    settled: Mutex<BTreeMap<ReplicaName, Progress>>,
    next_load_at: Mutex<Instant>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    UnderWay,
    Settled(String),
}

/// What one engine should run.
struct Wanted {
    replica: Replica,
    address: SocketAddr,
    orders: Vec<Order>,
    weights_mb: u64,
    digest: String,
}

impl Placement {
    /// Creates the adapter; `spawn` starts its work.
    pub fn new(
        services: Arc<Services>,
        replicas: Arc<Replicas>,
        backend: Arc<dyn Backend>,
        store: Arc<Store>,
        members: Arc<Members>,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            replicas,
            backend,
            store,
            members,
            settled: Mutex::new(BTreeMap::new()),
            next_load_at: Mutex::new(Instant::now()),
        })
    }

    /// Starts looking at the wanted state.
    pub fn spawn(self: &Arc<Self>) {
        let placement = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = placement.services.stopped.cancelled() => return,
                    () = placement.services.leaving.cancelled() => return,
                    () = tokio::time::sleep(LOOK) => placement.look(),
                }
            }
        });
    }

    /// Starts a task for each owned engine that does not run what it should.
    fn look(self: &Arc<Self>) {
        let Some(active) = self.replicas.holder().active() else {
            return;
        };
        let own = &self.members.own().daemon;
        let owned =
            active.bundle.replicas.iter().filter(|replica| {
                self.members.owner_of(replica.name.as_str()).as_ref() == Some(own)
            });
        for wanted in owned.filter_map(|replica| self.wanted(&active, replica)) {
            let mut settled = self.settled();
            let is_done = match settled.get(&wanted.replica.name) {
                Some(Progress::UnderWay) => true,
                Some(Progress::Settled(digest)) => *digest == wanted.digest,
                None => false,
            };
            if !is_done {
                settled.insert(wanted.replica.name.clone(), Progress::UnderWay);
                tokio::spawn(Arc::clone(self).bring_about(wanted));
            }
        }
    }

    fn wanted(&self, active: &Active, replica: &Replica) -> Option<Wanted> {
        let model = active.bundle.models.iter().find(|model| model.name == replica.runs)?;
        let address = self.replicas.address(&replica.name)?;
        if !self.replicas.is_live(&replica.name) {
            return None;
        }
        let orders = orders_for(model, replica);
        let text = serde_json::to_string(&orders).unwrap_or_default();
        Some(Wanted {
            replica: replica.clone(),
            address,
            orders,
            weights_mb: model.weights_mb,
            digest: sha256_hex(text.as_bytes()),
        })
    }

    async fn bring_about(self: Arc<Self>, wanted: Wanted) {
        // The wait for the weight store comes before the lease, which must not lapse meanwhile.
        self.pace_loads(wanted.weights_mb).await;
        let holder = self.members.own_owner();
        let mut core = Orders::new(holder, wanted.replica.checks_fencing, TIMING);
        let mut actions = core.step(self.now_ms(), Event::Want(wanted.digest.clone()));
        let is_settled = loop {
            if self.services.stopped.is_cancelled() || self.services.leaving.is_cancelled() {
                break false;
            }
            let event = match actions.pop() {
                Some(Action::Settled) => break true,
                Some(action) => self.act(&wanted, action).await,
                None => {
                    tokio::time::sleep(TICK).await;
                    Event::Tick
                }
            };
            actions.extend(core.step(self.now_ms(), event));
        };
        let name = wanted.replica.name;
        if is_settled {
            self.settled().insert(name, Progress::Settled(wanted.digest));
        } else {
            self.settled().remove(&name);
        }
    }

    async fn act(&self, wanted: &Wanted, action: Action) -> Event {
        match action {
            Action::ReadLease => self.read_lease(wanted).await,
            Action::WriteLease { record, expected } => {
                let key = lease_key(&wanted.replica.name);
                let put = self.store.put_json(CallClass::Claim, &key, &record, expected).await;
                match put {
                    Ok(PutEnd::Applied(version)) => Event::LeaseWritten { version },
                    Ok(PutEnd::Conflict) | Err(_) => {
                        tokio::time::sleep(PAUSE).await;
                        Event::LeaseLost
                    }
                }
            }
            Action::SendOrder { number } => self.send(wanted, number).await,
            Action::Settled => Event::Tick,
        }
    }

    async fn read_lease(&self, wanted: &Wanted) -> Event {
        let key = lease_key(&wanted.replica.name);
        loop {
            match self.store.get_json::<LeaseRecord>(CallClass::Claim, &key).await {
                Ok(Some(stored)) => {
                    return Event::LeaseRead { record: stored.value, version: stored.version };
                }
                Ok(None) => {
                    let record = LeaseRecord::default();
                    return Event::LeaseRead { record, version: Version::ABSENT };
                }
                Err(error) => {
                    let replica = &wanted.replica.name;
                    warn!("event=order_lease_not_read replica={replica} error=\"{error}\"");
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn send(&self, wanted: &Wanted, number: u64) -> Event {
        for order in &wanted.orders {
            let given = self.backend.order(wanted.address, number, order, TIMING.order_ms).await;
            if let Err(error) = given {
                self.services.counters.count("orders_failed");
                let replica = &wanted.replica.name;
                warn!("event=order_failed replica={replica} number={number} error=\"{error}\"");
                tokio::time::sleep(PAUSE).await;
                return Event::OrderFailed;
            }
        }
        self.services.counters.count("orders_given");
        info!("event=order_given replica={} number={number}", wanted.replica.name);
        Event::OrderDone
    }

    /// Spaces loads so that the fleet together stays within the weight store's rate.
    async fn pace_loads(&self, weights_mb: u64) {
        let fleet_mb_per_s = self.services.settings.platform.weight_store_mb_per_s;
        let share_mb_per_s = fleet_mb_per_s / self.members.owners().len().max(1) as f64;
        let load = Duration::from_secs_f64(weights_mb as f64 / share_mb_per_s);
        let until = {
            let mut next = self.next_load_at.lock().unwrap_or_else(PoisonError::into_inner);
            *next = (*next).max(Instant::now()) + load;
            *next - load
        };
        tokio::time::sleep_until(until).await;
    }

    fn settled(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, Progress>> {
        self.settled.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> Millis {
        self.services.clock.now_ms()
    }
}

fn orders_for(model: &Model, replica: &Replica) -> Vec<Order> {
    let adapters = model.adapters.iter().map(|a| format!("{}@{}", a.name, a.version)).collect();
    let role = serde_json::to_string(&replica.role).unwrap_or_default();
    vec![
        Order::Load { model: model.name.clone(), version: model.version.clone(), adapters },
        Order::Role { role: role.trim_matches('"').to_owned() },
    ]
}

fn lease_key(replica: &ReplicaName) -> String {
    format!("order-leases/{replica}")
}
