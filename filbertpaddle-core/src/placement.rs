//! Choice of the target for one ask.

use indexmap::IndexMap;

use crate::clock::Millis;
use crate::engine;
use crate::engine::Engine;
use crate::length::Lengths;
use crate::memory::Forecast;
use crate::name::Name;
use crate::pace::Line;
use crate::policy::Settings;
use crate::slot_request::SlotRequest;
use crate::slot_request::TargetView;

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
    /// Returns the bounds that a deployment's settings ask for.
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
    pub line: &'a Line,
    /// Output lengths.
    pub lengths: &'a Lengths,
    /// Bounds to fill targets to.
    pub limits: Limits,
}

/// Chooses among targets that may take the ask; `None` if none has room.
///
/// The emptiest by prediction is chosen, or one hardly fuller that holds the
/// ask's prefix.
pub fn predictive<'a>(
    now: Millis,
    ask: &SlotRequest,
    open: &[&'a TargetView],
    engines: &mut IndexMap<Name, Engine>,
    known: &Knowledge<'_>,
) -> Option<&'a TargetView> {
    let mut more = Forecast::default();
    more.add(&engine::attempt(ask, 0, known.lengths));
    let mut best: Option<(f32, &TargetView)> = None;
    let mut best_holder: Option<(f32, &TargetView)> = None;
    for view in open {
        let engine = engines
            .entry(view.name.clone())
            .or_insert_with(|| Engine::new(now));
        let Some(fill) = fill(now, ask, &more, view, engine, known) else {
            continue;
        };
        if best.is_none_or(|(least, _)| fill < least) {
            best = Some((fill, view));
        }
        let holds = ask.prefix != 0 && engine.prefixes.contains(now, ask.prefix);
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

/// Returns the part of a target's limits that it would use with the ask added;
/// `None` if that is more than all. A target with nothing running always has
/// room, since work that is too large for it will not fit later either.
fn fill(
    now: Millis,
    ask: &SlotRequest,
    more: &Forecast,
    view: &TargetView,
    engine: &mut Engine,
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
            let fixed = engine.correction_tokens() + engine.shared_tokens_with(ask);
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
    engines: &IndexMap<Name, Engine>,
) -> Option<&'a TargetView> {
    let batch = |view: &TargetView| engines.get(&view.name).map_or(0, Engine::batch);
    open.iter().copied().min_by_key(|view| batch(view))
}

/// Chooses the targets in turn; `turn` counts the choices made.
pub fn round_robin<'a>(turn: &mut usize, open: &[&'a TargetView]) -> Option<&'a TargetView> {
    let index = turn.checked_rem(open.len())?;
    *turn = turn.wrapping_add(1);
    open.get(index).copied()
}
