//! Statuses of whole answers.

use http::StatusCode;

/// Statuses of final responses (RFC 9110, section 15).
const FINAL: std::ops::Range<u16> = 200..600;

/// A status with which no answer can be passed on: it is outside the classes of the protocol, or
/// belongs to an interim response. 101 is one too, as this system asks for no other protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("status {0} is none of a final response")]
pub struct NotFinal(pub StatusCode);

/// Checks that a status may be that of an answer.
///
/// # Errors
///
/// Returns [`NotFinal`] if it may not.
pub fn check_final(status: StatusCode) -> Result<(), NotFinal> {
    match FINAL.contains(&status.as_u16()) {
        true => Ok(()),
        false => Err(NotFinal(status)),
    }
}
