//! Maps times by the steady clock of another process to this node's clock.
//!
//! How long a response was under way is not known. What it states was true at some time after
//! its request was sent, so ages count from no later than the other's clock can prove.

use filbertpaddle_core::clock::Millis;

/// What is known of another process's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemoteClock {
    /// Lower bound of this node's time minus the other's, in milliseconds.
    offset_ms: Option<i64>,
}

impl RemoteClock {
    /// Records that the other's clock showed `remote_ms` at some time from `requested_ms` to
    /// `received_ms`.
    ///
    /// The request that was under way for the shortest time gives the best bound. One that
    /// contradicts a response is dropped: the other process was suspended, or replaced.
    pub fn record(&mut self, requested_ms: Millis, received_ms: Millis, remote_ms: Millis) {
        let earliest_ms = difference_ms(requested_ms, remote_ms);
        let latest_ms = difference_ms(received_ms, remote_ms);
        let known_ms = self.offset_ms.filter(|known_ms| *known_ms <= latest_ms);
        self.offset_ms = Some(known_ms.map_or(earliest_ms, |known_ms| known_ms.max(earliest_ms)));
    }

    /// Returns a time by this node's clock at which the other's cannot have shown more than
    /// `remote_ms`; the origin if nothing was recorded.
    pub fn local_ms(&self, remote_ms: Millis) -> Millis {
        let signed_ms = i64::try_from(remote_ms.0).unwrap_or(i64::MAX);
        let local_ms = self.offset_ms.map(|ms| signed_ms.saturating_add(ms));
        Millis(local_ms.map_or(0, |ms| u64::try_from(ms).unwrap_or(0)))
    }
}

fn difference_ms(local_ms: Millis, remote_ms: Millis) -> i64 {
    let signed = |ms: Millis| i64::try_from(ms.0).unwrap_or(i64::MAX);
    signed(local_ms).saturating_sub(signed(remote_ms))
}
