//! Who relays within a data centre, and whom a node asks.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::clock::Millis;
use crate::name::Name;

/// Most members to which one member forwards a push.
pub const FAN_OUT: usize = 4;
/// Members by rank that relay or stand by to.
pub const STAND_BYS: usize = 3;
/// How long an answer may take before the one asked is taken for silent.
pub const ANSWER_MS: Millis = Millis(1_000);
/// How long a silent node is passed over.
pub const SILENT_MS: Millis = Millis::from_secs(10);

/// Orders the members of a data centre by who relays first.
///
/// The order depends on the names alone, so members with the same roster
/// agree, and one member's leaving changes no order among the rest.
pub fn rank<'a, I>(data_centre: &Name, members: I) -> Vec<&'a Name>
where
    I: IntoIterator<Item = &'a Name>,
{
    let seed = xxh3_64_with_seed(data_centre.as_bytes(), 0);
    let mut ranked: Vec<_> = members.into_iter().collect();
    ranked.sort_by_cached_key(|name| (xxh3_64_with_seed(name.as_bytes(), seed), (*name).clone()));
    ranked
}

/// Returns the members to which one member forwards a push.
///
/// The ranked members form a tree with the first as its root.
pub fn children<'a>(ranked: &[&'a Name], member: &Name) -> Vec<&'a Name> {
    let Some(index) = ranked.iter().position(|name| *name == member) else {
        return Vec::new();
    };
    let first = index * FAN_OUT + 1;
    ranked.iter().skip(first).take(FAN_OUT).copied().collect()
}

/// One live node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the node.
    pub node: Name,
    /// Its data centre.
    pub data_centre: Name,
}

/// An unanswered question.
#[derive(Clone, Copy, Debug)]
struct Asked {
    seq: u64,
    at: Millis,
}

/// The live nodes, with who of them does not answer this one.
#[derive(Clone, Debug)]
pub struct LiveNodes {
    me: Member,
    members: Vec<Member>,
    seq: u64,
    asked: BTreeMap<Name, Asked>,
    silent_until: BTreeMap<Name, Millis>,
}

impl LiveNodes {
    /// Starts with this node alone.
    pub fn new(me: Member) -> Self {
        Self {
            members: vec![me.clone()],
            me,
            seq: 0,
            asked: BTreeMap::new(),
            silent_until: BTreeMap::new(),
        }
    }

    /// Returns this node.
    pub fn local(&self) -> &Member {
        &self.me
    }

    /// Replaces the live nodes; this one always stays.
    pub fn set(&mut self, mut members: Vec<Member>) {
        if !members.contains(&self.me) {
            members.push(self.me.clone());
        }
        self.members = members;
        let live: Vec<_> = self.members.iter().map(|member| &member.node).collect();
        self.asked.retain(|node, _| live.contains(&node));
        self.silent_until.retain(|node, _| live.contains(&node));
    }

    /// Returns whether a node is live.
    pub fn contains(&self, node: &Name) -> bool {
        self.members.iter().any(|member| member.node == *node)
    }

    /// Returns the nodes of a data centre, silent ones among them.
    pub fn nodes_of(&self, data_centre: &Name) -> impl Iterator<Item = &Name> {
        self.members
            .iter()
            .filter(move |member| member.data_centre == *data_centre)
            .map(|member| &member.node)
    }

    /// Returns the data centres of the live nodes, in order and without repeats.
    pub fn data_centres(&self) -> Vec<Name> {
        let data_centre = |member: &Member| member.data_centre.clone();
        let mut names: Vec<_> = self.members.iter().map(data_centre).collect();
        names.sort();
        names.dedup();
        names
    }

    /// Returns the nodes of a data centre by rank, without the silent ones.
    pub fn ranked(&self, data_centre: &Name) -> Vec<&Name> {
        let answers = |node: &&Name| !self.silent_until.contains_key(*node);
        rank(data_centre, self.nodes_of(data_centre).filter(answers))
    }

    /// Returns this node's place by rank in its data centre; 0 relays.
    pub fn my_rank(&self) -> usize {
        let ranked = self.ranked(&self.me.data_centre);
        let place = ranked.iter().position(|node| **node == self.me.node);
        place.unwrap_or(ranked.len())
    }

    /// Notes a question to a node and returns its number.
    pub fn ask(&mut self, now: Millis, to: &Name) -> u64 {
        self.seq += 1;
        let seq = self.seq;
        self.asked.insert(to.clone(), Asked { seq, at: now });
        seq
    }

    /// Returns whether a node owes an answer.
    pub fn owes(&self, node: &Name) -> bool {
        self.asked.contains_key(node)
    }

    /// Returns whether no answer is owed.
    pub fn is_settled(&self) -> bool {
        self.asked.is_empty()
    }

    /// Notes an answer and returns when its question was asked, if it was.
    pub fn answered(&mut self, from: &Name, seq: u64) -> Option<Millis> {
        let asked = self.asked.get(from).filter(|asked| asked.seq == seq)?;
        let at = asked.at;
        self.asked.remove(from);
        Some(at)
    }

    /// Notes that a node was heard from.
    pub fn hear(&mut self, from: &Name) {
        self.silent_until.remove(from);
    }

    /// Passes over nodes that owe an answer for too long; returns whether any is new.
    pub fn pass_over_silent(&mut self, now: Millis) -> bool {
        self.silent_until.retain(|_, until| *until > now);
        let is_late = |asked: &Asked| now.since(asked.at) >= ANSWER_MS;
        let late: Vec<_> = self
            .asked
            .iter()
            .filter(|(_, asked)| is_late(asked))
            .map(|(node, _)| node.clone())
            .collect();
        for node in &late {
            self.asked.remove(node);
            self.silent_until.insert(node.clone(), now + SILENT_MS);
        }
        !late.is_empty()
    }
}
