//! Choice of the target for one request.

use indexmap::IndexMap;

use crate::ask::Ask;
use crate::ask::TargetView;
use crate::clock::Millis;
use crate::memory_forecast::MemoryForecast;
use crate::name::Name;
use crate::output_length::OutputLengths;
use crate::policy::Settings;
use crate::target_state;
use crate::target_state::TargetState;
use crate::token_gap::GapModel;

/// How much fuller a target may be than the emptiest to be chosen for a prefix
/// it holds, as a part of its limits.
const PREFIX_SLACK: f32 = 0.15;
/// Standard deviations of memory kept free at stall weights of 0 and 100.
const DEVIATIONS: (f32, f32) = (1.5, 2.5);
/// Part of the token gap's bound that the mean may reach at stall weights of
/// 0 and 100.
const GAP_PART: (f64, f64) = (0.55, 0.7);
/// Attempts that a target takes whatever its token gap, so that a slow target
/// is not left idle.
const GAP_BATCH: usize = 8;

/// Bounds that a target is filled to.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    deviations: f32,
    gap_ms: f64,
}

impl Limits {
    /// Returns the bounds that a deployment's settings request for.
    pub fn new(settings: &Settings) -> Self {
        let weight = f32::from(settings.stall_weight_percent.min(100)) / 100.0;
        let gap_part = GAP_PART.0 + f64::from(weight) * (GAP_PART.1 - GAP_PART.0);
        Self {
            deviations: DEVIATIONS.0 + weight * (DEVIATIONS.1 - DEVIATIONS.0),
            gap_ms: f64::from(settings.token_gap_ms) * gap_part,
        }
    }
}

/// What was learned of the whole pool.
#[derive(Clone, Copy, Debug)]
pub struct Knowledge<'a> {
    /// Token gap over batch size.
    pub line: &'a GapModel,
    /// Output lengths.
    pub lengths: &'a OutputLengths,
    /// Bounds to fill targets to.
    pub limits: Limits,
}

/// Chooses among targets that may take the request; `None` if none has room.
///
/// The emptiest by prediction is chosen, or one hardly fuller that holds the
/// request's prefix.
pub fn predictive<'a>(
    now: Millis,
    request: &Ask,
    open: &[&'a TargetView],
    engines: &mut IndexMap<Name, TargetState>,
    known: &Knowledge<'_>,
) -> Option<&'a TargetView> {
    let mut more = MemoryForecast::default();
    more.add(&target_state::attempt_memory(request, 0, known.lengths));
    let mut best: Option<(f32, &TargetView)> = None;
    let mut best_holder: Option<(f32, &TargetView)> = None;
    for view in open {
        let engine = engines
            .entry(view.name.clone())
            .or_insert_with(|| TargetState::new(now));
        let Some(fill) = fill(now, request, &more, view, engine, known) else {
            continue;
        };
        if best.is_none_or(|(least, _)| fill < least) {
            best = Some((fill, view));
        }
        let holds = request.prefix != 0 && engine.prefixes.contains(now, request.prefix);
        if holds && best_holder.is_none_or(|(least, _)| fill < least) {
            best_holder = Some((fill, view));
        }
    }
    let (least, emptiest) = best?;
    match best_holder {
        Some((fill, holder)) if fill <= least + PREFIX_SLACK => Some(holder),
        _ => Some(emptiest),
    }
}

/// Returns the part of a target's limits that it would use with the request added;
/// `None` if that is more than all. A target with nothing running always has
/// room, since work that is too large for it will not fit later either.
fn fill(
    now: Millis,
    request: &Ask,
    more: &MemoryForecast,
    view: &TargetView,
    engine: &mut TargetState,
    known: &Knowledge<'_>,
) -> Option<f32> {
    if !engine.is_open(now) {
        return None;
    }
    let gap = match engine.batch() {
        0..GAP_BATCH => 0.0,
        _ => (engine.gap_ms(1, known.line) / known.limits.gap_ms) as f32,
    };
    let memory = match view.capacity_tokens {
        0 => 0.0,
        capacity => {
            let fixed = engine.correction_tokens() + engine.shared_tokens_with(request);
            let forecast = engine.forecast(now, known.line, known.lengths).with(more);
            let peak = forecast.peak_tokens(known.limits.deviations) + fixed;
            peak.max(0.0) / capacity as f32
        }
    };
    let fill = gap.max(memory);
    let fits = fill <= 1.0 || engine.batch() == 0;
    fits.then_some(fill)
}

/// Chooses the target with the fewest running attempts.
pub fn least_connections<'a>(
    open: &[&'a TargetView],
    engines: &IndexMap<Name, TargetState>,
) -> Option<&'a TargetView> {
    let batch = |view: &TargetView| engines.get(&view.name).map_or(0, TargetState::batch);
    open.iter().copied().min_by_key(|view| batch(view))
}

/// Chooses the targets in turn; `turn` counts the choices made.
pub fn round_robin<'a>(turn: &mut usize, open: &[&'a TargetView]) -> Option<&'a TargetView> {
    let index = turn.checked_rem(open.len())?;
    *turn = turn.wrapping_add(1);
    open.get(index).copied()
}
