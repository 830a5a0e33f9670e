//! Millisecond time.

use std::fmt;
use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;

/// A point in time or a span, in milliseconds.
///
/// The caller chooses the origin: process start on the monotonic clock for
/// decisions, the Unix epoch for stored timestamps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The origin, or a span of zero length.
    pub const ZERO: Self = Self(0);

    /// Returns a span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000))
    }

    /// Returns the span from `earlier` to `self`, or zero if `earlier` is later.
    ///
    /// # Examples
    ///
    /// ```
    /// use filbertpaddle_core::clock::Millis;
    ///
    /// assert_eq!(Millis(5).since(Millis(2)), Millis(3));
    /// assert_eq!(Millis(2).since(Millis(5)), Millis::ZERO);
    /// ```
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
