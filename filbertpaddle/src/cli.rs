//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::log;
use crate::node::Node;
use crate::settings;
use crate::settings::Settings;

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

const USAGE: &str = "\
filbertpaddle: serves generations of unknown length on crowded model engines

usage:
  filbertpaddle serve SETTINGS    run a node until SIGTERM, then drain
  filbertpaddle check SETTINGS    check a settings file
  filbertpaddle --help
  filbertpaddle --version
";

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Command {
    Serve(PathBuf),
    Check(PathBuf),
    Help,
    Version,
}

/// Runs the command that `args` name and returns the exit code.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let command = match parse(Parser::from_iter(args)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("filbertpaddle: {error}\n\n{USAGE}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match command {
        Command::Help => print!("{USAGE}"),
        Command::Version => println!("filbertpaddle {}", env!("CARGO_PKG_VERSION")),
        Command::Check(path) => return check(&path),
        Command::Serve(path) => return serve(&path),
    }
    ExitCode::SUCCESS
}

fn parse(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let first = parser.next()?.ok_or("a command is missing")?;
    let command = match first {
        Arg::Long("help") | Arg::Short('h') => Command::Help,
        Arg::Long("version") | Arg::Short('V') => Command::Version,
        Arg::Value(name) => match name.string()?.as_str() {
            "serve" => Command::Serve(parser.value()?.into()),
            "check" => Command::Check(parser.value()?.into()),
            other => return Err(format!("unknown command {other}").into()),
        },
        arg => return Err(arg.unexpected()),
    };
    match parser.next()? {
        None => Ok(command),
        Some(arg) => Err(arg.unexpected()),
    }
}

fn check(path: &std::path::Path) -> ExitCode {
    match load(path) {
        Ok(_) => {
            println!("{}: ok", path.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

fn load(path: &std::path::Path) -> Result<Settings, ExitCode> {
    settings::load(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(EXIT_USAGE)
    })
}

fn serve(path: &std::path::Path) -> ExitCode {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match serve_until_signal(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("filbertpaddle: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn serve_until_signal(settings: Settings) -> eyre::Result<()> {
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let log = log::open(settings.log);
        let node = Node::start(settings, log).await?;
        println!("{}", serde_json::to_string(&node.addresses())?);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        node.close().await;
        Ok(())
    })
}
