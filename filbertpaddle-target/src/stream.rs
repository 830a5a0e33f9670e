//! Token streams of generations.

use std::fmt;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;
use filbertpaddle_core::name::Name;
use filbertpaddle_http::client::Response;
use tokio::time::Instant;

use crate::error::Error;
use crate::error::UnknownOutcome;
use crate::protocol::EndCause;
use crate::protocol::Event;
use crate::protocol::EventBody;

/// Maximum length of a line, which limits the memory that a faulty target can use.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Item of a token stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The next token.
    Token {
        /// Position of the token, from zero.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The generation has ended; nothing follows.
    End {
        /// Total number of tokens.
        tokens: u32,
        /// Why it ended.
        cause: EndCause,
    },
    /// A line of another attempt, which the receiver must discard.
    OtherAttempt {
        /// Attempt that the line belongs to.
        attempt: Name,
    },
    /// A token that was received before, which the receiver must discard.
    Repeated {
        /// Position of the token.
        index: u32,
    },
}

/// Token stream of one attempt, in the order of the tokens.
pub struct Tokens {
    response: Response,
    attempt: Name,
    next_index: u32,
    buffer: BytesMut,
    idle_timeout: Duration,
    /// Time of the last token, or of the start of the stream.
    last_token: Instant,
    ended: bool,
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tokens")
            .field("attempt", &self.attempt)
            .field("next_index", &self.next_index)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

impl Tokens {
    pub(crate) fn new(
        response: Response,
        attempt: Name,
        from: u32,
        idle_timeout: Duration,
    ) -> Self {
        Self {
            response,
            attempt,
            next_index: from,
            buffer: BytesMut::new(),
            idle_timeout,
            last_token: Instant::now(),
            ended: false,
        }
    }

    /// Returns the index of the next token.
    pub const fn next_index(&self) -> u32 {
        self.next_index
    }

    /// Waits for the next item; returns `None` once the generation has ended.
    ///
    /// Cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is lost, no token arrives within the time limit, a
    /// token is missing or a line is malformed. The attempt can then be resumed.
    pub async fn next(&mut self) -> Result<Option<Received>, Error> {
        if self.ended {
            return Ok(None);
        }
        let event = self.read_event().await?;
        self.accept(event).map(Some)
    }

    fn accept(&mut self, event: Event) -> Result<Received, Error> {
        if event.attempt != self.attempt {
            let attempt = event.attempt;
            return Ok(Received::OtherAttempt { attempt });
        }
        let index = event.index;
        if index > self.next_index {
            let expected = self.next_index;
            let gap = UnknownOutcome::MissingTokens {
                expected,
                got: index,
            };
            return Err(Error::Unknown(gap));
        }
        match event.body {
            EventBody::Token { .. } if index < self.next_index => Ok(Received::Repeated { index }),
            EventBody::Token { text } => {
                self.next_index += 1;
                self.last_token = Instant::now();
                Ok(Received::Token { index, text })
            }
            EventBody::End { .. } if index < self.next_index => Err(Error::Unknown(
                UnknownOutcome::Malformed("end before the last token".to_owned()),
            )),
            EventBody::End { cause } => {
                self.ended = true;
                let tokens = index;
                Ok(Received::End { tokens, cause })
            }
        }
    }

    async fn read_event(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                return serde_json::from_slice(&line).map_err(|error| malformed(&error));
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                let text = format!("line longer than {MAX_LINE_BYTES} bytes");
                return Err(Error::Unknown(UnknownOutcome::Malformed(text)));
            }
            self.read_chunk().await?;
        }
    }

    async fn read_chunk(&mut self) -> Result<(), Error> {
        // Bytes that complete no token do not show that the target goes on.
        let due = self.last_token + self.idle_timeout;
        let chunk = tokio::time::timeout_at(due, self.response.chunk()).await;
        let chunk = chunk.map_err(|_| Error::Unknown(UnknownOutcome::Timeout))??;
        match chunk {
            Some(chunk) => self.buffer.extend_from_slice(&chunk),
            None => {
                return Err(Error::Unknown(UnknownOutcome::ConnectionLost(
                    "stream closed before the generation ended".to_owned(),
                )));
            }
        }
        Ok(())
    }
}

fn malformed(error: &serde_json::Error) -> Error {
    Error::Unknown(UnknownOutcome::Malformed(error.to_string()))
}
