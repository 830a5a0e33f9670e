//! Next step of a roll-out: how much of the traffic the new version gets, and when.
//! Load pattern: a bad version that full traffic reaches before its faults are known.

use filbertpaddle_core::clock::Millis;

use crate::revision::Revision;
use crate::rollout_judge::Verdict;
use crate::rollout_record::RolloutLimits;
use crate::rollout_record::RolloutOrder;
use crate::rollout_record::RolloutRecord;
use crate::rollout_record::RolloutState;

/// Share with which a roll-out begins, while the service's traffic is not measured.
const FIRST_SHARE_PER_MILLE: u32 = 50;

/// Time over which the traffic is measured before the canary's share is set.
const MEASURE_MS: Millis = Millis(2_000);

/// Part of the callers' limit that the canary uses; the rest covers the switch.
const CANARY_PART: f64 = 0.4;

/// Shares of the switch, in thousandths.
const SWITCH_SHARES_PER_MILLE: [u32; 3] = [100, 300, 1_000];

/// Time of one share of the switch, in which answers come and the counts of all nodes arrive.
const SWITCH_STEP_MS: Millis = Millis(2_000);

/// Time from the end of the last request at the old targets to the end of the roll-out.
const COMPLETION_MS: Millis = Millis(4_500);

/// Longest time that a canary must run where the order leaves less than it needs.
const SHORT_CANARY_MS: Millis = Millis(5_000);

/// Answers of the new version that a step should rest on.
const STEP_ANSWERS: u64 = 20;

/// Time for which a step waits for these answers.
const ANSWERS_WAIT_MS: Millis = Millis(3_000);

/// Time for which a doubt holds a step up, for each unit of its score.
const DOUBT_WAIT_MS: f64 = 750.0;

/// Score of a doubt that holds a step up even if the roll-out then ends after its deadline.
const GRAVE_DOUBT_SCORE: f64 = 6.0;

/// Time from the end of the last request at the old targets to the end of the roll-out, without
/// any reserve.
const LEAST_COMPLETION_MS: Millis = Millis(4_000);

/// Time for which the old targets must have been idle at the end.
const IDLE_MS: Millis = Millis(1_000);

/// Time after the switch within which all nodes have received it or stopped using their record.
const SETTLE_MS: Millis = Millis(2_000);

/// What the next step of a roll-out depends on besides records and counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepInputs {
    /// Time by the store's clock.
    pub store_ms: Millis,
    /// Listed targets of the new version.
    pub new_targets: usize,
    /// Listed targets of other versions.
    pub old_targets: usize,
    /// Requests that run or wait at targets of other versions, from all nodes.
    pub old_running: u64,
    /// Longest planned duration of a request of the service.
    pub stream_ms: Millis,
    /// Number of nodes that write the next step before this one does.
    pub rank: usize,
}

/// State of a roll-out at a node when it looks for the next step.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress<'a> {
    pub(crate) order: &'a RolloutOrder,
    pub(crate) ordered: Revision,
    pub(crate) record: Option<&'a RolloutRecord>,
    /// Time since this node received the record.
    pub(crate) in_step_ms: Millis,
    /// Time for which the new version has had targets.
    pub(crate) with_targets_ms: Millis,
    /// Time for which nothing has run at the old targets.
    pub(crate) idle_ms: Millis,
    /// Answers of the new version since this node received the record.
    pub(crate) step_answers: u64,
    /// Requests of both sides since the order.
    pub(crate) sent: u64,
    /// Whether so many targets of the new version are gone that it cannot take all requests.
    pub(crate) has_lost_targets: bool,
    pub(crate) verdict: &'a Verdict,
}

/// Returns the record to be written now, if any.
pub(crate) fn next_record(
    limits: &RolloutLimits,
    progress: &Progress<'_>,
    inputs: &StepInputs,
) -> Option<RolloutRecord> {
    let Some(record) = progress.record else {
        return Some(first_record(progress, inputs));
    };
    if record.state != RolloutState::Running {
        return None;
    }
    if matches!(progress.verdict, Verdict::Bad(_)) {
        return Some(record.next(RolloutState::RolledBack, 0));
    }
    if inputs.new_targets == 0 || progress.has_lost_targets {
        return None;
    }
    if record.share_per_mille >= 1_000 {
        let is_complete = is_complete(progress, inputs);
        return is_complete.then(|| record.next(RolloutState::Completed, 1_000));
    }
    if inputs.old_targets == 0 {
        return Some(record.next(RolloutState::Running, 1_000));
    }
    let elapsed_ms = inputs.store_ms.since(record.started_ms);
    let share = next_share(limits, progress, inputs, record, elapsed_ms)?;
    Some(record.next(RolloutState::Running, share))
}

fn first_record(progress: &Progress<'_>, inputs: &StepInputs) -> RolloutRecord {
    RolloutRecord {
        order: progress.order.clone(),
        ordered: progress.ordered,
        started_ms: inputs.store_ms,
        state: RolloutState::Running,
        share_per_mille: FIRST_SHARE_PER_MILLE,
        step: 1,
    }
}

fn next_share(
    limits: &RolloutLimits,
    progress: &Progress<'_>,
    inputs: &StepInputs,
    record: &RolloutRecord,
    elapsed_ms: Millis,
) -> Option<u32> {
    let switch_ms = switch_start(progress.order.duration_ms, inputs.stream_ms);
    let is_canary = record.step <= 2;
    if is_canary && elapsed_ms < switch_ms {
        let is_measured = elapsed_ms >= MEASURE_MS && progress.sent > 0;
        let share = canary_share(limits, progress, elapsed_ms, switch_ms);
        return (record.step == 1 && is_measured).then_some(share);
    }
    let needed_ms = short_canary(progress.order.duration_ms);
    let least_ms = inputs.stream_ms + LEAST_COMPLETION_MS;
    let is_late = elapsed_ms >= progress.order.duration_ms.since(least_ms);
    if progress.with_targets_ms < needed_ms || !may_step(progress, is_late) {
        return None;
    }
    let mut larger = SWITCH_SHARES_PER_MILLE.into_iter();
    larger.find(|share| *share > record.share_per_mille)
}

/// Returns the time after the order at which the switch to the new version begins: as late as
/// lets the last requests at the old targets end before the deadline.
fn switch_start(duration_ms: Millis, stream_ms: Millis) -> Millis {
    let steps = SWITCH_SHARES_PER_MILLE.len() as u64 - 1;
    let needed_ms = SWITCH_STEP_MS.0 * steps + stream_ms.0 + COMPLETION_MS.0;
    Millis(duration_ms.0.saturating_sub(needed_ms)).max(short_canary(duration_ms))
}

fn short_canary(duration_ms: Millis) -> Millis {
    Millis(duration_ms.0 / 4).min(SHORT_CANARY_MS)
}

/// Returns the share by which the canary uses its part of the limit until the switch.
fn canary_share(
    limits: &RolloutLimits,
    progress: &Progress<'_>,
    elapsed_ms: Millis,
    switch_ms: Millis,
) -> u32 {
    let per_ms = progress.sent as f64 / elapsed_ms.0.max(1) as f64;
    let all = per_ms * progress.order.duration_ms.0 as f64;
    let limit = limits.max_exposed_share * all + limits.exposed_slack;
    let until_switch = (per_ms * switch_ms.0 as f64).max(1.0);
    let share = CANARY_PART * limit / until_switch;
    let share = share.min(limits.max_exposed_share) * 1_000.0;
    (share as u32).max(1)
}

fn may_step(progress: &Progress<'_>, is_late: bool) -> bool {
    let in_step_ms = progress.in_step_ms;
    let has_evidence = progress.step_answers >= STEP_ANSWERS || in_step_ms >= ANSWERS_WAIT_MS;
    let score = match progress.verdict {
        Verdict::Open => 0.0,
        Verdict::Doubtful(evidence) | Verdict::Bad(evidence) => evidence.score,
    };
    let is_held = !is_late || score >= GRAVE_DOUBT_SCORE;
    let doubt_ms = if is_held {
        (score * DOUBT_WAIT_MS) as u64
    } else {
        0
    };
    let is_clear = in_step_ms >= SWITCH_STEP_MS + Millis(doubt_ms);
    has_evidence && is_clear
}

fn is_complete(progress: &Progress<'_>, inputs: &StepInputs) -> bool {
    let is_idle = inputs.old_running == 0;
    let has_settled = progress.in_step_ms >= SETTLE_MS && progress.idle_ms >= IDLE_MS;
    is_idle && has_settled && may_step(progress, true)
}
