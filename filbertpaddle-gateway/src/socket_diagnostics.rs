//! What the kernel knows about the sending side of a TCP connection, from its socket diagnostics.

use std::io;
use std::io::Read;
use std::net::IpAddr;
use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::peer_silence::SendState;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;

/// `AF_NETLINK` and `NETLINK_SOCK_DIAG`.
const NETLINK_DOMAIN: i32 = 16;
const DIAGNOSTICS_PROTOCOL: i32 = 4;
/// Type of requests for one socket, and of their answers.
const BY_FAMILY: u16 = 20;
const REQUEST_FLAG: u16 = 1;
const TCP: u8 = 6;
const IPV4_FAMILY: u8 = 2;
const IPV6_FAMILY: u8 = 10;
/// Attribute with the `tcp_info` of the socket.
const INFO_ATTRIBUTE: u16 = 2;
const INFO_FLAG: u8 = 1 << (INFO_ATTRIBUTE - 1);
const REQUEST_BYTES: u32 = 72;
/// Offsets in an answer.
const TYPE_AT: usize = 4;
const PORTS_AT: usize = 20;
const RETRANSMISSIONS_AT: usize = 19;
const WRITE_QUEUE_AT: usize = 76;
const ATTRIBUTES_AT: usize = 88;
/// Offset of the time since the last acknowledgement in `tcp_info`.
const LAST_ACK_AT: usize = 56;
const ANSWER_BYTES: usize = 4_096;

/// Access to the kernel's socket diagnostics.
#[derive(Debug)]
pub struct SocketDiagnostics {
    socket: Socket,
}

impl SocketDiagnostics {
    /// Opens the diagnostics.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel does not offer them.
    pub fn open() -> io::Result<Self> {
        let protocol = Protocol::from(DIAGNOSTICS_PROTOCOL);
        let socket = Socket::new(Domain::from(NETLINK_DOMAIN), Type::DGRAM, Some(protocol))?;
        // The kernel answers before the request returns.
        socket.set_nonblocking(true)?;
        Ok(Self { socket })
    }

    /// Returns the state of the connection from `own` to `peer`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such connection or the answer cannot be decoded.
    pub fn send_state(&self, own: SocketAddr, peer: SocketAddr) -> io::Result<SendState> {
        self.socket.send(&encode(own, peer))?;
        let mut buffer = [0; ANSWER_BYTES];
        loop {
            // Fails once no answer is left.
            let length = (&self.socket).read(&mut buffer)?;
            let answer = buffer.get(..length).unwrap_or_default();
            if is_about(answer, own, peer) {
                let state = decode(answer);
                return state.ok_or_else(|| io::Error::other("invalid socket diagnostics"));
            }
        }
    }
}

fn encode(own: SocketAddr, peer: SocketAddr) -> Vec<u8> {
    let family = if own.is_ipv4() {
        IPV4_FAMILY
    } else {
        IPV6_FAMILY
    };
    let mut request = Vec::with_capacity(REQUEST_BYTES as usize);
    request.extend(REQUEST_BYTES.to_ne_bytes());
    request.extend(BY_FAMILY.to_ne_bytes());
    request.extend(REQUEST_FLAG.to_ne_bytes());
    // Sequence number and sender, which the kernel sets.
    request.extend([0; 8]);
    request.extend([family, TCP, INFO_FLAG, 0]);
    // Any state.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(own.port().to_be_bytes());
    request.extend(peer.port().to_be_bytes());
    request.extend(padded(own.ip()));
    request.extend(padded(peer.ip()));
    // Any interface.
    request.extend(0_u32.to_ne_bytes());
    // No cookie.
    request.extend([u8::MAX; 8]);
    request
}

fn padded(address: IpAddr) -> [u8; 16] {
    match address {
        IpAddr::V6(address) => address.octets(),
        IpAddr::V4(address) => {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&address.octets());
            bytes
        }
    }
}

/// Returns whether an answer describes a connection. One to an earlier request may have been left,
/// or the kernel does not know the connection.
fn is_about(answer: &[u8], own: SocketAddr, peer: SocketAddr) -> bool {
    let ports = [own.port().to_be_bytes(), peer.port().to_be_bytes()].concat();
    read_u16(answer, TYPE_AT) == Some(BY_FAMILY)
        && answer.get(PORTS_AT..PORTS_AT + ports.len()) == Some(&ports)
}

fn decode(answer: &[u8]) -> Option<SendState> {
    let info = attribute(answer.get(ATTRIBUTES_AT..)?, INFO_ATTRIBUTE)?;
    Some(SendState {
        queued_bytes: read_u32(answer, WRITE_QUEUE_AT)?,
        unanswered: u32::from(*answer.get(RETRANSMISSIONS_AT)?),
        acknowledged_ago_ms: Millis(read_u32(info, LAST_ACK_AT)?.into()),
    })
}

/// Returns the value of the attribute with a number.
fn attribute(mut attributes: &[u8], number: u16) -> Option<&[u8]> {
    loop {
        let length = usize::from(read_u16(attributes, 0)?);
        if read_u16(attributes, 2)? == number {
            return attributes.get(4..length);
        }
        attributes = attributes.get(length.max(4).next_multiple_of(4)..)?;
    }
}

fn read_u16(bytes: &[u8], at: usize) -> Option<u16> {
    let bytes = bytes.get(at..at + 2)?;
    Some(u16::from_ne_bytes(bytes.try_into().ok()?))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    let bytes = bytes.get(at..at + 4)?;
    Some(u32::from_ne_bytes(bytes.try_into().ok()?))
}
