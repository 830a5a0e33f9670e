//! Stand-in of the platform: table, objects, weight leases and VM list.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_platform::protocol::Read;
use filbertpaddle_platform::protocol::Row;
use filbertpaddle_platform::protocol::Rows;
use filbertpaddle_platform::protocol::Scan;
use filbertpaddle_platform::protocol::TransactAnswer;
use filbertpaddle_platform::protocol::Transaction;
use filbertpaddle_platform::protocol::VmList;
use filbertpaddle_platform::protocol::WeightLeaseAnswer;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::platform_faults::Faults;
use crate::platform_faults::Loss;
use crate::platform_faults::Outage;
use crate::platform_http;
use crate::rate_limiter::RateLimiter;
use crate::server::Server;
use crate::table::Table;
use crate::vm_list_history::VmListHistory;

/// A running platform stand-in.
///
/// It loses everything when it is closed.
#[derive(Debug)]
pub struct Platform {
    /// Address that serves the platform's protocol.
    pub address: SocketAddr,
    /// Address that serves the control requests.
    pub control: SocketAddr,
    state: State,
    serving: Server,
    controlling: Server,
}

/// Requests that took effect since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Transactions that were committed.
    pub commits: u64,
    /// Transactions that ended in a conflict.
    pub conflicts: u64,
    /// Rows written by the commits.
    pub rows: u64,
    /// Reads and scans.
    pub reads: u64,
    /// Objects written.
    pub objects: u64,
    /// Requests turned away by a rate limit.
    pub limited: u64,
}

/// Why no answer is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The rate limit was hit and nothing was done.
    Limited,
    /// The service is down and nothing was done.
    Down,
    /// The answer is lost in the given way after the transaction took effect.
    Lost(Loss),
}

/// What a request needs from the rate limits.
#[derive(Clone, Copy, Debug)]
enum Cost {
    Free,
    Read,
    Write,
}

/// State shared between requests.
#[derive(Clone, Debug)]
pub(crate) struct State {
    inner: Arc<Mutex<Inner>>,
    faults: Arc<watch::Sender<Faults>>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    objects: HashMap<String, Bytes>,
    vms: VmListHistory,
    writes: RateLimiter,
    reads: RateLimiter,
    loads: RateLimiter,
    counts: Counts,
}

impl Platform {
    /// Starts the platform at `address` and its control port beside it.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let control = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_with_control(address, control).await
    }

    /// Starts the platform at `address` and its control port at `control`.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start_with_control(address: SocketAddr, control: SocketAddr) -> io::Result<Self> {
        let state = State::new();
        let serving = Server::start(address, platform_http::platform(&state)).await?;
        let controlling = Server::start(control, platform_http::control(&state)).await?;
        Ok(Self {
            address: serving.address,
            control: controlling.address,
            state,
            serving,
            controlling,
        })
    }

    /// Returns the base URL for clients.
    pub fn base(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> Faults {
        self.state.faults()
    }

    /// Replaces the faults that are switched on.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, list: VmList) {
        self.state.set_vms(list);
    }

    /// Returns what took effect since the start.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns all rows whose key starts with `prefix`, whatever the faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let scan = Scan {
            prefix: prefix.to_owned(),
            after: None,
            limit: u32::MAX,
        };
        self.state.lock().table.scan(&scan).rows
    }

    /// Performs a transaction, whatever the faults.
    pub fn transact(&self, transaction: Transaction) -> TransactAnswer {
        self.state.lock().table.transact(transaction)
    }

    /// Stops serving.
    pub async fn close(self) {
        self.serving.close().await;
        self.controlling.close().await;
    }
}

impl State {
    fn new() -> Self {
        let now = Instant::now();
        let inner = Inner {
            table: Table::default(),
            objects: HashMap::new(),
            vms: VmListHistory::default(),
            writes: RateLimiter::new(now),
            reads: RateLimiter::new(now),
            loads: RateLimiter::new(now),
            counts: Counts::default(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            faults: Arc::new(watch::Sender::new(Faults::default())),
        }
    }

    pub(crate) fn faults(&self) -> Faults {
        self.faults.borrow().clone()
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        self.faults.send_replace(faults);
    }

    pub(crate) fn set_vms(&self, list: VmList) {
        self.lock().vms.set(list, Instant::now());
    }

    pub(crate) fn counts(&self) -> Counts {
        self.lock().counts
    }

    pub(crate) async fn transact(
        &self,
        transaction: Transaction,
    ) -> Result<TransactAnswer, Refusal> {
        self.admit(Cost::Write).await?;
        let answer = self.lock().transact(transaction);
        if self.take_loss() {
            return Err(Refusal::Lost(self.faults().loss));
        }
        self.delay().await;
        Ok(answer)
    }

    pub(crate) async fn read(&self, read: Read) -> Result<Rows, Refusal> {
        self.admit(Cost::Read).await?;
        let rows = self.lock().table.read(read);
        self.delay().await;
        Ok(rows)
    }

    pub(crate) async fn scan(&self, scan: Scan) -> Result<Rows, Refusal> {
        self.admit(Cost::Read).await?;
        let rows = self.lock().table.scan(&scan);
        self.delay().await;
        Ok(rows)
    }

    pub(crate) async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Refusal> {
        self.admit(Cost::Read).await?;
        let bytes = self.lock().objects.get(key).cloned();
        self.delay().await;
        Ok(bytes)
    }

    pub(crate) async fn put_object(&self, key: String, bytes: Bytes) -> Result<(), Refusal> {
        self.admit(Cost::Write).await?;
        self.lock().put_object(key, bytes);
        self.delay().await;
        Ok(())
    }

    pub(crate) async fn ask_weights(&self) -> Result<WeightLeaseAnswer, Refusal> {
        self.admit(Cost::Free).await?;
        let per_sec = self.faults().loads_per_sec;
        let granted = self.lock().loads.allow(per_sec, Instant::now());
        self.delay().await;
        let interval = per_sec.map_or(0, |per_sec| 1_000 / u64::from(per_sec.max(1)));
        Ok(WeightLeaseAnswer {
            granted,
            retry_after_ms: Millis(interval),
        })
    }

    pub(crate) async fn vms(&self) -> Result<VmList, Refusal> {
        self.admit(Cost::Free).await?;
        let lag = Duration::from_millis(self.faults().vm_lag_ms.0);
        let list = self.lock().vms.get(lag, Instant::now());
        self.delay().await;
        Ok(list)
    }

    async fn admit(&self, cost: Cost) -> Result<(), Refusal> {
        let faults = self.faults();
        match faults.outage {
            Outage::None => {}
            Outage::Refuse => return Err(Refusal::Down),
            Outage::Stall => {
                let mut changes = self.faults.subscribe();
                // The sender lives in `self`, so the wait ends only by the condition.
                let _ = changes
                    .wait_for(|faults| faults.outage != Outage::Stall)
                    .await;
                return Err(Refusal::Down);
            }
        }
        if self.lock().allow(cost, &faults) {
            Ok(())
        } else {
            Err(Refusal::Limited)
        }
    }

    async fn delay(&self) {
        let latency_ms = self.faults().latency_ms;
        if latency_ms > Millis::ZERO {
            tokio::time::sleep(Duration::from_millis(latency_ms.0)).await;
        }
    }

    /// Uses up one lost answer and returns whether there was one.
    fn take_loss(&self) -> bool {
        self.faults.send_if_modified(|faults| {
            let lost = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            lost
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn allow(&mut self, cost: Cost, faults: &Faults) -> bool {
        let now = Instant::now();
        let allowed = match cost {
            Cost::Free => true,
            Cost::Read => self.reads.allow(faults.reads_per_sec, now),
            Cost::Write => self.writes.allow(faults.writes_per_sec, now),
        };
        match cost {
            _ if !allowed => self.counts.limited += 1,
            Cost::Read => self.counts.reads += 1,
            Cost::Free | Cost::Write => {}
        }
        allowed
    }

    fn transact(&mut self, transaction: Transaction) -> TransactAnswer {
        let rows = transaction.writes.len() as u64;
        let answer = self.table.transact(transaction);
        match answer {
            TransactAnswer::Committed { .. } => {
                self.counts.commits += 1;
                self.counts.rows += rows;
            }
            TransactAnswer::Conflict { .. } => self.counts.conflicts += 1,
        }
        answer
    }

    fn put_object(&mut self, key: String, bytes: Bytes) {
        self.counts.objects += 1;
        self.objects.insert(key, bytes);
    }
}
