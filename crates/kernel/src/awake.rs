//! Time-outs that a pause of this process does not use up.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// How late a timer must fire for this process to count as paused; a busy host delays timers by
/// some tens of milliseconds.
const PAUSE: Duration = Duration::from_millis(150);
/// How long after a pause the work has to notice what came meanwhile: the first look at the
/// sockets, which a pause interrupts, happens after the timers.
const AFTER_PAUSE: Duration = Duration::from_millis(50);

/// Waits for `work` for at most `limit`, and a moment longer after a pause of this process.
pub async fn timeout<F: Future>(limit: Duration, work: F) -> Result<F::Output, Elapsed> {
    let started = Instant::now();
    let mut work = std::pin::pin!(work);
    match tokio::time::timeout(limit, work.as_mut()).await {
        Err(_) if started.elapsed() > limit + PAUSE => {
            tokio::time::timeout(AFTER_PAUSE, work).await
        }
        done => done,
    }
}
