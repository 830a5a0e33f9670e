//! Entry point of the command line and its exit codes.

use std::ffi::OsString;
use std::process::ExitCode;

use eyre::WrapErr;
use lexopt::Parser;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::arguments;
use crate::arguments::Command;
use crate::arguments::OperatorCommand;
use crate::log;
use crate::node::Node;
use crate::operator_api::Answer;
use crate::operator_client;
use crate::settings;
use crate::settings::Settings;

/// Exit code if the command line, a settings file or a change is invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code if the entry is not at the expected revision.
const EXIT_CONFLICT: u8 = 3;
/// Exit code if a change may have been accepted.
const EXIT_UNKNOWN: u8 = 4;
/// Exit code for a missing or wrong token.
const EXIT_UNAUTHORIZED: u8 = 5;

const USAGE: &str = "\
filbertpaddle: serves generations of unknown length on crowded model engines

usage:
  filbertpaddle serve SETTINGS                       run a node until SIGTERM, then drain
  filbertpaddle gateway                              run a node on the users' platform
  filbertpaddle check SETTINGS                       check a settings file
  filbertpaddle template list                        list all templates
  filbertpaddle template get CUSTOMER NAME           show a template
  filbertpaddle template set CUSTOMER NAME FILE      set a template from a YAML or JSON file
  filbertpaddle data-centre out|in NAME              take a data centre out of service or back in
  filbertpaddle vm out|in NAME                       take a VM out of service or back in
  filbertpaddle status                               show which revision each node has applied
  filbertpaddle audit [--after REVISION]             show accepted changes
  filbertpaddle refusals                             show refused operator actions
  filbertpaddle --help
  filbertpaddle --version

options of operators' commands:
  --node IP:PORT       operators' address of any node, or FILBERTPADDLE_NODE
  --token-file FILE    operator's token, or FILBERTPADDLE_TOKEN
  --expect REVISION    revision of the entry to replace, or `new` for a new entry;
                       default: the node's current revision
  --change-id NUMBER   id of a change to resend
  --json               print JSON

exit codes: 0 success, 1 failure, 2 invalid usage, 3 conflict, 4 change may have been
accepted, 5 missing or wrong token
";

/// Runs the command given by `args` and returns the exit code.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let command = match arguments::parse(Parser::from_iter(args)) {
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
        Command::Gateway => return gateway(),
        Command::Operator(operator_command) => return run_operator_command(&operator_command),
    }
    ExitCode::SUCCESS
}

fn run_operator_command(command: &OperatorCommand) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("filbertpaddle: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(operator_client::run(command)) {
        Ok(output) => {
            print!("{}", output.text);
            output.answer.as_ref().map_or(ExitCode::SUCCESS, exit_code)
        }
        Err(error) => {
            eprintln!("filbertpaddle: {error}");
            match error {
                operator_client::Error::Usage(_) => ExitCode::from(EXIT_USAGE),
                operator_client::Error::Unauthorized => ExitCode::from(EXIT_UNAUTHORIZED),
                operator_client::Error::Unanswered { .. } => ExitCode::from(EXIT_UNKNOWN),
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn exit_code(answer: &Answer) -> ExitCode {
    match answer {
        Answer::Accepted { .. } | Answer::Unchanged { .. } => ExitCode::SUCCESS,
        Answer::Conflict { .. } => ExitCode::from(EXIT_CONFLICT),
        Answer::Unavailable => ExitCode::FAILURE,
        Answer::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
        Answer::Invalid { .. } => ExitCode::from(EXIT_USAGE),
        Answer::Unauthorized => ExitCode::from(EXIT_UNAUTHORIZED),
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

fn gateway() -> ExitCode {
    match filbertpaddle_adapter::start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("filbertpaddle: {error}");
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
