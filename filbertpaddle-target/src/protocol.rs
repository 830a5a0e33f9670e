//! The JSON bodies exchanged with targets.
//!
//! - `POST /v1/generations` with [`Submit`] answers a stream of [`Event`]
//!   lines (newline-delimited JSON) that ends with [`EventBody::End`].
//! - `GET /v1/generations/{attempt}?from={index}` resumes that stream.
//! - `DELETE /v1/generations/{attempt}` cancels.
//! - `POST /v1/calls` with [`Submit`] answers one [`CallAnswer`].
//! - `GET /v1/load` answers a [`LoadReport`].
//! - `GET /v1/cache?after={sequence}` answers a [`CacheEvents`].
//! - `POST /v1/orders` with [`Order`] answers an [`OrderAnswer`].
//! - `GET /v1/state` answers a [`LoadedState`].

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use serde::Deserialize;
use serde::Serialize;

/// Asks a target to start work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Unique among all attempts of all nodes.
    pub attempt: Name,
    /// Fencing number of the pool owner that granted the slot.
    pub fence: u64,
    /// Scheduling priority.
    pub priority: Priority,
    /// Whole prompt, or the body of a plain call.
    pub prompt: String,
    /// Most tokens to generate.
    pub max_tokens: u32,
}

/// One line of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Attempt that the line belongs to.
    pub attempt: Name,
    /// Position of the token, from zero; at the end, the number of tokens.
    pub index: u32,
    /// What the line carries.
    #[serde(flatten)]
    pub body: EventBody,
}

/// What a line of a token stream carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventBody {
    /// One token.
    Token {
        /// Text of the token.
        text: String,
    },
    /// The generation has ended.
    End {
        /// Why it ended.
        cause: EndCause,
    },
}

/// Why a generation ended at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The model produced its stop token.
    Stop,
    /// `max_tokens` was reached.
    Length,
    /// The attempt was cancelled.
    Cancelled,
}

/// Answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Attempt that the answer belongs to.
    pub attempt: Name,
    /// Body of the answer.
    pub body: String,
}

/// Answer of a target that refused work before starting it, with status 409 or 503.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the work was refused.
    pub cause: RefusalCause,
}

/// Why a target refused work or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The fencing number is older than one already seen.
    StaleFence,
    /// The attempt id is already known with another body.
    DuplicateAttempt,
    /// The target is leaving.
    Leaving,
    /// The model or version is not loaded.
    NotLoaded,
    /// The attempt is not known.
    UnknownAttempt,
}

/// Whether a target has warmed up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// Bears only a little load.
    #[default]
    Cold,
    /// Bears its full load.
    Warm,
}

/// Load of a target as of some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Distinguishes two lives of the target.
    pub incarnation: u64,
    /// How long ago the numbers were taken.
    pub age_ms: Millis,
    /// Attempts in the batch.
    pub running: u32,
    /// Attempts waiting for the batch.
    pub waiting: u32,
    /// Memory pages in use.
    pub used_pages: u32,
    /// Memory pages in all.
    pub total_pages: u32,
    /// Tokens that a page holds.
    pub page_tokens: u32,
    /// Preemptions since the target started.
    pub preemptions: u64,
    /// Whether the target has warmed up.
    pub warmth: Warmth,
    /// Attempts a cold target bears at once.
    pub cold_limit: u32,
    /// Attempts a warm target may run at once.
    pub warm_limit: u32,
    /// Whether the target will be reclaimed soon.
    pub leaving: bool,
    /// Ids of the attempts that run or wait.
    pub attempts: Vec<Name>,
}

/// Changes of a target's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Changes in order; a gap in the sequence means some were lost.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from one.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Whether the prefix is held now.
    pub held: bool,
}

/// Asks a target to change what it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique among all orders.
    pub id: Name,
    /// Fencing number of the owner that gives the order.
    pub fence: u64,
    /// What the target is to serve.
    pub state: LoadedState,
}

/// What a target serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedState {
    /// Model that is loaded.
    pub model: Name,
    /// Version that is loaded.
    pub version: Name,
    /// Adapters that are loaded, sorted.
    pub adapters: Vec<Name>,
    /// Highest fencing number obeyed.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// What the target serves now.
    pub state: LoadedState,
}
