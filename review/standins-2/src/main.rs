//! Runs one case of the second independent review.
//!
//! Usage: `review-standins-2 CASE FOLDER`, in the repository's root. The record goes to
//! `FOLDER/record.txt`. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0`, the disruption is left out.

mod blocked_first_part;
mod caller;
mod crashing_part;
mod engines;
mod fleet;
mod large_bodies;
mod late_first_event;
mod mixed_versions;
mod record;
mod resumed_streams;
mod retry_after;
mod runner;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;
use resumed_streams::Work;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::sleep;

/// Reason why a case could not run.
type Error = Box<dyn std::error::Error>;

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Held,
    Broken,
}

/// Time after which a case is given up, below the limit of 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.add(format!("case {case}, disruption: {is_troubled}"));
    // Dropping what runs ends all processes that it has started.
    let result = tokio::select! {
        result = run(case, is_troubled, &record) => result,
        () = sleep(TIME_LIMIT) => Err("time limit of the case exceeded".into()),
        () = interrupted() => Err("interrupted by a signal".into()),
    };
    let (text, code) = match result {
        Ok(Outcome::Held) => ("the rule held".to_owned(), 0),
        Ok(Outcome::Broken) => ("THE RULE WAS BROKEN".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.add(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}

/// Waits for a signal that ends the case.
async fn interrupted() {
    let (Ok(mut terminated), Ok(mut interrupted)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
}

async fn run(case: &str, is_troubled: bool, record: &Record) -> Result<Outcome, Error> {
    match case {
        "large-bodies" => large_bodies::run(is_troubled, record).await,
        "late-first-event" => late_first_event::run(is_troubled, record).await,
        "mixed-versions" => mixed_versions::run(is_troubled, record).await,
        "resumed-after-route" => resumed_streams::run(Work::AddedRoute, is_troubled, record).await,
        "resumed-in-release" => resumed_streams::run(Work::Release, is_troubled, record).await,
        "resumed-in-calm" => resumed_streams::run(Work::Nothing, is_troubled, record).await,
        "retry-after" => retry_after::run(is_troubled, record).await,
        "blocked-first-part" => blocked_first_part::run(is_troubled, record).await,
        "crashing-part" => crashing_part::run(is_troubled, record).await,
        _ => Err(format!("unknown case {case}").into()),
    }
}
