//! Connections to targets through other nodes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use filbertpaddle_core::name::Name;
use filbertpaddle_forward::relay_choice::Candidate;
use filbertpaddle_forward::target::Target;
use slog::info;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::connection_pool::Error;
use crate::peer_link;
use crate::peer_link::PeerLink;
use crate::peer_message::Message;
use crate::state::State;
use crate::tunnel::OpenRequest;
use crate::tunnel::Purpose;
use crate::tunnel::RelayRefusal;
use crate::tunnel::RelayedStream;

/// Time for one node to open the connection. It may have to find out that it is cut off itself.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for all nodes that are asked for one connection.
const TOTAL_TIMEOUT: Duration = Duration::from_millis(700);

/// Opens a connection to a target through another node.
///
/// # Errors
///
/// [`Error::Refused`] and [`Error::Unreachable`] state what a node found that reaches other
/// targets, [`Error::NoPath`] that no node was found which does. No byte of a request has left.
pub async fn open(
    state: &State,
    target: &Target,
    purpose: Purpose,
) -> Result<RelayedStream, Error> {
    let deadline = Instant::now() + TOTAL_TIMEOUT;
    let own = state.settings.peers.ip();
    for (node, address) in candidates(state) {
        let request = OpenRequest {
            node: state.settings.node.clone(),
            target: target.id.clone(),
            started_ms: target.started_ms,
            purpose,
        };
        let refusal = match timeout_at(deadline, ask(own, address, request)).await {
            Ok(Ok(Ok(stream))) => {
                info!(state.log, "connected to target through another node";
                    "target" => target.id.as_str(), "node" => node.as_str(), "purpose" => %purpose);
                state.metrics.count("relay.opened");
                return Ok(stream);
            }
            Ok(Ok(Err(RelayRefusal::Refused))) => return Err(Error::Refused),
            Ok(Ok(Err(RelayRefusal::Unreachable))) => return Err(Error::Unreachable),
            Ok(Ok(Err(RelayRefusal::NotInService))) => {
                let reason = RelayRefusal::NotInService.to_string();
                return Err(Error::NotSent(reason));
            }
            Ok(Ok(Err(refusal))) => refusal.to_string(),
            Ok(Err(error)) => error.to_string(),
            Err(_) => return Err(Error::NoPath),
        };
        info!(state.log, "node does not relay connections, not asking it for a while";
            "node" => node.as_str(), "reason" => refusal);
        let now = state.clock.now();
        state.relay_choice.borrow_mut().record_unfit(now, &node);
    }
    state.metrics.count("relay.none");
    Err(Error::NoPath)
}

async fn ask(
    own: IpAddr,
    address: SocketAddr,
    request: OpenRequest,
) -> Result<Result<RelayedStream, RelayRefusal>, peer_link::Error> {
    let asked = async {
        let mut link = PeerLink::dial_from(own, address, &Message::Open(request)).await?;
        match link.receive().await? {
            Message::Opened(Ok(())) => Ok(Ok(RelayedStream::new(link.into_socket()))),
            Message::Opened(Err(refusal)) => Ok(Err(refusal)),
            _ => Err(peer_link::Error::Unreadable("not Opened".to_owned())),
        }
    };
    let answered = timeout(OPEN_TIMEOUT, asked).await;
    answered.map_err(|_| peer_link::Error::Timeout)?
}

/// Returns the nodes to ask, with their addresses.
fn candidates(state: &State) -> Vec<(Name, SocketAddr)> {
    let now = state.clock.now();
    let nodes = state.nodes.borrow();
    let settings = &state.settings;
    let others = nodes
        .live()
        .iter()
        .filter(|node| node.name != settings.node && settings.is_in_region(&node.data_centre));
    let candidates = others.map(|node| Candidate {
        node: &node.name,
        is_nearby: node.data_centre == settings.data_centre,
    });
    let choice = state.relay_choice.borrow();
    let chosen = choice.choose(now, candidates, rand::random::<f64>);
    let with_address = |name: &Name| Some((name.clone(), nodes.address(name)?));
    chosen.into_iter().filter_map(with_address).collect()
}
