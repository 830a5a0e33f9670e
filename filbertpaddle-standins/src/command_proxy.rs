//! The `proxy` subcommand: runs the fault-injection proxy.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use eyre::OptionExt;
use filbertpaddle_standins::proxy::Proxy;
use lexopt::ValueExt;
use serde::Serialize;

/// Addresses printed as a line of JSON once the proxy accepts connections.
#[derive(Serialize)]
struct Ready {
    address: SocketAddr,
    control: SocketAddr,
}

/// Runs the subcommand until the process is stopped.
pub(crate) fn run(mut parser: lexopt::Parser) -> eyre::Result<()> {
    let mut listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut control = listen;
    let mut upstream = None;
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("listen") => listen = parser.value()?.parse()?,
            lexopt::Arg::Long("control") => control = parser.value()?.parse()?,
            lexopt::Arg::Long("upstream") => upstream = Some(parser.value()?.parse()?),
            _ => return Err(arg.unexpected().into()),
        }
    }
    let upstream = upstream
        .ok_or_eyre("--upstream is missing: the proxy needs the address that it forwards to")?;
    tokio::runtime::Runtime::new()?.block_on(serve(listen, upstream, control))
}

async fn serve(listen: SocketAddr, upstream: SocketAddr, control: SocketAddr) -> eyre::Result<()> {
    let proxy = Proxy::start_at(listen, upstream, control).await?;
    let ready = Ready {
        address: proxy.address,
        control: proxy.control,
    };
    println!("{}", serde_json::to_string(&ready)?);
    tokio::signal::ctrl_c().await?;
    proxy.close().await;
    Ok(())
}
