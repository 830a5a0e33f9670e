//! Commits one configuration change to the platform's table.
//!
//! Performs the reads and transactions that the core's [`Edit`] requests.

use std::time::Duration;
use std::time::Instant;

use filbertpaddle_core::edit::Action;
use filbertpaddle_core::edit::Answer;
use filbertpaddle_core::edit::Edit;
use filbertpaddle_core::edit::Event;
use filbertpaddle_core::edit::Request;
use filbertpaddle_platform::client::Client;
use slog::Logger;
use slog::warn;

use crate::config_table;

/// Time limit of one change; the operator waits for the answer meanwhile.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed read or transaction.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Runs a change until its result is known or the time limit has passed.
pub async fn run(platform: &Client, request: Request, log: &Logger) -> Answer {
    let start = Instant::now();
    let (mut edit, mut action) = Edit::start(request);
    loop {
        let event = match action {
            Action::Finish(answer) => return answer,
            // A transaction that was not sent cannot have taken effect.
            Action::Commit(_) if start.elapsed() >= EDIT_TIMEOUT => Event::Refused,
            _ if start.elapsed() >= EDIT_TIMEOUT => Event::Expired,
            Action::Read { key, audit } => {
                match config_table::read_snapshot(platform, &key, audit).await {
                    Ok(snapshot) => Event::RowsRead(snapshot),
                    Err(error) => {
                        warn!(log, "Read from the platform for a configuration change failed; the change is refused unless it may already be committed."; "error" => %error);
                        Event::Refused
                    }
                }
            }
            Action::Commit(commit) => config_table::commit(platform, &commit).await,
        };
        if matches!(event, Event::Refused | Event::NoAnswer) {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        action = edit.on(event);
    }
}
