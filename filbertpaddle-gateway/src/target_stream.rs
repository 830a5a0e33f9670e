//! The stream of events that one target sends for a generation.

use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::event_stream::EventSplitter;
use filbertpaddle_forward::target::Target;
use http::HeaderMap;

use crate::response_body::Body;

/// Reason why a response without a length is not whole.
pub const CLOSED_EARLY: &str = "connection closed before any content of the response";
/// The same where its target has ended too, or cannot be reached any more.
pub const TARGET_ENDED: &str = "connection closed by a target that does not go on";

/// An event stream from one target.
#[derive(Debug)]
pub struct TargetStream {
    /// Target that sends the stream.
    pub target: Target,
    body: Body,
    is_unframed: bool,
    splitter: EventSplitter,
    /// The last event, if it was put back.
    put_back: Option<Event>,
}

/// Next item of a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// A complete event.
    Event(Event),
    /// The stream ended after a complete event.
    End,
    /// The stream broke off.
    Broken(String),
    /// The target sends what is no event, and may go on.
    Faulty(String),
}

impl TargetStream {
    /// Creates a stream that reads the events of `body`, the body of a response with `headers`.
    pub fn new(target: Target, body: Body, headers: &HeaderMap) -> Self {
        Self {
            target,
            is_unframed: body.is_unframed(headers),
            body,
            splitter: EventSplitter::new(),
            put_back: None,
        }
    }

    /// Lets the stream go on with that of another run, as events of one stream.
    pub fn for_further_run(self) -> Self {
        Self {
            splitter: EventSplitter::for_further_run(),
            ..self
        }
    }

    /// Waits for the next event or the end. Cancel-safe.
    pub async fn next(&mut self) -> StreamItem {
        if let Some(event) = self.put_back.take() {
            return StreamItem::Event(event);
        }
        loop {
            let event = self.splitter.next_event();
            let buffered = self.body.record_buffered(self.splitter.buffered_bytes());
            if let Some(event) = event {
                return StreamItem::Event(event);
            }
            if let Err(error) = buffered {
                return StreamItem::Faulty(error.to_string());
            }
            match self.body.next().await {
                Ok(Some(bytes)) => {
                    if let Err(error) = self.splitter.push(&bytes) {
                        return StreamItem::Faulty(error.to_string());
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    return StreamItem::Broken("stream ended within an event".to_owned());
                }
                Ok(None) => {
                    let rest = self.splitter.take_blank_lines();
                    return rest.map_or(StreamItem::End, StreamItem::Event);
                }
                Err(error) => return StreamItem::Broken(error.to_string()),
            }
        }
    }

    /// Waits until the stream has to be given up for others. Cancel-safe.
    pub async fn evicted(&self) {
        self.body.evicted().await;
    }

    /// Returns whether this node gives the stream up for others.
    pub fn is_evicted(&self) -> bool {
        self.body.is_evicted()
    }

    /// Returns whether another node relays its connection.
    pub fn is_relayed(&self) -> bool {
        self.body.is_relayed()
    }

    /// Returns whether it has neither a length nor chunks, so that it ends with its connection.
    pub fn is_unframed(&self) -> bool {
        self.is_unframed
    }

    /// Puts back the last event, which the next call returns again.
    pub fn put_back(&mut self, event: Event) {
        self.put_back = Some(event);
    }

    /// Closes the connection. Most targets, but not all, stop the generation upon that.
    pub fn close(self) {
        drop(self.body);
    }
}
