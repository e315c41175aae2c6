//! The command line of `limpetctl`.

mod words;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::CtlError;
use crate::ids::{InstanceId, TargetId, Version};
use crate::lists::rules::{RawAllowance, RawCustomer};
use crate::lists::{ListChange, ListKind};
use words::Words;

/// Text for `--help`.
pub(super) const HELP: &str = "\
limpetctl: the operators' command of limpetdeck

usage: limpetctl COMMAND [arguments]

  check FILE                  check a settings file of limpetdeck-entry

  plans show                  print which customer is on which plan, as TOML
  plans set CUSTOMER --plan PLAN --prefix IP/LEN [--prefix IP/LEN ...]
                              add a customer, or change its plan and prefixes
  plans apply FILE            replace the plans by those of a TOML file
  plans history               print the last operations

  allowances show             print what each plan may use, as TOML
  allowances set PLAN SERVICE --max-open-flows N --max-new-flows-per-s N
                              set what a plan may use of a service
  allowances apply FILE       replace the allowances by those of a TOML file
  allowances history          print the last operations

  services show               print the services, as TOML
  services apply FILE         replace the services by those of a TOML file
  services history            print the last operations

  targets list                print all targets, and what operators want of them
  targets drain ID            let a target get no new flows
  targets return ID           let a target get new flows again

  instances list              print the registered instances and whether they answer
  instances stop ID           let an instance stop gracefully
  status                      print versions in force, laggards, open flows, refusals

arguments of all commands but check:
  --platform IP:PORT   the platform's object API
  --instance IP:PORT   for instances and status: ask this instance's metrics address too;
                       may stand several times, and then the platform may be down
  --json               print JSON
  --timeout-s N        give up after so many seconds (default 30)

arguments of set and apply:
  --if-version N       change the object only if it has this version

  --help      print this text
  --version   print the version

exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 not reached or not settled
";

/// Seconds after which a command gives up, unless the command line says otherwise.
const DEFAULT_TIMEOUT_S: u64 = 30;

/// What the command line asks for.
#[derive(Debug)]
pub(super) enum Command {
    Help,
    Version,
    Check { file: PathBuf },
    List { kind: ListKind, action: ListAction, common: Common },
    Targets { action: TargetAction, common: Common },
    InstancesList { common: Common },
    InstancesStop { id: InstanceId, common: Common },
    Status { common: Common },
}

/// What is to be done with a list.
#[derive(Debug)]
pub(super) enum ListAction {
    Show,
    History,
    Set { change: ListChange, if_version: Option<Version> },
    Apply { file: PathBuf, if_version: Option<Version> },
}

/// What is to be done with targets.
#[derive(Debug)]
pub(super) enum TargetAction {
    List,
    Drain(TargetId),
    Return(TargetId),
}

/// What many commands share.
#[derive(Debug)]
pub(super) struct Common {
    pub platform: Option<SocketAddr>,
    pub instances: Vec<SocketAddr>,
    pub json: bool,
    pub timeout: Duration,
}

impl Common {
    /// Returns the platform's address.
    pub(super) fn platform(&self) -> Result<SocketAddr, CtlError> {
        self.platform.ok_or_else(|| CtlError::Usage("--platform is missing".to_owned()))
    }
}

/// Reads the command line, without the program's name.
pub(super) fn parse(args: Vec<OsString>) -> Result<Command, CtlError> {
    let mut words = Words::new(args);
    if words.flag(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if words.flag(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let command = match words.command()?.as_str() {
        "check" => Command::Check { file: words.free("FILE")? },
        "plans" => list(ListKind::Plans, &mut words)?,
        "allowances" => list(ListKind::Allowances, &mut words)?,
        "services" => list(ListKind::Services, &mut words)?,
        "targets" => targets(&mut words)?,
        "instances" => instances(&mut words)?,
        "status" => Command::Status { common: common(&mut words)? },
        other => return Err(CtlError::Usage(format!("unknown command: {other}"))),
    };
    words.finish()?;
    Ok(command)
}

fn list(kind: ListKind, words: &mut Words) -> Result<Command, CtlError> {
    let name = words.command()?;
    let common = common(words)?;
    let action = match (name.as_str(), kind) {
        ("show", _) => ListAction::Show,
        ("history", _) => ListAction::History,
        ("apply", _) => {
            let if_version = words.optional("--if-version")?;
            ListAction::Apply { if_version, file: words.free("FILE")? }
        }
        ("set", ListKind::Plans) => {
            let if_version = words.optional("--if-version")?;
            ListAction::Set { if_version, change: set_customer(words)? }
        }
        ("set", ListKind::Allowances) => {
            let if_version = words.optional("--if-version")?;
            ListAction::Set { if_version, change: set_allowance(words)? }
        }
        (other, _) => {
            return Err(CtlError::Usage(format!("unknown command: {} {other}", kind.object())));
        }
    };
    Ok(Command::List { kind, action, common })
}

fn set_customer(words: &mut Words) -> Result<ListChange, CtlError> {
    let (plan, prefixes) = (words.value("--plan")?, words.all("--prefix")?);
    Ok(ListChange::SetCustomer(RawCustomer { plan, prefixes, name: words.free("CUSTOMER")? }))
}

fn set_allowance(words: &mut Words) -> Result<ListChange, CtlError> {
    let max_open_flows = words.value("--max-open-flows")?;
    let max_new_flows_per_s = words.value("--max-new-flows-per-s")?;
    let (plan, service) = (words.free("PLAN")?, words.free("SERVICE")?);
    let allowance = RawAllowance { service, max_open_flows, max_new_flows_per_s };
    Ok(ListChange::SetAllowance { plan, allowance })
}

fn targets(words: &mut Words) -> Result<Command, CtlError> {
    let name = words.command()?;
    let common = common(words)?;
    let action = match name.as_str() {
        "list" => TargetAction::List,
        "drain" => TargetAction::Drain(words.free("ID")?),
        "return" => TargetAction::Return(words.free("ID")?),
        other => return Err(CtlError::Usage(format!("unknown command: targets {other}"))),
    };
    Ok(Command::Targets { action, common })
}

fn instances(words: &mut Words) -> Result<Command, CtlError> {
    let name = words.command()?;
    let common = common(words)?;
    match name.as_str() {
        "list" => Ok(Command::InstancesList { common }),
        "stop" => Ok(Command::InstancesStop { id: words.free("ID")?, common }),
        other => Err(CtlError::Usage(format!("unknown command: instances {other}"))),
    }
}

fn common(words: &mut Words) -> Result<Common, CtlError> {
    let timeout_s = words.optional("--timeout-s")?.unwrap_or(DEFAULT_TIMEOUT_S);
    Ok(Common {
        platform: words.optional("--platform")?,
        instances: words.all("--instance")?,
        json: words.flag("--json"),
        timeout: Duration::from_secs(timeout_s),
    })
}
