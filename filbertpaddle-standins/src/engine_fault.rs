//! Faults that can be injected into an engine stand-in.

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;

/// A fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// The engine loses every attempt and restarts cold.
    Crash,
    /// The engine makes no progress for a while, and streams and load reports wait; connections
    /// stay open.
    Freeze {
        /// Length of the freeze in wall-clock time.
        duration_ms: Millis,
    },
    /// The engine turns cold without warning.
    Cold,
    /// The engine turns warm at once.
    Warm,
    /// The engine announces its reclaim and stops permanently after the notice.
    Leave {
        /// Time from the notice until the engine stops, in wall-clock time.
        notice_ms: Millis,
    },
    /// Steps take a different time from now on.
    Slow {
        /// Duration of a step in percent of the normal one.
        percent: u32,
    },
    /// Every n-th token is sent an extra time with the id of another attempt; zero stops it.
    Cross {
        /// Tokens from one such line to the next.
        every: u32,
    },
    /// Every n-th token is sent twice; zero stops it.
    Duplicate {
        /// Tokens from one repeated token to the next.
        every: u32,
    },
    /// Every write to a stream is delayed; zero stops it.
    Late {
        /// Delay in wall-clock time.
        delay_ms: Millis,
    },
}
