//! Runs one change of the configuration against the platform.

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

/// Longest time an operator waits for an answer.
const LIMIT: Duration = Duration::from_secs(10);
/// Pause before a read that follows a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the change until its answer is known or the operator's time is up.
pub async fn run(platform: &Client, request: Request, log: &Logger) -> Answer {
    let start = Instant::now();
    let (mut edit, mut action) = Edit::start(request);
    loop {
        let event = match action {
            Action::Finish(answer) => return answer,
            // What was not sent yet provably changes nothing.
            Action::Commit(_) if start.elapsed() >= LIMIT => Event::Refused,
            _ if start.elapsed() >= LIMIT => Event::Expired,
            Action::Read { key, audit } => {
                match config_table::read_snapshot(platform, &key, audit).await {
                    Ok(seen) => Event::RowsRead(seen),
                    Err(error) => {
                        warn!(log, "Entry not read."; "error" => %error);
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
