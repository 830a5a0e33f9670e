//! Stand-ins for development: what surrounds the system, with faults on demand.

pub mod faults;
pub mod limiter;
pub mod platform;
mod platform_http;
pub mod proxy;
mod pump;
pub mod server;
pub mod table;
pub mod vms;
