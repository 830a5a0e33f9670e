//! Decisions of roll-outs, under the faults of versions, nodes, links and store that they are
//! made for.

mod fleet;
mod orders;
mod releases;
mod seeds;
mod versions;
