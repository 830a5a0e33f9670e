//! Signed tickets with which callers resume a stream.
//!
//! A ticket contains all that any node needs to resume a generation, so nodes keep no
//! state for callers that may resume.

use std::net::SocketAddr;

use data_encoding::BASE64URL_NOPAD;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::delivery::RestartPolicy;
use filbertpaddle_core::name::Name;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;

/// Validity period of a ticket.
pub const LIFETIME_MS: Millis = Millis::from_secs(3_600);

/// Location and customer of a running generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Customer that may resume.
    pub customer: Name,
    /// Attempt at the target.
    pub attempt: Name,
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// Unix time at which the ticket expires.
    pub expires_unix_ms: Millis,
}

/// Error of a ticket that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ticket is malformed or was not signed with this secret.
    #[error("the ticket is not valid")]
    Invalid,
    /// The ticket has expired.
    #[error("the ticket has expired")]
    Expired,
}

impl Ticket {
    /// Returns the restart policy for a failure of the target; the caller has already received
    /// the tokens so far, so the output does not count as buffered.
    pub fn restart_policy(&self) -> RestartPolicy {
        RestartPolicy {
            idempotent: self.idempotent,
            buffered: false,
        }
    }
}

/// Signs a ticket.
pub fn sign(ticket: &Ticket, secret: &[u8]) -> String {
    let mut body = Vec::new();
    // Writing to memory cannot fail, and verification would reject an empty ticket.
    ciborium::into_writer(ticket, &mut body).unwrap_or_default();
    let digest = mac(secret, &body).finalize().into_bytes();
    let mut bytes = digest.to_vec();
    bytes.extend_from_slice(&body);
    BASE64URL_NOPAD.encode(&bytes)
}

/// Verifies the signature of a ticket in constant time and parses the ticket.
///
/// # Errors
///
/// Returns [`Error::Invalid`] for a ticket that was not signed with `secret`
/// and [`Error::Expired`] for one that has expired.
pub fn verify(text: &str, secret: &[u8], now_unix_ms: Millis) -> Result<Ticket, Error> {
    let bytes = BASE64URL_NOPAD
        .decode(text.as_bytes())
        .map_err(|_| Error::Invalid)?;
    let (digest, body) = bytes
        .split_at_checked(size_of::<[u8; 32]>())
        .ok_or(Error::Invalid)?;
    mac(secret, body)
        .verify_slice(digest)
        .map_err(|_| Error::Invalid)?;
    let ticket: Ticket = ciborium::from_reader(body).map_err(|_| Error::Invalid)?;
    if ticket.expires_unix_ms < now_unix_ms {
        return Err(Error::Expired);
    }
    Ok(ticket)
}

#[expect(clippy::expect_used, reason = "HMAC accepts keys of any length")]
fn mac(secret: &[u8], body: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is valid");
    mac.update(body);
    mac
}
