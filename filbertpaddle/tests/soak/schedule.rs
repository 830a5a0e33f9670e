//! What a seed makes go wrong, and when.

use filbertpaddle_adapter_standins::store;
use filbertpaddle_adapter_standins::target::Behaviour;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::proxy::Link;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// Data centres of a cluster.
pub(crate) const DATA_CENTRES: [&str; 2] = ["dc-a", "dc-b"];

/// Sizes of the cluster and the load on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    /// Nodes, each a process.
    pub(crate) nodes: usize,
    /// Targets of each service.
    pub(crate) targets: usize,
    /// Callers, each with one request at a time.
    pub(crate) callers: usize,
    /// Faults.
    pub(crate) faults: usize,
    /// From the first to the last fault's beginning.
    pub(crate) span_ms: Millis,
}

/// What goes wrong, and where: a number of a node or of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The store fails.
    Store(store::Fault),
    /// The store's clock jumps.
    StoreClockJump,
    /// The store forgets what changed before.
    StoreHistoryLoss,
    /// All targets' entries lapse while the store refuses calls, and are back
    /// a second after it is.
    TargetEntriesExpiry,
    /// The link from a node to the store.
    StoreLink(usize, Link),
    /// The links of other nodes to one.
    PeerLink(usize, Link),
    /// The links of callers to a node.
    CallerLink(usize, Link),
    /// The links of nodes to a target.
    TargetLink(usize, Link),
    /// The same links, slow.
    TargetDelay(usize, Millis),
    /// A target treats requests badly.
    TargetBehaviour(usize, Behaviour),
    /// A caller resends what crashes each target that runs it.
    Poison,
    /// A target crashes and comes back cold.
    TargetCrash(usize),
    /// A target leaves, and another life of it takes its place.
    TargetDrain(usize),
    /// A node is frozen.
    NodePause(usize),
    /// A node is killed and started again.
    NodeKill(usize),
    /// A node is told to stop, and its successor starts.
    NodeTerminate(usize),
    /// A node is told to read its settings again.
    NodeReload(usize),
    /// The customer's key is replaced.
    KeyRotation,
    /// A data centre is taken out of service.
    DataCentreOut(usize),
}

/// A fault in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    /// When it begins, from the start of the run.
    pub(crate) start_ms: Millis,
    /// When it ends.
    pub(crate) end_ms: Millis,
    pub(crate) fault: Fault,
}

/// One seed gives one schedule.
pub(crate) fn generate(seed: u64, size: &Size) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut faults: Vec<_> = (0..size.faults)
        .map(|_| {
            let start_ms = rng.random_range(1_000..1_000 + size.span_ms.0);
            let fault = random_fault(&mut rng, size);
            let duration_ms = match fault {
                // Long enough to be judged.
                Fault::TargetDrain(_) | Fault::DataCentreOut(_) => 8_000,
                _ => rng.random_range(200..4_000),
            };
            ScheduledFault {
                start_ms: Millis(start_ms),
                end_ms: Millis(start_ms + duration_ms),
                fault,
            }
        })
        .collect();
    faults.sort_by_key(|fault| fault.start_ms);
    faults
}

fn random_fault(rng: &mut StdRng, size: &Size) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let target = rng.random_range(0..2 * size.targets);
    let link = choose_one(
        rng,
        &[
            Link::Cut,
            Link::CutForward,
            Link::CutBackward,
            Link::Stall,
            Link::HalfOpen,
        ],
    );
    match rng.random_range(0..21) {
        0 | 1 => Fault::Store(choose_one(
            rng,
            &[
                store::Fault::Busy,
                store::Fault::Silent,
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
                    Behaviour::Crossed,
                    Behaviour::Unsealed,
                    Behaviour::Mute,
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
