//! How the memory of a node is divided.

use filbertpaddle_forward::memory_budget::MemoryBudget;

/// Memory of the smallest VM of the users' deployments.
const SMALL_BYTES: u64 = 88 << 20;

fn buffer_bytes(budget: &MemoryBudget) -> u64 {
    let all = [
        budget.callers_bytes,
        budget.targets_bytes,
        budget.readers_bytes,
    ];
    all.iter().sum::<usize>() as u64
}

/// Guards nodes whose settings state no memory.
#[test]
fn a_node_without_a_stated_memory_has_the_bounds_of_before() {
    let budget = MemoryBudget::new(None);
    let share_bytes = 16 << 20;
    assert_eq!(
        budget,
        MemoryBudget {
            callers_bytes: share_bytes,
            targets_bytes: share_bytes,
            readers_bytes: share_bytes,
            queue_bytes: 64 << 10,
            max_requests: None,
        }
    );
    assert!(!budget.refuses(usize::MAX));
}

/// A burst of callers at a small VM: the bounds of all nodes were the same.
#[test]
fn buffers_and_requests_fit_into_the_stated_memory() {
    for memory_bytes in [SMALL_BYTES, 110 << 20, 256 << 20, 4 << 30] {
        let budget = MemoryBudget::new(Some(memory_bytes));
        let queues_bytes = budget.max_requests.unwrap() as u64 * u64::from(budget.queue_bytes);
        assert!(buffer_bytes(&budget) + queues_bytes < memory_bytes * 2 / 3);
    }
}

#[test]
fn more_memory_lets_more_requests_in() {
    let requests = |bytes| MemoryBudget::new(Some(bytes)).max_requests.unwrap();
    assert!(requests(SMALL_BYTES) < requests(110 << 20));
    assert!(requests(110 << 20) < requests(1 << 30));
}

#[test]
fn new_work_is_refused_from_the_largest_number_on() {
    let budget = MemoryBudget::new(Some(SMALL_BYTES));
    let max_requests = budget.max_requests.unwrap();
    assert!(!budget.refuses(max_requests - 1));
    assert!(budget.refuses(max_requests));
}

/// Settings may state less than the program takes; the node serves some all the same.
#[test]
fn a_memory_too_small_to_divide_leaves_room_for_some_requests() {
    for memory_bytes in [0, 1, 8 << 20] {
        let budget = MemoryBudget::new(Some(memory_bytes));
        assert!(budget.max_requests.unwrap() >= 64);
        assert!(buffer_bytes(&budget) > 0 && budget.queue_bytes > 0);
    }
}
