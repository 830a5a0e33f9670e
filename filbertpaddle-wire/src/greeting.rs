//! First message on a connection between nodes: identifies and authenticates the sender.

use filbertpaddle_core::name::Name;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

/// Version of the protocol between nodes.
pub const PROTOCOL_VERSION: u32 = 3;

/// Identity of a node, authenticated with the shared peer secret.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Protocol version.
    pub version: u32,
    /// Name of the node.
    pub node: Name,
    /// Distinguishes successive processes of a node with the same name.
    pub incarnation: u64,
    /// Data centre of the node.
    pub data_centre: Name,
    /// Address on which the node accepts connections from peers.
    pub address: Name,
    /// Random number chosen by the other side, returned to prevent replay.
    pub challenge: Vec<u8>,
    /// Random number that the other side's greeting must return as its
    /// challenge; empty from the connecting side, which sends its greeting last.
    pub offer: Vec<u8>,
    /// HMAC over all other fields.
    pub proof: Vec<u8>,
}

impl Greeting {
    /// Sets the proof, computed with the peer secret.
    pub fn sign(mut self, secret: &[u8]) -> Self {
        self.proof = self.mac(secret).finalize().into_bytes().to_vec();
        self
    }

    /// Returns whether the proof was computed with the peer secret; compares in constant time.
    pub fn verify(&self, secret: &[u8]) -> bool {
        self.mac(secret).verify_slice(&self.proof).is_ok()
    }

    #[expect(clippy::expect_used, reason = "HMAC accepts keys of any length")]
    fn mac(&self, secret: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is valid");
        mac.update(&self.version.to_be_bytes());
        mac.update(&self.incarnation.to_be_bytes());
        for field in [&self.node, &self.data_centre, &self.address] {
            mac.update(&(field.len() as u64).to_be_bytes());
            mac.update(field.as_bytes());
        }
        for number in [&self.challenge, &self.offer] {
            mac.update(&(number.len() as u64).to_be_bytes());
            mac.update(number);
        }
        mac
    }
}
