//! Polling until a condition holds.

use std::time::Duration;
use std::time::Instant;

/// Timeout of a condition; generous, so that a slow machine does not fail a test.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `condition` until it returns a value.
///
/// # Panics
///
/// Panics with `what` if it returns none within [`CONDITION_TIMEOUT`].
pub async fn until<T, F>(what: &str, mut condition: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(
            start.elapsed() < CONDITION_TIMEOUT,
            "condition not met within {CONDITION_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
