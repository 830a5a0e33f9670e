//! Frames on a connection between nodes: batches of messages as CBOR.

use ciborium::Value;

use crate::message::Message;
use crate::name_table;
use crate::name_table::NameTable;

/// Largest frame accepted from a peer, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a batch or a frame was rejected.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the maximum of {max} bytes", max = MAX_FRAME_BYTES)]
    TooLarge(usize),
    /// A message has no CBOR form, or a value is no message.
    #[error("cannot convert a message: {0}")]
    Message(#[from] ciborium::value::Error),
    /// The messages could not be encoded.
    #[error("cannot encode frame: {0}")]
    Encode(#[from] ciborium::ser::Error<std::io::Error>),
    /// The bytes are no batch.
    #[error("cannot decode frame: {0}")]
    Decode(#[from] ciborium::de::Error<std::io::Error>),
    /// A reference to a name cannot be resolved.
    #[error("cannot decode frame: {0}")]
    Name(#[from] name_table::Error),
}

/// Encodes the frames of one connection, in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct Encoder {
    names: NameTable,
}

/// Decodes the frames of one connection, in the order in which they arrive.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    names: NameTable,
}

impl Encoder {
    /// Creates the encoder of a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Encodes a batch of messages.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Message`] or [`Error::Encode`] if a message has no CBOR form and
    /// [`Error::TooLarge`] if the batch does not fit a frame. The batch must then not be sent.
    pub fn encode(&mut self, messages: &[Message]) -> Result<Vec<u8>, Error> {
        let known = self.names.len();
        let encoded = self.encode_batch(messages);
        if encoded.is_err() {
            self.names.truncate(known);
        }
        encoded
    }

    fn encode_batch(&mut self, messages: &[Message]) -> Result<Vec<u8>, Error> {
        let values: Result<Vec<_>, _> = messages.iter().map(|m| self.value_of(m)).collect();
        let mut bytes = Vec::with_capacity(messages.len() * 32);
        ciborium::into_writer(&Value::Array(values?), &mut bytes)?;
        check_len(&bytes)?;
        Ok(bytes)
    }

    /// Converts a message; names are numbered in slot messages only, which repeat them for
    /// each request.
    fn value_of(&mut self, message: &Message) -> Result<Value, Error> {
        let value = Value::serialized(message)?;
        Ok(match message {
            Message::Grant(_) => self.names.compress(value),
            _ => value,
        })
    }
}

impl Decoder {
    /// Creates the decoder of a new connection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes a batch of messages.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not the connection's next frame.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Vec<Message>, Error> {
        check_len(bytes)?;
        let batch: Value = ciborium::from_reader(bytes)?;
        Ok(self.names.expand(batch)?.deserialized()?)
    }
}

fn check_len(bytes: &[u8]) -> Result<(), Error> {
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(bytes.len()));
    }
    Ok(())
}
