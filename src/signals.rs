//! The signals that ask a process to stop gracefully or to read its settings again.

use std::io;

use async_signal::Signal;
use futures_lite::StreamExt;

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signalled {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals of this process.
#[derive(Debug)]
pub struct Signals {
    signals: async_signal::Signals,
}

impl Signals {
    /// Starts to catch SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the system does not let the signals be caught.
    pub fn catch() -> io::Result<Self> {
        let signals = async_signal::Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Self { signals })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signalled {
        loop {
            match self.signals.next().await {
                Some(Ok(Signal::Hup)) => return Signalled::Reload,
                Some(Ok(_)) => return Signalled::Stop,
                Some(Err(e)) => log::warn!(error = e.to_string().as_str(); "signal_unread"),
                // The stream never ends; should it, no signal will ever come.
                None => std::future::pending().await,
            }
        }
    }
}
