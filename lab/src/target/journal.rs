//! The journal of executed work.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

use limpetdeck::ids::{ServiceId, TargetId};

use crate::protocol::WorkId;

/// Writes a line for each piece of work that was executed.
#[derive(Debug)]
pub struct Journal {
    file: BufWriter<File>,
}

impl Journal {
    /// Begins a journal.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: BufWriter::new(File::create(path)?) })
    }

    /// Notes that a sale was executed.
    pub fn executed(&mut self, id: WorkId, service: ServiceId, target: TargetId) {
        if writeln!(self.file, "executed {id} {service} {target}").is_err() {
            log::error!(id = id; "journal_lost");
        }
    }

    /// Makes the file whole.
    pub fn flush(&mut self) {
        if self.file.flush().is_err() {
            log::error!("journal_lost");
        }
    }
}
