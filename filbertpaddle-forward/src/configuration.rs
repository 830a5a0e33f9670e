//! Routes, services, customers and limits of one accepted configuration.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: IndexMap<Name, Service>,
    /// Customers by API key; `None` if callers need no key.
    pub customers: Option<IndexMap<Name, Customer>>,
    /// Limits on what callers send.
    pub limits: Limits,
}

/// How often a request may run, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    /// Whole answer; may run any number of times.
    Idempotent,
    /// Whole answer; runs at most once.
    NonIdempotent,
    /// Stream of events; runs at most once.
    Stream,
    /// Stream of events that another target may continue.
    ResumableStream,
}

impl RequestKind {
    /// Whether a request whose fate is unknown may be sent again.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Where the requests of a host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: Name,
    /// Host that callers name.
    pub host: Name,
    /// Start of the path, with a slash at both ends.
    pub prefix: Name,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Services with the weight of each.
    pub services: Vec<(Name, u32)>,
    /// Longest time a caller is kept waiting.
    pub timeout_ms: Millis,
    /// Latency within which an answer is on time.
    pub latency_goal_ms: Millis,
    /// Longest pause between events of a stream that is on time.
    pub gap_goal_ms: Option<Millis>,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Most targets that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// A set of targets that serve the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one target accepts from all nodes.
    pub max_connections: u32,
    /// Requests a second that one cold target bears.
    pub cold_per_sec: f64,
    /// What is known of its engines; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Size and abilities of the engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit into one engine's memory.
    pub memory_tokens: u32,
    /// Whether running generations can be copied to another engine.
    pub can_migrate: bool,
    /// Most output tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Whom a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: Name,
    /// Rank that goes before the route's, if set.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest body.
    pub max_body_bytes: usize,
    /// How long an idle connection is kept.
    pub idle_timeout_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            idle_timeout_ms: Millis::from_secs(15),
        }
    }
}

/// Why no route serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// No route matches the host and path.
    #[error("no route matches")]
    UnknownRoute,
    /// The key is missing or belongs to nobody.
    #[error("unknown key")]
    UnknownKey,
}

impl Configuration {
    /// Returns the route with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(route.prefix.as_str()))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns whom a request of `route` with `key` belongs to.
    ///
    /// # Errors
    ///
    /// Returns [`RouteError::UnknownKey`] if the route needs a key that is not known.
    pub fn customer(
        &self,
        route: &Route,
        key: Option<&str>,
    ) -> Result<Option<&Customer>, RouteError> {
        let Some(customers) = &self.customers else {
            return Ok(None);
        };
        if route.is_public {
            return Ok(None);
        }
        let customer = key.and_then(|key| customers.get(key));
        customer.map(Some).ok_or(RouteError::UnknownKey)
    }
}

impl Route {
    /// Picks a service by weight; `draw` is uniform in 0 to 1.
    pub fn pick_service(&self, draw: f64) -> Option<&Name> {
        let total: u32 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * f64::from(total);
        for (name, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|(name, _)| name)
    }
}
