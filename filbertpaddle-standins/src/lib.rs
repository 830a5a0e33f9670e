//! Tools for development and tests: stand-ins of model engines, plain services and the platform,
//! a proxy that injects link faults, and a load tool that compares routing policies.
//!
//! The load tool sends the same workload to nodes or to baselines without nodes, and checks the
//! answers that callers receive against the executions that the stand-ins count.

pub mod balancer;
pub mod baseline;
pub mod batch;
pub mod batch_scheduler;
pub mod caller;
pub mod child;
pub mod cluster;
pub mod engine;
pub mod engine_fault;
mod engine_http;
pub mod engine_state;
pub mod experiment;
pub mod fleet;
pub mod gate;
pub mod lengths;
pub mod loopback;
pub mod marker;
pub mod node_settings;
pub mod observation;
pub mod platform;
pub mod platform_faults;
mod platform_http;
pub mod pool;
pub mod prefix_cache;
pub mod process;
pub mod proxy;
mod proxy_connection;
pub mod rate_limiter;
pub mod report;
pub mod scenario;
pub mod server;
pub mod service;
pub mod spoiler;
pub mod summary;
pub mod table;
pub mod usage;
pub mod vm_list_history;
pub mod workload;
