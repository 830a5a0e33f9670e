//! Parsing of command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs a node.
    Serve(PathBuf),
    /// Runs a node of the forwarding path on the users' platform.
    Gateway,
    /// Checks a settings file.
    Check(PathBuf),
    /// Runs an operator's command at a node.
    Operator(OperatorCommand),
    /// Prints the usage.
    Help,
    /// Prints the version.
    Version,
}

/// An operator's action with its options.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCommand {
    /// The action.
    pub action: OperatorAction,
    /// Options that apply to every action.
    pub options: Options,
}

/// An operator's action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// Lists all templates.
    TemplateList,
    /// Shows one template.
    TemplateGet {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
    },
    /// Sets one template from a file.
    TemplateSet {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
        /// YAML or JSON file with the template.
        file: PathBuf,
    },
    /// Takes a data centre out of service or back in.
    DataCentre(Name, ServiceState),
    /// Takes a VM out of service or back in.
    Vm(Name, ServiceState),
    /// Shows which revision each node has applied.
    Status,
    /// Shows accepted changes.
    Audit,
    /// Shows refused operator actions.
    Refusals,
}

/// Options of an operator's action.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Operators' address of any node.
    pub node: Option<SocketAddr>,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Entry that the change replaces; `None` takes the node's current one.
    pub expect: Option<Expect>,
    /// Identity of a change that is resent.
    pub change_id: Option<ChangeId>,
    /// Shows only changes after this revision.
    pub after: Revision,
    /// Prints JSON.
    pub json: bool,
}

/// State of the entry that a change expects to replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The entry does not exist.
    New,
    /// The entry is at this revision.
    At(Revision),
}

impl Expect {
    /// Returns the expected revision; `None` if the entry must not exist.
    pub fn revision(self) -> Option<Revision> {
        match self {
            Self::New => None,
            Self::At(revision) => Some(revision),
        }
    }
}

/// Parses the command line.
///
/// # Errors
///
/// Returns an error if a command, argument or option is unknown or invalid.
pub fn parse(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut words: Vec<String> = Vec::new();
    let mut options = Options::default();
    let mut has_options = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Command::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Command::Version),
            Arg::Value(word) => words.push(word.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                set_option(&mut options, &name, &mut parser)?;
                has_options = true;
            }
            arg @ Arg::Short(_) => return Err(arg.unexpected()),
        }
    }
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["gateway"] if !has_options => Ok(Command::Gateway),
        ["serve", file] if !has_options => Ok(Command::Serve(file.into())),
        ["check", file] if !has_options => Ok(Command::Check(file.into())),
        ["serve" | "gateway" | "check", _] => {
            Err("serve, gateway and check take no options".into())
        }
        _ => Ok(Command::Operator(OperatorCommand {
            action: operator_action(&words)?,
            options,
        })),
    }
}

fn set_option(options: &mut Options, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
    match name {
        "node" => options.node = Some(parser.value()?.parse()?),
        "token-file" => options.token_file = Some(parser.value()?.into()),
        "expect" => options.expect = Some(parser.value()?.parse_with(expect)?),
        "change-id" => options.change_id = Some(ChangeId(parser.value()?.parse()?)),
        "after" => options.after = Revision(parser.value()?.parse()?),
        "json" => options.json = true,
        _ => return Err(Arg::Long(name).unexpected()),
    }
    Ok(())
}

fn expect(text: &str) -> Result<Expect, String> {
    if text == "new" {
        return Ok(Expect::New);
    }
    let revision = text.parse().map_err(|_| "expected a revision or `new`")?;
    Ok(Expect::At(Revision(revision)))
}

fn operator_action(words: &[&str]) -> Result<OperatorAction, lexopt::Error> {
    let action = match *words {
        [] => return Err("a command is missing".into()),
        ["template", "list"] => OperatorAction::TemplateList,
        ["template", "get", customer, name] => OperatorAction::TemplateGet {
            customer: customer.into(),
            name: name.into(),
        },
        ["template", "set", customer, name, file] => OperatorAction::TemplateSet {
            customer: customer.into(),
            name: name.into(),
            file: file.into(),
        },
        ["data-centre", word, name] => {
            OperatorAction::DataCentre(name.into(), service_state(word)?)
        }
        ["vm", word, name] => OperatorAction::Vm(name.into(), service_state(word)?),
        ["status"] => OperatorAction::Status,
        ["audit"] => OperatorAction::Audit,
        ["refusals"] => OperatorAction::Refusals,
        [
            "serve" | "gateway" | "check" | "template" | "data-centre" | "vm" | "status" | "audit"
            | "refusals",
            ..,
        ] => return Err(format!("wrong arguments for {}", words[0]).into()),
        [other, ..] => return Err(format!("unknown command {other}").into()),
    };
    Ok(action)
}

fn service_state(word: &str) -> Result<ServiceState, lexopt::Error> {
    word.parse()
        .map_err(|_| format!("expected `out` or `in`, not `{word}`").into())
}
