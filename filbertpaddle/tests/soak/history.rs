//! What happened in a run, as callers and the faults' author saw it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller::Got;

/// How often it is looked whether this process gets processor time, and how long
/// it may have got none: half of what an answer may be late.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RequestKind {
    /// Idempotent and short.
    Read,
    /// Short, and run at most once.
    Write,
    /// A generation that runs once.
    Stream,
    /// A generation that may be resumed.
    Resumable,
}

impl RequestKind {
    pub(crate) fn is_idempotent(self) -> bool {
        matches!(self, Self::Read | Self::Resumable)
    }

    pub(crate) fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) attempt: String,
    pub(crate) kind: RequestKind,
    /// Events of a stream.
    pub(crate) events: u64,
    /// Number of the node.
    pub(crate) node: usize,
    /// Version of the configuration whose key was sent.
    pub(crate) key_version: u64,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// Whether it went on a connection that had been used.
    pub(crate) is_connection_reused: bool,
    /// How long its caller waited.
    pub(crate) caller_timeout_ms: u64,
    pub(crate) answer: Got,
}

/// Where something was wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Component {
    Store,
    Node(usize),
    /// A target by its identity.
    Target(String),
    /// The machine: this process itself got no processor time.
    Machine,
}

/// A time in which something was wrong.
#[derive(Clone, Debug)]
pub(crate) struct Disruption {
    pub(crate) component: Component,
    /// A stop or leave that was asked for, or settings that changed.
    pub(crate) is_planned: bool,
    pub(crate) from: Instant,
    /// `None` as long as it lasts.
    pub(crate) to: Option<Instant>,
}

/// A change that must be in force some time after it was made.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) kind: ChangeKind,
    pub(crate) at: Instant,
    /// When it was taken back.
    pub(crate) to: Option<Instant>,
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    /// The key of this version replaced all before.
    KeyRotated(u64),
    /// Targets of this data centre are to get nothing.
    DataCentreOut(String),
    /// This life of a target leaves; identity and life.
    TargetDraining(String, u64),
}

/// A life of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetIncarnation {
    pub(crate) id: String,
    pub(crate) data_centre: String,
    pub(crate) number: u64,
    pub(crate) from: Instant,
    pub(crate) cold: Duration,
}

#[derive(Debug, Default)]
pub(crate) struct Events {
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) disruptions: Vec<Disruption>,
    pub(crate) changes: Vec<Change>,
    pub(crate) target_incarnations: Vec<TargetIncarnation>,
    /// Promises that were broken.
    pub(crate) violations: Vec<String>,
}

/// All that happened.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(Arc<Mutex<Events>>);

impl History {
    pub(crate) fn events(&self) -> MutexGuard<'_, Events> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that something is wrong from now on; returns its number.
    pub(crate) fn begin_disruption(&self, component: Component, is_planned: bool) -> usize {
        let mut events = self.events();
        events.disruptions.push(Disruption {
            component,
            is_planned,
            from: Instant::now(),
            to: None,
        });
        events.disruptions.len() - 1
    }

    /// Notes that a target has been down since a moment; returns its number.
    pub(crate) fn begin_disruption_at(&self, from: Instant, component: Component) -> usize {
        let number = self.begin_disruption(component, false);
        self.events().disruptions[number].from = from;
        number
    }

    /// Watches whether this process gets processor time, until the history ends.
    pub(crate) fn watch_for_stalls(&self) {
        let events = Arc::downgrade(&self.0);
        std::thread::spawn(move || {
            let mut last = Instant::now();
            while let Some(events) = events.upgrade() {
                let now = Instant::now();
                if now - last > STALL_THRESHOLD {
                    Self(events).record_stall(last, now);
                }
                last = now;
                std::thread::sleep(STALL_CHECK_INTERVAL);
            }
        });
    }

    fn record_stall(&self, from: Instant, to: Instant) {
        eprintln!("the machine stalled for {:?}", to - from);
        let number = self.begin_disruption_at(from, Component::Machine);
        self.events().disruptions[number].to = Some(to);
    }

    /// Notes that it is no longer.
    pub(crate) fn end_disruption(&self, number: usize) {
        self.events().disruptions[number].to = Some(Instant::now());
    }

    /// Notes a change that was just made; returns its number.
    pub(crate) fn record_change(&self, kind: ChangeKind) -> usize {
        let mut events = self.events();
        events.changes.push(Change {
            kind,
            at: Instant::now(),
            to: None,
        });
        events.changes.len() - 1
    }

    /// Notes that a change is about to be taken back.
    pub(crate) fn end_change(&self, number: usize) {
        self.events().changes[number].to = Some(Instant::now());
    }

    pub(crate) fn record_violation(&self, violation: String) {
        eprintln!("violation: {violation}");
        self.events().violations.push(violation);
    }
}

impl Events {
    /// Whether nothing that `counts` was wrong between two moments.
    pub(crate) fn is_undisrupted<C>(&self, from: Instant, to: Instant, is_relevant: C) -> bool
    where
        C: Fn(&Disruption) -> bool,
    {
        !self.disruptions.iter().any(|disruption| {
            let is_over = disruption.to.is_some_and(|end| end < from);
            let applies = disruption.component == Component::Machine || is_relevant(disruption);
            disruption.from <= to && !is_over && applies
        })
    }
}
