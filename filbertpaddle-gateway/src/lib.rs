//! A node of the forwarding path: callers' requests in, targets' answers out.
//!
//! Decisions are in `filbertpaddle-forward`; this crate is their I/O. What the
//! platform's own words are, an adapter tells it in a [`platform_api::PlatformApi`].

pub mod clock;
pub mod crash;
pub mod departures;
pub mod exchange;
pub mod follower;
pub mod generation;
pub mod job;
pub mod links;
pub mod listener;
pub mod log;
pub mod metrics;
pub mod mover;
pub mod node;
pub mod nodes;
pub mod output;
pub mod peer_link;
pub mod peers;
pub mod platform_api;
pub mod reply;
pub mod request;
pub mod settings;
pub mod source;
pub mod state;
pub mod tell;
pub mod whole;
