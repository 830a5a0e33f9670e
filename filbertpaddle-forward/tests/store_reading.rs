//! Decision of a node to read the store, alone and among hundreds that start together.

use filbertpaddle_core::clock::Millis;
use filbertpaddle_forward::store_reading::FollowedPeer;
use filbertpaddle_forward::store_reading::Situation;

/// Time within which a node that starts needs its first configuration, as users need it.
const START_BOUND_MS: Millis = Millis(200);
/// Reading calls per second that the stores of the users' deployments accept.
const STORE_READS_PER_SEC: usize = 2_000;
/// Reading calls of a node that starts: the list of nodes twice, and two tables.
const READS_PER_START: usize = 4;

/// A node that has just started in a system of this size and follows nobody.
fn starting(nodes: usize) -> Situation {
    Situation {
        is_reader: false,
        has_data: false,
        followed: FollowedPeer::default(),
        outdated_from_ms: Millis(1_000),
        peer_lost_ms: Millis(10),
        turned_away_ms: None,
        nodes,
        draw: 1.0,
    }
}

fn following(is_store_lost: bool) -> FollowedPeer {
    FollowedPeer {
        is_up: true,
        is_store_lost,
    }
}

#[test]
fn a_neighbour_that_refuses_is_not_waited_for() {
    let refused = Situation {
        turned_away_ms: Some(Millis(20)),
        ..starting(7)
    };
    assert!(refused.read_from_ms().unwrap() <= START_BOUND_MS);
}

#[test]
fn a_neighbour_without_data_is_not_waited_for() {
    let empty = Situation {
        turned_away_ms: Some(Millis(20)),
        followed: following(true),
        ..starting(7)
    };
    assert!(empty.read_from_ms().unwrap() <= START_BOUND_MS);
}

#[test]
fn a_neighbour_with_data_is_relied_on() {
    let served = Situation {
        followed: following(false),
        turned_away_ms: Some(Millis(20)),
        ..starting(7)
    };
    assert_eq!(served.read_from_ms(), None);
}

#[test]
fn a_silent_neighbour_is_waited_for_no_longer_than_one_that_was_lost() {
    let silent = starting(7);
    let lost = Situation {
        has_data: true,
        ..silent
    };
    assert!(silent.read_from_ms().is_some());
    assert_eq!(silent.read_from_ms(), lost.read_from_ms());
}

// At the first start of 295 nodes, those that had no list read the store all at once.
#[test]
fn a_node_that_does_not_know_how_many_start_waits_as_for_a_lost_one() {
    let unknown = Situation {
        turned_away_ms: Some(Millis(20)),
        peer_lost_ms: Millis(20),
        ..starting(0)
    };
    let lost = Situation {
        turned_away_ms: None,
        ..unknown
    };
    assert_eq!(unknown.read_from_ms(), lost.read_from_ms());
}

#[test]
fn nodes_of_a_system_that_starts_for_the_first_time_wait_for_the_readers() {
    let first = Situation {
        followed: following(true),
        ..starting(295)
    };
    let first_ms = first.read_from_ms().unwrap();
    assert!(first_ms > starting(295).read_from_ms().unwrap());
    assert!(first_ms <= Millis::from_secs(3));
}

#[test]
fn a_reader_reads_at_once() {
    let reader = Situation {
        is_reader: true,
        ..starting(295)
    };
    assert_eq!(reader.read_from_ms(), Some(Millis::ZERO));
}

#[test]
fn a_node_whose_reader_lost_the_store_reads_at_once() {
    let served = Situation {
        has_data: true,
        followed: following(true),
        ..starting(295)
    };
    assert_eq!(served.read_from_ms(), Some(Millis::ZERO));
}

#[test]
fn nodes_that_start_together_keep_to_the_rate_of_the_store() {
    for nodes in [7, 40, 100, 295, 740] {
        let mut reads_at_ms: Vec<_> = (0..nodes)
            .map(|number| Situation {
                turned_away_ms: Some(Millis(20)),
                draw: number as f64 / nodes as f64,
                ..starting(nodes)
            })
            .map(|situation| situation.read_from_ms().unwrap())
            .collect();
        reads_at_ms.sort();
        let busiest = reads_at_ms.iter().map(|first| {
            let until = *first + Millis::from_secs(1);
            let in_second = reads_at_ms.iter().filter(|at| *at >= first && **at < until);
            in_second.count() * READS_PER_START
        });
        assert!(
            busiest.max().unwrap() <= STORE_READS_PER_SEC,
            "{nodes} nodes"
        );
        // Some read soon, and the others receive the tables from these.
        assert!(reads_at_ms[0] <= START_BOUND_MS, "{nodes} nodes");
    }
}

#[test]
fn one_failed_call_does_not_keep_a_follower_from_the_store_for_seconds() {
    let follower = Situation {
        has_data: true,
        followed: following(true),
        ..starting(7)
    };
    for draw in [0.0, 0.5, 1.0] {
        assert!(follower.retry_delay_ms(1, draw) <= Millis(600));
        assert!(follower.retry_delay_ms(2, draw) >= Millis(1_500));
    }
}

#[test]
fn a_node_without_data_retries_as_often_as_a_reader() {
    let empty = Situation {
        followed: following(true),
        ..starting(7)
    };
    for failures in 1..10 {
        assert!(empty.retry_delay_ms(failures, 1.0) <= Millis(600));
    }
}

/// A follower waited for newer data from a node that was up, however old its own had become.
#[test]
fn a_node_whose_data_is_outdated_reads_though_its_reader_responds() {
    let outdated_from_ms = Millis(1_500);
    let served = Situation {
        has_data: true,
        followed: following(false),
        outdated_from_ms,
        ..starting(295)
    };
    assert_eq!(served.read_from_ms(), Some(outdated_from_ms));
}

#[test]
fn a_node_with_outdated_data_does_not_wait_for_another_to_follow() {
    let outdated_from_ms = Millis(1_500);
    let alone = Situation {
        has_data: true,
        peer_lost_ms: Millis(1_400),
        outdated_from_ms,
        ..starting(295)
    };
    assert_eq!(alone.read_from_ms(), Some(outdated_from_ms));
}
