//! A node of the forwarding path: callers' requests in, targets' answers out.
//!
//! Decisions are in `filbertpaddle-forward`; this crate is their I/O. What the
//! platform's own words are, an adapter tells it in a [`platform_api::PlatformApi`].

pub mod buffered;
pub mod clock;
pub mod connection_pool;
pub mod crash;
pub mod drain_detection;
pub mod generation;
pub mod job;
pub mod listener;
pub mod load_exchange;
pub mod log;
pub mod metrics;
pub mod migrator;
pub mod node;
pub mod nodes;
pub mod peer_follower;
pub mod peer_link;
pub mod peer_publisher;
pub mod platform_api;
pub mod reply;
pub mod request;
pub mod response_writer;
pub mod settings;
pub mod state;
pub mod store_sync;
pub mod target_stream;
