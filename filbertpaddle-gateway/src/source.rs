//! The events of one run of a generation at one target.

use std::collections::VecDeque;

use filbertpaddle_forward::event_stream::Event;
use filbertpaddle_forward::event_stream::EventSplitter;
use filbertpaddle_forward::target::Target;

use crate::links::Body;

/// The stream of one target.
#[derive(Debug)]
pub struct Source {
    /// The target.
    pub target: Target,
    body: Body,
    splitter: EventSplitter,
    ready: VecDeque<Event>,
}

/// What came of a stream.
#[derive(Debug)]
pub enum Piece {
    /// A whole event.
    Event(Event),
    /// The stream ended as it should.
    End,
    /// The stream broke off.
    Broken(String),
}

impl Source {
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
    pub async fn next(&mut self) -> Piece {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Piece::Event(event);
            }
            match self.body.next().await {
                Ok(Some(bytes)) => {
                    if let Err(error) = self.splitter.push(&bytes) {
                        return Piece::Broken(error.to_string());
                    }
                    while let Some(event) = self.splitter.next_event() {
                        self.ready.push_back(event);
                    }
                }
                Ok(None) if self.splitter.has_partial_event() => {
                    return Piece::Broken("ended within an event".to_owned());
                }
                Ok(None) => return Piece::End,
                Err(error) => return Piece::Broken(error.to_string()),
            }
        }
    }

    /// Puts back the event that was read last.
    pub fn unread(&mut self, event: Event) {
        self.ready.push_front(event);
    }

    /// Closes the connection, which ends the run at the target.
    pub fn close(self) {
        drop(self.body);
    }
}
