//! Relays connections to targets for nodes that do not reach these themselves.

use std::net::IpAddr;
use std::time::Duration;

use bytes::Bytes;
use filbertpaddle_forward::target::Target;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use slog::info;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;

use crate::connection_pool;
use crate::peer_link::Error;
use crate::peer_link::PeerLink;
use crate::peer_message::Message;
use crate::state::State;
use crate::target_connection;
use crate::tunnel::MAX_FRAME_BYTES;
use crate::tunnel::OpenRequest;
use crate::tunnel::Purpose;
use crate::tunnel::RelayRefusal;
use crate::tunnel::orderly_end;

/// Maximum number of connections that a node relays at a time: about 16 MB and 512 descriptors.
const MAX_TUNNELS: usize = 256;
/// Time for which the other node may take to close a tunnel that has ended. Until then it may
/// still read what is on its way.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

type Socket = WebSocketStream<TcpStream>;

/// Counts a relayed connection until it ends.
struct TunnelGuard<'a>(&'a State);

impl<'a> TunnelGuard<'a> {
    fn new(state: &'a State) -> Self {
        state.tunnels.set(state.tunnels.get() + 1);
        Self(state)
    }
}

impl Drop for TunnelGuard<'_> {
    fn drop(&mut self) {
        self.0.tunnels.set(self.0.tunnels.get() - 1);
    }
}

/// Opens the connection that a node at `from` asks for, and relays it until it ends.
///
/// # Errors
///
/// Returns an error if the link to the node fails before the connection is open.
pub async fn serve(
    state: &State,
    mut link: PeerLink,
    from: IpAddr,
    request: OpenRequest,
) -> Result<(), Error> {
    let _guard = TunnelGuard::new(state);
    let opened = open(state, from, &request).await;
    let answer = opened.as_ref().map(|_| ()).map_err(|refusal| *refusal);
    info!(state.log, "another node asks for a connection to a target";
        "node" => request.node.as_str(), "target" => request.target.as_str(),
        "purpose" => %request.purpose, "tunnels" => state.tunnels.get(),
        "refusal" => answer.err().map(|refusal| refusal.to_string()));
    state.metrics.count(match answer {
        Ok(()) => "tunnel.opened",
        Err(_) => "tunnel.refused",
    });
    link.send(&Message::Opened(answer)).await?;
    if let Ok(stream) = opened {
        relay(link.into_socket(), stream).await;
    }
    Ok(())
}

async fn open(
    state: &State,
    from: IpAddr,
    request: &OpenRequest,
) -> Result<TcpStream, RelayRefusal> {
    let address = state.nodes.borrow().address(&request.node);
    if address.map(|address| address.ip()) != Some(from) {
        return Err(RelayRefusal::UnknownNode);
    }
    if state.drain.get().is_some() || state.tunnels.get() > MAX_TUNNELS {
        return Err(RelayRefusal::Busy);
    }
    if state.direct_path.borrow().is_cut_off() {
        return Err(RelayRefusal::CutOff);
    }
    let target = find_target(state, request).ok_or(RelayRefusal::NotInService)?;
    let since = state.clock.now();
    let refusal = match target_connection::open_directly(state, &target).await {
        Ok(stream) => return Ok(stream),
        Err(connection_pool::Error::Refused) => RelayRefusal::Refused,
        Err(_) => RelayRefusal::Unreachable,
    };
    // This node may be cut off as well, and not know it yet.
    if target_connection::has_path(state, &target, since).await {
        Err(refusal)
    } else {
        Err(RelayRefusal::CutOff)
    }
}

/// Returns the target as this node knows it, if it may get such a connection.
fn find_target(state: &State, request: &OpenRequest) -> Option<Target> {
    let directory = state.directory.borrow();
    let listed = directory.target(&request.target)?;
    let is_same = listed.started_ms == request.started_ms;
    let is_in_service = !listed.is_draining && !directory.is_out(&listed.data_centre);
    let is_allowed = is_same && (is_in_service || request.purpose == Purpose::Call);
    is_allowed.then(|| listed.clone())
}

/// Passes bytes on until either end closes.
async fn relay(socket: Socket, mut stream: TcpStream) {
    let (mut to_node, mut from_node) = socket.split();
    let (mut from_target, mut to_target) = stream.split();
    let is_orderly = tokio::select! {
        () = forward(&mut from_node, &mut to_target) => false,
        is_orderly = backward(&mut from_target, &mut to_node) => is_orderly,
    };
    if !is_orderly {
        return;
    }
    // A link that is closed with unread bytes is reset, and what is on its way is lost.
    let drained = async { while let Some(Ok(_)) = from_node.next().await {} };
    timeout(CLOSE_TIMEOUT, drained).await.ok();
}

/// Passes the node's bytes on to the target until the node closes the tunnel or the target fails.
async fn forward(from_node: &mut SplitStream<Socket>, to_target: &mut WriteHalf<'_>) {
    while let Some(Ok(Frame::Binary(bytes))) = from_node.next().await {
        if to_target.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Passes the target's bytes on to the node until the connection to the target ends; returns
/// whether the target closed it in order. Any other end closes the link without a close frame.
async fn backward(from_target: &mut ReadHalf<'_>, to_node: &mut SplitSink<Socket, Frame>) -> bool {
    let mut buffer = vec![0; MAX_FRAME_BYTES];
    loop {
        let length = match from_target.read(&mut buffer).await {
            Ok(0) => return to_node.send(orderly_end()).await.is_ok(),
            Ok(length) => length,
            Err(_) => return false,
        };
        let bytes = Bytes::copy_from_slice(&buffer[..length]);
        if to_node.send(Frame::Binary(bytes)).await.is_err() {
            return false;
        }
    }
}
