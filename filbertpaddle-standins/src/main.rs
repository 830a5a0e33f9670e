//! Command line of the development stand-ins.

use eyre::bail;

mod command_engine;
mod command_load;
mod command_platform;
mod command_proxy;
mod command_service;

/// One subcommand: its name and what runs it with the rest of the arguments.
struct Command {
    name: &'static str,
    run: fn(lexopt::Parser) -> eyre::Result<()>,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "platform",
        run: command_platform::run,
    },
    Command {
        name: "proxy",
        run: command_proxy::run,
    },
    Command {
        name: "engine",
        run: command_engine::run,
    },
    Command {
        name: "service",
        run: command_service::run,
    },
    Command {
        name: "load",
        run: command_load::run,
    },
];

fn main() -> eyre::Result<()> {
    let mut parser = lexopt::Parser::from_env();
    let Some(lexopt::Arg::Value(name)) = parser.next()? else {
        bail!("usage: filbertpaddle-standin {}", names());
    };
    match COMMANDS.iter().find(|command| name == command.name) {
        Some(command) => (command.run)(parser),
        None => bail!("unknown command {}; known: {}", name.display(), names()),
    }
}

fn names() -> String {
    let names = COMMANDS.iter().map(|command| command.name);
    names.collect::<Vec<_>>().join("|")
}
