//! Faults that the engine and service stand-ins bring about on demand.

use filbertpaddle_core::clock::Millis;
use serde::Deserialize;
use serde::Serialize;

/// A fault of an engine or a plain service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Loses every attempt and restarts cold.
    Crash,
    /// Stops working for a while; connections stay.
    Freeze {
        /// How long, in wall-clock time.
        duration_ms: Millis,
    },
    /// Turns cold without warning.
    Cold,
    /// Turns warm at once.
    Warm,
    /// Announces that it will be reclaimed, and then goes for good.
    Leave {
        /// Time until it goes, in wall-clock time.
        notice_ms: Millis,
    },
    /// Works at another pace from now on.
    Slow {
        /// Length of a step in percent of the usual.
        percent: u32,
    },
    /// Labels every n-th line with another attempt; zero stops it.
    Cross {
        /// Lines from one crossed line to the next.
        every: u32,
    },
    /// Repeats every n-th token; zero stops it.
    Duplicate {
        /// Tokens from one repeated token to the next.
        every: u32,
    },
    /// Delays every line; zero stops it.
    Late {
        /// Delay in wall-clock time.
        delay_ms: Millis,
    },
}
