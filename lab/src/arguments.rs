//! What all commands share in reading their arguments.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::str::FromStr;

use limpetdeck::settings::LogLevel;
use limpetdeck::telemetry::start_logs;

/// Exit code for wrong arguments.
const EXIT_USAGE: u8 = 2;

/// What is wrong with a command line, or why a command could not run.
#[derive(Debug)]
pub struct Usage {
    problem: String,
}

impl Usage {
    /// Makes a report of a problem.
    pub fn new(problem: impl ToString) -> Self {
        Self { problem: problem.to_string() }
    }

    /// Prints the problem and the help, and gives the exit code.
    pub fn report(&self, help: &str) -> ExitCode {
        eprintln!("{}\n\n{help}", self.problem);
        ExitCode::from(EXIT_USAGE)
    }
}

/// How a command ends.
pub type Outcome = Result<ExitCode, Usage>;

/// The arguments of a command.
#[derive(Debug)]
pub struct Args {
    inner: pico_args::Arguments,
}

impl Args {
    /// Reads the process's command line.
    pub fn from_env() -> Self {
        Self { inner: pico_args::Arguments::from_env() }
    }

    /// Makes arguments of given words.
    pub fn from_words<'a>(words: impl IntoIterator<Item = &'a str>) -> Self {
        let words = words.into_iter().map(Into::into).collect();
        Self { inner: pico_args::Arguments::from_vec(words) }
    }

    /// Takes the command's name.
    pub fn command(&mut self) -> Option<String> {
        self.inner.subcommand().ok().flatten()
    }

    /// Takes a flag.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.inner.contains(name)
    }

    /// Takes a value that must be there.
    ///
    /// # Errors
    ///
    /// Fails if the value is missing or cannot be read.
    pub fn value<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<T, Usage> {
        self.inner.value_from_str(name).map_err(Usage::new)
    }

    /// Takes a value that has a default.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be read.
    pub fn value_or<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
        default: T,
    ) -> Result<T, Usage> {
        Ok(self.inner.opt_value_from_str(name).map_err(Usage::new)?.unwrap_or(default))
    }

    /// Takes all values of an argument that may stand several times.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be read.
    pub fn values<T: FromStr<Err: std::fmt::Display>>(
        &mut self,
        name: &'static str,
    ) -> Result<Vec<T>, Usage> {
        self.inner.values_from_str(name).map_err(Usage::new)
    }

    /// Makes sure that nothing is left over.
    ///
    /// # Errors
    ///
    /// Fails on the first argument that no one took.
    pub fn finish(self) -> Result<(), Usage> {
        match self.inner.finish().first() {
            Some(unknown) => {
                Err(Usage::new(format!("unknown argument: {}", unknown.to_string_lossy())))
            }
            None => Ok(()),
        }
    }
}

/// A pair of the form `KEY=ADDRESS`.
#[derive(Debug, Clone)]
pub struct Pair<K> {
    /// What stands before the sign.
    pub key: K,
    /// The address after it.
    pub address: SocketAddr,
}

impl<K: FromStr<Err: std::fmt::Display>> FromStr for Pair<K> {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (key, address) = text.split_once('=').ok_or_else(|| format!("{text:?} has no ="))?;
        let key = key.parse().map_err(|e| format!("{key:?}: {e}"))?;
        let address = address.parse().map_err(|e| format!("{address:?}: {e}"))?;
        Ok(Self { key, address })
    }
}

/// An IPv4 prefix of the form `10.1.0.0/16`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Prefix {
    bits: u32,
    len: u32,
}

impl Prefix {
    /// Tells whether an address is in the prefix.
    pub fn contains(&self, address: [u8; 4]) -> bool {
        let differ = self.bits ^ u32::from_be_bytes(address);
        differ.checked_shr(u32::BITS - self.len).unwrap_or(0) == 0
    }
}

impl FromStr for Prefix {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (ip, len) = text.split_once('/').ok_or("the prefix has no length")?;
        let ip: std::net::Ipv4Addr = ip.parse().map_err(|_| "the prefix has no IPv4 number")?;
        let len: u32 = len.parse().map_err(|_| "the length is not a number")?;
        if len > u32::BITS {
            return Err("the length is over 32".to_owned());
        }
        Ok(Self { bits: ip.into(), len })
    }
}

/// Runs a stand-in on this thread until it ends.
pub fn run_local<F, T>(main: impl FnOnce(Rc<smol::LocalExecutor<'static>>) -> F) -> T
where
    F: Future<Output = T>,
{
    start_logs(LogLevel::Info);
    let ex = Rc::new(smol::LocalExecutor::new());
    smol::block_on(ex.run(main(Rc::clone(&ex))))
}
