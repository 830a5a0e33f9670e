//! What a running request gives its caller.

use filbertpaddle_core::outcome::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::request::Item;
use crate::request::Started;

/// Passes a request's items to its caller, who may have gone.
#[derive(Debug)]
pub(crate) struct Output {
    answer: Option<oneshot::Sender<Started>>,
    items: Option<mpsc::UnboundedSender<Item>>,
    text: String,
}

impl Output {
    pub(crate) fn new(answer: oneshot::Sender<Started>) -> Self {
        Self {
            answer: Some(answer),
            items: None,
            text: String::new(),
        }
    }

    /// Returns all text that was delivered of this generation.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Waits until the caller has gone without an answer.
    pub(crate) async fn abandoned(&mut self) {
        match &mut self.answer {
            Some(answer) => answer.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Passes one token on; `start` makes the item that goes before the first.
    pub(crate) fn token<F>(&mut self, index: u32, text: String, start: F)
    where
        F: FnOnce() -> Item,
    {
        if self.items.is_none() {
            self.open(start());
        }
        self.text.push_str(&text);
        self.send(Item::Token { index, text });
    }

    /// Voids what was delivered, which the caller has not been shown.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
        self.send(Item::Restart);
    }

    /// Answers with a stored result.
    pub(crate) fn replay(&mut self, started: Started) {
        if let Some(answer) = self.answer.take() {
            answer.send(started).ok();
        }
    }

    /// Tells the caller how the request ended.
    pub(crate) fn close(mut self, outcome: Outcome) {
        if self.items.is_some() {
            self.send(Item::End(outcome));
            return;
        }
        self.replay(Started::Ended(outcome));
    }

    fn open(&mut self, start: Item) {
        let (items, receiver) = mpsc::unbounded_channel();
        self.items = Some(items);
        self.replay(Started::Running(receiver));
        self.send(start);
    }

    fn send(&self, item: Item) {
        if let Some(items) = &self.items {
            items.send(item).ok();
        }
    }
}
