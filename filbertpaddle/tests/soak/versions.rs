//! Checks that streams go on only at the software version that began them.

use std::collections::HashMap;

use filbertpaddle_adapter_standins::run_log::Run;

use crate::history::Events;

/// Number of streams that may hold events of two versions.
const MAX_MIXED_STREAMS: usize = 2;

/// Checks the runs of each stream, over all attempts of its caller.
pub(crate) fn check(events: &Events, runs: &[Run], violations: &mut Vec<String>) {
    let first_attempts: HashMap<&str, &str> = events
        .exchanges
        .iter()
        .filter(|exchange| exchange.kind.is_stream())
        .map(|exchange| (exchange.attempt.as_str(), exchange.first_attempt()))
        .collect();
    let mut began: HashMap<&str, &Run> = HashMap::new();
    let mut mixed = HashMap::new();
    for run in runs {
        let Some(first) = first_attempts.get(run.attempt.as_str()) else {
            continue;
        };
        if run.first_event == 1 {
            began.insert(*first, run);
        } else if let Some(beginning) = began.get(first)
            && beginning.version != run.version
        {
            mixed.entry(*first).or_insert((*beginning, run));
        }
    }
    if mixed.len() > MAX_MIXED_STREAMS {
        for (attempt, (beginning, run)) in mixed {
            violations.push(format!(
                "{attempt} began at {} with {} and went on at {} with {}",
                beginning.target, beginning.version, run.target, run.version
            ));
        }
    }
}
