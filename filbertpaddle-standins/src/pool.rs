//! A pool of targets inside the load tool, run by the scheduler of `filbertpaddle_core`.
//!
//! Measures that scheduler alone, without nodes, pool owners and leases.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::policy;
use filbertpaddle_core::scheduler;
use filbertpaddle_core::scheduler::Ending;
use filbertpaddle_core::scheduler::Load;
use filbertpaddle_core::scheduler::RequestId;
use filbertpaddle_core::scheduler::Scheduler;
use filbertpaddle_core::scheduler::SlotId;
use filbertpaddle_core::scheduler::TargetView;
use filbertpaddle_target::client::Client;
use filbertpaddle_target::prefix::digests;
use filbertpaddle_target::protocol::CacheEvent;
use filbertpaddle_target::protocol::LoadReport;
use filbertpaddle_target::protocol::Warmth;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::batch_scheduler::BLOCK_TOKENS;
use crate::batch_scheduler::TOKEN_BYTES;
use crate::workload::Request;

/// Time between two polls of a target for its load report and cache events.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time between two rounds of placement.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait of a request for a slot.
const MAX_WAIT_MS: Millis = Millis(30_000);

/// A granted slot: the right to send one request to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Address of the target.
    pub address: SocketAddr,
    slot: SlotId,
}

/// Return of a grant, with the outcome of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Release {
    /// Grant that is returned.
    pub grant: Grant,
    /// Tokens delivered.
    pub tokens: u32,
    /// How the request ended.
    pub ending: Ending,
}

enum Command {
    Acquire(Box<scheduler::SlotRequest>, oneshot::Sender<Option<Grant>>),
    Release(Release),
    Report(usize, Option<LoadReport>),
    Cache(usize, CacheEvent),
    SetOutOfService(Option<usize>),
}

/// Handle of a pool, which grants slots of its targets.
#[derive(Clone, Debug)]
pub struct Pool {
    commands: mpsc::UnboundedSender<Command>,
}

impl Pool {
    /// Starts a pool over targets, given with their data centres.
    pub fn start(
        client: &Client,
        settings: policy::Settings,
        targets: &[(SocketAddr, usize)],
    ) -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        for (index, (address, _)) in targets.iter().enumerate() {
            tokio::spawn(poll_target(
                client.clone(),
                index,
                *address,
                commands.clone(),
            ));
        }
        let targets = targets
            .iter()
            .map(|(address, data_centre)| Target::new(*address, *data_centre))
            .collect();
        let task = PoolTask {
            scheduler: Scheduler::new(settings),
            targets,
            waiting: IndexMap::new(),
            held: IndexMap::new(),
            out_of_service: None,
            next_id: 0,
            started: Instant::now(),
        };
        tokio::spawn(task.run(received));
        Self { commands }
    }

    /// Waits for a slot; returns `None` if none is granted in time.
    pub async fn acquire(&self, request: &Request) -> Option<Grant> {
        let (answer, granted) = oneshot::channel();
        let blocks = digests(&request.kind.prefix(&request.customer));
        let prompt = request.prompt();
        let slot_request = scheduler::SlotRequest {
            id: RequestId(0),
            customer: request.customer.clone(),
            template: Name::new(format!("{}/{}", request.customer, request.kind.name)),
            priority: request.priority(),
            weight: 1,
            prompt_tokens: (prompt.len() / TOKEN_BYTES) as u32,
            max_tokens: request.kind.max_tokens.max(1),
            prefix: blocks.last().copied().unwrap_or_default(),
            prefix_tokens: blocks.len() as u32 * BLOCK_TOKENS,
            digest: xxh3_64(prompt.as_bytes()),
            parts: Vec::new(),
            arrived_ms: Millis::ZERO,
            deadline_ms: Millis::ZERO,
        };
        let command = Command::Acquire(Box::new(slot_request), answer);
        self.commands.send(command).ok()?;
        granted.await.ok().flatten()
    }

    /// Returns a grant to the pool.
    pub fn release(&self, release: Release) {
        // Sending fails only when the pool has ended together with the run.
        let _ = self.commands.send(Command::Release(release));
    }

    /// Takes a data centre out of service; `None` puts all back in service.
    pub fn set_out_of_service(&self, data_centre: Option<usize>) {
        // Sending fails only when the pool has ended together with the run.
        let _ = self.commands.send(Command::SetOutOfService(data_centre));
    }
}

/// Polls a target for load reports and cache events until the pool ends.
async fn poll_target(
    client: Client,
    index: usize,
    address: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
) {
    let mut sequence = 0;
    loop {
        let report = client.load(address).await.ok();
        if commands.send(Command::Report(index, report)).is_err() {
            return;
        }
        let changes = client.cache(address, sequence).await.unwrap_or_default();
        for event in changes.events {
            sequence = event.sequence;
            // If the pool has ended, sending the next report fails and ends the task.
            let _ = commands.send(Command::Cache(index, event));
        }
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

#[derive(Debug)]
struct Target {
    name: Name,
    address: SocketAddr,
    data_centre: usize,
    held: u32,
    report: Option<LoadReport>,
}

impl Target {
    fn new(address: SocketAddr, data_centre: usize) -> Self {
        Self {
            name: Name::new(address.to_string()),
            address,
            data_centre,
            held: 0,
            report: None,
        }
    }

    /// Returns the target as the scheduler sees it; without free slots if it has no load report,
    /// is leaving or is out of service.
    fn view(&self, out_of_service: Option<usize>) -> TargetView {
        let usable = self
            .report
            .as_ref()
            .filter(|report| !report.leaving && Some(self.data_centre) != out_of_service);
        let limit = usable.map_or(0, |report| match report.warmth {
            Warmth::Cold => report.cold_limit,
            Warmth::Warm => report.warm_limit,
        });
        TargetView {
            name: self.name.clone(),
            free_slots: limit.saturating_sub(self.held),
            capacity_tokens: usable.map_or(0, |report| {
                u64::from(report.total_pages) * u64::from(report.page_tokens)
            }),
            warm: usable.is_some_and(|report| report.warmth == Warmth::Warm),
        }
    }
}

/// State of the task that owns the scheduler and its targets.
struct PoolTask {
    scheduler: Scheduler,
    targets: Vec<Target>,
    waiting: IndexMap<RequestId, oneshot::Sender<Option<Grant>>>,
    held: IndexMap<SlotId, usize>,
    out_of_service: Option<usize>,
    next_id: u64,
    started: Instant,
}

impl PoolTask {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            match tokio::time::timeout(MAX_PLACEMENT_INTERVAL, commands.recv()).await {
                Ok(Some(command)) => self.handle(command),
                Ok(None) => return,
                Err(_) => {}
            }
            self.place();
        }
    }

    fn now(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Acquire(slot_request, answer) => self.acquire(*slot_request, answer),
            Command::Release(release) => self.release(release),
            Command::Report(index, report) => self.report(index, report),
            Command::Cache(index, event) => {
                let now = self.now();
                let name = &self.targets[index].name;
                self.scheduler
                    .record_cache_event(now, name, event.prefix, event.held);
            }
            Command::SetOutOfService(data_centre) => self.out_of_service = data_centre,
        }
    }

    fn acquire(
        &mut self,
        mut slot_request: scheduler::SlotRequest,
        answer: oneshot::Sender<Option<Grant>>,
    ) {
        let now = self.now();
        self.next_id += 1;
        slot_request.id = RequestId(self.next_id);
        slot_request.arrived_ms = now;
        slot_request.deadline_ms = now + MAX_WAIT_MS;
        let id = slot_request.id;
        match self.scheduler.push(now, slot_request) {
            Ok(()) => {
                self.waiting.insert(id, answer);
            }
            // The task that waits for the slot may have ended.
            Err(_) => drop(answer.send(None)),
        }
    }

    fn release(&mut self, release: Release) {
        let now = self.now();
        let slot = release.grant.slot;
        if let Some(index) = self.held.swap_remove(&slot) {
            self.targets[index].held -= 1;
        }
        self.scheduler
            .record_end(now, slot, release.tokens, release.ending);
    }

    fn report(&mut self, index: usize, report: Option<LoadReport>) {
        let now = self.now();
        let target = &mut self.targets[index];
        let incarnation = |report: &LoadReport| report.incarnation;
        let incarnation_changed =
            target.report.as_ref().map(incarnation) != report.as_ref().map(incarnation);
        if incarnation_changed {
            self.scheduler.reset_target(now, &target.name);
        }
        if let Some(report) = &report {
            let load = to_load(now, report);
            self.scheduler.record_load(now, &target.name, &load);
        }
        target.report = report;
    }

    /// Answers refused requests and places waiting ones.
    fn place(&mut self) {
        let now = self.now();
        for refusal in self.scheduler.take_refusals(now) {
            if let Some(answer) = self.waiting.swap_remove(&refusal.id) {
                // The task that waits for the slot may have ended.
                let _ = answer.send(None);
            }
        }
        loop {
            let out_of_service = self.out_of_service;
            let views: Vec<TargetView> = self
                .targets
                .iter()
                .map(|target| target.view(out_of_service))
                .collect();
            let Some(placement) = self.scheduler.next_placement(now, &views) else {
                return;
            };
            self.grant(now, &placement);
        }
    }

    fn grant(&mut self, now: Millis, placement: &scheduler::Placement) {
        let matches = |target: &Target| target.name == placement.target;
        let Some(index) = self.targets.iter().position(matches) else {
            return;
        };
        self.next_id += 1;
        let slot = SlotId(self.next_id);
        self.scheduler.record_start(now, slot, placement);
        self.targets[index].held += 1;
        self.held.insert(slot, index);
        let address = self.targets[index].address;
        let grant = Grant { address, slot };
        let answer = self.waiting.swap_remove(&placement.request.id);
        let delivered = answer.is_some_and(|answer| answer.send(Some(grant)).is_ok());
        if !delivered {
            let ending = Ending::Unsent;
            let tokens = 0;
            self.release(Release {
                grant,
                tokens,
                ending,
            });
        }
    }
}

fn to_load(now: Millis, report: &LoadReport) -> Load {
    Load {
        taken_ms: Millis(now.since(report.age_ms).0),
        used_tokens: u64::from(report.used_pages) * u64::from(report.page_tokens),
        running: report.running,
        waiting: report.waiting,
        preemptions: report.preemptions,
    }
}
