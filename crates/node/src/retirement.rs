//! Completes the operator's requests to retire a host with a disk; the daemon stores nothing on it.

use std::rc::Rc;
use std::time::Duration;

use log::info;
use log::warn;
use platform::names::RETIREMENT_KIND;
use store::Call;
use store::CallClass;
use store::ObjectClient;
use store::Reply;
use store::StoreError;
use store::call::StoredObject;
use tokio::time::sleep;
use wire::DaemonName;
use wire::Millis;

/// How long the store may wait for changes before it answers a watch call.
const WATCH_WAIT_MS: Millis = 25_000;
/// The delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// How long a write is retried before the requests are read again.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Watches the retirement requests and completes those for this host.
pub async fn serve(own: DaemonName, store: Rc<ObjectClient>) {
    let mut cursor: Option<u64> = None;
    loop {
        match poll_requests(&own, cursor, &store).await {
            Ok(next) => cursor = next,
            Err(error) => {
                warn!("event=retirements_not_read error=\"{error}\"");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn poll_requests(
    own: &DaemonName,
    cursor: Option<u64>,
    store: &ObjectClient,
) -> Result<Option<u64>, StoreError> {
    let call = match cursor {
        None => Call::Page { kind: RETIREMENT_KIND, after: String::new(), may_be_stale: false },
        Some(since) => Call::Changes { kind: RETIREMENT_KIND, since, wait_ms: WATCH_WAIT_MS },
    };
    match store.call_once(CallClass::Lease, &call).await? {
        Reply::Page(page) => {
            for object in &page.objects {
                complete(own, object, store).await?;
            }
            Ok(Some(page.revision))
        }
        Reply::Changes(changes) => {
            for change in changes.changes.iter().filter(|change| !change.is_removed) {
                complete(own, &change.object, store).await?;
            }
            Ok(Some(changes.revision))
        }
        _ => Ok(None),
    }
}

async fn complete(
    own: &DaemonName,
    request: &StoredObject,
    store: &ObjectClient,
) -> Result<(), StoreError> {
    let is_own = request.name == own.as_str();
    if !is_own || platform::retirement::is_completed(&request.status) {
        return Ok(());
    }
    let call = Call::SetStatus {
        kind: RETIREMENT_KIND,
        name: request.name.clone(),
        revision: None,
        status: platform::retirement::encode_completed_status(),
    };
    store.call_with_retries(CallClass::Lease, &call, WRITE_TIMEOUT).await?;
    info!("event=host_emptied host={own}");
    Ok(())
}
