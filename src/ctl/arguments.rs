//! The command line of `limpetctl`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::PathBuf;

use super::CtlError;

/// Text for `--help`.
pub(super) const HELP: &str = "\
limpetctl: the operators' command of limpetdeck

usage: limpetctl COMMAND [arguments]

  check FILE                            checks a settings file of limpetdeck-entry
  services show --platform IP:PORT      shows the services in force
  services apply FILE --platform IP:PORT
                                        puts the services of a TOML file in force

  --help      print this text
  --version   print the version

exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict, 4 platform not reached
";

/// What the command line asks for.
#[derive(Debug)]
pub(super) enum Command {
    Help,
    Version,
    Check { file: PathBuf },
    ServicesShow { platform: SocketAddr },
    ServicesApply { file: PathBuf, platform: SocketAddr },
}

/// Reads the command line, without the program's name.
pub(super) fn parse(args: Vec<OsString>) -> Result<Command, CtlError> {
    let mut args = pico_args::Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let command = word(&mut args)?;
    let command = match command.as_str() {
        "check" => Command::Check { file: file(&mut args)? },
        "services" => match word(&mut args)?.as_str() {
            "show" => Command::ServicesShow { platform: platform(&mut args)? },
            "apply" => {
                let platform = platform(&mut args)?;
                Command::ServicesApply { file: file(&mut args)?, platform }
            }
            other => return Err(CtlError::Usage(format!("unknown command: services {other}"))),
        },
        other => return Err(CtlError::Usage(format!("unknown command: {other}"))),
    };
    match args.finish().first() {
        Some(unknown) => {
            Err(CtlError::Usage(format!("unknown argument: {}", unknown.to_string_lossy())))
        }
        None => Ok(command),
    }
}

fn word(args: &mut pico_args::Arguments) -> Result<String, CtlError> {
    let word = args.subcommand().map_err(usage)?;
    word.ok_or_else(|| CtlError::Usage("a command is missing".to_owned()))
}

fn file(args: &mut pico_args::Arguments) -> Result<PathBuf, CtlError> {
    args.free_from_str::<String>().map(PathBuf::from).map_err(usage)
}

fn platform(args: &mut pico_args::Arguments) -> Result<SocketAddr, CtlError> {
    args.value_from_str("--platform").map_err(usage)
}

fn usage(e: pico_args::Error) -> CtlError {
    CtlError::Usage(e.to_string())
}
