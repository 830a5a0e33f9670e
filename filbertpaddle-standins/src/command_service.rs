//! The `service` subcommand: runs a stand-in of a plain service.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use filbertpaddle_core::clock::Millis;
use filbertpaddle_standins::service::Service;
use filbertpaddle_standins::service::Settings;
use lexopt::ValueExt;
use serde::Serialize;

/// Time that a call takes unless `--duration-ms` is given.
const DEFAULT_CALL_DURATION_MS: Millis = Millis(20);

/// Address printed as a line of JSON once the service accepts calls.
#[derive(Serialize)]
struct Ready {
    address: SocketAddr,
}

/// Runs the subcommand until the process is stopped.
pub(crate) fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    let mut settings = Settings {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        duration_ms: DEFAULT_CALL_DURATION_MS,
    };
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("listen") => settings.listen = parser.value()?.parse()?,
            lexopt::Arg::Long("duration-ms") => {
                settings.duration_ms = Millis(parser.value()?.parse()?);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    tokio::runtime::Runtime::new()?.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let service = Service::start(settings).await?;
    let ready = Ready {
        address: service.address,
    };
    println!("{}", serde_json::to_string(&ready)?);
    tokio::signal::ctrl_c().await?;
    service.close().await;
    Ok(())
}
