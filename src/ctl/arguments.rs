//! Command-line arguments of `limpetctl`.

mod reader;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::CtlError;
use crate::ids::{InstanceId, TargetId, Version};
use crate::lists::rules::{RawAllowance, RawCustomer};
use crate::lists::{ListChange, ListKind};
use reader::ArgumentReader;

/// Text that `--help` prints.
pub(super) const HELP: &str = "\
limpetctl: administration tool for limpetdeck

usage: limpetctl COMMAND [arguments]

  check FILE                  validate a settings file of limpetdeck-entry

  plans show                  print the customers with their plans and prefixes, as TOML
  plans set CUSTOMER --plan PLAN --prefix IP/LEN [--prefix IP/LEN ...]
                              add a customer, or change its plan and prefixes
  plans apply FILE            replace the plans with those of a TOML file
  plans history               print the most recent operations

  allowances show             print the limits of each plan, as TOML
  allowances set PLAN SERVICE --max-open-flows N --max-new-flows-per-s N
                              set the limits of a plan for a service
  allowances apply FILE       replace the allowances with those of a TOML file
  allowances history          print the most recent operations

  services show               print the services, as TOML
  services apply FILE         replace the services with those of a TOML file
  services history            print the most recent operations

  targets list                print all targets with their configured state
  targets drain ID            stop new flows to a target
  targets return ID           allow new flows to a drained target again

  instances list              print the registered instances and whether they respond
  instances stop ID           stop an instance gracefully
  status                      print active versions, lagging instances, open flows, refusals

arguments of all commands except check:
  --platform IP:PORT   the platform's object API
  --instance IP:PORT   metrics address of an instance, for instances stop and status; may be
                       repeated; with it, status works while the platform is down
  --json               print JSON
  --timeout-s N        time limit for a change, in seconds (default 30)

arguments of set and apply:
  --if-version N       change the object only if it is at this version

  --help      print this text
  --version   print the version

exit codes: 0 success, 1 failed, 2 invalid input, 3 conflict, 4 unreachable or outcome unknown
";

/// Default of `--timeout-s`, in seconds.
const DEFAULT_TIMEOUT_S: u64 = 30;

/// A parsed command line.
#[derive(Debug)]
pub(super) enum Command {
    Help,
    Version,
    Check { file: PathBuf },
    List { kind: ListKind, action: ListAction, options: CommonOptions },
    Targets { action: TargetAction, options: CommonOptions },
    InstancesList { options: CommonOptions },
    InstancesStop { id: InstanceId, options: CommonOptions },
    Status { options: CommonOptions },
}

/// A subcommand of `plans`, `allowances` or `services`.
#[derive(Debug)]
pub(super) enum ListAction {
    Show,
    History,
    Set { change: ListChange, if_version: Option<Version> },
    Apply { file: PathBuf, if_version: Option<Version> },
}

/// A subcommand of `targets`.
#[derive(Debug)]
pub(super) enum TargetAction {
    List,
    Drain(TargetId),
    Return(TargetId),
}

/// Options of all commands except `check`.
#[derive(Debug)]
pub(super) struct CommonOptions {
    pub platform: Option<SocketAddr>,
    pub instances: Vec<SocketAddr>,
    pub json: bool,
    pub timeout: Duration,
}

impl CommonOptions {
    /// Returns the platform's address, or a usage error if it was not given.
    pub(super) fn platform(&self) -> Result<SocketAddr, CtlError> {
        self.platform.ok_or_else(|| CtlError::Usage("--platform is missing".to_owned()))
    }
}

/// Parses the arguments, which do not include the program's name.
pub(super) fn parse(args: Vec<OsString>) -> Result<Command, CtlError> {
    let mut args = ArgumentReader::new(args);
    if args.flag(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.flag(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let command = match args.subcommand()?.as_str() {
        "check" => Command::Check { file: args.positional("FILE")? },
        "plans" => list_command(ListKind::Plans, &mut args)?,
        "allowances" => list_command(ListKind::Allowances, &mut args)?,
        "services" => list_command(ListKind::Services, &mut args)?,
        "targets" => targets_command(&mut args)?,
        "instances" => instances_command(&mut args)?,
        "status" => Command::Status { options: common_options(&mut args)? },
        other => return Err(CtlError::Usage(format!("unknown command: {other}"))),
    };
    args.finish()?;
    Ok(command)
}

fn list_command(kind: ListKind, args: &mut ArgumentReader) -> Result<Command, CtlError> {
    let name = args.subcommand()?;
    let options = common_options(args)?;
    let action = match (name.as_str(), kind) {
        ("show", _) => ListAction::Show,
        ("history", _) => ListAction::History,
        ("apply", _) => {
            let if_version = args.optional("--if-version")?;
            ListAction::Apply { if_version, file: args.positional("FILE")? }
        }
        ("set", ListKind::Plans) => {
            let if_version = args.optional("--if-version")?;
            ListAction::Set { if_version, change: set_customer_change(args)? }
        }
        ("set", ListKind::Allowances) => {
            let if_version = args.optional("--if-version")?;
            ListAction::Set { if_version, change: set_allowance_change(args)? }
        }
        (other, _) => {
            return Err(CtlError::Usage(format!(
                "unknown command: {} {other}",
                kind.object_name()
            )));
        }
    };
    Ok(Command::List { kind, action, options })
}

fn set_customer_change(args: &mut ArgumentReader) -> Result<ListChange, CtlError> {
    let (plan, prefixes) = (args.required("--plan")?, args.all("--prefix")?);
    Ok(ListChange::SetCustomer(RawCustomer { plan, prefixes, name: args.positional("CUSTOMER")? }))
}

fn set_allowance_change(args: &mut ArgumentReader) -> Result<ListChange, CtlError> {
    let max_open_flows = args.required("--max-open-flows")?;
    let max_new_flows_per_s = args.required("--max-new-flows-per-s")?;
    let (plan, service) = (args.positional("PLAN")?, args.positional("SERVICE")?);
    let allowance = RawAllowance { service, max_open_flows, max_new_flows_per_s };
    Ok(ListChange::SetAllowance { plan, allowance })
}

fn targets_command(args: &mut ArgumentReader) -> Result<Command, CtlError> {
    let name = args.subcommand()?;
    let options = common_options(args)?;
    let action = match name.as_str() {
        "list" => TargetAction::List,
        "drain" => TargetAction::Drain(args.positional("ID")?),
        "return" => TargetAction::Return(args.positional("ID")?),
        other => return Err(CtlError::Usage(format!("unknown command: targets {other}"))),
    };
    Ok(Command::Targets { action, options })
}

fn instances_command(args: &mut ArgumentReader) -> Result<Command, CtlError> {
    let name = args.subcommand()?;
    let options = common_options(args)?;
    match name.as_str() {
        "list" => Ok(Command::InstancesList { options }),
        "stop" => Ok(Command::InstancesStop { id: args.positional("ID")?, options }),
        other => Err(CtlError::Usage(format!("unknown command: instances {other}"))),
    }
}

fn common_options(args: &mut ArgumentReader) -> Result<CommonOptions, CtlError> {
    let timeout_s = args.optional("--timeout-s")?.unwrap_or(DEFAULT_TIMEOUT_S);
    Ok(CommonOptions {
        platform: args.optional("--platform")?,
        instances: args.all("--instance")?,
        json: args.flag("--json"),
        timeout: Duration::from_secs(timeout_s),
    })
}
