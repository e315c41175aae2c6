//! Signals that request a graceful stop or a reload of the settings.

use std::io;

use async_signal::Signal;
use futures_lite::StreamExt;

/// Request made by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// Stop gracefully (SIGTERM or SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

/// Stream of the signals that this process receives.
#[derive(Debug)]
pub struct Signals {
    signals: async_signal::Signals,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses the handlers.
    pub fn catch() -> io::Result<Self> {
        let signals = async_signal::Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(Self { signals })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            match self.signals.next().await {
                Some(Ok(Signal::Hup)) => return SignalRequest::Reload,
                Some(Ok(_)) => return SignalRequest::Stop,
                Some(Err(e)) => log::warn!(error = e.to_string().as_str(); "signal_unread"),
                // The stream never ends; if it did, no further signal could arrive.
                None => std::future::pending().await,
            }
        }
    }
}
