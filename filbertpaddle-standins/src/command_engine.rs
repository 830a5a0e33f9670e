//! The `engine` subcommand: runs one or more engine stand-ins in one process.

use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::engine::Engine;
use filbertpaddle_standins::engine::Settings;
use lexopt::ValueExt;
use serde::Serialize;

/// Addresses printed as a line of JSON once the engines accept requests.
#[derive(Serialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
    engines: Vec<EngineAddresses>,
}

/// Addresses that an engine listens on.
#[derive(Serialize)]
struct EngineAddresses {
    address: SocketAddr,
    control: SocketAddr,
}

/// Runs the subcommand until the process is stopped.
pub(crate) fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    let mut settings = Settings::default();
    let mut count = 1;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("listen") => settings.listen = parser.value()?.parse()?,
            lexopt::Arg::Long("control") => settings.control = parser.value()?.parse()?,
            lexopt::Arg::Long("count") => count = parser.value()?.parse()?,
            lexopt::Arg::Long("seed") => settings.seed = parser.value()?.parse()?,
            lexopt::Arg::Long("speed") => settings.speed = parser.value()?.parse()?,
            lexopt::Arg::Long("pages") => {
                settings.scheduler.total_pages = parser.value()?.parse()?;
            }
            lexopt::Arg::Long("warm-limit") => {
                settings.scheduler.warm_limit = parser.value()?.parse()?;
            }
            lexopt::Arg::Long("cold-limit") => {
                settings.scheduler.cold_limit = parser.value()?.parse()?;
            }
            lexopt::Arg::Long("warm-up-ms") => {
                let warm_up_ms: u64 = parser.value()?.parse()?;
                settings.scheduler.warm_up_us = warm_up_ms.saturating_mul(1_000);
            }
            lexopt::Arg::Long("cold") => settings.starts_warm = false,
            lexopt::Arg::Long("ignore-fence") => settings.checks_fence = false,
            lexopt::Arg::Long("poison") => settings.poison = Some(parser.value()?.parse()?),
            lexopt::Arg::Long("exit-on-crash") => settings.exits_on_crash = true,
            lexopt::Arg::Long("report-lag-ms") => {
                settings.report_lag_ms = Millis(parser.value()?.parse()?);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    tokio::runtime::Runtime::new()?.block_on(serve(settings, count))
}

async fn serve(settings: Settings, count: usize) -> eyre::Result<()> {
    let mut engines = Vec::new();
    for _ in 0..count.max(1) {
        engines.push(Engine::start(settings.clone()).await?);
    }
    let addresses: Vec<EngineAddresses> = engines
        .iter()
        .map(|engine| EngineAddresses {
            address: engine.address,
            control: engine.control,
        })
        .collect();
    let ready = Ready {
        address: addresses[0].address,
        control: addresses[0].control,
        engines: addresses,
    };
    println!("{}", serde_json::to_string(&ready)?);
    tokio::signal::ctrl_c().await?;
    for engine in engines {
        engine.close().await;
    }
    Ok(())
}
