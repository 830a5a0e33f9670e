//! Choice of the target for one slot request.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::memory_forecast::MemoryForecast;
use crate::name::Name;
use crate::output_length::OutputLengths;
use crate::policy::Settings;
use crate::slot_request::SlotRequest;
use crate::slot_request::TargetView;
use crate::target_state;
use crate::target_state::TargetState;
use crate::token_gap::GapModel;

/// Difference in utilisation up to which a target with the prefix cached is
/// preferred to the least utilised one.
const PREFIX_UTILISATION_SLACK: f32 = 0.15;
/// Memory headroom in standard deviations of the forecast, at stall weights of 0
/// and 100.
const HEADROOM_DEVIATIONS: (f32, f32) = (1.5, 2.5);
/// Fraction of the token gap limit that the mean gap may reach, at stall weights of
/// 0 and 100.
const MEAN_GAP_FRACTION: (f64, f64) = (0.55, 0.7);
/// Batch size from which the token gap limit applies. Smaller batches ignore it, so
/// that a slow target is not left idle.
const MIN_GAP_LIMITED_BATCH: usize = 8;

/// Limits up to which a target is filled.
#[derive(Clone, Copy, Debug)]
pub struct FillLimits {
    deviations: f32,
    gap_ms: f64,
}

impl FillLimits {
    /// Returns the limits that follow from the settings of a deployment.
    pub fn new(settings: &Settings) -> Self {
        let weight = f32::from(settings.stall_weight_percent.min(100)) / 100.0;
        let mean_gap_fraction =
            MEAN_GAP_FRACTION.0 + f64::from(weight) * (MEAN_GAP_FRACTION.1 - MEAN_GAP_FRACTION.0);
        Self {
            deviations: HEADROOM_DEVIATIONS.0
                + weight * (HEADROOM_DEVIATIONS.1 - HEADROOM_DEVIATIONS.0),
            gap_ms: f64::from(settings.token_gap_ms) * mean_gap_fraction,
        }
    }
}

/// Estimates and limits shared by all targets of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolEstimates<'a> {
    /// Token gap as a function of the batch size.
    pub gap_model: &'a GapModel,
    /// Output lengths of the templates.
    pub output_lengths: &'a OutputLengths,
    /// Limits up to which targets are filled.
    pub limits: FillLimits,
}

/// Chooses the target with the lowest predicted utilisation; `None` if none has room.
///
/// A target that has the request's prefix cached is preferred if its utilisation is
/// only slightly higher.
pub fn predictive<'a>(
    now: Millis,
    request: &SlotRequest,
    candidates: &[&'a TargetView],
    target_states: &mut IndexMap<Name, TargetState>,
    pool: &PoolEstimates<'_>,
) -> Option<&'a TargetView> {
    let mut added = MemoryForecast::default();
    added.add(&target_state::attempt_memory(
        request,
        0,
        pool.output_lengths,
    ));
    let mut best: Option<(f32, &TargetView)> = None;
    let mut best_with_prefix: Option<(f32, &TargetView)> = None;
    for view in candidates {
        let state = target_states
            .entry(view.name.clone())
            .or_insert_with(|| TargetState::new(now));
        let Some(utilisation) = utilisation(now, request, &added, view, state, pool) else {
            continue;
        };
        if best.is_none_or(|(least, _)| utilisation < least) {
            best = Some((utilisation, view));
        }
        let has_prefix = request.prefix != 0 && state.prefixes.contains(now, request.prefix);
        if has_prefix && best_with_prefix.is_none_or(|(least, _)| utilisation < least) {
            best_with_prefix = Some((utilisation, view));
        }
    }
    let (least, least_utilised) = best?;
    match best_with_prefix {
        Some((utilisation, with_prefix)) if utilisation <= least + PREFIX_UTILISATION_SLACK => {
            Some(with_prefix)
        }
        _ => Some(least_utilised),
    }
}

/// Returns the fraction of a target's limits that is used with the request added.
///
/// Returns `None` if the target exceeds its limits or may not start work now. An idle
/// target always has room, since work that is too large for it will not fit later
/// either.
fn utilisation(
    now: Millis,
    request: &SlotRequest,
    added: &MemoryForecast,
    view: &TargetView,
    state: &mut TargetState,
    pool: &PoolEstimates<'_>,
) -> Option<f32> {
    if !state.accepts_start(now) {
        return None;
    }
    let gap_utilisation = match state.batch_size() {
        0..MIN_GAP_LIMITED_BATCH => 0.0,
        _ => (state.gap_ms(1, pool.gap_model) / pool.limits.gap_ms) as f32,
    };
    let memory_utilisation = match view.capacity_tokens {
        0 => 0.0,
        capacity => {
            let fixed = state.correction_tokens() + state.shared_tokens_with(request);
            let forecast = state
                .forecast(now, pool.gap_model, pool.output_lengths)
                .combined_with(added);
            let peak = forecast.peak_tokens(pool.limits.deviations) + fixed;
            peak.max(0.0) / capacity as f32
        }
    };
    let utilisation = gap_utilisation.max(memory_utilisation);
    let fits = utilisation <= 1.0 || state.batch_size() == 0;
    fits.then_some(utilisation)
}

/// Chooses the target with the fewest running attempts.
pub fn least_connections<'a>(
    candidates: &[&'a TargetView],
    target_states: &IndexMap<Name, TargetState>,
) -> Option<&'a TargetView> {
    let batch_size = |view: &TargetView| {
        target_states
            .get(&view.name)
            .map_or(0, TargetState::batch_size)
    };
    candidates
        .iter()
        .copied()
        .min_by_key(|view| batch_size(view))
}

/// Chooses the targets in turn; `turn` is the number of choices made so far.
pub fn round_robin<'a>(turn: &mut usize, candidates: &[&'a TargetView]) -> Option<&'a TargetView> {
    let index = turn.checked_rem(candidates.len())?;
    *turn = turn.wrapping_add(1);
    candidates.get(index).copied()
}
