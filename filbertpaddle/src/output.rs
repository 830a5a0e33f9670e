//! Output of a running request to its caller.

use filbertpaddle_core::outcome::Outcome;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::request::FirstResponse;
use crate::request::ResponseItem;

/// Sends the response of a request to its caller, who may have disconnected.
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

    /// Returns the text that was sent of the current generation.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Waits until the caller disconnects; never returns once the first response was sent.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.first_response {
            Some(first_response) => first_response.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Sends one token; `start` creates the item to send before the first token.
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

    /// Discards the text sent so far, which a caller of a whole answer has not received yet.
    pub(crate) fn restart(&mut self) {
        self.text.clear();
        self.send(ResponseItem::Restart);
    }

    /// Sends the first response, if it has not been sent yet.
    pub(crate) fn respond(&mut self, response: FirstResponse) {
        if let Some(first_response) = self.first_response.take() {
            first_response.send(response).ok();
        }
    }

    /// Sends the outcome of the request.
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
