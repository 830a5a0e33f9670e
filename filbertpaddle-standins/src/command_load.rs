//! The `load` subcommand: runs scenarios under routing policies and compares the results.

use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::experiment;
use filbertpaddle_standins::experiment::RoutingPolicy;
use filbertpaddle_standins::experiment::Settings;
use filbertpaddle_standins::fleet;
use filbertpaddle_standins::scenario::Scenario;
use filbertpaddle_standins::summary::Summary;
use lexopt::ValueExt;

/// Options of the command line.
struct Options {
    settings: Settings,
    scenarios: Vec<Scenario>,
    routing_policies: Vec<RoutingPolicy>,
    seeds: Vec<u64>,
    plot: Option<PathBuf>,
    read: Vec<PathBuf>,
}

/// Runs the subcommand.
pub(crate) fn run(parser: lexopt::Parser) -> eyre::Result<()> {
    let options = parse(parser)?;
    tokio::runtime::Runtime::new()?.block_on(compare(&options))
}

async fn compare(options: &Options) -> eyre::Result<()> {
    let mut summary = Summary::default();
    for path in &options.read {
        read(path, &mut summary).wrap_err("cannot read the reports of earlier runs")?;
    }
    let scenarios = options.scenarios.iter();
    for scenario in scenarios.filter(|_| options.read.is_empty()) {
        for seed in &options.seeds {
            for routing_policy in &options.routing_policies {
                let mut settings = options.settings.clone();
                settings.scenario = *scenario;
                settings.routing_policy = *routing_policy;
                settings.seed = *seed;
                settings.fleet.seed = *seed;
                let report = experiment::run(&settings).await?;
                println!("{}", serde_json::to_string(&report)?);
                println!("{report}");
                summary.add(report);
            }
        }
    }
    println!("{summary}");
    if let Some(path) = &options.plot {
        summary
            .plot(path)
            .wrap_err("cannot write the plot of the summary")?;
    }
    Ok(())
}

/// Adds the reports in the saved output of earlier runs, one JSON object a line.
///
/// Other lines are the readable form of the same reports and are skipped.
fn read(path: &Path, summary: &mut Summary) -> eyre::Result<()> {
    let text = std::fs::read_to_string(path)?;
    for line in text.lines().filter(|line| line.starts_with('{')) {
        summary.add(serde_json::from_str(line)?);
    }
    Ok(())
}

fn parse(mut parser: lexopt::Parser) -> eyre::Result<Options> {
    let mut options = Options::new()?;
    let fleet = &mut options.settings.fleet;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("scenario") => options.scenarios = parse_list(&mut parser)?,
            lexopt::Arg::Long("policy") => options.routing_policies = parse_list(&mut parser)?,
            lexopt::Arg::Long("seeds") => options.seeds = parse_list(&mut parser)?,
            lexopt::Arg::Long("seconds") => {
                let seconds: u64 = parser.value()?.parse()?;
                options.settings.duration_ms = Millis::from_secs(seconds);
            }
            lexopt::Arg::Long("rate") => options.settings.rate = parser.value()?.parse()?,
            lexopt::Arg::Long("nodes") => options.settings.entry_vms = parser.value()?.parse()?,
            lexopt::Arg::Long("node-program") => {
                options.settings.node_program = parser.value()?.into()
            }
            lexopt::Arg::Long("engines") => fleet.engines = parser.value()?.parse()?,
            lexopt::Arg::Long("services") => fleet.services = parser.value()?.parse()?,
            lexopt::Arg::Long("data-centres") => fleet.data_centres = parser.value()?.parse()?,
            lexopt::Arg::Long("pages") => fleet.pages = parser.value()?.parse()?,
            lexopt::Arg::Long("warm-limit") => fleet.warm_limit = parser.value()?.parse()?,
            lexopt::Arg::Long("cold-limit") => fleet.cold_limit = parser.value()?.parse()?,
            lexopt::Arg::Long("read") => options.read = parse_list(&mut parser)?,
            lexopt::Arg::Long("plot") => options.plot = Some(parser.value()?.into()),
            _ => return Err(arg.unexpected().into()),
        }
    }
    Ok(options)
}

fn parse_list<T>(parser: &mut lexopt::Parser) -> eyre::Result<Vec<T>>
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let text = parser.value()?.string()?;
    let items = text.split(',').map(str::parse);
    Ok(items.collect::<Result<_, _>>()?)
}

impl Options {
    fn new() -> eyre::Result<Self> {
        let program = std::env::current_exe()?;
        let settings = Settings {
            scenario: Scenario::Steady,
            routing_policy: RoutingPolicy::DirectRoundRobin,
            seed: 1,
            duration_ms: Millis::from_secs(30),
            rate: 30.0,
            entry_vms: 9,
            node_program: program.with_file_name("filbertpaddle"),
            fleet: fleet::Settings {
                program,
                seed: 1,
                data_centres: 3,
                engines: 12,
                services: 3,
                pages: 512,
                warm_limit: 32,
                cold_limit: 4,
            },
        };
        Ok(Self {
            settings,
            scenarios: vec![Scenario::Steady],
            routing_policies: vec![
                RoutingPolicy::DirectRoundRobin,
                RoutingPolicy::DirectLeastConnections,
            ],
            seeds: vec![1],
            plot: None,
            read: Vec::new(),
        })
    }
}
