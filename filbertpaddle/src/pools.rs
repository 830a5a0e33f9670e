//! Slots on targets.

use std::fmt;
use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::slot::WorkKey;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::grant::Want;
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

/// Asks for a slot on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Model or plain service that is wanted.
    pub model: Name,
    /// What is to be run there.
    pub want: Want,
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
    /// The slot; none for an attempt that holds its slot elsewhere.
    pub slot: Option<Slot>,
    /// The slot, if another data centre lends it.
    pub borrowed: Option<BorrowedSlot>,
}

/// A slot that this node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Pool of the target.
    pub pool: Name,
    /// Which work.
    pub key: WorkKey,
}

impl Grant {
    /// Names the target of an attempt that runs already and holds its slot elsewhere.
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

/// Why no slot was given; nothing was sent to any target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after_ms: Option<Millis>,
}

/// Gives out slots.
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
    /// Joins the data centre and starts to follow its targets.
    pub fn start(dependencies: Dependencies) -> Self {
        Self {
            actor: coordinator::start(dependencies),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if none is given in time.
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

    /// Notes that the work of a grant has reached its target or never will.
    pub fn mark_sent(&self, grant: &Grant) {
        if let Some(slot) = grant.slot.clone() {
            tokio::spawn(self.actor.send(WorkSent(slot)).detach());
        }
    }

    /// Takes the node out of its data centre's record, once it holds no work.
    ///
    /// If the platform is out, the others find that the node is silent.
    pub async fn leave(&self) {
        if let Ok(leaving) = self.actor.send(Leave).await {
            record::leave(&leaving.platform, &leaving.data_centre, &leaving.id).await;
        }
    }

    /// Gives a slot back.
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
