//! Stand-ins and cases of the review: `standins CASE FOLDER` runs one case and writes its
//! record into the folder. The exit status is 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run.

mod deployment;
mod http;
mod json;
mod moved_twice;
mod node;
mod record;
mod refusal_after_run;
mod requester;
mod runner;
mod slow_reader_cut;
mod stop_cuts_stream;
mod store;
mod store_moved;

use std::panic;
use std::process;
use std::thread;
use std::time::Duration;

/// Time after which a run is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);
const NOT_RUN: i32 = 2;

fn main() {
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        node::kill_all();
        process::exit(NOT_RUN);
    });
    let case = std::env::args().nth(1).unwrap_or_default();
    let run = match case.as_str() {
        "moved_twice" => moved_twice::run,
        "refusal_after_run" => refusal_after_run::run,
        "slow_reader_cut" => slow_reader_cut::run,
        "stop_cuts_stream" => stop_cuts_stream::run,
        "store_moved" => store_moved::run,
        _ => {
            eprintln!("unknown case: {case}");
            process::exit(NOT_RUN);
        }
    };
    let status = panic::catch_unwind(run).unwrap_or(NOT_RUN);
    node::kill_all();
    process::exit(status);
}
