//! Hands what peers send to the part it is for.

use filbertpaddle_wire::message::Message;
use tokio::sync::mpsc;

use crate::peers::Received;

/// Hands messages on until all links are gone.
pub async fn dispatch(mut received: mpsc::Receiver<Received>) {
    while let Some(received) = received.recv().await {
        match received.message {
            Message::Member(_) | Message::Grant(_) | Message::Config(_) | Message::Claim(_) => {}
        }
    }
}
