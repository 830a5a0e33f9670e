//! Simulated callers, which send random requests and keep their connections open until the
//! node closes them, also while it is stopping.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::Connection;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::Resume;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::READ_PATH;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use filbertpaddle_adapter_standins::configuration::STREAM_PATH;
use filbertpaddle_adapter_standins::configuration::WRITE_PATH;
use filbertpaddle_adapter_standins::poison::DEADLY_PART;
use filbertpaddle_adapter_standins::poison::POISON;
use filbertpaddle_adapter_standins::poison::crash_after;
use filbertpaddle_adapter_standins::target::EVENT_TOKENS;
use http::Method;
use http::Version;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::cluster::Addresses;
use crate::history::Exchange;
use crate::history::History;
use crate::history::RequestKind;
use crate::invariants;

/// Pause between two requests of a caller.
const REQUEST_PAUSE_MS: std::ops::Range<u64> = 5..150;
/// Share of requests that their caller may abort early.
const ABORT_SHARE: f64 = 0.03;
/// Share of requests sent on a new connection.
const NEW_CONNECTION_SHARE: f64 = 0.1;
/// Of this many callers, one uses HTTP/1.0, where any does.
const OLD_CALLER_INTERVAL: usize = 4;
/// Number of requests that crash targets.
const POISON_REQUESTS: usize = 60;
/// Pause between two such requests.
const POISON_PAUSE: Duration = Duration::from_millis(200);
/// Number of events of a generation that crashes targets.
const DEADLY_EVENTS: u64 = 20;
/// Events after which they crash their target in turn; 0 for a moment after the head.
const DEADLY_AFTER: [u64; 4] = [0, 1, 2, 10];
/// Prefix of the attempt names of requests with a part that crashes targets.
pub(crate) const DEADLY_PREFIX: &str = "deadly-";
/// Parts that prompts share: the first one, and the second one.
const FIRST_PARTS: [&str; 3] = ["f1", "f2", "f3"];
const SECOND_PARTS: [&str; 3] = ["c1", "c2", "c3"];
/// Prefix of the attempt names of probes.
pub(crate) const PROBE_PREFIX: &str = "probe-";
const MAX_STREAM_EVENTS: u64 = 150;
const PROMPT_TOKENS: u32 = 1_000;

/// State shared by all callers.
#[derive(Clone, Debug)]
pub(crate) struct CallerContext {
    pub(crate) addresses: Addresses,
    pub(crate) history: History,
    pub(crate) stop: Arc<AtomicBool>,
    /// Whether some callers use HTTP/1.0.
    pub(crate) has_old_callers: bool,
}

impl CallerContext {
    /// Returns the version of HTTP that a caller uses.
    fn version(&self, number: usize) -> Version {
        match self.has_old_callers && number.is_multiple_of(OLD_CALLER_INTERVAL) {
            true => Version::HTTP_10,
            false => Version::HTTP_11,
        }
    }
}

/// Sends requests one after another until the stop flag is set.
pub(crate) async fn run_caller(context: CallerContext, seed: u64, number: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut open: Option<(usize, Connection)> = None;
    let mut count = 0;
    while !context.stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.random_range(REQUEST_PAUSE_MS))).await;
        count += 1;
        let key_version = context.addresses.key_version();
        let (kind, events, mut request) =
            random_request(&mut rng, format!("{seed}-{number}-{count}"), key_version);
        request.version = context.version(number);
        if rng.random_bool(NEW_CONNECTION_SHARE) {
            open = None;
        }
        let is_connection_reused = match &mut open {
            Some((_, connection)) => connection.is_open().await,
            None => false,
        };
        if !is_connection_reused {
            let node = rng.random_range(0..context.addresses.count());
            open = connect(&context.addresses, node).await;
        }
        let Some((node, connection)) = &mut open else {
            continue;
        };
        let sent = Instant::now();
        let answer = connection.send(&request).await;
        let exchange = Exchange {
            attempt: request.attempt,
            kind,
            events,
            node: *node,
            key_version,
            sent,
            ended: Instant::now(),
            is_connection_reused,
            caller_timeout_ms: request.deadline_ms,
            version: request.version,
            resume: None,
            answer,
        };
        if !exchange.answer.is_complete {
            open = None;
        }
        invariants::check_answer(&context.history, &exchange);
        context.history.events().exchanges.push(exchange.clone());
        if kind == RequestKind::Resumable {
            resume_broken(&context, &mut rng, exchange).await;
        }
    }
}

/// Takes up a stream that has broken off, at any node, until it is complete or an attempt brings
/// no event.
async fn resume_broken(context: &CallerContext, rng: &mut StdRng, mut exchange: Exchange) {
    for number in 1.. {
        let last_event = exchange.former_events() + invariants::complete_events(&exchange);
        let has_progress = last_event > exchange.former_events();
        if exchange.answer.is_complete || !has_progress || context.stop.load(Ordering::Relaxed) {
            return;
        }
        let first = exchange.first_attempt().to_owned();
        let attempt = format!("{first}-again-{number}");
        let key_version = context.addresses.key_version();
        let resume = Resume {
            attempt: Some(first),
            last_event,
        };
        let request = SentRequest {
            resume: Some(resume),
            version: exchange.version,
            ..build_request(exchange.kind, attempt, exchange.events, key_version)
        };
        let node = rng.random_range(0..context.addresses.count());
        let (kind, events) = (exchange.kind, exchange.events);
        exchange = send_once(
            &context.addresses,
            node,
            kind,
            events,
            (key_version, request),
        )
        .await;
        invariants::check_answer(&context.history, &exchange);
        context.history.events().exchanges.push(exchange.clone());
    }
}

/// Sends one request, built with this version of the API key, on a new connection.
async fn send_once(
    addresses: &Addresses,
    node: usize,
    kind: RequestKind,
    events: u64,
    (key_version, request): (u64, SentRequest),
) -> Exchange {
    let sent = Instant::now();
    let answer = caller::send(addresses.address(node), &request).await;
    Exchange {
        attempt: request.attempt,
        kind,
        events,
        node,
        key_version,
        sent,
        ended: Instant::now(),
        is_connection_reused: false,
        caller_timeout_ms: request.deadline_ms,
        version: request.version,
        resume: request.resume,
        answer,
    }
}

async fn connect(addresses: &Addresses, node: usize) -> Option<(usize, Connection)> {
    let opened = Connection::open(addresses.address(node));
    let connection = tokio::time::timeout(Duration::from_secs(1), opened).await;
    Some((node, connection.ok()??))
}

/// Sends one request on a new connection. Probes are not recorded in the history.
pub(crate) async fn probe(addresses: &Addresses, node: usize, number: usize) -> ReceivedAnswer {
    let attempt = format!("{PROBE_PREFIX}{node}-{number}");
    let request = build_request(RequestKind::Read, attempt, 0, addresses.key_version());
    caller::send(addresses.address(node), &request).await
}

/// Sends requests that crash targets through one node after another: one that is repeated, and
/// in between others that have only a part of their prompt in common.
pub(crate) async fn send_poison(addresses: Addresses, history: History) {
    for number in 0..POISON_REQUESTS {
        let node = number / 2 % addresses.count();
        let key_version = addresses.key_version();
        let request = match number % 2 {
            0 => repeated_poison(key_version),
            _ => deadly_generation(key_version, DEADLY_AFTER[number / 2 % DEADLY_AFTER.len()]),
        };
        let (kind, events) = match request.tokens {
            None => (RequestKind::Write, 0),
            Some(_) => (RequestKind::Stream, DEADLY_EVENTS),
        };
        let exchange = send_once(&addresses, node, kind, events, (key_version, request)).await;
        history.events().exchanges.push(exchange);
        sleep(POISON_PAUSE).await;
    }
}

fn repeated_poison(key_version: u64) -> SentRequest {
    let attempt = format!("{POISON}-{}", rand::random::<u64>());
    SentRequest {
        content: Some(POISON.to_owned()),
        ..build_request(RequestKind::Write, attempt, 0, key_version)
    }
}

fn deadly_generation(key_version: u64, after_event: u64) -> SentRequest {
    let attempt = format!("{DEADLY_PREFIX}{}", rand::random::<u64>());
    let parts = [FIRST_PARTS[0], SECOND_PARTS[0], DEADLY_PART];
    let mut parts = parts.map(str::to_owned).to_vec();
    if after_event > 0 {
        parts.push(crash_after(after_event));
    }
    SentRequest {
        shared_parts: parts,
        ..build_request(RequestKind::Stream, attempt, DEADLY_EVENTS, key_version)
    }
}

fn random_request(
    rng: &mut StdRng,
    attempt: String,
    key_version: u64,
) -> (RequestKind, u64, SentRequest) {
    let kind = match rng.random_range(0..10) {
        0..3 => RequestKind::Read,
        3..6 => RequestKind::Write,
        6..8 => RequestKind::Stream,
        _ => RequestKind::Resumable,
    };
    let events = match kind.is_stream() {
        true => rng.random_range(1..=MAX_STREAM_EVENTS),
        false => 0,
    };
    let mut request = build_request(kind, attempt, events, key_version);
    if kind.is_stream() {
        let first = FIRST_PARTS[events as usize % FIRST_PARTS.len()];
        let second = SECOND_PARTS[events as usize / 10 % SECOND_PARTS.len()];
        request.shared_parts = vec![first.to_owned(), second.to_owned()];
    }
    if rng.random_bool(ABORT_SHARE) {
        request.deadline_ms = rng.random_range(1..300);
    }
    (kind, events, request)
}

fn build_request(kind: RequestKind, attempt: String, events: u64, key_version: u64) -> SentRequest {
    let (method, path) = match kind {
        RequestKind::Read => (Method::GET, READ_PATH),
        RequestKind::Write => (Method::POST, WRITE_PATH),
        RequestKind::Stream => (Method::POST, STREAM_PATH),
        RequestKind::Resumable => (Method::POST, RESUMABLE_PATH),
    };
    let output = u32::try_from(events * EVENT_TOKENS).unwrap();
    SentRequest {
        attempt,
        method,
        path: path.to_owned(),
        key: Some(invariants::api_key(key_version)),
        deadline_ms: if kind.is_stream() { 9_000 } else { 3_000 },
        content: None,
        tokens: kind.is_stream().then_some((PROMPT_TOKENS, output)),
        shared_parts: Vec::new(),
        resume: None,
        version: Version::HTTP_11,
    }
}
