//! What a running request gives its caller.

use filbertpaddle_core::outcome::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::request::FirstResponse;
use crate::request::ResponseItem;

/// Passes a request's items to its caller, who may have gone.
#[derive(Debug)]
pub(crate) struct Output {
    first_response: Option<oneshot::Sender<FirstResponse>>,
    items: Option<mpsc::UnboundedSender<ResponseItem>>,
    text: String,
}

impl Output {
    pub(crate) fn new(first_response: oneshot::Sender<FirstResponse>) -> Self {
        Self {
            first_response: Some(first_response),
            items: None,
            text: String::new(),
        }
    }

    /// Returns all text that was delivered of this generation.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Waits until the caller has gone without an answer.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.first_response {
            Some(first_response) => first_response.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Passes one token on; `start` makes the item that goes before the first.
    pub(crate) fn send_token<F>(&mut self, index: u32, text: String, start: F)
    where
        F: FnOnce() -> ResponseItem,
    {
        if self.items.is_none() {
            self.open(start());
        }
        self.text.push_str(&text);
        self.send(ResponseItem::Token { index, text });
    }

    /// Voids what was delivered, which the caller has not been shown.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
        self.send(ResponseItem::Restart);
    }

    /// Answers with a stored result.
    pub(crate) fn respond(&mut self, response: FirstResponse) {
        if let Some(first_response) = self.first_response.take() {
            first_response.send(response).ok();
        }
    }

    /// Tells the caller how the request ended.
    pub(crate) fn close(mut self, outcome: Outcome) {
        if self.items.is_some() {
            self.send(ResponseItem::End(outcome));
            return;
        }
        self.respond(FirstResponse::Ended(outcome));
    }

    fn open(&mut self, start: ResponseItem) {
        let (items, receiver) = mpsc::unbounded_channel();
        self.items = Some(items);
        self.respond(FirstResponse::Running(receiver));
        self.send(start);
    }

    fn send(&self, item: ResponseItem) {
        if let Some(items) = &self.items {
            items.send(item).ok();
        }
    }
}
