//! Conversions between the messages about slots and the core's types.

use filbertpaddle_core::name::Name;
use filbertpaddle_core::owner;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::scheduler;
use filbertpaddle_core::slot;
use filbertpaddle_core::slot::HeldWork;
use filbertpaddle_core::slot::WorkKey;
use filbertpaddle_wire::grant;
use filbertpaddle_wire::grant::Denial;

use crate::pools::Refusal;

pub(crate) fn to_refusal(denial: Denial) -> Refusal {
    Refusal {
        reason: denial.reason,
        retry_after_ms: denial.retry_after_ms,
    }
}

pub(crate) fn to_denial(refusal: &scheduler::Refusal) -> Denial {
    Denial {
        reason: refusal.reason,
        retry_after_ms: refusal.retry_after_ms,
    }
}

pub(crate) fn to_held_work(target: &Name, key: &WorkKey) -> grant::HeldWork {
    grant::HeldWork {
        target: target.clone(),
        epoch: key.epoch,
        source: key.source,
        number: key.number,
    }
}

pub(crate) fn to_released_slot(key: &WorkKey) -> grant::ReleasedSlot {
    grant::ReleasedSlot {
        epoch: key.epoch,
        source: key.source,
        number: key.number,
    }
}

pub(crate) fn key_of_released(holder: &NodeId, released: grant::ReleasedSlot) -> WorkKey {
    WorkKey {
        holder: holder.clone(),
        epoch: released.epoch,
        source: released.source,
        number: released.number,
    }
}

pub(crate) fn key_of_work(holder: &NodeId, work: &grant::HeldWork) -> WorkKey {
    WorkKey {
        holder: holder.clone(),
        epoch: work.epoch,
        source: work.source,
        number: work.number,
    }
}

pub(crate) fn to_collect_reply(
    holder: &NodeId,
    reply: &grant::CollectReply,
) -> owner::CollectReply {
    let works = reply.works.iter();
    let held = |work: &grant::HeldWork| HeldWork {
        key: key_of_work(holder, work),
        target: work.target.clone(),
    };
    owner::CollectReply {
        holder: holder.clone(),
        session: reply.session,
        epoch: reply.epoch,
        upto: reply.upto,
        works: works.map(held).collect(),
    }
}

pub(crate) fn to_grant(granted: slot::Grant) -> grant::Grant {
    grant::Grant {
        epoch: granted.key.epoch,
        number: granted.key.number,
        target: granted.target,
        ask: granted.request,
        stamp: granted.stamp,
        cold: granted.cold,
    }
}
