//! The `platform` subcommand: runs the platform stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use filbertpaddle_standins::platform::Platform;
use lexopt::ValueExt;
use serde::Serialize;

/// Addresses printed as a line of JSON once the stand-in accepts requests.
#[derive(Serialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// Runs the subcommand until the process is stopped.
pub(crate) fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    let mut listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut control = listen;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("listen") => listen = parser.value()?.parse()?,
            lexopt::Arg::Long("control") => control = parser.value()?.parse()?,
            _ => return Err(arg.unexpected().into()),
        }
    }
    tokio::runtime::Runtime::new()?.block_on(serve(listen, control))
}

async fn serve(listen: SocketAddr, control: SocketAddr) -> eyre::Result<()> {
    let platform = Platform::start_with_control(listen, control).await?;
    let ready = Ready {
        address: platform.address,
        control: platform.control,
    };
    println!("{}", serde_json::to_string(&ready)?);
    tokio::signal::ctrl_c().await?;
    platform.close().await;
    Ok(())
}
