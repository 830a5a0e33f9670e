//! Loopback addresses of the hosts of a test.

use std::net::Ipv4Addr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Number of bits of an address that distinguish the hosts of one process.
const HOST_BITS: u32 = 12;
/// Number of address ranges for processes. The first, with the usual address, and the last, with
/// the broadcast address, are left out.
const PROCESS_RANGES: u32 = (1 << 12) - 2;

/// Returns a loopback address that no other host of this process has, until all have been
/// returned once: a port that one host frees leads to no other one.
pub fn next_host() -> Ipv4Addr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let host = COUNT.fetch_add(1, Ordering::Relaxed) % (1 << HOST_BITS);
    let range = 1 + std::process::id() % PROCESS_RANGES;
    let first = u32::from(Ipv4Addr::new(127, 0, 0, 0));
    Ipv4Addr::from(first | range << HOST_BITS | host)
}
