//! Stand-ins for development: what surrounds the system, with faults on demand.

pub mod batch;
pub mod engine;
pub mod engine_fault;
mod engine_http;
pub mod engine_state;
pub mod faults;
pub mod lengths;
pub mod limiter;
pub mod marker;
pub mod observation;
pub mod platform;
mod platform_http;
pub mod prefix_cache;
pub mod process;
pub mod proxy;
mod pump;
pub mod scenario;
pub mod scheduler;
pub mod server;
pub mod service;
pub mod table;
pub mod vms;
pub mod workload;
