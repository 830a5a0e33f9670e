//! JSON bodies exchanged with targets.
//!
//! - `POST /v1/generations` with [`Submit`] returns a stream of [`Event`]
//!   lines (newline-delimited JSON) that ends with [`EventBody::End`].
//! - `GET /v1/generations/{attempt}?from={index}` resumes that stream.
//! - `DELETE /v1/generations/{attempt}` cancels.
//! - `POST /v1/calls` with [`Submit`] returns a [`CallAnswer`].
//! - `GET /v1/load` returns a [`LoadReport`].
//! - `GET /v1/cache?after={sequence}` returns [`CacheEvents`].
//! - `POST /v1/orders` with [`Order`] returns an [`OrderAnswer`].
//! - `GET /v1/state` returns a [`LoadedState`].

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::template::Priority;
use serde::Deserialize;
use serde::Serialize;

/// Request to start a generation, or a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// Attempt ID, unique among all attempts of all nodes.
    pub attempt: Name,
    /// Fencing number of the pool owner that granted the slot.
    pub fence: u64,
    /// Scheduling priority.
    pub priority: Priority,
    /// Prompt, or the body of a call of a plain service.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// One line of a token stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Attempt that the line belongs to.
    pub attempt: Name,
    /// Position of the token, from zero; for [`EventBody::End`], the number of tokens.
    pub index: u32,
    /// Content of the line.
    #[serde(flatten)]
    pub body: EventBody,
}

/// Content of a line of a token stream.
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
        /// Cause of the end.
        cause: EndCause,
    },
}

/// Cause of the end of a generation at the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The model produced its stop token.
    Stop,
    /// The generation reached `max_tokens`.
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

/// Answer of a target that refused a request or an order without running it, with status
/// 404, 409 or 503.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Attempt or order that was refused. A refusal without it proves nothing: it may be a late
    /// second answer to an earlier request.
    #[serde(default)]
    pub id: Name,
    /// Cause of the refusal.
    pub cause: RefusalCause,
}

/// Cause of the refusal of a request or an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The fencing number is older than one that the target has seen.
    StaleFence,
    /// The attempt ID was used before with another body.
    DuplicateAttempt,
    /// The target is about to stop.
    Leaving,
    /// The model or version is not loaded.
    NotLoaded,
    /// The attempt is unknown to the target.
    UnknownAttempt,
}

/// Whether a target has warmed up since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Warmth {
    /// Overloaded by more than `cold_limit` concurrent attempts.
    #[default]
    Cold,
    /// Can run `warm_limit` attempts concurrently.
    Warm,
}

/// Load of a target, as it was `age_ms` ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Distinguishes the target from its earlier incarnations.
    pub incarnation: u64,
    /// Age of the report.
    pub age_ms: Millis,
    /// Number of attempts in the running batch.
    pub running: u32,
    /// Number of attempts that wait to join the batch.
    pub waiting: u32,
    /// Number of KV cache pages in use.
    pub used_pages: u32,
    /// Total number of KV cache pages.
    pub total_pages: u32,
    /// Number of tokens per page.
    pub page_tokens: u32,
    /// Number of preemptions since the target started.
    pub preemptions: u64,
    /// Whether the target has warmed up.
    pub warmth: Warmth,
    /// Number of concurrent attempts that the target can sustain while cold.
    pub cold_limit: u32,
    /// Maximum number of concurrent attempts once the target is warm.
    pub warm_limit: u32,
    /// Whether the target's VM is about to be reclaimed.
    pub leaving: bool,
    /// IDs of the attempts that run or wait.
    pub attempts: Vec<Name>,
}

/// Changes of a target's prefix cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Changes in order; a gap in their sequence numbers means that some were lost.
    pub events: Vec<CacheEvent>,
}

/// One change of a prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event, from one.
    pub sequence: u64,
    /// Digest of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added to the cache; otherwise it was evicted.
    pub held: bool,
}

/// Order to a target to load a model, version and adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Order ID, unique among all orders.
    pub id: Name,
    /// Fencing number of the owner that gives the order.
    pub fence: u64,
    /// State that the target must reach.
    pub state: LoadedState,
}

/// Model, version and adapters that a target has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedState {
    /// Model that is loaded.
    pub model: Name,
    /// Version that is loaded.
    pub version: Name,
    /// Adapters that are loaded, sorted by name.
    pub adapters: Vec<Name>,
    /// Highest fencing number that the target has accepted.
    pub fence: u64,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// State of the target after the order.
    pub state: LoadedState,
}
