//! A gateway node: accepts callers' requests, sends each to a target and returns
//! the target's response.
//!
//! This crate does the I/O; the decisions are in `filbertpaddle-forward`. An adapter
//! supplies the platform's headers, calls and row formats as a
//! [`platform_api::PlatformApi`].

pub mod acceptor;
mod applied_changes;
pub mod block_record;
pub mod buffered;
pub mod caller_input;
pub mod caller_stream;
pub mod clock;
mod connection_headers;
pub mod connection_pool;
mod copy_call;
pub mod crash;
pub mod drain_detection;
mod ended_response;
pub mod generation;
mod generation_end;
pub mod generation_load;
mod generation_move;
mod generation_recovery;
pub mod held_body;
pub mod job;
mod job_demand;
pub mod job_refusal;
pub mod listener;
pub mod load_exchange;
pub mod log;
pub mod metrics;
pub mod migrator;
pub mod node;
pub mod nodes;
pub mod pace;
pub mod page_limit;
pub mod peer_follower;
pub mod peer_link;
pub mod peer_message;
pub mod peer_publisher;
pub mod platform_api;
pub mod probe;
pub mod reader_probe;
pub mod relay;
pub mod reply;
pub mod request;
mod request_body;
pub mod response_body;
pub mod response_writer;
pub mod resumption;
pub mod rollout_exchange;
mod rollout_job;
pub mod rollout_steps;
pub mod rollouts;
mod service_path;
pub mod settings;
mod silence;
pub mod socket_diagnostics;
pub mod speed_exchange;
pub mod state;
pub mod stop_reason;
pub mod store_sync;
pub mod target_call;
pub mod target_connection;
pub mod target_rates;
pub mod target_stream;
pub mod tunnel;
pub mod tunnel_server;
pub mod version_exchange;
pub mod version_record;
pub mod watched_stream;
