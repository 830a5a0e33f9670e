//! Handle to the pools of targets in this node's data centre, which grant slots.

use std::fmt;
use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::slot::WorkKey;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::grant::WorkSpec;
use tokio::sync::oneshot;
use xtra::Address;

use crate::coordinator;
use crate::coordinator::Coordinator;
pub use crate::coordinator::Dependencies;
use crate::coordinator_messages::Acquire;
use crate::coordinator_messages::Leave;
use crate::coordinator_messages::Release;
use crate::coordinator_messages::WorkSent;
use crate::record;
pub use crate::remote_slots::BorrowedSlot;

/// A request for a slot on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Model or plain service, which names the pool.
    pub model: Name,
    /// What the request is to run, as far as it decides order and target.
    pub want: WorkSpec,
}

/// The right to send one attempt to one target.
#[derive(Debug)]
pub struct Grant {
    /// Name of the target.
    pub target: Name,
    /// Address of the target.
    pub address: SocketAddr,
    /// Fencing number that the target is sent.
    pub fence: u64,
    /// The slot in this data centre; `None` if it is lent or held elsewhere.
    pub slot: Option<Slot>,
    /// The slot, if it is lent by another data centre.
    pub borrowed: Option<BorrowedSlot>,
}

/// A slot that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Pool of the target.
    pub pool: Name,
    /// Identifies the work that holds the slot.
    pub key: WorkKey,
}

impl Grant {
    /// Returns a grant without a slot, for an attempt that is already running and
    /// whose slot is held elsewhere.
    pub fn to_resume(target: Name, address: SocketAddr) -> Self {
        Self {
            target,
            address,
            fence: 0,
            slot: None,
            borrowed: None,
        }
    }
}

/// Refusal of a slot; nothing was sent to any target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub retry_after_ms: Option<Millis>,
}

/// Grants slots on targets of this data centre.
#[derive(Clone)]
pub struct Pools {
    actor: Address<Coordinator>,
}

impl fmt::Debug for Pools {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pools")
    }
}

impl Pools {
    /// Joins the data centre and starts to track its targets.
    pub fn start(dependencies: Dependencies) -> Self {
        Self {
            actor: coordinator::start(dependencies),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if none is granted in time.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Grant, Refusal> {
        let stopped = || Refusal {
            reason: Reason::Draining,
            retry_after_ms: Some(Millis::ZERO),
        };
        let (reply, answer) = oneshot::channel();
        let acquire = Acquire { request, reply };
        if self.actor.send(acquire).await.is_err() {
            return Err(stopped());
        }
        answer.await.unwrap_or_else(|_| Err(stopped()))
    }

    /// Records that the work of a grant has reached its target or never will.
    pub fn mark_sent(&self, grant: &Grant) {
        if let Some(slot) = grant.slot.clone() {
            tokio::spawn(self.actor.send(WorkSent(slot)).detach());
        }
    }

    /// Removes the node from its data centre's record; to be called once the node
    /// holds no work.
    ///
    /// If the platform is unavailable, the relay retires the node when its
    /// heartbeats stop.
    pub async fn leave(&self) {
        if let Ok(leaving) = self.actor.send(Leave).await {
            record::leave(&leaving.platform, &leaving.data_centre, &leaving.id).await;
        }
    }

    /// Releases a slot.
    pub fn release(&self, grant: Grant, ending: Ending, tokens: u32) {
        let Some(slot) = grant.slot else {
            return;
        };
        let release = Release {
            slot,
            end: End { ending, tokens },
        };
        tokio::spawn(self.actor.send(release).detach());
    }
}
