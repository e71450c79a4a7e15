//! Time-outs around a pause of the process.

use std::time::Duration;

use kernel::awake;
use tokio::time::Instant;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_millis(100);

/// Stands still with the whole thread, as a stopped process does, then needs a moment to finish.
async fn paused_work() -> &'static str {
    tokio::task::yield_now().await;
    std::thread::sleep(LIMIT * 4);
    sleep(Duration::from_millis(10)).await;
    "done"
}

#[tokio::test]
async fn work_that_was_due_in_a_pause_gets_a_moment_to_finish() {
    assert!(tokio::time::timeout(LIMIT, paused_work()).await.is_err(), "the pause uses it up");
    assert_eq!(awake::timeout(LIMIT, paused_work()).await, Ok("done"));
}

#[tokio::test]
async fn silence_without_a_pause_ends_in_time() {
    let started = Instant::now();
    assert!(awake::timeout(LIMIT, std::future::pending::<()>()).await.is_err());
    assert!(started.elapsed() >= LIMIT);
}
