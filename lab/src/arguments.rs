//! Command-line parsing and start-up shared by all commands.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::str::FromStr;

use limpetdeck::settings::LogLevel;
use limpetdeck::telemetry::start_logs;

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// Error in a command line, or reason why a command could not run.
#[derive(Debug)]
pub struct CommandError {
    problem: String,
}

impl CommandError {
    /// Creates an error with the text of `problem`.
    pub fn new(problem: impl ToString) -> Self {
        Self { problem: problem.to_string() }
    }

    /// Prints the error and `help` to standard error, and returns the exit code.
    pub fn print_with_help(&self, help: &str) -> ExitCode {
        eprintln!("{}\n\n{help}", self.problem);
        ExitCode::from(EXIT_USAGE)
    }
}

/// Result of a command: its exit code, or an error.
pub type Outcome = Result<ExitCode, CommandError>;

/// The arguments of a command.
#[derive(Debug)]
pub struct Args {
    inner: pico_args::Arguments,
}

impl Args {
    /// Takes the arguments of this process.
    pub fn from_env() -> Self {
        Self { inner: pico_args::Arguments::from_env() }
    }

    /// Creates arguments from words.
    pub fn from_words<'a>(words: impl IntoIterator<Item = &'a str>) -> Self {
        let words = words.into_iter().map(Into::into).collect();
        Self { inner: pico_args::Arguments::from_vec(words) }
    }

    /// Removes and returns the name of the command, if there is one.
    pub fn command(&mut self) -> Option<String> {
        self.inner.subcommand().ok().flatten()
    }

    /// Removes a flag, and returns whether it was given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// Removes and returns the value of a required option.
    ///
    /// # Errors
    ///
    /// Fails if the option is missing or its value cannot be parsed.
    pub fn value<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<T, CommandError> {
        self.inner.value_from_str(name).map_err(CommandError::new)
    }

    /// Removes and returns the value of an option, or `default` if it was not given.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be parsed.
    pub fn value_or<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
        default: T,
    ) -> Result<T, CommandError> {
        Ok(self.inner.opt_value_from_str(name).map_err(CommandError::new)?.unwrap_or(default))
    }

    /// Removes and returns all values of an option that may be repeated.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be parsed.
    pub fn values<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Vec<T>, CommandError> {
        self.inner.values_from_str(name).map_err(CommandError::new)
    }

    /// Checks that all arguments have been used.
    ///
    /// # Errors
    ///
    /// Fails if an argument is left; the error names the first one.
    pub fn finish(self) -> Result<(), CommandError> {
        match self.inner.finish().first() {
            Some(unknown) => {
                Err(CommandError::new(format!("unknown argument: {}", unknown.to_string_lossy())))
            }
            None => Ok(()),
        }
    }
}

/// Mapping of a key to an address, written `KEY=ADDRESS`.
#[derive(Debug, Clone)]
pub struct AddressMapping<K> {
    /// Text before the equals sign, parsed.
    pub key: K,
    /// Address after the equals sign.
    pub address: SocketAddr,
}

impl<K: FromStr<Err: std::fmt::Display>> FromStr for AddressMapping<K> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, address) = text
            .split_once('=')
            .ok_or_else(|| format!("{text:?} is not of the form KEY=ADDRESS"))?;
        let key = key.parse().map_err(|e| format!("{key:?}: {e}"))?;
        let address = address.parse().map_err(|e| format!("{address:?}: {e}"))?;
        Ok(Self { key, address })
    }
}

/// IPv4 prefix, written like `10.1.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ipv4Prefix {
    bits: u32,
    len: u32,
}

impl Ipv4Prefix {
    /// Returns whether an address is in the prefix.
    pub fn contains(&self, address: [u8; 4]) -> bool {
        let differing_bits = self.bits ^ u32::from_be_bytes(address);
        differing_bits.checked_shr(u32::BITS - self.len).unwrap_or(0) == 0
    }
}

impl FromStr for Ipv4Prefix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (ip, len) =
            text.split_once('/').ok_or("the prefix has no length, as in 10.1.0.0/16")?;
        let ip: std::net::Ipv4Addr =
            ip.parse().map_err(|_| "the prefix has no valid IPv4 address")?;
        let len: u32 = len.parse().map_err(|_| "the prefix length is not a number")?;
        if len > u32::BITS {
            return Err("the prefix length is over 32".to_owned());
        }
        Ok(Self { bits: ip.into(), len })
    }
}

/// Starts logging, and runs an emulator on this thread until it ends.
pub fn run_emulator<F, T>(main: impl FnOnce(Rc<smol::LocalExecutor<'static>>) -> F) -> T
where
    F: Future<Output = T>,
{
    start_logs(LogLevel::Info);
    let ex = Rc::new(smol::LocalExecutor::new());
    smol::block_on(ex.run(main(Rc::clone(&ex))))
}
