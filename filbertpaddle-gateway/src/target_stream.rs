//! The events of one run of a generation at one target.

use std::collections::VecDeque;

use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::event_stream::EventSplitter;
use filbertpaddle_forward::target::Target;

use crate::connection_pool::Body;

/// The stream of one target.
#[derive(Debug)]
pub struct TargetStream {
    /// The target.
    pub target: Target,
    body: Body,
    splitter: EventSplitter,
    ready: VecDeque<Event>,
}

/// What came of a stream.
#[derive(Debug)]
pub enum StreamItem {
    /// A whole event.
    Event(Event),
    /// The stream ended as it should.
    End,
    /// The stream broke off.
    Broken(String),
}

impl TargetStream {
    /// Reads the events of `body`.
    pub fn new(target: Target, body: Body) -> Self {
        Self {
            target,
            body,
            splitter: EventSplitter::new(),
            ready: VecDeque::new(),
        }
    }

    /// Waits for the next event or the end. May be dropped and called again.
    pub async fn next(&mut self) -> StreamItem {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return StreamItem::Event(event);
            }
            match self.body.next().await {
                Ok(Some(bytes)) => {
                    if let Err(error) = self.splitter.push(&bytes) {
                        return StreamItem::Broken(error.to_string());
                    }
                    while let Some(event) = self.splitter.next_event() {
                        self.ready.push_back(event);
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    return StreamItem::Broken("ended within an event".to_owned());
                }
                Ok(None) => return StreamItem::End,
                Err(error) => return StreamItem::Broken(error.to_string()),
            }
        }
    }

    /// Puts back the event that was read last.
    pub fn put_back(&mut self, event: Event) {
        self.ready.push_front(event);
    }

    /// Closes the connection, which ends the run at the target.
    pub fn close(self) {
        drop(self.body);
    }
}
