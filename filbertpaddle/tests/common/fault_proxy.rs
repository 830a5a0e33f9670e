//! Fault-injection proxy between processes.

use std::net::SocketAddr;

use filbertpaddle_standins::proxy::Faults;
use filbertpaddle_standins::proxy::Link;

use super::fleet::StandIn;

/// Starts a proxy in front of an address.
pub fn start(upstream: SocketAddr) -> StandIn {
    StandIn::start(&["proxy", "--upstream", &upstream.to_string()])
}

/// Sets the state of the link.
pub async fn set_link(proxy: &StandIn, link: Link) {
    let faults = Faults {
        link,
        ..Faults::default()
    };
    proxy.control("faults", &faults).await;
}
