//! Identifiers of attempts, which encode the node and the slot that an attempt uses.
//!
//! Targets report the attempts that they run by these ids, so the owner of a pool learns
//! which slots are in use.

use filbertpaddle_core::name::Name;
use filbertpaddle_core::roster::NodeId;
use filbertpaddle_core::slot::Source;
use filbertpaddle_core::slot::WorkKey;

/// Returns the prefix of all attempt ids of one incarnation of a node.
pub fn prefix(id: &NodeId) -> Name {
    format!("{}-{:x}", id.name, id.incarnation).into()
}

/// Returns an attempt id extended by the slot that the attempt uses.
///
/// A slot that `attempt` already contains is replaced.
pub fn with_slot(attempt: &str, key: &WorkKey) -> Name {
    let base = attempt.split('.').next().unwrap_or(attempt);
    let source = match key.source {
        Source::Granted => 'g',
        Source::Share => 's',
    };
    format!("{base}.{:x}{source}{:x}", key.epoch, key.number).into()
}

/// Returns the slot that an attempt id contains.
///
/// An id of another form yields a slot of an unknown holder, so that its work is still
/// counted.
pub fn slot(attempt: &Name) -> WorkKey {
    parse(attempt).unwrap_or_else(|| WorkKey {
        holder: NodeId {
            name: attempt.clone(),
            incarnation: 0,
        },
        epoch: 0,
        source: Source::Share,
        number: 0,
    })
}

fn parse(attempt: &str) -> Option<WorkKey> {
    let (base, slot) = attempt.split_once('.')?;
    let (node, _) = base.rsplit_once('-')?;
    let (name, incarnation) = node.rsplit_once('-')?;
    let (source, split) = match slot.split_once('g') {
        Some(split) => (Source::Granted, split),
        None => (Source::Share, slot.split_once('s')?),
    };
    Some(WorkKey {
        holder: NodeId {
            name: name.into(),
            incarnation: hex(incarnation)?,
        },
        epoch: hex(split.0)?,
        source,
        number: hex(split.1)?,
    })
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
