//! Stand-ins for development: what surrounds the system, with faults on demand.

pub mod batch;
pub mod engine;
mod engine_http;
pub mod engine_state;
pub mod fault;
pub mod lengths;
pub mod marker;
pub mod prefix_cache;
pub mod scheduler;
pub mod server;
pub mod service;
