//! Record of a run: requests with their answers, disruptions, changes and violations.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::Resume;
use http::Version;

/// Interval of the check whether this process gets processor time.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time without processor time that counts as a disruption: half of the lateness
/// allowed for an answer.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RequestKind {
    /// An idempotent plain request.
    Read,
    /// A plain request that may run at most once.
    Write,
    /// A generation that may run at most once.
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

/// A request and its answer.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    pub(crate) attempt: String,
    pub(crate) kind: RequestKind,
    /// Number of events of a stream; zero for a plain request.
    pub(crate) events: u64,
    /// Number of the node that received the request.
    pub(crate) node: usize,
    /// Version of the API key that was sent.
    pub(crate) key_version: u64,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// Whether the request was sent on a connection that was already open.
    pub(crate) is_connection_reused: bool,
    /// Time after which the caller aborts the request.
    pub(crate) caller_timeout_ms: u64,
    /// Version of HTTP that the caller uses.
    pub(crate) version: Version,
    /// Stream that it resumes.
    pub(crate) resume: Option<Resume>,
    pub(crate) answer: ReceivedAnswer,
}

impl Exchange {
    /// Returns the attempt that began the stream.
    pub(crate) fn first_attempt(&self) -> &str {
        let resumed = self.resume.as_ref();
        let first = resumed.and_then(|resume| resume.attempt.as_deref());
        first.unwrap_or(&self.attempt)
    }

    /// Returns the ID of the last event that the caller had before.
    pub(crate) fn former_events(&self) -> u64 {
        self.resume.as_ref().map_or(0, |resume| resume.last_event)
    }
}

/// A component that can be disrupted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Component {
    Store,
    Node(usize),
    /// The target with this identity.
    Target(String),
    /// The machine that runs the test, when this process got no processor time.
    Machine,
}

/// A period in which a component was disrupted.
#[derive(Clone, Debug)]
pub(crate) struct Disruption {
    pub(crate) component: Component,
    /// Whether it is a requested stop or drain, or a reload of settings.
    pub(crate) is_planned: bool,
    pub(crate) from: Instant,
    /// End of the period; `None` while it lasts.
    pub(crate) to: Option<Instant>,
}

/// A change that must take effect within a limited time.
#[derive(Clone, Debug)]
pub(crate) struct Change {
    pub(crate) kind: ChangeKind,
    pub(crate) at: Instant,
    /// When the change was reverted; `None` while it is in force.
    pub(crate) to: Option<Instant>,
}

/// Kind of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeKind {
    /// The API key of this version replaced all earlier ones.
    KeyRotated(u64),
    /// This data centre is out of service; its targets must receive no requests.
    DataCentreOut(String),
    /// A target drains; its identity and the number of its incarnation.
    TargetDraining(String, u64),
    /// The nodes of a data centre reach no target.
    TargetsCut(usize),
    /// A target states a rate; its identity and the rate in tenths of requests per second.
    RateStated(String, u32),
}

/// One incarnation of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetIncarnation {
    pub(crate) id: String,
    pub(crate) data_centre: String,
    pub(crate) number: u64,
    pub(crate) from: Instant,
    pub(crate) cold: Duration,
}

/// Everything recorded in a run.
#[derive(Debug, Default)]
pub(crate) struct Events {
    pub(crate) exchanges: Vec<Exchange>,
    pub(crate) disruptions: Vec<Disruption>,
    pub(crate) changes: Vec<Change>,
    pub(crate) target_incarnations: Vec<TargetIncarnation>,
    /// Descriptions of violated invariants.
    pub(crate) violations: Vec<String>,
}

/// Shared handle to the record of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct History(Arc<Mutex<Events>>);

impl History {
    pub(crate) fn events(&self) -> MutexGuard<'_, Events> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a disruption begins now; returns its number.
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

    /// Records an unplanned disruption that began at `from`; returns its number.
    pub(crate) fn begin_disruption_at(&self, from: Instant, component: Component) -> usize {
        let number = self.begin_disruption(component, false);
        self.events().disruptions[number].from = from;
        number
    }

    /// Records periods in which this process gets no processor time, until the history
    /// is dropped.
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
        eprintln!(
            "no processor time for {:?}; recorded as a disruption of the machine",
            to - from
        );
        let number = self.begin_disruption_at(from, Component::Machine);
        self.events().disruptions[number].to = Some(to);
    }

    /// Records that a disruption ends now.
    pub(crate) fn end_disruption(&self, number: usize) {
        self.events().disruptions[number].to = Some(Instant::now());
    }

    /// Records a change that was just made; returns its number.
    pub(crate) fn record_change(&self, kind: ChangeKind) -> usize {
        let mut events = self.events();
        events.changes.push(Change {
            kind,
            at: Instant::now(),
            to: None,
        });
        events.changes.len() - 1
    }

    /// Records that a change is about to be reverted.
    pub(crate) fn end_change(&self, number: usize) {
        self.events().changes[number].to = Some(Instant::now());
    }

    pub(crate) fn record_violation(&self, violation: String) {
        eprintln!("violation: {violation}");
        self.events().violations.push(violation);
    }
}

impl Events {
    /// Returns whether no relevant disruption overlaps the period; disruptions of the
    /// machine are always relevant.
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
