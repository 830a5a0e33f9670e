//! Frames on a connection between nodes: batches of messages as CBOR.

use crate::message::Message;

/// Largest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a batch or a frame was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the maximum of {max} bytes", max = MAX_FRAME_BYTES)]
    TooLarge(usize),
    /// The messages could not be encoded.
    #[error("cannot encode frame: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// The bytes are not a batch of known messages.
    #[error("cannot decode frame: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
}

/// Encodes a batch of messages.
///
/// # Errors
///
/// Returns [`Error::Encode`] if a message has no CBOR form and
/// [`Error::TooLarge`] if the batch does not fit a frame.
pub fn encode(messages: &[Message]) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(messages.len() * 32);
    ciborium::into_writer(messages, &mut bytes)?;
    check_len(&bytes)?;
    Ok(bytes)
}

/// Decodes a batch of messages.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] or [`Error::Decode`] for bytes that are not a frame.
pub fn decode(bytes: &[u8]) -> Result<Vec<Message>, Error> {
    check_len(bytes)?;
    Ok(ciborium::from_reader(bytes)?)
}

fn check_len(bytes: &[u8]) -> Result<(), Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(())
}
