//! Lends one slot to a node of another data centre, from its request to its
//! release.

use std::time::Duration;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_wire::grant::Denial;
use filbertpaddle_wire::grant::End;
use filbertpaddle_wire::remote as wire;
use tokio::sync::mpsc;

use crate::attempt_id;
use crate::peers::Peer;
use crate::pools::Grant;
use crate::pools::Pools;
use crate::pools::SlotRequest;
use crate::remote_slots::Borrower;
use crate::remote_slots::RemoteSlots;

/// Time after which a refused node may request a slot again.
pub(crate) const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Interval between two checks whether the borrower still uses the slot.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);
/// Consecutive checks without a link after which the borrower counts as gone.
const MAX_MISSED_CHECKS: u32 = 3;

/// Message of the borrower about its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BorrowerEvent {
    /// The work has reached its target or never will.
    Sent,
    /// The slot is released, or the request for it is withdrawn.
    Released(End),
}

/// Acquires a slot, lends it and releases it after use.
pub(crate) async fn run(
    remote: RemoteSlots,
    local: Pools,
    own: Peer,
    borrower: Borrower,
    request: SlotRequest,
    mut events: mpsc::UnboundedReceiver<BorrowerEvent>,
) {
    let acquired = tokio::select! {
        acquired = local.acquire(request) => Some(acquired),
        _ = events.recv() => None,
    };
    match acquired {
        Some(Ok(grant)) => lend(&remote, &local, &own, &borrower, grant, events).await,
        Some(Err(refusal)) => {
            let denial = Denial {
                reason: refusal.reason,
                retry_after_ms: refusal.retry_after_ms,
            };
            let message = wire::Message::Refuse(borrower.number, denial);
            remote.send(&borrower.node, message);
        }
        None => {}
    }
    remote.remove_lent(&borrower);
}

async fn lend(
    remote: &RemoteSlots,
    local: &Pools,
    own: &Peer,
    borrower: &Borrower,
    grant: Grant,
    mut events: mpsc::UnboundedReceiver<BorrowerEvent>,
) {
    let lent_grant = wire::Grant {
        target: grant.target.clone(),
        address: grant.address.to_string().into(),
        fence: grant.fence,
        attempt: attempt_name(own, borrower, &grant),
    };
    let message = wire::Message::Grant(borrower.number, lent_grant);
    remote.send(&borrower.node, message);
    let mut check = tokio::time::interval(CHECK_INTERVAL);
    check.tick().await;
    let mut missed_checks = 0;
    let end = loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(BorrowerEvent::Sent) => local.mark_sent(&grant),
                Some(BorrowerEvent::Released(end)) => break end,
                None => break End::UNKNOWN,
            },
            _ = check.tick() => {
                missed_checks = if is_linked(remote, borrower) { 0 } else { missed_checks + 1 };
                if missed_checks >= MAX_MISSED_CHECKS {
                    // The target's load reports show when the work has ended.
                    break End::UNKNOWN;
                }
                let message = wire::Message::Check(borrower.number);
                remote.send(&borrower.node, message);
            }
        }
    };
    local.release(grant, end.ending, end.tokens);
}

// The attempt id starts with this node's prefix, since this node holds the slot.
fn attempt_name(own: &Peer, borrower: &Borrower, grant: &Grant) -> Name {
    let prefix = attempt_id::prefix(&NodeId {
        name: own.name.clone(),
        incarnation: own.incarnation,
    });
    let base = format!("{prefix}-{:x}", borrower.number);
    match &grant.slot {
        Some(slot) => attempt_id::with_slot(&base, &slot.key),
        None => base.into(),
    }
}

fn is_linked(remote: &RemoteSlots, borrower: &Borrower) -> bool {
    let peers = remote.peers().connected();
    peers
        .iter()
        .any(|peer| peer.name == borrower.node && peer.incarnation == borrower.incarnation)
}
