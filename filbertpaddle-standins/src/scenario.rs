//! Named scenarios of the load tool: a workload and a timeline of faults and operator actions.

use filbertpaddle_core::clock::Millis;

use crate::engine_fault::Fault;
use crate::workload;
use crate::workload::BurstSettings;
use crate::workload::Request;
use crate::workload::RequestKind;

/// Start of the disruption, as a fraction of the run.
const DISRUPTION_START: f64 = 0.3;

/// End of the disruption, as a fraction of the run.
const DISRUPTION_END: f64 = 0.65;

/// Workload and disruption of a run.
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
    /// The load keeps the same mean rate.
    Steady,
    /// The load rises above capacity and falls again.
    EveningRush,
    /// The largest customer sends far more requests for part of the run.
    CustomerBurst,
    /// Long outputs fill the engines' memory.
    MemoryCrowding,
    /// Half of the engines are cold before the load starts.
    ColdStart,
    /// A third of the engines turn cold during the load, without notice.
    TurningCold,
    /// Operators take a data centre out of service and back in.
    DataCentre,
    /// The platform is down for part of the run.
    PlatformOutage,
}

/// A fault or an operator action during a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// A fault is injected into every n-th engine.
    Engines {
        /// Distance from one affected engine to the next.
        every: usize,
        /// Fault to inject.
        fault: Fault,
    },
    /// Operators take the first data centre out of service.
    DataCentreOut,
    /// Operators put the first data centre back in service.
    DataCentreIn,
    /// The platform stops answering.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

/// An action and when it is applied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedAction {
    /// Time from the start of the run.
    pub at_ms: Millis,
    /// Action to apply.
    pub action: Action,
}

impl Scenario {
    /// Draws the requests of a run.
    pub fn workload(self, seed: u64, duration_ms: Millis, rate: f64) -> Vec<Request> {
        let settings = workload::Settings {
            seed,
            duration_ms,
            rate,
            rate_profile: move |progress| self.rate_profile(progress),
            kinds: self.kinds(),
            burst: self.burst(),
        };
        workload::draw_requests(&settings)
    }

    /// Returns the actions during a run, in order of time.
    pub fn timeline(self, duration_ms: Millis) -> Vec<TimedAction> {
        let timed = |fraction: f64, action| TimedAction {
            at_ms: Millis((duration_ms.0 as f64 * fraction) as u64),
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

    /// Returns the time between the actions at the start of the run and the load.
    ///
    /// In [`Scenario::ColdStart`] it lets reports show that engines are cold
    /// before the first request is placed.
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
            // Requests of this scenario are about three times as long as the usual ones.
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

    const fn burst(self) -> Option<BurstSettings> {
        match self {
            Self::CustomerBurst => Some(BurstSettings {
                from: DISRUPTION_START,
                to: DISRUPTION_END,
                rate: 1.5,
            }),
            _ => None,
        }
    }
}
