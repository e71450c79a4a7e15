//! Time-outs when the process is paused.

use std::time::Duration;

use kernel::pause_tolerant;
use tokio::time::Instant;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_millis(100);

/// Blocks the thread as a stopped process does, then needs 10 ms to finish.
async fn paused_work() -> &'static str {
    tokio::task::yield_now().await;
    std::thread::sleep(LIMIT * 4);
    sleep(Duration::from_millis(10)).await;
    "done"
}

#[tokio::test]
async fn work_due_during_a_pause_may_finish_after_it() {
    assert!(
        tokio::time::timeout(LIMIT, paused_work()).await.is_err(),
        "the pause exceeds the limit"
    );
    assert_eq!(pause_tolerant::timeout(LIMIT, paused_work()).await, Ok("done"));
}

#[tokio::test]
async fn time_out_applies_without_a_pause() {
    let started = Instant::now();
    assert!(pause_tolerant::timeout(LIMIT, std::future::pending::<()>()).await.is_err());
    assert!(started.elapsed() >= LIMIT);
}
