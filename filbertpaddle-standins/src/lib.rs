//! Stand-ins for development: what surrounds the system, with faults on demand.

pub mod batch;
pub mod engine;
mod engine_http;
pub mod engine_state;
pub mod fault;
pub mod faults;
pub mod lengths;
pub mod limiter;
pub mod marker;
pub mod platform;
mod platform_http;
pub mod prefix_cache;
pub mod proxy;
mod pump;
pub mod scheduler;
pub mod server;
pub mod service;
pub mod table;
pub mod vms;
