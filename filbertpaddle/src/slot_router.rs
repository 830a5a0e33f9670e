//! Acquires slots in this data centre or, if it has no target for the request, in
//! another one.

use filbertpaddle_core::outcome::Reason;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_wire::grant::End;

use crate::pools::Grant;
use crate::pools::Pools;
use crate::pools::Refusal;
use crate::pools::SlotRequest;
use crate::remote_slots::RemoteSlots;

/// Acquires and releases slots in this and in other data centres.
#[derive(Clone, Debug)]
pub struct SlotRouter {
    local: Pools,
    remote: RemoteSlots,
}

impl SlotRouter {
    pub(crate) fn new(local: Pools, remote: RemoteSlots) -> Self {
        Self { local, remote }
    }

    /// Removes the node from its data centre's record; to be called once the node
    /// holds no work.
    pub async fn leave(&self) {
        self.local.leave().await;
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if none is granted in time.
    pub async fn acquire(&self, request: SlotRequest) -> Result<Grant, Refusal> {
        match self.local.acquire(request.clone()).await {
            Err(refusal) if refusal.reason == Reason::NoTarget => {
                self.remote.acquire(&request, refusal).await
            }
            answer => answer,
        }
    }

    /// Records that the work of a grant has reached its target or never will.
    pub fn mark_sent(&self, grant: &Grant) {
        match &grant.borrowed {
            Some(borrowed) => self.remote.mark_sent(borrowed),
            None => self.local.mark_sent(grant),
        }
    }

    /// Releases a slot.
    pub fn release(&self, grant: Grant, ending: Ending, tokens: u32) {
        match &grant.borrowed {
            Some(borrowed) => self.remote.release(borrowed, End { ending, tokens }),
            None => self.local.release(grant, ending, tokens),
        }
    }
}
