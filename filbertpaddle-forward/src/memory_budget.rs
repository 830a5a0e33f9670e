//! Division of a node's memory among what it holds of others, and when it refuses new work.
//!
//! Load pattern: bursts of callers, or targets and callers that read slowly, at VMs whose memory
//! differs; and bursts of requests with large bodies. What each may hold is bounded, and together
//! they would exceed what the VM has.

/// Memory of the program without any request, with its tables.
const PROGRAM_BYTES: u64 = 28 << 20;
/// Divisor of the rest for each kind of buffer; half is left for the requests themselves.
const SHARE_DIVISOR: u64 = 8;
/// Shares that requests, their bodies and what is buffered may take together before new ones are
/// refused; the buffers of those that run may grow after that.
const WORK_SHARES: u64 = 7;
/// Largest size of a kind of buffer, and that of each where no memory is stated.
const MAX_SHARE_BYTES: u64 = 16 << 20;
/// Smallest size of a kind of buffer.
const MIN_SHARE_BYTES: u64 = 1 << 20;
/// What the libraries and the kernel's copies hold for a request and its two connections.
const REQUEST_BYTES: u64 = 72 << 10;
/// Smallest number of requests in flight that a node takes.
const MIN_REQUESTS: u64 = 64;
/// Bytes of events that are queued for a caller that reads slowly.
const MAX_QUEUE_BYTES: u64 = 64 << 10;
/// Smallest such number: events are queued one by one above it.
const MIN_QUEUE_BYTES: u64 = 4 << 10;

/// Bounds on what a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// Bytes that callers have sent of requests that are not complete.
    pub callers_bytes: usize,
    /// Bytes that targets have sent and that are not passed on.
    pub targets_bytes: usize,
    /// Bytes that peers have not read, above which those that read nothing are given up early.
    pub readers_bytes: usize,
    /// Bytes that are queued for one caller that reads slowly, unless they are one event.
    pub queue_bytes: u32,
    /// Requests in flight from which new ones are refused; `None` if no memory is stated.
    pub max_requests: Option<usize>,
    /// Bytes that they hold together with their bodies and buffers, above which new ones are refused;
    /// `None` if no memory is stated.
    pub work_bytes: Option<usize>,
}

/// What the requests in flight hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of the requests.
    pub requests: usize,
    /// Bytes of the bodies that they hold until they end.
    pub body_bytes: usize,
    /// Bytes that callers and targets have sent and that are not passed on.
    pub buffered_bytes: usize,
}

impl MemoryBudget {
    /// Divides the memory that the settings state.
    pub fn new(memory_bytes: Option<u64>) -> Self {
        let Some(memory_bytes) = memory_bytes else {
            return Self::unstated();
        };
        let usable_bytes = memory_bytes.saturating_sub(PROGRAM_BYTES);
        let share_bytes = usable_bytes / SHARE_DIVISOR;
        let share_bytes = share_bytes.clamp(MIN_SHARE_BYTES, MAX_SHARE_BYTES);
        let requests_bytes = usable_bytes / 2;
        let max_requests = (requests_bytes / REQUEST_BYTES).max(MIN_REQUESTS);
        let least_work_bytes = MIN_REQUESTS * REQUEST_BYTES;
        let work_bytes = usable_bytes / SHARE_DIVISOR * WORK_SHARES;
        let work_bytes = work_bytes.max(least_work_bytes);
        let queue_bytes = share_bytes / max_requests;
        let queue_bytes = queue_bytes.clamp(MIN_QUEUE_BYTES, MAX_QUEUE_BYTES);
        Self {
            callers_bytes: to_usize(share_bytes),
            targets_bytes: to_usize(share_bytes),
            readers_bytes: to_usize(share_bytes),
            queue_bytes: to_u32(queue_bytes),
            max_requests: Some(to_usize(max_requests)),
            work_bytes: Some(to_usize(work_bytes)),
        }
    }

    /// Returns whether a new request is refused whose body has `new_bytes`, beside what others
    /// hold. A body of unknown length is asked about once it is there.
    pub fn refuses(&self, others: Work, new_bytes: usize) -> bool {
        let is_crowded = self.max_requests.is_some_and(|max| others.requests >= max);
        let requests_bytes = others.requests.saturating_mul(to_usize(REQUEST_BYTES));
        let held_bytes = others.body_bytes.saturating_add(others.buffered_bytes);
        let needed_bytes = requests_bytes.saturating_add(held_bytes);
        let needed_bytes = needed_bytes.saturating_add(new_bytes);
        is_crowded || self.work_bytes.is_some_and(|max| needed_bytes > max)
    }

    fn unstated() -> Self {
        Self {
            callers_bytes: to_usize(MAX_SHARE_BYTES),
            targets_bytes: to_usize(MAX_SHARE_BYTES),
            readers_bytes: to_usize(MAX_SHARE_BYTES),
            queue_bytes: to_u32(MAX_QUEUE_BYTES),
            max_requests: None,
            work_bytes: None,
        }
    }
}

fn to_u32(bytes: u64) -> u32 {
    u32::try_from(bytes).unwrap_or(u32::MAX)
}

fn to_usize(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
