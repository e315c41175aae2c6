//! Journal of executed sales.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use limpetdeck::ids::{ServiceId, TargetId};

use crate::protocol::WorkId;

/// File with one line for each executed sale. If a write fails, the log says `journal_lost`.
#[derive(Debug)]
pub struct Journal {
    file: BufWriter<File>,
}

impl Journal {
    /// Creates the file, or truncates it if it exists.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: BufWriter::new(File::create(path)?) })
    }

    /// Writes that a target executed a sale.
    pub fn record_execution(&mut self, id: WorkId, service: ServiceId, target: TargetId) {
        if writeln!(self.file, "executed {id} {service} {target}").is_err() {
            log::error!(id = id; "journal_lost");
        }
    }

    /// Writes buffered lines to the file.
    pub fn flush(&mut self) {
        if self.file.flush().is_err() {
            log::error!("journal_lost");
        }
    }
}
