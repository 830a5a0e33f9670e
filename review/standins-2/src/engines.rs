//! Targets that are model engines: they crash by a part of a prompt, or by themselves, and come
//! back.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_adapter_standins::caller::SentRequest;
use filbertpaddle_adapter_standins::configuration::STREAM_PATH;
use filbertpaddle_adapter_standins::poison::DEADLY_PART;
use filbertpaddle_adapter_standins::poison::crash_after;
use filbertpaddle_adapter_standins::target;
use filbertpaddle_adapter_standins::target::Target;
use filbertpaddle_standins::loopback::next_host;
use tokio::task::JoinSet;
use tokio::time::interval;

use crate::Error;
use crate::caller::CallerStream;
use crate::caller::generation;
use crate::fleet::DATA_CENTRES;
use crate::fleet::Fleet;
use crate::record::Record;

/// Version of the engines' software, until one is upgraded.
pub const FIRST_VERSION: &str = "v1";
/// Time until a crashed target is back.
pub const DOWN_TIME: Duration = Duration::from_secs(3);
/// Part that requests with and without the crashing part share: the first one of their prompts.
const FIRST_PART: &str = "5c1e07a2";
/// Output tokens of a request: 4 events.
const OUTPUT_TOKENS: u32 = 16;
const EVENTS: usize = 4;
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// An engine that has crashed by itself.
#[derive(Clone, Debug)]
pub struct Crashed {
    id: String,
    address: SocketAddr,
    incarnation: u64,
    at: Instant,
}

/// The engines of a fleet, all of one service and version.
#[derive(Debug)]
pub struct Engines {
    /// The running ones, and those that have crashed and are not back yet.
    engines: Vec<Target>,
    /// Time from a request's arrival to the first event, and between events.
    event_ms: u64,
    /// Times of the crashes by a part of a prompt.
    crashes: Vec<Instant>,
    /// Those that have crashed by themselves and come back after [`DOWN_TIME`].
    down: Vec<Crashed>,
    record: Record,
}

impl Engines {
    /// Starts `count` engines.
    pub async fn start(
        fleet: &Fleet,
        count: usize,
        event_ms: u64,
        record: &Record,
    ) -> Result<Self, Error> {
        let mut all = Self {
            engines: Vec::new(),
            event_ms,
            crashes: Vec::new(),
            down: Vec::new(),
            record: record.clone(),
        };
        all.add(fleet, 0..count, FIRST_VERSION).await?;
        Ok(all)
    }

    /// Starts further engines, with a version of their software.
    pub async fn add(
        &mut self,
        fleet: &Fleet,
        numbers: Range<usize>,
        version: &str,
    ) -> Result<(), Error> {
        for number in numbers {
            let address = SocketAddr::new(next_host().into(), 0);
            let id = format!("i-engine-{number}");
            let engine = self.start_one(fleet, &id, 1, address, version).await?;
            fleet
                .store
                .put_target(&id, &engine.announce(engine.address));
            self.engines.push(engine);
        }
        Ok(())
    }

    /// Starts further engines with another pace, which go on with requests whose connection was
    /// closed.
    pub async fn add_slow(
        &mut self,
        fleet: &Fleet,
        numbers: Range<usize>,
        event_ms: u64,
    ) -> Result<(), Error> {
        let usual_ms = std::mem::replace(&mut self.event_ms, event_ms);
        let former = self.engines.len();
        let added = self.add(fleet, numbers, FIRST_VERSION).await;
        self.event_ms = usual_ms;
        self.engines[former..].iter().for_each(Target::keep_closed);
        added
    }

    /// Returns the targets and attempts of the generations that are running.
    pub fn running(&self) -> Vec<(String, String)> {
        let all = self
            .engines
            .iter()
            .map(|engine| (engine.options.id.clone(), engine.running()));
        all.flat_map(|(id, running)| {
            running
                .into_keys()
                .map(move |attempt| (id.clone(), attempt))
        })
        .collect()
    }

    /// Returns the number of those that serve.
    pub fn serving(&self) -> usize {
        let engines = self.engines.iter();
        engines
            .filter(|engine| engine.crashed_at().is_none())
            .count()
    }

    /// Starts those anew that crashed some seconds ago.
    pub async fn restart_crashed(&mut self, fleet: &Fleet) -> Result<(), Error> {
        for index in 0..self.engines.len() {
            let crashed = &self.engines[index];
            let Some(at) = crashed.crashed_at().filter(|at| at.elapsed() >= DOWN_TIME) else {
                continue;
            };
            let (id, address) = (crashed.options.id.clone(), crashed.address);
            let incarnation = crashed.options.incarnation + 1;
            self.crashes.push(at);
            self.record
                .add_at(at, format!("{id} has crashed by a part of a prompt"));
            let engine = self.start_one(fleet, &id, incarnation, address, FIRST_VERSION);
            self.engines[index] = engine.await?;
            self.announce(fleet, &id);
        }
        let down = std::mem::take(&mut self.down);
        for crashed in down {
            if crashed.at.elapsed() < DOWN_TIME {
                self.down.push(crashed);
                continue;
            }
            self.bring_back(fleet, &crashed, FIRST_VERSION).await?;
            self.announce(fleet, &crashed.id);
        }
        Ok(())
    }

    /// Crashes an engine without a request's fault. It comes back after [`DOWN_TIME`].
    pub async fn crash(&mut self, id: &str) -> Result<(), Error> {
        let crashed = self.take_down(id).await?;
        self.down.push(crashed);
        Ok(())
    }

    /// Crashes an engine without a request's fault.
    pub async fn take_down(&mut self, id: &str) -> Result<Crashed, Error> {
        let index = self
            .engines
            .iter()
            .position(|engine| engine.options.id == id);
        let engine = self.engines.swap_remove(index.ok_or("no such engine")?);
        let crashed = Crashed {
            id: id.to_owned(),
            address: engine.address,
            incarnation: engine.options.incarnation,
            at: Instant::now(),
        };
        self.record.add(format!("{id} crashes by itself"));
        engine.end().await;
        Ok(crashed)
    }

    /// Starts a crashed engine anew under its former ID, with a version of its software. The store
    /// does not learn of it yet.
    pub async fn bring_back(
        &mut self,
        fleet: &Fleet,
        crashed: &Crashed,
        version: &str,
    ) -> Result<(), Error> {
        let Crashed {
            id,
            address,
            incarnation,
            ..
        } = crashed;
        let engine = self
            .start_one(fleet, id, incarnation + 1, *address, version)
            .await?;
        self.engines.push(engine);
        self.record
            .add(format!("{id} is back, with software {version}"));
        Ok(())
    }

    /// Writes the entry of an engine.
    pub fn announce(&self, fleet: &Fleet, id: &str) {
        if let Some(engine) = self.engines.iter().find(|engine| engine.options.id == id) {
            fleet.store.put_target(id, &engine.announce(engine.address));
            self.record.add(format!("{id} writes its entry"));
        }
    }

    /// Returns the times of the crashes by a part of a prompt, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let pending = self.engines.iter().filter_map(Target::crashed_at);
        let mut crashes: Vec<_> = self.crashes.iter().copied().chain(pending).collect();
        crashes.sort();
        crashes
    }

    async fn start_one(
        &self,
        fleet: &Fleet,
        id: &str,
        incarnation: u64,
        address: SocketAddr,
        version: &str,
    ) -> Result<Target, Error> {
        let IpAddr::V4(ip) = address.ip() else {
            return Err("not an IPv4 address".into());
        };
        let number = id
            .rsplit('-')
            .next()
            .and_then(|number| number.parse::<usize>().ok());
        let options = target::Options {
            id: id.to_owned(),
            ip,
            service: "engine".to_owned(),
            data_centre: DATA_CENTRES[number.unwrap_or_default() % DATA_CENTRES.len()].to_owned(),
            event_ms: self.event_ms,
            work_ms: 15,
            slots: 24,
            cold_ms: 0,
            version: version.to_owned(),
            incarnation,
        };
        let (run_log, copies) = (fleet.run_log.clone(), fleet.copies.clone());
        Ok(Target::start_at(address, options, run_log, copies).await?)
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It has a part that crashes each target that begins to answer it, with its first event.
    Bad,
    /// It shares its caller and its first part with the others.
    Sound,
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Whether its stream has begun.
    pub has_begun: bool,
    /// Whether all of it has arrived.
    pub is_complete: bool,
}

/// Builds a request that no other one equals.
pub fn request(attempt: &str, kind: Kind) -> SentRequest {
    let mut shared_parts = vec![FIRST_PART.to_owned()];
    if kind == Kind::Bad {
        // The second of these lets the stand-in of a target crash after its first event.
        shared_parts.extend([DEADLY_PART.to_owned(), crash_after(1)]);
    }
    SentRequest {
        shared_parts,
        ..generation(attempt, STREAM_PATH, OUTPUT_TOKENS)
    }
}

/// Sends a request and reads its answer.
pub async fn send(node: SocketAddr, attempt: String, kind: Kind, record: Record) -> Answered {
    let request = request(&attempt, kind);
    let Some(mut answer) = CallerStream::open(node, &request).await else {
        record.add(format!("{attempt}: no connection"));
        return Answered {
            has_begun: false,
            is_complete: false,
        };
    };
    answer
        .read_until(READ_TIMEOUT, |answer| answer.events().len() == EVENTS)
        .await;
    let events = answer.events().len();
    record.add(format!(
        "{attempt}: status {:?}, retry after {:?}, {events} events",
        answer.status(),
        answer.retry_after()
    ));
    Answered {
        has_begun: events > 0,
        is_complete: events == EVENTS,
    }
}

/// Sends requests to the nodes in turn, at a steady rate, for a time; returns their answers.
pub async fn send_steadily(
    name: String,
    kind: Kind,
    per_sec: u32,
    time: Duration,
    nodes: Vec<SocketAddr>,
    record: Record,
) -> Vec<Answered> {
    let end = Instant::now() + time;
    let mut timer = interval(Duration::from_secs(1) / per_sec);
    let mut sent = JoinSet::new();
    for number in 0_usize.. {
        timer.tick().await;
        if Instant::now() >= end {
            break;
        }
        let node = nodes[number % nodes.len()];
        sent.spawn(send(node, format!("{name}-{number}"), kind, record.clone()));
    }
    sent.join_all().await
}
