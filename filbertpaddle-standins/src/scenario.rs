//! Named scenarios: a workload and what happens to the system meanwhile.

use filbertpaddle_core::clock::Millis;

use crate::engine_fault::Fault;
use crate::workload;
use crate::workload::Burst;
use crate::workload::Request;
use crate::workload::RequestKind;

/// Start of the disruption, as a share of the run.
const DISRUPTION_START: f64 = 0.3;

/// End of the disruption, as a share of the run.
const DISRUPTION_END: f64 = 0.65;

/// What a run puts the system through.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantArray,
)]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// The usual load.
    Steady,
    /// A rise above capacity and back.
    EveningRush,
    /// The largest customer sends far more for a while.
    CustomerBurst,
    /// Long outputs fill the engines' memory.
    MemoryCrowding,
    /// Half of the engines start cold.
    ColdStart,
    /// A third of the engines turn cold without warning.
    TurningCold,
    /// Operators take a data centre out and bring it back.
    DataCentre,
    /// The platform is down for a while.
    PlatformOutage,
}

/// Something that happens during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// A fault at every n-th engine.
    Engines {
        /// Engines from one chosen engine to the next.
        every: usize,
        /// The fault.
        fault: Fault,
    },
    /// Operators take the first data centre out.
    DataCentreOut,
    /// Operators bring the first data centre back.
    DataCentreIn,
    /// The platform stops answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

/// An act and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// When it happens, from the start of the run.
    pub at_ms: Millis,
    /// What happens.
    pub action: Action,
}

impl Scenario {
    /// Draws the workload for a run.
    pub fn workload(self, seed: u64, duration_ms: Millis, rate: f64) -> Vec<Request> {
        let settings = workload::Settings {
            seed,
            duration_ms,
            rate,
            rate_profile: move |progress| self.rate_profile(progress),
            kinds: self.kinds(),
            burst: self.burst(),
        };
        workload::draw(&settings)
    }

    /// Returns what happens during a run, in order of time.
    pub fn timeline(self, duration_ms: Millis) -> Vec<TimedAction> {
        let timed = |share: f64, action| TimedAction {
            at_ms: Millis((duration_ms.0 as f64 * share) as u64),
            action,
        };
        let engines_cold = |every| Action::Engines {
            every,
            fault: Fault::Cold,
        };
        match self {
            Self::Steady | Self::EveningRush | Self::CustomerBurst | Self::MemoryCrowding => {
                Vec::new()
            }
            Self::ColdStart => vec![timed(0.0, engines_cold(2))],
            Self::TurningCold => vec![timed(DISRUPTION_START, engines_cold(3))],
            Self::DataCentre => vec![
                timed(DISRUPTION_START, Action::DataCentreOut),
                timed(DISRUPTION_END, Action::DataCentreIn),
            ],
            Self::PlatformOutage => vec![
                timed(DISRUPTION_START, Action::PlatformDown),
                timed(DISRUPTION_END, Action::PlatformUp),
            ],
        }
    }

    /// Returns the time between the first acts and the load.
    ///
    /// What is cold from the start can be known before the first request.
    pub const fn lead_time_ms(self) -> Millis {
        match self {
            Self::ColdStart => Millis(2_500),
            _ => Millis::ZERO,
        }
    }

    fn rate_profile(self, progress: f64) -> f64 {
        match self {
            Self::EveningRush => 0.6 + (std::f64::consts::PI * progress).sin(),
            Self::CustomerBurst => 0.8,
            // Its requests are some three times as long.
            Self::MemoryCrowding => 0.35,
            _ => 1.0,
        }
    }

    const fn kinds(self) -> &'static [RequestKind] {
        match self {
            Self::MemoryCrowding => workload::LONG_OUTPUT_KINDS,
            _ => workload::STANDARD_KINDS,
        }
    }

    const fn burst(self) -> Option<Burst> {
        match self {
            Self::CustomerBurst => Some(Burst {
                from: DISRUPTION_START,
                to: DISRUPTION_END,
                rate: 1.5,
            }),
            _ => None,
        }
    }
}
