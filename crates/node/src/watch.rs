//! Watches of the store: a few daemons watch, and the others hear of changes from them.

use std::rc::Rc;
use std::time::Duration;

use catalog::ReplicaChange;
use log::debug;
use log::info;
use log::warn;
use platform::names::CONFIGURATION_KIND;
use platform::names::CONFIGURATION_NAME;
use platform::names::REPLICA_KIND;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reach;
use store::Reply;
use store::StoreError;
use store::call::Change;
use store::call::StoredObject;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::Millis;
use wire::ReplicaRecord;
use wire::rendezvous;

use crate::knowledge::Knowledge;
use crate::knowledge::Source;

/// The daemons that watch one kind; two may be lost at the same time without a gap.
const WATCHERS: usize = 3;
/// The longest that a watch waits.
const WATCH_WAIT_MS: Millis = 20_000;
/// The shortest time between two calls of one watch; changes that come meanwhile share an answer.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// The pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(250);
/// How often a daemon that does not watch looks whether it should.
const TURN_PAUSE: Duration = Duration::from_millis(250);
/// How long a daemon waits for peers before it counts the watchers when the whole fleet starts for
/// the first time and nobody knows anybody.
const FIRST_SETTLE: Duration = Duration::from_millis(600);
/// The same after any other start: clients wait, seeds are known, and peers answer within some tens
/// of milliseconds; a watcher too many costs two calls.
const SETTLE: Duration = Duration::from_millis(80);

/// One kind of objects that is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The operator's configuration.
    Configuration,
    /// The replicas' records.
    Replicas,
}

impl Watched {
    fn kind(self) -> &'static str {
        match self {
            Self::Configuration => CONFIGURATION_KIND,
            Self::Replicas => REPLICA_KIND,
        }
    }
}

/// Watches one kind for as long as this daemon is one of its watchers.
pub async fn watch(
    what: Watched,
    knowledge: Rc<Knowledge>,
    store: Rc<ObjectClient>,
    is_first_start: bool,
) {
    sleep(if is_first_start { FIRST_SETTLE } else { SETTLE }).await;
    let mut cursor: Option<u64> = None;
    loop {
        if !is_watcher(what, &knowledge, &store) {
            if cursor.take().is_some() {
                info!("event=watch_ended kind={}", what.kind());
            }
            sleep(TURN_PAUSE).await;
            continue;
        }
        let started = Instant::now();
        let step = match cursor {
            None => list(what, &knowledge, &store).await.map(Some),
            Some(since) => follow(what, since, &knowledge, &store).await,
        };
        match step {
            Ok(next) => {
                if cursor.is_none() {
                    info!("event=watch_started kind={} revision={next:?}", what.kind());
                }
                cursor = next;
                knowledge.replicas.borrow_mut().store_returned(knowledge.clock.now_ms());
                sleep(WATCH_PAUSE.saturating_sub(started.elapsed())).await;
            }
            Err(error) => {
                debug!("event=watch_failed kind={} error=\"{error}\"", what.kind());
                if store.reach() == Reach::Lost {
                    knowledge.replicas.borrow_mut().store_lost();
                }
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Returns whether this daemon is one of the watchers of a kind.
///
/// A daemon that the store does not answer is passed over.
fn is_watcher(what: Watched, knowledge: &Knowledge, store: &ObjectClient) -> bool {
    let membership = knowledge.membership.borrow();
    if store.reach() == Reach::Lost && membership.alive().any(|peer| peer.reaches_store) {
        return false;
    }
    let others = membership.alive().filter(|peer| peer.reaches_store);
    let others = others.map(|peer| &peer.identity.name);
    rendezvous::is_among_heaviest(what.kind(), &membership.own().name, others, WATCHERS)
}

/// Reads the whole list and returns the revision to watch from.
async fn list(
    what: Watched,
    knowledge: &Knowledge,
    store: &ObjectClient,
) -> Result<u64, StoreError> {
    let mut objects = Vec::new();
    let mut after = String::new();
    let mut first_revision = None;
    loop {
        let call = Call::Page { kind: what.kind(), after: after.clone(), may_be_stale: false };
        let Reply::Page(page) = store.once(CallClass::Bundle, &call).await? else {
            return Err(unexpected(what));
        };
        // Changes between two pages are seen again by the watch from the first page's revision.
        first_revision.get_or_insert(page.revision);
        after = page.objects.last().map(|object| object.name.clone()).unwrap_or_default();
        objects.extend(page.objects);
        if !page.has_more || after.is_empty() {
            break;
        }
    }
    let revision = first_revision.unwrap_or_default();
    match what {
        Watched::Configuration => {
            for object in objects.iter().filter(|object| object.name == CONFIGURATION_NAME) {
                knowledge.offer_configuration(&object.value, Source::Store);
            }
        }
        Watched::Replicas => {
            let records = objects.iter().filter_map(read_replica).collect();
            let now_ms = knowledge.clock.now_ms();
            let changes = knowledge.replicas.borrow_mut().replace(now_ms, revision, records);
            knowledge.replicas_changed(&changes, Source::Store);
        }
    }
    Ok(revision)
}

/// Waits for changes and returns the revision to go on from, or `None` to list again.
async fn follow(
    what: Watched,
    since: u64,
    knowledge: &Knowledge,
    store: &ObjectClient,
) -> Result<Option<u64>, StoreError> {
    let call = Call::Changes { kind: what.kind(), since, wait_ms: WATCH_WAIT_MS };
    let changes = match store.once(CallClass::Bundle, &call).await? {
        Reply::Changes(changes) => changes,
        Reply::HistoryGone => {
            info!("event=watch_history_gone kind={} since={since}", what.kind());
            return Ok(None);
        }
        _ => return Err(unexpected(what)),
    };
    let applied: Vec<ReplicaChange> = changes
        .changes
        .iter()
        .filter_map(|change| apply(what, change, changes.revision, knowledge))
        .collect();
    knowledge.replicas_changed(&applied, Source::Store);
    Ok(Some(changes.revision.max(since)))
}

fn apply(
    what: Watched,
    change: &Change,
    batch_revision: u64,
    knowledge: &Knowledge,
) -> Option<ReplicaChange> {
    let object = &change.object;
    if what == Watched::Configuration {
        if object.name == CONFIGURATION_NAME && !change.is_removed {
            knowledge.offer_configuration(&object.value, Source::Store);
        }
        return None;
    }
    let heard = if change.is_removed {
        ReplicaChange::Gone(object.name.as_str().into())
    } else {
        // A record that cannot be read names no replica to use.
        read_replica(object)
            .map_or_else(|| ReplicaChange::Gone(object.name.as_str().into()), ReplicaChange::Set)
    };
    let revision = if object.revision > 0 { object.revision } else { batch_revision };
    knowledge.replicas.borrow_mut().apply(knowledge.clock.now_ms(), revision, heard)
}

fn read_replica(object: &StoredObject) -> Option<ReplicaRecord> {
    match platform::replica::decode(&object.name, &object.value) {
        Ok(record) => Some(record),
        Err(error) => {
            warn!("event=replica_record_malformed replica={:?} error=\"{error}\"", object.name);
            None
        }
    }
}

fn unexpected(what: Watched) -> StoreError {
    StoreError::Malformed {
        key: what.kind().to_owned(),
        message: "the answer is none to this call".to_owned(),
    }
}
