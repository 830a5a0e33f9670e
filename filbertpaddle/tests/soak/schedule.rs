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
    StoreClock,
    /// The store forgets what changed before.
    HistoryGone,
    /// All targets' entries lapse while the store refuses calls, and are back
    /// a second after it is.
    EntriesLapse,
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
    Behaviour(usize, Behaviour),
    /// A caller resends what crashes each target that runs it.
    Poison,
    /// A target crashes and comes back cold.
    TargetCrash(usize),
    /// A target leaves, and another life of it takes its place.
    TargetLeaves(usize),
    /// A node is frozen.
    Pause(usize),
    /// A node is killed and started again.
    Kill(usize),
    /// A node is told to stop, and its successor starts.
    Terminate(usize),
    /// A node is told to read its settings again.
    Reload(usize),
    /// The customer's key is replaced.
    NewKey,
    /// A data centre is taken out of service.
    DataCentreOut(usize),
}

/// A fault in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Event {
    /// When it begins, from the start of the run.
    pub(crate) at_ms: Millis,
    /// When it ends.
    pub(crate) until_ms: Millis,
    pub(crate) fault: Fault,
}

/// One seed gives one schedule.
pub(crate) fn draw(seed: u64, size: &Size) -> Vec<Event> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events: Vec<_> = (0..size.faults)
        .map(|_| {
            let at_ms = rng.random_range(1_000..1_000 + size.span_ms.0);
            let fault = draw_fault(&mut rng, size);
            let for_ms = match fault {
                // Long enough to be judged.
                Fault::TargetLeaves(_) | Fault::DataCentreOut(_) => 8_000,
                _ => rng.random_range(200..4_000),
            };
            Event {
                at_ms: Millis(at_ms),
                until_ms: Millis(at_ms + for_ms),
                fault,
            }
        })
        .collect();
    events.sort_by_key(|event| event.at_ms);
    events
}

fn draw_fault(rng: &mut StdRng, size: &Size) -> Fault {
    let node = rng.random_range(0..size.nodes);
    let target = rng.random_range(0..2 * size.targets);
    let link = one_of(
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
        0 | 1 => Fault::Store(one_of(
            rng,
            &[
                store::Fault::Unavailable,
                store::Fault::Unresponsive,
                store::Fault::Reset,
                store::Fault::LosesAnswers,
                store::Fault::Slow,
            ],
        )),
        2 => Fault::StoreClock,
        3 => Fault::HistoryGone,
        4 => Fault::EntriesLapse,
        5 => Fault::StoreLink(node, link),
        6 => Fault::PeerLink(node, link),
        7 => Fault::CallerLink(node, link),
        8 => Fault::TargetLink(target, link),
        9 => Fault::TargetDelay(target, Millis(rng.random_range(5..300))),
        10 | 11 => Fault::Behaviour(
            target,
            one_of(
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
        13 | 14 => Fault::TargetLeaves(target),
        15 => Fault::Pause(node),
        16 => Fault::Kill(node),
        17 => Fault::Terminate(node),
        18 => Fault::Reload(node),
        _ if rng.random_bool(0.5) => Fault::NewKey,
        _ => Fault::DataCentreOut(rng.random_range(0..DATA_CENTRES.len())),
    }
}

fn one_of<T>(rng: &mut StdRng, list: &[T]) -> T
where
    T: Copy,
{
    *list.choose(rng).unwrap()
}
