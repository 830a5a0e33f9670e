//! Random fault schedules: which faults a seed injects, and when.

use filbertpaddle_adapter_standins::store;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::gate::Passage;
use filbertpaddle_standins::proxy::Link;
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Names of the cluster's data centres.
pub(crate) const DATA_CENTRES: [&str; 2] = ["dc-a", "dc-b"];

/// Ways in which a link fails.
const LINK_FAULTS: [Link; 5] = [
    Link::Cut,
    Link::CutForward,
    Link::CutBackward,
    Link::Stall,
    Link::HalfOpen,
];
/// Time between the starts of two cuts of nodes from the store.
const STORE_CUT_INTERVAL_MS: usize = 4_000;
/// Forms in which nodes are cut off from all targets.
const CUTS: [Passage; 3] = [Passage::Silent, Passage::Reset, Passage::RefuseNew];
/// Time between the starts of two cuts of nodes from all targets.
const TARGETS_CUT_INTERVAL_MS: usize = 5_500;
/// Time between the starts of two statements of rates.
const RATE_INTERVAL_MS: usize = 3_000;
const REPEATED_STATUSES: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::MISDIRECTED_REQUEST,
];
/// Time between the starts of two times in which a target repeats refusals.
const REFUSALS_INTERVAL_MS: usize = 1_000;
/// Time between the starts of two times in which a target sends responses without a length.
const UNFRAMED_INTERVAL_MS: usize = 700;
/// Time between two ends of targets.
const EXIT_INTERVAL_MS: usize = 1_300;
/// Time for which a target states a rate: two windows of its bound and the time before it.
const RATE_TIME_MS: Millis = Millis::from_secs(11);
/// Time from the start of a node's cut from the store to the key rotation in it.
const ROTATION_DELAY_MS: Millis = Millis(100);
/// Time from the key rotation before a node's cut from the store to the cut.
const ROTATION_LEAD_MS: Millis = Millis(300);

/// Size of the cluster, its load and its fault schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// Number of nodes, each a process.
    pub(crate) nodes: usize,
    /// Number of targets of each service.
    pub(crate) targets: usize,
    /// Number of callers, each with one request at a time.
    pub(crate) callers: usize,
    /// Number of faults.
    pub(crate) faults: usize,
    /// Time span in which faults begin.
    pub(crate) span_ms: Millis,
}

/// An injected fault. A `usize` is the number of a node, a target or a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Calls to the store fail, hang or are slow.
    Store(store::Fault),
    /// The store's clock jumps forward.
    StoreClockJump,
    /// The store loses its change history.
    StoreHistoryLoss,
    /// The store refuses calls and loses the entries of all targets, which are
    /// written again when it recovers.
    TargetEntriesExpiry,
    /// The link from a node to the store fails.
    StoreLink(usize, Link),
    /// The links from other nodes to a node fail.
    PeerLink(usize, Link),
    /// The links from callers to a node fail.
    CallerLink(usize, Link),
    /// The links from nodes to a target fail.
    TargetLink(usize, Link),
    /// The links from nodes to a target are slow.
    TargetDelay(usize, Millis),
    /// A target mishandles requests.
    TargetBehaviour(usize, Behaviour),
    /// A caller resends a request that crashes each target that runs it.
    Poison,
    /// A target crashes and restarts cold.
    TargetCrash(usize),
    /// A target drains and stops; its next incarnation replaces it.
    TargetDrain(usize),
    /// A target ends as a process ends, with its connections closed in order, and restarts.
    TargetExit(usize, Restart),
    /// A target sends responses with neither a length nor chunks; the seed chooses which of them
    /// break off.
    UnframedResponses(usize, u64),
    /// A node's process is paused.
    NodePause(usize),
    /// A node is killed and restarted.
    NodeKill(usize),
    /// A node is signalled to stop, and a new process starts on its VM.
    NodeTerminate(usize),
    /// A node is signalled to reload its settings.
    NodeReload(usize),
    /// The customer's API key is replaced.
    KeyRotation,
    /// A data centre is taken out of service.
    DataCentreOut(usize),
    /// The nodes of a data centre reach no target.
    TargetsCut(usize, Passage),
    /// A target states the rate, in tenths of requests per second, that it takes from all
    /// nodes together.
    TargetRate(usize, u32),
}

/// Where a target restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Restart {
    /// At its address.
    SameAddress,
    /// At another address.
    OtherAddress,
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    /// Time from the start of the run to the start of the fault.
    pub(crate) start_ms: Millis,
    /// Time from the start of the run to the end of the fault.
    pub(crate) end_ms: Millis,
    pub(crate) fault: Fault,
}

/// Kind of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum ScheduleKind {
    /// All faults, in series and overlapping.
    Mixed,
    /// One node after another loses the store, and nothing happens that would excuse the
    /// other nodes.
    StoreCuts,
    /// Targets state the rates that they take, among other faults.
    StatedRates,
    /// The nodes of one data centre after another lose their links to all targets, and a few other
    /// faults overlap.
    TargetCuts,
    /// Targets repeat refusals of other attempts to requests that they run, among other faults.
    RepeatedRefusals,
    /// Targets send responses without a length and break some off, and targets end, among other
    /// faults; some callers use HTTP/1.0.
    Unframed,
}

impl ScheduleKind {
    /// Returns the schedule of a seed, sorted by start; a seed always gives the same
    /// schedule.
    pub(crate) fn generate(self, seed: u64, size: &Size) -> Vec<ScheduledFault> {
        let mut faults = match self {
            Self::Mixed => mixed(seed, size),
            Self::StoreCuts => store_cuts(seed, size),
            Self::StatedRates => stated_rates(seed, size),
            Self::TargetCuts => target_cuts(seed, size),
            Self::RepeatedRefusals => repeated_refusals(seed, size),
            Self::Unframed => unframed(seed, size),
        };
        let rotations = rotations_during_cuts(&faults);
        faults.extend(rotations);
        faults.sort_by_key(|fault| fault.start_ms);
        faults
    }
}

fn mixed(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..size.faults)
        .map(|_| {
            let start_ms = rng.random_range(1_000..1_000 + size.span_ms.0);
            let fault = random_fault(&mut rng, size);
            let duration_ms = match fault {
                // Long enough to check whether requests still reach the targets.
                Fault::TargetDrain(_) | Fault::DataCentreOut(_) => 8_000,
                _ => rng.random_range(200..4_000),
            };
            ScheduledFault {
                start_ms: Millis(start_ms),
                end_ms: Millis(start_ms + duration_ms),
                fault,
            }
        })
        .collect()
}

fn store_cuts(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let starts = (1_000..1_000 + size.span_ms.0).step_by(STORE_CUT_INTERVAL_MS);
    starts
        .map(|start_ms| {
            let node = rng.random_range(0..size.nodes);
            let link = choose_one(&mut rng, &LINK_FAULTS);
            ScheduledFault {
                start_ms: Millis(start_ms),
                end_ms: Millis(start_ms + rng.random_range(2_500..3_500)),
                fault: Fault::StoreLink(node, link),
            }
        })
        .collect()
}

/// Returns times in which targets repeat refusals, which overlap, and a quarter of the faults of a
/// mixed schedule.
fn repeated_refusals(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let others = Size {
        faults: size.faults / 4,
        ..*size
    };
    let mut faults = mixed(seed, &others);
    let mut rng = StdRng::seed_from_u64(seed);
    for start_ms in (1_000..1_000 + size.span_ms.0).step_by(REFUSALS_INTERVAL_MS) {
        let target = rng.random_range(0..2 * size.targets);
        let status = choose_one(&mut rng, &REPEATED_STATUSES);
        faults.push(ScheduledFault {
            start_ms: Millis(start_ms),
            end_ms: Millis(start_ms + rng.random_range(500..2_500)),
            fault: Fault::TargetBehaviour(target, Behaviour::RepeatsRefusal(status)),
        });
    }
    faults
}

/// Returns statements of rates, up to four of which overlap at different targets, and a
/// quarter of the faults of a mixed schedule.
fn stated_rates(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let others = Size {
        faults: size.faults / 4,
        ..*size
    };
    let mut faults = mixed(seed, &others);
    let mut rng = StdRng::seed_from_u64(seed);
    let first = rng.random_range(0..2 * size.targets);
    let starts = (500..500 + size.span_ms.0).step_by(RATE_INTERVAL_MS);
    for (index, start_ms) in starts.enumerate() {
        let target = (first + index) % (2 * size.targets);
        faults.push(ScheduledFault {
            start_ms: Millis(start_ms),
            end_ms: Millis(start_ms) + RATE_TIME_MS,
            fault: Fault::TargetRate(target, rng.random_range(5..80)),
        });
    }
    faults
}

/// Returns cuts of the nodes of one data centre, and of both for a while with every third seed,
/// and an eighth of the faults of a mixed schedule with every second seed.
fn target_cuts(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let others = Size {
        faults: size.faults / 8 * (seed as usize % 2),
        ..*size
    };
    let mut faults = mixed(seed, &others);
    let mut rng = StdRng::seed_from_u64(seed);
    let starts = (1_000..1_000 + size.span_ms.0).step_by(TARGETS_CUT_INTERVAL_MS);
    for start_ms in starts {
        let data_centre = rng.random_range(0..DATA_CENTRES.len());
        let cut = choose_one(&mut rng, &CUTS);
        faults.push(ScheduledFault {
            start_ms: Millis(start_ms),
            end_ms: Millis(start_ms + rng.random_range(3_500..5_000)),
            fault: Fault::TargetsCut(data_centre, cut),
        });
        if seed.is_multiple_of(3) {
            let from_ms = start_ms + rng.random_range(2_500..3_500);
            faults.push(ScheduledFault {
                start_ms: Millis(from_ms),
                end_ms: Millis(from_ms + rng.random_range(200..1_500)),
                fault: Fault::TargetsCut(1 - data_centre, cut),
            });
        }
    }
    faults
}

/// Returns times in which targets send responses without a length, which overlap, ends of targets,
/// and a quarter of the faults of a mixed schedule.
fn unframed(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let others = Size {
        faults: size.faults / 4,
        ..*size
    };
    let mut faults = mixed(seed, &others);
    let mut rng = StdRng::seed_from_u64(seed);
    for start_ms in (500..1_000 + size.span_ms.0).step_by(UNFRAMED_INTERVAL_MS) {
        let target = rng.random_range(0..2 * size.targets);
        faults.push(ScheduledFault {
            start_ms: Millis(start_ms),
            end_ms: Millis(start_ms + rng.random_range(2_500..6_000)),
            fault: Fault::UnframedResponses(target, rng.random()),
        });
    }
    for start_ms in (2_000..2_000 + size.span_ms.0).step_by(EXIT_INTERVAL_MS) {
        let target = rng.random_range(0..2 * size.targets);
        let restart = choose_one(&mut rng, &[Restart::SameAddress, Restart::OtherAddress]);
        let down_ms = match restart {
            Restart::SameAddress => 0,
            Restart::OtherAddress => rng.random_range(300..1_500),
        };
        faults.push(ScheduledFault {
            start_ms: Millis(start_ms),
            end_ms: Millis(start_ms + down_ms),
            fault: Fault::TargetExit(target, restart),
        });
    }
    faults
}

/// Returns two key rotations for each node that loses the store. After the one before the
/// cut, it waits for the next change; the others must apply the one in the cut in time.
fn rotations_during_cuts(faults: &[ScheduledFault]) -> Vec<ScheduledFault> {
    let cuts = faults
        .iter()
        .filter(|fault| matches!(fault.fault, Fault::StoreLink(..)));
    cuts.flat_map(|cut| {
        [
            cut.start_ms.since(ROTATION_LEAD_MS),
            cut.start_ms + ROTATION_DELAY_MS,
        ]
    })
    .map(|at_ms| ScheduledFault {
        start_ms: at_ms,
        end_ms: at_ms,
        fault: Fault::KeyRotation,
    })
    .collect()
}

fn random_fault(rng: &mut StdRng, size: &Size) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let target = rng.random_range(0..2 * size.targets);
    let link = choose_one(rng, &LINK_FAULTS);
    match rng.random_range(0..21) {
        0 | 1 => Fault::Store(choose_one(
            rng,
            &[
                store::Fault::Unavailable,
                store::Fault::Unresponsive,
                store::Fault::Reset,
                store::Fault::LosesAnswers,
                store::Fault::Slow,
            ],
        )),
        2 => Fault::StoreClockJump,
        3 => Fault::StoreHistoryLoss,
        4 => Fault::TargetEntriesExpiry,
        5 => Fault::StoreLink(node, link),
        6 => Fault::PeerLink(node, link),
        7 => Fault::CallerLink(node, link),
        8 => Fault::TargetLink(target, link),
        9 => Fault::TargetDelay(target, Millis(rng.random_range(5..300))),
        10 | 11 => Fault::TargetBehaviour(
            target,
            choose_one(
                rng,
                &[
                    Behaviour::Full,
                    Behaviour::Failing,
                    Behaviour::LosesAnswers,
                    Behaviour::WrongAttempt,
                    Behaviour::Unsealed,
                    Behaviour::Unresponsive,
                ],
            ),
        ),
        19 => Fault::Poison,
        12 => Fault::TargetCrash(target),
        13 | 14 => Fault::TargetDrain(target),
        15 => Fault::NodePause(node),
        16 => Fault::NodeKill(node),
        17 => Fault::NodeTerminate(node),
        18 => Fault::NodeReload(node),
        _ if rng.random_bool(0.5) => Fault::KeyRotation,
        _ => Fault::DataCentreOut(rng.random_range(0..DATA_CENTRES.len())),
    }
}

fn choose_one<T>(rng: &mut StdRng, list: &[T]) -> T
where
    T: Copy,
{
    *list.choose(rng).unwrap()
}
