//! Watches of the store, held by a few daemons; the other daemons learn of changes from these.

use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaChange;
use log::info;
use log::warn;
use platform::names::CONFIGURATION_KIND;
use platform::names::CONFIGURATION_NAME;
use platform::names::REPLICA_KIND;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reachability;
use store::Reply;
use store::StoreError;
use store::call::Change;
use store::call::StoredObject;
use store::logged_versions::excerpt;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::Millis;
use wire::ReplicaRecord;
use wire::rendezvous;

use crate::election::REPLICA_WATCH_WAIT_MS;
use crate::election::WATCHERS;
use crate::election::is_standby_due;
use crate::platform_state::PlatformState;
use crate::platform_state::Source;

/// How long the store may wait for changes of the configuration before it answers a watch call. The
/// answer shows that the connection still works: one that has gone silent is noticed this long and
/// one time-out of a call (1,500 ms at most) after its last answer.
const CONFIGURATION_WATCH_WAIT_MS: Millis = 1_500;
/// The shortest time between two calls of one watch; changes in between share an answer.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(400);
/// The delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The time between two checks whether a daemon that does not watch has become a watcher.
const ELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// How long a daemon waits for peers before it determines the watchers when the whole fleet starts
/// for the first time and no daemon knows another.
const FIRST_START_SETTLE: Duration = Duration::from_millis(600);
/// The same wait after any other start. It is short since clients are waiting, seeds are known and
/// peers answer within tens of milliseconds; a superfluous watcher costs two calls.
const RESTART_SETTLE: Duration = Duration::from_millis(80);

/// A kind of objects that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The operator's configuration.
    Configuration,
    /// The records of the replicas.
    Replicas,
}

impl Watched {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KIND,
            Self::Replicas => REPLICA_KIND,
        }
    }

    fn wait_ms(self) -> Millis {
        match self {
            Self::Configuration => CONFIGURATION_WATCH_WAIT_MS,
            Self::Replicas => REPLICA_WATCH_WAIT_MS,
        }
    }
}

/// Watches one kind of objects whenever this daemon is one of its watchers.
pub async fn watch(
    watched: Watched,
    state: Rc<PlatformState>,
    store: Rc<ObjectClient>,
    is_first_start: bool,
) {
    sleep(if is_first_start { FIRST_START_SETTLE } else { RESTART_SETTLE }).await;
    let mut cursor: Option<u64> = None;
    let mut is_watching = false;
    loop {
        let role = role(watched, &state, &store);
        if role == Role::None {
            cursor = None;
            if std::mem::take(&mut is_watching) {
                info!("event=watch_ended kind={}", watched.kind());
                // The other daemons learn that they must watch.
                state.membership.borrow_mut().expedite_heartbeats();
            }
            sleep(ELECTION_INTERVAL).await;
            continue;
        }
        if role == Role::Standby && !is_watching {
            info!("event=watch_standby kind={} {}", watched.kind(), state.slots.list_state());
        }
        let started = Instant::now();
        if watched == Watched::Replicas && state.is_hold_over() {
            cursor = None;
        }
        let result = match cursor {
            None => list(watched, &state, &store).await.map(Some),
            Some(since) => wait_for_changes(watched, since, &state, &store).await,
        };
        match result {
            Ok(next) => {
                if !std::mem::replace(&mut is_watching, true) {
                    info!("event=watch_started kind={} revision={next:?}", watched.kind());
                }
                cursor = next;
                if role == Role::Standby {
                    // The other standbys learn that the store answers.
                    state.membership.borrow_mut().expedite_heartbeats();
                }
                sleep(MIN_CALL_INTERVAL.saturating_sub(started.elapsed())).await;
            }
            Err(error) => {
                // A store that does not answer watch calls may still answer lists.
                if let Some(since) = cursor.take() {
                    info!(
                        "event=watch_failed kind={} since={since} error=\"{error}\"",
                        watched.kind()
                    );
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The part of this daemon in watching a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It does not watch.
    None,
    /// It reads the objects once, since the watchers seem to have no answers.
    Standby,
    /// It watches.
    Watcher,
}

/// Returns the role of this daemon for a kind.
///
/// Daemons that cannot reach the store are left out, unless no known daemon can.
fn role(watched: Watched, state: &PlatformState, store: &ObjectClient) -> Role {
    let membership = state.membership.borrow();
    if store.reachability() == Reachability::Unreachable
        && membership.alive().any(|peer| peer.reaches_store)
    {
        return Role::None;
    }
    let others = membership.alive().filter(|peer| peer.reaches_store);
    let others = others.map(|peer| &peer.identity.name);
    let rank = rendezvous::rank(watched.kind(), &membership.own().name, others);
    if rank < WATCHERS {
        return Role::Watcher;
    }
    let silent_ms = state.replicas.borrow().contact().latest_age_ms(state.clock.now_ms());
    let is_silent = silent_ms
        .is_some_and(|silent_ms| is_standby_due(rank, silent_ms, membership.longest_period_ms()));
    match watched {
        Watched::Replicas if is_silent => Role::Standby,
        _ => Role::None,
    }
}

/// Reads all objects of a kind and returns the revision from which to watch.
async fn list(
    watched: Watched,
    state: &PlatformState,
    store: &ObjectClient,
) -> Result<u64, StoreError> {
    let mut objects = Vec::new();
    let mut after = String::new();
    let mut first_revision = None;
    loop {
        let call = Call::Page { kind: watched.kind(), after: after.clone(), may_be_stale: false };
        let Reply::Page(page) = store.call_once(CallClass::Bundle, &call).await? else {
            return Err(unexpected_reply(watched));
        };
        // The watch starts at the revision of the first page, so that it also reports changes that
        // were made between two pages.
        first_revision.get_or_insert(page.revision);
        after = page.objects.last().map(|object| object.name.clone()).unwrap_or_default();
        objects.extend(page.objects);
        if !page.has_more || after.is_empty() {
            break;
        }
    }
    let revision = first_revision.unwrap_or_default();
    match watched {
        Watched::Configuration => {
            for object in objects.iter().filter(|object| object.name == CONFIGURATION_NAME) {
                state.update_configuration(&object.value, Source::Store);
            }
        }
        Watched::Replicas => {
            state.record_store_answer(store);
            let records = objects.iter().filter_map(|object| read_replica(object, state)).collect();
            let now_ms = state.clock.now_ms();
            let changes = state.replicas.borrow_mut().replace(now_ms, revision, records);
            state.handle_replica_changes(&changes, Source::Store);
            log_held(state, 0, revision);
        }
    }
    Ok(revision)
}

/// Waits for changes and returns the revision from which to continue, or `None` to list again.
async fn wait_for_changes(
    watched: Watched,
    since: u64,
    state: &PlatformState,
    store: &ObjectClient,
) -> Result<Option<u64>, StoreError> {
    let call = Call::Changes { kind: watched.kind(), since, wait_ms: watched.wait_ms() };
    let reply = tokio::select! {
        biased;
        reply = store.call_once(CallClass::Bundle, &call) => reply?,
        () = hold_end(watched, state) => return Ok(None),
    };
    state.record_store_answer(store);
    let changes = match reply {
        Reply::Changes(changes) => changes,
        Reply::HistoryGone => {
            info!("event=watch_history_gone kind={} since={since}", watched.kind());
            return Ok(None);
        }
        _ => return Err(unexpected_reply(watched)),
    };
    let held_before = state.replicas.borrow().held_count();
    let applied: Vec<ReplicaChange> = changes
        .changes
        .iter()
        .filter_map(|change| apply(watched, change, changes.revision_of(change), state))
        .collect();
    state.handle_replica_changes(&applied, Source::Store);
    log_held(state, held_before, changes.revision);
    Ok(Some(changes.revision.max(since)))
}

/// Logs that more missing records are on hold than before an answer of the store.
fn log_held(state: &PlatformState, held_before: usize, revision: u64) {
    let replicas = state.replicas.borrow();
    let held = replicas.held_count();
    if held > held_before {
        info!(
            "event=missing_replicas_held count={held} revision={revision} contact_ms={}",
            state.contact_ms(&replicas)
        );
    }
}

/// Waits for the end of the next hold of a replica's record, if there is any.
async fn hold_end(watched: Watched, state: &PlatformState) {
    let end_ms = match watched {
        Watched::Replicas => state.replicas.borrow().next_hold_end_ms(),
        Watched::Configuration => None,
    };
    let Some(end_ms) = end_ms else { return std::future::pending().await };
    sleep(Duration::from_millis(end_ms.saturating_sub(state.clock.now_ms()))).await;
}

fn apply(
    watched: Watched,
    change: &Change,
    revision: u64,
    state: &PlatformState,
) -> Option<ReplicaChange> {
    let object = &change.object;
    if watched == Watched::Configuration {
        if object.name == CONFIGURATION_NAME && !change.is_removed {
            state.update_configuration(&object.value, Source::Store);
        }
        return None;
    }
    let change = if change.is_removed {
        ReplicaChange::Gone(object.name.as_str().into())
    } else {
        // A replica whose record is malformed cannot be used.
        read_replica(object, state)
            .map_or_else(|| ReplicaChange::Gone(object.name.as_str().into()), ReplicaChange::Set)
    };
    state.replicas.borrow_mut().apply(state.clock.now_ms(), revision, change)
}

/// Decodes a record, or returns `None` and logs once that this version of it is malformed.
fn read_replica(object: &StoredObject, state: &PlatformState) -> Option<ReplicaRecord> {
    match platform::replica::decode_record(&object.name, &object.value) {
        Ok(record) => Some(record),
        Err(error) => {
            if state.logged_records.borrow_mut().add(object.version_digest()) {
                warn!(
                    "event=replica_record_malformed replica={} revision={} error=\"{}\"",
                    excerpt(&object.name),
                    object.revision,
                    excerpt(&error.to_string())
                );
            }
            None
        }
    }
}

fn unexpected_reply(watched: Watched) -> StoreError {
    StoreError::Malformed {
        key: watched.kind().to_owned(),
        message: "unexpected kind of answer".to_owned(),
    }
}
