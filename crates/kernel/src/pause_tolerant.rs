//! Time-outs that tolerate a pause of this process, such as a SIGSTOP.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// How late a timer must fire for the process to count as paused; a busy host delays timers by
/// some tens of milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(150);
/// How long the work may continue after a pause to handle data that arrived meanwhile: the pause
/// interrupts a poll of the sockets, and the timers fire before the next one.
const GRACE_AFTER_PAUSE: Duration = Duration::from_millis(50);

/// Waits for `work` for at most `limit`; a pause of the process adds `GRACE_AFTER_PAUSE`.
pub async fn timeout<F: Future>(limit: Duration, work: F) -> Result<F::Output, Elapsed> {
    let started = Instant::now();
    let mut work = std::pin::pin!(work);
    match tokio::time::timeout(limit, work.as_mut()).await {
        Err(_) if started.elapsed() > limit + MIN_PAUSE => {
            tokio::time::timeout(GRACE_AFTER_PAUSE, work).await
        }
        finished => finished,
    }
}
