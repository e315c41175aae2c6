//! The command line of `limpetdeck-entry`.

use std::path::PathBuf;

use crate::command::ArgumentError;

/// Text that `--help` prints.
pub const HELP: &str = "\
limpetdeck-entry: one instance of a layer-4 load balancer

usage: limpetdeck-entry --settings FILE

  --settings FILE   settings in TOML; see sample_configs/
  --help            print this text
  --version         print the version

SIGTERM or SIGINT stops the instance gracefully.
exit codes: 0 stopped, 1 failed, 2 invalid arguments or settings
";

/// Parsed command-line arguments.
#[derive(Debug)]
pub struct Arguments {
    /// Path of the settings file.
    pub settings: PathBuf,
}

impl Arguments {
    /// Parses the arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if `--settings` is missing or has no value.
    pub fn parse(args: &mut pico_args::Arguments) -> Result<Self, ArgumentError> {
        let settings: String = args.value_from_str("--settings")?;
        Ok(Self { settings: settings.into() })
    }
}
