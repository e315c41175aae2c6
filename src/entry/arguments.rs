//! The command line of `limpetdeck-entry`.

use std::ffi::OsString;
use std::path::PathBuf;

use derive_more::{Display, Error};

/// Text for `--help`.
pub const HELP: &str = "\
limpetdeck-entry: one instance of a layer-4 load balancer

usage: limpetdeck-entry --settings FILE

  --settings FILE   settings in TOML; see sample_configs/
  --help            print this text
  --version         print the version

SIGTERM or SIGINT stops the instance gracefully.
exit codes: 0 stopped, 1 failed, 2 wrong arguments or settings
";

/// What the command line asks for.
#[derive(Debug)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Run the instance.
    Run(Arguments),
}

/// Arguments of a run.
#[derive(Debug)]
pub struct Arguments {
    /// Path of the settings file.
    pub settings: PathBuf,
}

/// A command line that cannot be read.
#[derive(Debug, Display, Error)]
pub enum ArgumentError {
    /// An argument is missing or has a wrong value.
    #[display("{_0}")]
    Wrong(pico_args::Error),
    /// An argument is not known.
    #[display("unknown argument: {_0}")]
    Unknown(#[error(not(source))] String),
}

impl Arguments {
    /// Reads the command line, without the program's name.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(args: Vec<OsString>) -> Result<Command, ArgumentError> {
        let mut args = pico_args::Arguments::from_vec(args);
        if args.contains(["-h", "--help"]) {
            return Ok(Command::Help);
        }
        if args.contains(["-V", "--version"]) {
            return Ok(Command::Version);
        }
        let settings: String = args.value_from_str("--settings").map_err(ArgumentError::Wrong)?;
        if let Some(unknown) = args.finish().first() {
            return Err(ArgumentError::Unknown(unknown.to_string_lossy().into_owned()));
        }
        Ok(Command::Run(Self { settings: settings.into() }))
    }
}
