//! Typed access to command-line arguments.

use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

use crate::ctl::CtlError;

/// Arguments that have not been consumed yet.
#[derive(Debug)]
pub(super) struct ArgumentReader {
    inner: pico_args::Arguments,
}

impl ArgumentReader {
    pub(super) fn new(args: Vec<OsString>) -> Self {
        Self { inner: pico_args::Arguments::from_vec(args) }
    }

    /// Removes and returns the next argument, which has to be a subcommand.
    pub(super) fn subcommand(&mut self) -> Result<String, CtlError> {
        let word = self.inner.subcommand().map_err(usage_error)?;
        word.ok_or_else(|| CtlError::Usage("a command is missing".to_owned()))
    }

    /// Removes a flag and returns whether it was present.
    pub(super) fn flag(&mut self, keys: impl Into<pico_args::Keys>) -> bool {
        self.inner.contains(keys)
    }

    /// Removes and returns the value of a required option.
    pub(super) fn required<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<T, CtlError> {
        self.inner.value_from_str(key).map_err(usage_error)
    }

    /// Removes and returns the value of an option, if present.
    pub(super) fn optional<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<Option<T>, CtlError> {
        self.inner.opt_value_from_str(key).map_err(usage_error)
    }

    /// Removes and returns all values of an option that may be repeated.
    pub(super) fn all<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
    ) -> Result<Vec<T>, CtlError> {
        self.inner.values_from_str(key).map_err(usage_error)
    }

    /// Removes and returns the next positional argument; `name` is for the error message.
    ///
    /// All options have to be removed before, as their values look like positional arguments.
    pub(super) fn positional<T: FromStr<Err: Display>>(
        &mut self,
        name: &str,
    ) -> Result<T, CtlError> {
        let word = self.inner.opt_free_from_str().map_err(usage_error)?;
        word.ok_or_else(|| CtlError::Usage(format!("{name} is missing")))
    }

    /// Fails if an argument has not been consumed.
    pub(super) fn finish(self) -> Result<(), CtlError> {
        match self.inner.finish().first() {
            Some(unknown) => {
                Err(CtlError::Usage(format!("unknown argument: {}", unknown.to_string_lossy())))
            }
            None => Ok(()),
        }
    }
}

fn usage_error(e: pico_args::Error) -> CtlError {
    CtlError::Usage(e.to_string())
}
