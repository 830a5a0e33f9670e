//! What the command line asks for.

use std::net::SocketAddr;
use std::path::PathBuf;

use filbertpaddle_core::config::ChangeId;
use filbertpaddle_core::config::ServiceState;
use filbertpaddle_core::name::Name;
use filbertpaddle_core::revision::Revision;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Run a node.
    Serve(PathBuf),
    /// Run a node of the forwarding path on the users' platform.
    Gateway,
    /// Check a settings file.
    Check(PathBuf),
    /// Act as an operator at a node.
    Operator(OperatorCommand),
    /// Show the usage.
    Help,
    /// Show the version.
    Version,
}

/// An operator's action and where it goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorCommand {
    /// The action.
    pub action: OperatorAction,
    /// Options that every action takes.
    pub options: Options,
}

/// An operator's action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// List all templates.
    TemplateList,
    /// Show one template.
    TemplateGet {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
    },
    /// Set one template from a file.
    TemplateSet {
        /// Customer that uses the template.
        customer: Name,
        /// Name of the template.
        name: Name,
        /// YAML or JSON file with the template.
        file: PathBuf,
    },
    /// Take a data centre out or bring it in.
    DataCentre(Name, ServiceState),
    /// Take a VM out or bring it in.
    Vm(Name, ServiceState),
    /// Show which revision is in force where.
    Status,
    /// Show accepted changes.
    Audit,
    /// Show refused operator actions.
    Refusals,
}

/// Options of an operator's action.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Operators' address of any node.
    pub node: Option<SocketAddr>,
    /// File with the operator's token.
    pub token_file: Option<PathBuf>,
    /// Revision that the change replaces; without it, the node's present one.
    pub expect: Option<Expect>,
    /// Identity of a change that is sent again.
    pub change_id: Option<ChangeId>,
    /// Show changes after this revision.
    pub after: Revision,
    /// Print JSON.
    pub json: bool,
}

/// What a change expects to replace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Nothing.
    New,
    /// This revision of the entry.
    At(Revision),
}

impl Expect {
    /// Returns the expected revision.
    pub fn revision(self) -> Option<Revision> {
        match self {
            Self::New => None,
            Self::At(revision) => Some(revision),
        }
    }
}

/// Reads the command line.
///
/// # Errors
///
/// Returns what is wrong with it.
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
        ["data-centre", word, name] => OperatorAction::DataCentre(name.into(), service(word)?),
        ["vm", word, name] => OperatorAction::Vm(name.into(), service(word)?),
        ["status"] => OperatorAction::Status,
        ["audit"] => OperatorAction::Audit,
        ["refusals"] => OperatorAction::Refusals,
        [
            "serve" | "gateway" | "check" | "template" | "data-centre" | "vm" | "status" | "audit"
            | "refusals",
            ..,
        ] => return Err(format!("wrong arguments of {}", words[0]).into()),
        [other, ..] => return Err(format!("unknown command {other}").into()),
    };
    Ok(action)
}

fn service(word: &str) -> Result<ServiceState, lexopt::Error> {
    word.parse()
        .map_err(|_| format!("expected `out` or `in`, not `{word}`").into())
}
