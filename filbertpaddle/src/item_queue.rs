//! Queue of the items of a response that its caller has not read yet, which can be discarded.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use futures_util::Stream;

use crate::request::ResponseItem;

/// Receives the items of one response.
#[derive(Debug)]
pub struct ItemReceiver(Arc<Mutex<Queue>>);

/// Sends the items of one response; dropping it ends the response.
#[derive(Debug)]
pub(crate) struct ItemSender(Arc<Mutex<Queue>>);

#[derive(Debug, Default)]
struct Queue {
    items: VecDeque<ResponseItem>,
    is_closed: bool,
    /// Whether the receiver is gone, so that nothing is queued any more.
    is_unread: bool,
    reader: Option<Waker>,
}

/// Creates an empty queue.
pub(crate) fn item_queue() -> (ItemSender, ItemReceiver) {
    let queue = Arc::<Mutex<Queue>>::default();
    (ItemSender(Arc::clone(&queue)), ItemReceiver(queue))
}

impl ItemSender {
    /// Adds an item.
    pub(crate) fn send(&self, item: ResponseItem) {
        let mut queue = lock(&self.0);
        if !queue.is_unread {
            queue.items.push_back(item);
        }
        queue.wake_reader();
    }

    /// Drops what was not read; returns whether there was something.
    pub(crate) fn discard(&self) -> bool {
        let unread = std::mem::take(&mut lock(&self.0).items);
        !unread.is_empty()
    }
}

impl Drop for ItemSender {
    fn drop(&mut self) {
        let mut queue = lock(&self.0);
        queue.is_closed = true;
        queue.wake_reader();
    }
}

impl Queue {
    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}

impl Stream for ItemReceiver {
    type Item = ResponseItem;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<ResponseItem>> {
        let mut queue = lock(&self.0);
        match queue.items.pop_front() {
            Some(item) => Poll::Ready(Some(item)),
            None if queue.is_closed => Poll::Ready(None),
            None => {
                queue.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for ItemReceiver {
    fn drop(&mut self) {
        let mut queue = lock(&self.0);
        queue.is_unread = true;
        queue.items.clear();
    }
}

fn lock(queue: &Mutex<Queue>) -> MutexGuard<'_, Queue> {
    queue.lock().unwrap_or_else(PoisonError::into_inner)
}
