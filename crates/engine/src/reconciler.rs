//! Reconciles engines with the bundle in force: orders each owned engine to load its model and take
//! its role.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bundle::ActiveBundle;
use bundle::schema::Model;
use bundle::schema::Replica;
use fleet::MembershipService;
use kernel::Services;
use log::info;
use log::warn;
use store::CallClass;
use store::PutOutcome;
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
use crate::orders::OrderController;
use crate::orders::OrderTiming;
use crate::replicas::Replicas;

/// How often the desired state is compared with the progress of each engine.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// How often a waiting order controller receives a tick.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// The timing of order leases.
const ORDER_TIMING: OrderTiming = OrderTiming { lease_ms: 10_000, order_timeout_ms: 5_000 };

/// Brings engines to the state that the bundle in force describes.
pub struct EngineReconciler {
    services: Arc<Services>,
    replicas: Arc<Replicas>,
    backend: Arc<dyn Backend>,
    store: Arc<Store>,
    members: Arc<MembershipService>,
    progress: Mutex<BTreeMap<ReplicaName, Progress>>,
    next_load_at: Mutex<Instant>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Progress {
    InProgress,
    Converged(String),
}

/// The state that one engine should be in.
struct DesiredState {
    replica: Replica,
    address: SocketAddr,
    orders: Vec<Order>,
    weights_mb: u64,
    digest: String,
}

impl EngineReconciler {
    /// Creates the reconciler; `spawn` starts its background work.
    pub fn new(
        services: Arc<Services>,
        replicas: Arc<Replicas>,
        backend: Arc<dyn Backend>,
        store: Arc<Store>,
        members: Arc<MembershipService>,
    ) -> Arc<Self> {
        Arc::new(Self {
            services,
            replicas,
            backend,
            store,
            members,
            progress: Mutex::new(BTreeMap::new()),
            next_load_at: Mutex::new(Instant::now()),
        })
    }

    /// Starts the periodic reconciliation, which ends when the daemon leaves or stops.
    pub fn spawn(self: &Arc<Self>) {
        let reconciler = Arc::clone(self);
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = reconciler.services.stopped.cancelled() => return,
                    () = reconciler.services.leaving.cancelled() => return,
                    () = tokio::time::sleep(RECONCILE_INTERVAL) => reconciler.start_reconciling(),
                }
            }
        });
    }

    /// Starts a task for each owned live engine that is not known to be in its desired state.
    fn start_reconciling(self: &Arc<Self>) {
        let Some(active) = self.replicas.bundle_manager().active() else {
            return;
        };
        let own_daemon = &self.members.own().daemon;
        let owned = active.bundle.replicas.iter().filter(|replica| {
            self.members.owner_of(replica.name.as_str()).as_ref() == Some(own_daemon)
        });
        for desired in owned.filter_map(|replica| self.desired_state(&active, replica)) {
            let mut progress = self.lock_progress();
            let is_handled = match progress.get(&desired.replica.name) {
                Some(Progress::InProgress) => true,
                Some(Progress::Converged(digest)) => *digest == desired.digest,
                None => false,
            };
            if !is_handled {
                progress.insert(desired.replica.name.clone(), Progress::InProgress);
                tokio::spawn(Arc::clone(self).converge(desired));
            }
        }
    }

    fn desired_state(&self, active: &ActiveBundle, replica: &Replica) -> Option<DesiredState> {
        let model = active.bundle.models.iter().find(|model| model.name == replica.runs)?;
        let address = self.replicas.address(&replica.name)?;
        if !self.replicas.is_live(&replica.name) {
            return None;
        }
        let orders = orders_for(model, replica);
        let text = serde_json::to_string(&orders).unwrap_or_default();
        Some(DesiredState {
            replica: replica.clone(),
            address,
            orders,
            weights_mb: model.weights_mb,
            digest: sha256_hex(text.as_bytes()),
        })
    }

    async fn converge(self: Arc<Self>, desired: DesiredState) {
        // Waits for the weight store before acquiring the lease, which might otherwise expire
        // meanwhile.
        self.throttle_weight_load(desired.weights_mb).await;
        let holder = self.members.own_owner_name();
        let mut controller =
            OrderController::new(holder, desired.replica.checks_fencing, ORDER_TIMING);
        let mut actions = controller.step(self.now_ms(), Event::SetDesired(desired.digest.clone()));
        let is_converged = loop {
            if self.services.stopped.is_cancelled() || self.services.leaving.is_cancelled() {
                break false;
            }
            let event = match actions.pop() {
                Some(Action::Converged) => break true,
                Some(action) => self.perform(&desired, action).await,
                None => {
                    tokio::time::sleep(TICK_INTERVAL).await;
                    Event::Tick
                }
            };
            actions.extend(controller.step(self.now_ms(), event));
        };
        let name = desired.replica.name;
        if is_converged {
            self.lock_progress().insert(name, Progress::Converged(desired.digest));
        } else {
            self.lock_progress().remove(&name);
        }
    }

    async fn perform(&self, desired: &DesiredState, action: Action) -> Event {
        match action {
            Action::ReadLease => self.read_lease(desired).await,
            Action::WriteLease { record, expected } => {
                let key = lease_key(&desired.replica.name);
                let put = self.store.put_json(CallClass::Claim, &key, &record, expected).await;
                match put {
                    Ok(PutOutcome::Applied(version)) => Event::LeaseWritten { version },
                    Ok(PutOutcome::Conflict) | Err(_) => {
                        tokio::time::sleep(RETRY_DELAY).await;
                        Event::LeaseWriteFailed
                    }
                }
            }
            Action::SendOrder { number } => self.send_orders(desired, number).await,
            Action::Converged => Event::Tick,
        }
    }

    async fn read_lease(&self, desired: &DesiredState) -> Event {
        let key = lease_key(&desired.replica.name);
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
                    let replica = &desired.replica.name;
                    warn!("event=order_lease_not_read replica={replica} error=\"{error}\"");
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    async fn send_orders(&self, desired: &DesiredState, number: u64) -> Event {
        for order in &desired.orders {
            let result = self
                .backend
                .order(desired.address, number, order, ORDER_TIMING.order_timeout_ms)
                .await;
            if let Err(error) = result {
                self.services.counters.count("orders_failed");
                let replica = &desired.replica.name;
                warn!("event=order_failed replica={replica} number={number} error=\"{error}\"");
                tokio::time::sleep(RETRY_DELAY).await;
                return Event::OrderFailed;
            }
        }
        self.services.counters.count("orders_given");
        info!("event=order_given replica={} number={number}", desired.replica.name);
        Event::OrderConfirmed
    }

    /// Waits until the next weight load may start. Each daemon spaces out its loads, so that the
    /// whole fleet stays within the rate of the weight store.
    async fn throttle_weight_load(&self, weights_mb: u64) {
        let fleet_mb_per_s = self.services.settings.platform.weight_store_mb_per_s;
        let share_mb_per_s = fleet_mb_per_s / self.members.eligible_owners().len().max(1) as f64;
        let load = Duration::from_secs_f64(weights_mb as f64 / share_mb_per_s);
        let until = {
            let mut next = self.next_load_at.lock().unwrap_or_else(PoisonError::into_inner);
            *next = (*next).max(Instant::now()) + load;
            *next - load
        };
        tokio::time::sleep_until(until).await;
    }

    fn lock_progress(&self) -> MutexGuard<'_, BTreeMap<ReplicaName, Progress>> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
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
