//! Command line of the stand-ins, the fault-injection proxy and the load tool.

use eyre::bail;

mod command_engine;
mod command_load;
mod command_platform;
mod command_proxy;
mod command_service;

/// A subcommand: its name and the function that runs it with the remaining arguments.
struct Subcommand {
    name: &'static str,
    run: fn(lexopt::Parser) -> eyre::Result<()>,
}

const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        name: "platform",
        run: command_platform::run,
    },
    Subcommand {
        name: "proxy",
        run: command_proxy::run,
    },
    Subcommand {
        name: "engine",
        run: command_engine::run,
    },
    Subcommand {
        name: "service",
        run: command_service::run,
    },
    Subcommand {
        name: "load",
        run: command_load::run,
    },
];

fn main() -> eyre::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let Some(lexopt::Arg::Value(name)) = parser.next()? else {
        bail!("usage: filbertpaddle-standin {}", subcommand_names());
    };
    match SUBCOMMANDS
        .iter()
        .find(|subcommand| name == subcommand.name)
    {
        Some(subcommand) => (subcommand.run)(parser),
        None => bail!(
            "unknown subcommand {}; known subcommands: {}",
            name.display(),
            subcommand_names()
        ),
    }
}

fn subcommand_names() -> String {
    let names = SUBCOMMANDS.iter().map(|subcommand| subcommand.name);
    names.collect::<Vec<_>>().join("|")
}
