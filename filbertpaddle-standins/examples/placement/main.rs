//! Compares placement policies on one simulated pool, in simulated time.
//!
//! Prints a row of medians over several seeds for each policy. Usage:
//! `cargo run --release -p filbertpaddle-standins --example placement --
//! [--rate PER_SECOND] [--secs SECONDS] [--targets COUNT] [--weight PERCENT]
//! [--seeds COUNT] [--patience SECONDS] [--policy NAME]`

mod pool;
mod report;
mod traffic;

use eyre::Result;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_core::policy::Policy;
use filbertpaddle_core::policy::Settings;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use strum::VariantArray;

use crate::pool::Pool;
use crate::report::Report;

struct Options {
    rate: f64,
    secs: u64,
    targets: usize,
    seeds: u64,
    max_wait: Millis,
    settings: Settings,
    policies: Vec<Policy>,
}

fn main() -> Result<()> {
    let options = parse_options()?;
    print!("{:18}", "policy");
    Report::COLUMNS
        .iter()
        .for_each(|column| print!("{column:>10}"));
    println!();
    for policy in &options.policies {
        let settings = Settings {
            policy: *policy,
            ..options.settings
        };
        let rows: Vec<_> = (1..=options.seeds)
            .map(|seed| {
                let arrivals = traffic::arrivals(seed, options.rate, options.secs);
                Pool::new(settings, options.targets, arrivals, options.max_wait)
                    .run()
                    .row()
            })
            .collect();
        print!("{:18}", policy.to_string());
        for column in 0..Report::COLUMNS.len() {
            let mut values: Vec<f64> = rows.iter().map(|row| row[column]).collect();
            values.sort_by(f64::total_cmp);
            print!("{:>10.1}", values[values.len() / 2]);
        }
        println!();
    }
    Ok(())
}

fn parse_options() -> Result<Options> {
    let mut options = Options {
        rate: 40.0,
        secs: 300,
        targets: 12,
        seeds: 3,
        max_wait: Millis::from_secs(600),
        settings: Settings::default(),
        policies: Policy::VARIANTS.to_vec(),
    };
    let mut parser = Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("rate") => options.rate = parser.value()?.parse()?,
            Arg::Long("secs") => options.secs = parser.value()?.parse()?,
            Arg::Long("targets") => options.targets = parser.value()?.parse()?,
            Arg::Long("seeds") => options.seeds = parser.value()?.parse()?,
            Arg::Long("patience") => {
                options.max_wait = Millis::from_secs(parser.value()?.parse()?);
            }
            Arg::Long("weight") => {
                options.settings.stall_weight_percent = parser.value()?.parse()?;
            }
            Arg::Long("policy") => options.policies = vec![parser.value()?.parse()?],
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}
