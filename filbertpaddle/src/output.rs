//! Output of a running request to its caller.

use filbertpaddle_core::outcome::Outcome;
use filbertpaddle_http::buffer_limit::BufferedBytes;
use filbertpaddle_http::buffer_limit::ExceededLimit;
use tokio::sync::oneshot;

use crate::item_queue::ItemSender;
use crate::item_queue::item_queue;
use crate::request::FirstResponse;
use crate::request::ResponseItem;

/// Maximum size of the text of an answer.
const MAX_TEXT_BYTES: usize = 8 << 20;
/// Sizes of a text that count if it is kept: what the caller has not read, and the whole text in a
/// buffer that grows by doubling.
const KEPT_TEXT_FACTOR: usize = 3;

/// Sends the response of a request to its caller, who may have disconnected.
#[derive(Debug)]
pub(crate) struct Output {
    first_response: Option<oneshot::Sender<FirstResponse>>,
    items: Option<ItemSender>,
    /// The text, if it is kept to be replayed.
    text: Option<String>,
    /// Counts the text towards the limit of the node.
    buffered: BufferedBytes,
    /// Size of the text that was received.
    counted_bytes: usize,
    /// Whether the caller misses a part of the answer.
    is_cut_off: bool,
}

impl Output {
    pub(crate) fn new(
        first_response: oneshot::Sender<FirstResponse>,
        buffered: BufferedBytes,
        keeps_text: bool,
    ) -> Self {
        Self {
            first_response: Some(first_response),
            items: None,
            text: keeps_text.then(String::new),
            buffered,
            counted_bytes: 0,
            is_cut_off: false,
        }
    }

    /// Returns the text that was sent of the current generation, if it is kept.
    pub(crate) fn text(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }

    /// Waits until the caller disconnects; never returns once the first response was sent.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.first_response {
            Some(first_response) => first_response.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Counts text that has been received towards the limits on what the node holds.
    ///
    /// # Errors
    ///
    /// Returns [`ExceededLimit`] if the answer has become too large, or has to be given up for others.
    pub(crate) fn count(&mut self, text: &str) -> Result<(), ExceededLimit> {
        self.counted_bytes += text.len();
        if self.counted_bytes > MAX_TEXT_BYTES {
            return Err(ExceededLimit::Body);
        }
        let factor = if self.text.is_some() {
            KEPT_TEXT_FACTOR
        } else {
            1
        };
        self.buffered.set(self.counted_bytes * factor)
    }

    /// Sends one token; `start` creates the item to send before the first token.
    pub(crate) fn send_token<F>(&mut self, index: u32, text: String, start: F)
    where
        F: FnOnce() -> ResponseItem,
    {
        if self.items.is_none() {
            self.open(start());
        }
        if let Some(kept) = &mut self.text {
            kept.push_str(&text);
        }
        self.send(ResponseItem::Token { index, text });
    }

    /// Gives the answer up: drops its text, and what the caller has not read. A stream of which
    /// something was dropped ends without an outcome, as the outcome counts what was delivered.
    pub(crate) fn give_up(&mut self) {
        self.text = None;
        if self.items.as_ref().is_some_and(ItemSender::discard) {
            self.is_cut_off = true;
        }
    }

    /// Waits until the answer has to be given up for others. Cancel-safe.
    pub(crate) async fn evicted(&self) -> ExceededLimit {
        self.buffered.evicted().await
    }

    /// Discards the text sent so far, which a caller of a whole answer has not received yet.
    pub(crate) fn restart(&mut self) {
        if let Some(kept) = &mut self.text {
            kept.clear();
        }
        // An answer that has been given up ends with its next token.
        self.counted_bytes = 0;
        self.buffered.set(0).ok();
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
        if self.is_cut_off {
            return;
        }
        if self.items.is_some() {
            self.send(ResponseItem::End(outcome));
            return;
        }
        self.respond(FirstResponse::Ended(outcome));
    }

    fn open(&mut self, start: ResponseItem) {
        let (items, receiver) = item_queue();
        self.items = Some(items);
        self.respond(FirstResponse::Running(receiver));
        self.send(start);
    }

    fn send(&self, item: ResponseItem) {
        if let Some(items) = &self.items {
            items.send(item);
        }
    }
}
