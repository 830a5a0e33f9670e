//! Borrows slots of other data centres for work that this one has no target for,
//! and lends this one's.
//!
//! The lender acquires the slot as its own, so that owners deal with members of
//! their data centre only.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_wire::grant::Denial;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::message::Message;
use filbertpaddle_wire::remote as wire;
use indexmap::IndexMap;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock;
use crate::inbox::Incoming;
use crate::lent_slot;
use crate::lent_slot::BorrowerEvent;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::pools::Grant;
use crate::pools::Pools;
use crate::pools::Refusal;
use crate::pools::SlotRequest;
use crate::slot_message;

/// Maximum wait for a slot of another data centre; shorter than the time after
/// which a lender takes a slot back from an unreachable borrower.
const MAX_WAIT_MS: Millis = Millis::from_secs(8);
/// Time allowed for an answer beyond the wait of the request.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Requests slots of other data centres and lends this data centre's.
#[derive(Clone, Debug)]
pub(crate) struct RemoteSlots {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    own: Peer,
    peers: Peers,
    local: Pools,
    next_number: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Slots that this node has requested or uses, by number.
    requested: IndexMap<u64, RequestState>,
    /// Slots that this node lends, each with the event channel of its task.
    lent: IndexMap<Borrower, mpsc::UnboundedSender<BorrowerEvent>>,
}

#[derive(Debug)]
enum RequestState {
    Waiting(oneshot::Sender<Result<wire::Grant, Denial>>),
    InUse,
}

/// Identifies a lent slot by the node that uses it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Borrower {
    /// Name of the node.
    pub(crate) node: Name,
    /// Incarnation of the node.
    pub(crate) incarnation: u64,
    /// Number that the node gave the slot.
    pub(crate) number: u64,
}

/// A slot lent by a node of another data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BorrowedSlot {
    /// Node that holds the slot.
    pub lender: Name,
    /// Number that this node gave the slot.
    pub number: u64,
    /// Attempt id, chosen by the lender, which holds the slot at its pool's owner.
    pub attempt: Name,
}

impl RemoteSlots {
    /// Starts to handle messages from other data centres.
    pub(crate) fn start(
        own: Peer,
        peers: Peers,
        local: Pools,
        inbox: mpsc::Receiver<Incoming<wire::Message>>,
    ) -> Self {
        let remote = Self {
            shared: Arc::new(Shared {
                own,
                peers,
                local,
                next_number: AtomicU64::new(1),
                state: Mutex::default(),
            }),
        };
        tokio::spawn(receive(remote.clone(), inbox));
        remote
    }

    /// Requests a slot from one node of each other data centre in turn.
    ///
    /// # Errors
    ///
    /// Returns the last [`Refusal`] that is not for lack of a target, if none grants a
    /// slot; without one, returns `refused`, this data centre's own refusal.
    pub(crate) async fn acquire(
        &self,
        request: &SlotRequest,
        refused: Refusal,
    ) -> Result<Grant, Refusal> {
        let mut last_refusal = refused;
        for lender in self.lenders() {
            match self.request_slot(&lender, request).await {
                Ok(grant) => return Ok(grant),
                Err(refusal) if refusal.reason == Reason::NoTarget => {}
                Err(refusal) => last_refusal = refusal,
            }
        }
        Err(last_refusal)
    }

    /// Records that the work has reached its target or never will.
    pub(crate) fn mark_sent(&self, slot: &BorrowedSlot) {
        self.send(&slot.lender, wire::Message::Sent(slot.number));
    }

    /// Releases a slot.
    pub(crate) fn release(&self, slot: &BorrowedSlot, end: End) {
        self.state().requested.swap_remove(&slot.number);
        self.send(&slot.lender, wire::Message::Release(slot.number, end));
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.shared.peers
    }

    pub(crate) fn send(&self, node: &str, message: wire::Message) {
        self.shared.peers.send(node, Message::Remote(message));
    }

    pub(crate) fn remove_lent(&self, borrower: &Borrower) {
        self.state().lent.swap_remove(borrower);
    }

    // Returns one connected node of each other data centre, in random order.
    fn lenders(&self) -> Vec<Peer> {
        let mut peers = self.shared.peers.connected();
        peers.retain(|peer| peer.data_centre != self.shared.own.data_centre);
        peers.shuffle(&mut rand::rng());
        let mut chosen: IndexMap<Name, Peer> = IndexMap::new();
        for peer in peers {
            chosen.entry(peer.data_centre.clone()).or_insert(peer);
        }
        chosen.into_values().collect()
    }

    async fn request_slot(&self, lender: &Peer, request: &SlotRequest) -> Result<Grant, Refusal> {
        let number = self.shared.next_number.fetch_add(1, Ordering::Relaxed);
        let (reply, answer) = oneshot::channel();
        self.state()
            .requested
            .insert(number, RequestState::Waiting(reply));
        // Withdraws the request if the caller disconnects.
        let mut pending = PendingRequest {
            remote: self,
            lender: &lender.name,
            number,
            is_open: true,
        };
        let mut want = request.want.clone();
        want.wait_ms = want.wait_ms.min(MAX_WAIT_MS);
        let answer_timeout = clock::duration(want.wait_ms) + ANSWER_GRACE;
        let requested_at = Instant::now();
        let message = wire::Message::SlotRequest(number, request.model.clone(), Box::new(want));
        self.send(&lender.name, message);
        let answer = tokio::time::timeout(answer_timeout, answer).await;
        if requested_at.elapsed() > answer_timeout {
            // If this node was paused, the lender may have taken the granted slot back.
            return Err(no_answer_refusal());
        }
        let granted = match answer {
            Ok(Ok(Ok(granted))) => granted,
            Ok(Ok(Err(refusal))) => {
                pending.is_open = false;
                self.state().requested.swap_remove(&number);
                return Err(slot_message::to_refusal(refusal));
            }
            Ok(Err(_)) | Err(_) => return Err(no_answer_refusal()),
        };
        let Ok(address) = granted.address.parse() else {
            return Err(no_answer_refusal());
        };
        pending.is_open = false;
        Ok(Grant {
            target: granted.target,
            address,
            fence: granted.fence,
            slot: None,
            borrowed: Some(BorrowedSlot {
                lender: lender.name.clone(),
                number,
                attempt: granted.attempt,
            }),
        })
    }

    fn on_message(&self, from: Peer, message: wire::Message) {
        match message {
            wire::Message::SlotRequest(number, model, want) => {
                self.lend(from, number, SlotRequest { model, want: *want });
            }
            wire::Message::Grant(number, grant) => self.on_answer(number, Ok(grant)),
            wire::Message::Refuse(number, refusal) => self.on_answer(number, Err(refusal)),
            wire::Message::Sent(number) => {
                self.on_borrower_event(&from, number, BorrowerEvent::Sent)
            }
            wire::Message::Release(number, end) => {
                self.on_borrower_event(&from, number, BorrowerEvent::Released(end))
            }
            wire::Message::Check(number) => {
                if !self.state().requested.contains_key(&number) {
                    // A slot that is not recorded here was released or is never used.
                    self.send(&from.name, wire::Message::Release(number, End::UNSENT));
                }
            }
        }
    }

    // A late grant finds no entry; its slot is released after the lender's next check.
    fn on_answer(&self, number: u64, answer: Result<wire::Grant, Denial>) {
        let mut state = self.state();
        let Some(requested) = state.requested.get_mut(&number) else {
            return;
        };
        if let RequestState::Waiting(reply) = std::mem::replace(requested, RequestState::InUse) {
            reply.send(answer).ok();
        }
    }

    fn lend(&self, from: Peer, number: u64, request: SlotRequest) {
        let borrower = Borrower {
            node: from.name,
            incarnation: from.incarnation,
            number,
        };
        let (events, inbox) = mpsc::unbounded_channel();
        self.state().lent.insert(borrower.clone(), events);
        let own = self.shared.own.clone();
        let local = self.shared.local.clone();
        tokio::spawn(lent_slot::run(
            self.clone(),
            local,
            own,
            borrower,
            request,
            inbox,
        ));
    }

    fn on_borrower_event(&self, from: &Peer, number: u64, event: BorrowerEvent) {
        let borrower = Borrower {
            node: from.name.clone(),
            incarnation: from.incarnation,
            number,
        };
        if let Some(events) = self.state().lent.get(&borrower) {
            events.send(event).ok();
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Withdraws a slot request when dropped, unless it was answered.
struct PendingRequest<'a> {
    remote: &'a RemoteSlots,
    lender: &'a Name,
    number: u64,
    is_open: bool,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self.is_open {
            self.remote.state().requested.swap_remove(&self.number);
            let release = wire::Message::Release(self.number, End::UNSENT);
            self.remote.send(self.lender, release);
        }
    }
}

async fn receive(remote: RemoteSlots, mut inbox: mpsc::Receiver<Incoming<wire::Message>>) {
    while let Some(Incoming { peer, message }) = inbox.recv().await {
        remote.on_message(peer, message);
    }
}

fn no_answer_refusal() -> Refusal {
    Refusal {
        reason: Reason::NoTarget,
        retry_after_ms: Some(lent_slot::RETRY_AFTER_MS),
    }
}
