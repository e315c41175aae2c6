//! The words of a command line, taken one after the other.

use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use crate::ctl::CtlError;

/// The words that no one has taken yet.
#[derive(Debug)]
pub(super) struct Words {
    inner: pico_args::Arguments,
}

impl Words {
    pub(super) fn new(args: Vec<OsString>) -> Self {
        Self { inner: pico_args::Arguments::from_vec(args) }
    }

    /// Takes a command.
    pub(super) fn command(&mut self) -> Result<String, CtlError> {
        let word = self.inner.subcommand().map_err(usage)?;
        word.ok_or_else(|| CtlError::Usage("a command is missing".to_owned()))
    }

    /// Takes a flag.
    pub(super) fn flag(&mut self, keys: impl Into<pico_args::Keys>) -> bool {
        self.inner.contains(keys)
    }

    /// Takes a value that must be there.
    pub(super) fn value<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<T, CtlError> {
        self.inner.value_from_str(key).map_err(usage)
    }

    /// Takes a value that may be missing.
    pub(super) fn optional<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<Option<T>, CtlError> {
        self.inner.opt_value_from_str(key).map_err(usage)
    }

    /// Takes all values of an argument that may stand several times.
    pub(super) fn all<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<Vec<T>, CtlError> {
        self.inner.values_from_str(key).map_err(usage)
    }

    /// Takes a word that stands by itself; arguments with keys have to be taken before.
    pub(super) fn free<T: FromStr<Err: Display>>(&mut self, name: &str) -> Result<T, CtlError> {
        let word = self.inner.opt_free_from_str().map_err(usage)?;
        word.ok_or_else(|| CtlError::Usage(format!("{name} is missing")))
    }

    /// Makes sure that nothing is left over.
    pub(super) fn finish(self) -> Result<(), CtlError> {
        match self.inner.finish().first() {
            Some(unknown) => {
                Err(CtlError::Usage(format!("unknown argument: {}", unknown.to_string_lossy())))
            }
            None => Ok(()),
        }
    }
}

fn usage(e: pico_args::Error) -> CtlError {
    CtlError::Usage(e.to_string())
}
