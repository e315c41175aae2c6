//! The signals that ask a process to stop gracefully.

use std::io;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

/// The stop signals of this process.
#[derive(Debug)]
pub struct StopSignals {
    signals: Signals,
}

impl StopSignals {
    /// Starts to catch SIGTERM and SIGINT.
    ///
    /// # Errors
    ///
    /// Fails if the system does not let the signals be caught.
    pub fn catch() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int])?;
        Ok(Self { signals })
    }

    /// Waits for the next stop signal.
    pub async fn next(&mut self) {
        // The stream never ends, and an error means that one signal was not read.
        let _ = self.signals.next().await;
    }
}
