//! Helpers for tests that run nodes and stand-ins as processes on loopback.

#![expect(
    clippy::unwrap_used,
    dead_code,
    unreachable_pub,
    reason = "each test file uses a part of this module"
)]

pub mod caller;
pub mod fault_proxy;
pub mod fleet;
pub mod operator;
pub mod wait;
