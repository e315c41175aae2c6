//! What was sent, answered and run, with the time since the start of the script.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Address and port that a client's packets name.
pub type Route = (Ipv4Addr, u16);

/// An opening packet that a server took.
#[derive(Debug, Clone)]
pub struct Taken {
    pub at: Duration,
    pub server: String,
    pub client_port: u16,
}

#[derive(Debug, Default)]
struct Entries {
    lines: Vec<(Duration, String)>,
    taken: Vec<Taken>,
    violations: Vec<String>,
}

/// The record of one script.
#[derive(Debug, Clone)]
pub struct Journal {
    pub started: Instant,
    entries: Arc<Mutex<Entries>>,
}

impl Journal {
    pub fn new() -> Self {
        Self { started: Instant::now(), entries: Arc::default() }
    }

    pub fn since_start(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.started.elapsed();
        self.entries.lock().unwrap().lines.push((at, line.into()));
    }

    pub fn violation(&self, line: impl Into<String>) {
        let line = line.into();
        self.note(format!("RULE BROKEN {line}"));
        self.entries.lock().unwrap().violations.push(line);
    }

    pub fn take(&self, taken: Taken) {
        self.entries.lock().unwrap().taken.push(taken);
    }

    pub fn taken(&self) -> Vec<Taken> {
        self.entries.lock().unwrap().taken.clone()
    }

    pub fn violations(&self) -> Vec<String> {
        self.entries.lock().unwrap().violations.clone()
    }

    /// Returns the record as text, in the order of time.
    pub fn text(&self) -> String {
        let mut lines = self.entries.lock().unwrap().lines.clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter().map(|(at, line)| format!("{:9.3} {line}\n", at.as_secs_f64()));
        lines.collect()
    }
}
