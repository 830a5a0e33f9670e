//! The fault proxy between processes.

use std::net::SocketAddr;

use filbertpaddle_standins::proxy::Faults;
use filbertpaddle_standins::proxy::Link;

use super::fleet::StandIn;

/// Starts a proxy before an address.
pub fn start(upstream: SocketAddr) -> StandIn {
    StandIn::start(&["proxy", "--upstream", &upstream.to_string()])
}

/// Changes what passes.
pub async fn set_link(proxy: &StandIn, link: Link) {
    let faults = Faults {
        link,
        ..Faults::default()
    };
    proxy.control("faults", &faults).await;
}
