//! Callers that keep their connections open until the node is gone.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller;
use filbertpaddle_adapter_standins::caller::Connection;
use filbertpaddle_adapter_standins::caller::ReceivedAnswer;
use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::READ_PATH;
use filbertpaddle_adapter_standins::configuration::RESUMABLE_PATH;
use filbertpaddle_adapter_standins::configuration::STREAM_PATH;
use filbertpaddle_adapter_standins::configuration::WRITE_PATH;
use filbertpaddle_adapter_standins::target::EVENT_TOKENS;
use filbertpaddle_adapter_standins::target::POISON;
use http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;

use crate::cluster::Addresses;
use crate::history::Exchange;
use crate::history::History;
use crate::history::Kind;
use crate::promises;

/// Between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..150;
/// Share of callers that leave early.
const LEAVE_SHARE: f64 = 0.03;
/// Share of requests on a new connection.
const NEW_SHARE: f64 = 0.1;
/// How often a request that crashes targets is sent, and the pause between.
const POISON_COUNT: usize = 30;
const POISON_PAUSE: Duration = Duration::from_millis(400);
/// How the attempts of probes begin.
pub(crate) const PROBE: &str = "probe-";
const MAX_EVENTS: u64 = 150;
const PROMPT_TOKENS: u32 = 1_000;

/// What all callers share.
#[derive(Clone, Debug)]
pub(crate) struct Traffic {
    pub(crate) addresses: Addresses,
    pub(crate) history: History,
    pub(crate) stop: Arc<AtomicBool>,
}

/// Sends requests until told to stop.
pub(crate) async fn call(traffic: Traffic, seed: u64, number: usize) {
    let mut rng = StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
    let mut kept: Option<(usize, Connection)> = None;
    let mut count = 0;
    while !traffic.stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
        count += 1;
        let key = traffic.addresses.key();
        let (kind, events, ask) = draw(&mut rng, format!("{seed}-{number}-{count}"), key);
        if rng.random_bool(NEW_SHARE) {
            kept = None;
        }
        let is_kept = match &mut kept {
            Some((_, connection)) => connection.is_open().await,
            None => false,
        };
        if !is_kept {
            let node = rng.random_range(0..traffic.addresses.count());
            kept = open(&traffic.addresses, node).await;
        }
        let Some((node, connection)) = &mut kept else {
            continue;
        };
        let sent = Instant::now();
        let got = connection.send(&ask).await;
        let exchange = Exchange {
            attempt: ask.attempt,
            kind,
            events,
            node: *node,
            key,
            sent,
            ended: Instant::now(),
            is_kept,
            patience_ms: ask.deadline_ms,
            got,
        };
        if !exchange.got.is_complete {
            kept = None;
        }
        promises::check_answer(&traffic.history, &exchange);
        traffic.history.events().exchanges.push(exchange);
    }
}

async fn open(addresses: &Addresses, node: usize) -> Option<(usize, Connection)> {
    let opened = Connection::open(addresses.address(node));
    let connection = tokio::time::timeout(Duration::from_secs(1), opened).await;
    Some((node, connection.ok()??))
}

/// Sends one request on a new connection, which is not judged with the others.
pub(crate) async fn probe(addresses: &Addresses, node: usize, number: usize) -> ReceivedAnswer {
    let attempt = format!("{PROBE}{node}-{number}");
    let ask = ask(Kind::Read, attempt, 0, addresses.key());
    caller::send(addresses.address(node), &ask).await
}

/// Resends through one node after another what crashes its targets.
pub(crate) async fn poison(addresses: Addresses, history: History) {
    for number in 0..POISON_COUNT {
        let node = number % addresses.count();
        let key = addresses.key();
        let attempt = format!("{POISON}-{}", rand::random::<u64>());
        let mut ask = ask(Kind::Write, attempt, 0, key);
        ask.content = Some(POISON.to_owned());
        let sent = Instant::now();
        let got = caller::send(addresses.address(node), &ask).await;
        history.events().exchanges.push(Exchange {
            attempt: ask.attempt,
            kind: Kind::Write,
            events: 0,
            node,
            key,
            sent,
            ended: Instant::now(),
            is_kept: false,
            patience_ms: ask.deadline_ms,
            got,
        });
        sleep(POISON_PAUSE).await;
    }
}

fn draw(rng: &mut StdRng, attempt: String, key: u64) -> (Kind, u64, SentRequest) {
    let kind = match rng.random_range(0..10) {
        0..3 => Kind::Read,
        3..6 => Kind::Write,
        6..8 => Kind::Stream,
        _ => Kind::Resumable,
    };
    let events = match kind.is_stream() {
        true => rng.random_range(1..=MAX_EVENTS),
        false => 0,
    };
    let mut ask = ask(kind, attempt, events, key);
    if rng.random_bool(LEAVE_SHARE) {
        ask.deadline_ms = rng.random_range(1..300);
    }
    (kind, events, ask)
}

fn ask(kind: Kind, attempt: String, events: u64, key: u64) -> SentRequest {
    let (method, path) = match kind {
        Kind::Read => (Method::GET, READ_PATH),
        Kind::Write => (Method::POST, WRITE_PATH),
        Kind::Stream => (Method::POST, STREAM_PATH),
        Kind::Resumable => (Method::POST, RESUMABLE_PATH),
    };
    let output = u32::try_from(events * EVENT_TOKENS).unwrap();
    SentRequest {
        attempt,
        method,
        path: path.to_owned(),
        key: Some(promises::key(key)),
        deadline_ms: if kind.is_stream() { 9_000 } else { 3_000 },
        content: None,
        tokens: kind.is_stream().then_some((PROMPT_TOKENS, output)),
    }
}
