//! Platform stand-in: table, objects, weight leases and VM list, with injected faults.

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
/// Its data is kept in memory and lost when it is closed.
#[derive(Debug)]
pub struct Platform {
    /// Address of the platform's protocol.
    pub address: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
    state: PlatformState,
    platform_server: Server,
    control_server: Server,
}

/// Counts of requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Committed transactions.
    pub commits: u64,
    /// Transactions that ended in a conflict.
    pub conflicts: u64,
    /// Rows written or deleted by the committed transactions.
    pub rows: u64,
    /// Reads of rows or objects, and scans.
    pub reads: u64,
    /// Objects written.
    pub objects: u64,
    /// Requests refused by a rate limit.
    pub limited: u64,
}

/// Why a request gets no regular answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// A rate limit was exceeded; the request had no effect.
    RateLimited,
    /// The platform is unavailable; the request had no effect.
    Unavailable,
    /// The transaction took effect, but its answer is lost in the given way.
    AnswerLost(Loss),
}

/// The rate limit that a request counts against.
#[derive(Clone, Copy, Debug)]
enum RateLimit {
    Unlimited,
    Read,
    Write,
}

/// State shared between requests.
#[derive(Clone, Debug)]
pub(crate) struct PlatformState {
    inner: Arc<Mutex<Inner>>,
    faults: Arc<watch::Sender<Faults>>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    objects: HashMap<String, Bytes>,
    vms: VmListHistory,
    write_limiter: RateLimiter,
    read_limiter: RateLimiter,
    load_limiter: RateLimiter,
    counts: Counts,
}

impl Platform {
    /// Starts the platform at `address` and its control port at any free local port.
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
        let state = PlatformState::new();
        let platform_server =
            Server::start(address, platform_http::platform_routes(&state)).await?;
        let control_server = Server::start(control, platform_http::control_routes(&state)).await?;
        Ok(Self {
            address: platform_server.address,
            control: control_server.address,
            state,
            platform_server,
            control_server,
        })
    }

    /// Returns the base URL for clients.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.state.faults()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.state.set_faults(faults);
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, list: VmList) {
        self.state.set_vms(list);
    }

    /// Returns the counts of requests since the start.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Returns all rows whose key starts with `prefix`, regardless of the faults.
    pub fn rows(&self, prefix: &str) -> Vec<Row> {
        let scan = Scan {
            prefix: prefix.to_owned(),
            after: None,
            limit: u32::MAX,
        };
        self.state.lock().table.scan(&scan).rows
    }

    /// Performs a transaction, regardless of the faults.
    pub fn transact(&self, transaction: Transaction) -> TransactAnswer {
        self.state.lock().table.transact(transaction)
    }

    /// Stops serving.
    pub async fn close(self) {
        self.platform_server.close().await;
        self.control_server.close().await;
    }
}

impl PlatformState {
    fn new() -> Self {
        let now = Instant::now();
        let inner = Inner {
            table: Table::default(),
            objects: HashMap::new(),
            vms: VmListHistory::default(),
            write_limiter: RateLimiter::new(now),
            read_limiter: RateLimiter::new(now),
            load_limiter: RateLimiter::new(now),
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
        self.admit(RateLimit::Write).await?;
        let answer = self.lock().transact(transaction);
        if self.consume_lost_answer() {
            return Err(Refusal::AnswerLost(self.faults().loss));
        }
        self.delay().await;
        Ok(answer)
    }

    pub(crate) async fn read(&self, read: Read) -> Result<Rows, Refusal> {
        self.admit(RateLimit::Read).await?;
        let rows = self.lock().table.read(read);
        self.delay().await;
        Ok(rows)
    }

    pub(crate) async fn scan(&self, scan: Scan) -> Result<Rows, Refusal> {
        self.admit(RateLimit::Read).await?;
        let rows = self.lock().table.scan(&scan);
        self.delay().await;
        Ok(rows)
    }

    pub(crate) async fn get_object(&self, key: &str) -> Result<Option<Bytes>, Refusal> {
        self.admit(RateLimit::Read).await?;
        let bytes = self.lock().objects.get(key).cloned();
        self.delay().await;
        Ok(bytes)
    }

    pub(crate) async fn put_object(&self, key: String, bytes: Bytes) -> Result<(), Refusal> {
        self.admit(RateLimit::Write).await?;
        self.lock().put_object(key, bytes);
        self.delay().await;
        Ok(())
    }

    pub(crate) async fn request_weight_lease(&self) -> Result<WeightLeaseAnswer, Refusal> {
        self.admit(RateLimit::Unlimited).await?;
        let per_sec = self.faults().loads_per_sec;
        let granted = self.lock().load_limiter.allow(per_sec, Instant::now());
        self.delay().await;
        let interval = per_sec.map_or(0, |per_sec| 1_000 / u64::from(per_sec.max(1)));
        Ok(WeightLeaseAnswer {
            granted,
            retry_after_ms: Millis(interval),
        })
    }

    pub(crate) async fn vms(&self) -> Result<VmList, Refusal> {
        self.admit(RateLimit::Unlimited).await?;
        let lag = Duration::from_millis(self.faults().vm_lag_ms.0);
        let list = self.lock().vms.get(lag, Instant::now());
        self.delay().await;
        Ok(list)
    }

    /// Applies the outage and the rate limits to a request.
    async fn admit(&self, limit: RateLimit) -> Result<(), Refusal> {
        let faults = self.faults();
        match faults.outage {
            Outage::None => {}
            Outage::Refuse => return Err(Refusal::Unavailable),
            Outage::Stall => {
                let mut changes = self.faults.subscribe();
                // `self` holds the sender, so the wait ends only by the condition.
                let _ = changes
                    .wait_for(|faults| faults.outage != Outage::Stall)
                    .await;
                return Err(Refusal::Unavailable);
            }
        }
        if self.lock().allow(limit, &faults) {
            Ok(())
        } else {
            Err(Refusal::RateLimited)
        }
    }

    async fn delay(&self) {
        let latency_ms = self.faults().latency_ms;
        if latency_ms > Millis::ZERO {
            tokio::time::sleep(Duration::from_millis(latency_ms.0)).await;
        }
    }

    /// Returns whether this answer is to be lost, and counts it down.
    fn consume_lost_answer(&self) -> bool {
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
    fn allow(&mut self, limit: RateLimit, faults: &Faults) -> bool {
        let now = Instant::now();
        let allowed = match limit {
            RateLimit::Unlimited => true,
            RateLimit::Read => self.read_limiter.allow(faults.reads_per_sec, now),
            RateLimit::Write => self.write_limiter.allow(faults.writes_per_sec, now),
        };
        match limit {
            _ if !allowed => self.counts.limited += 1,
            RateLimit::Read => self.counts.reads += 1,
            RateLimit::Unlimited | RateLimit::Write => {}
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
