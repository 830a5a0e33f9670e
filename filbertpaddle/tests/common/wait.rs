//! Waiting on conditions.

use std::time::Duration;
use std::time::Instant;

/// Longest wait for a condition; far beyond what any needs.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` yields a value.
///
/// # Panics
///
/// Panics with `what` if it never does.
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
            "waited in vain: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
