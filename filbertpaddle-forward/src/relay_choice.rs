//! Choice of the nodes that relay a connection to a target that this node does not reach.
//!
//! Load pattern: some nodes, all of a data centre or most of all nodes reach no target, and the
//! requests of their callers go through the others. These must share them evenly, and nodes that
//! are cut off as well must cost no more than a question now and then.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use indexmap::IndexMap;

/// Time for which a node that could not relay a connection is not asked again.
const UNFIT_MS: Millis = Millis::from_secs(1);
/// Number of nodes that are asked for one connection.
const MAX_ASKED: usize = 8;
/// Number of nodes of this node's data centre that are asked before others: all of it may be cut
/// off.
const MAX_ASKED_NEARBY: usize = 2;

/// A node that may relay connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Name of the node.
    pub node: &'a Name,
    /// Whether it is in the same data centre.
    pub is_nearby: bool,
}

/// Nodes that could not relay a connection lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayChoice {
    unfit_until_ms: IndexMap<Name, Millis>,
}

impl RelayChoice {
    /// Creates a choice among all nodes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a node could not relay a connection.
    pub fn record_unfit(&mut self, now: Millis, node: &Name) {
        self.unfit_until_ms.retain(|_, until_ms| now < *until_ms);
        self.unfit_until_ms.insert(node.clone(), now + UNFIT_MS);
    }

    /// Returns the nodes to ask, one after the other; `draw` returns random numbers from 0 to 1.
    ///
    /// If none is fit, one of the others is asked again: it may relay connections by now.
    pub fn choose<'a, C, D>(&self, now: Millis, candidates: C, mut draw: D) -> Vec<&'a Name>
    where
        C: IntoIterator<Item = Candidate<'a>>,
        D: FnMut() -> f64,
    {
        let is_fit = |node: &Name| {
            let until_ms = self.unfit_until_ms.get(node);
            until_ms.is_none_or(|until_ms| now >= *until_ms)
        };
        let mut drawn: Vec<_> = candidates.into_iter().map(|one| (draw(), one)).collect();
        drawn.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let (fit, unfit): (Vec<_>, Vec<_>) = drawn.iter().partition(|(_, one)| is_fit(one.node));
        if fit.is_empty() {
            let any = unfit.first();
            return any.map(|(_, one)| one.node).into_iter().collect();
        }
        let (nearby, others): (Vec<_>, Vec<_>) =
            fit.into_iter().partition(|(_, one)| one.is_nearby);
        let split = nearby.len().min(MAX_ASKED_NEARBY);
        let (first, last) = nearby.split_at(split);
        let ordered = first.iter().chain(&others).chain(last);
        ordered.take(MAX_ASKED).map(|(_, one)| one.node).collect()
    }
}
