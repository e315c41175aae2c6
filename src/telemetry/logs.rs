//! Logs: one line of key=value pairs for each event.
//!
//! Daemons write to standard output. Nothing that logs there ever waits for a reader: lines gather in a buffer, a thread writes them,
//! and what finds the buffer full is counted and left out.

use std::io::Write;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use jiff::tz::TimeZone;
use log::LevelFilter;
use logforth::layout::LogfmtLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use metrics::counter;

use crate::settings::LogLevel;

/// Bytes of lines that wait to be written at most: some seconds of a busy instance.
const LARGEST_BACKLOG: usize = 256 << 10;
/// Batches that the writer may be behind.
const BATCHES: usize = 2;
/// Longest wait for the last lines when the process ends.
const LAST_LINES: Duration = Duration::from_millis(200);

/// The lines that wait, and the way to the thread that writes them.
#[derive(Debug)]
struct Buffer {
    lines: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
}

static BUFFER: OnceLock<Mutex<Buffer>> = OnceLock::new();

/// Appends lines to the buffer.
#[derive(Debug)]
struct Buffered {
    layout: LogfmtLayout,
}

impl Append for Buffered {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let Some(buffer) = BUFFER.get() else { return Ok(()) };
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lines.len() + line.len() >= LARGEST_BACKLOG {
            counter!("limpetdeck_log_lines_dropped_total").increment(1);
            return Ok(());
        }
        buffer.lines.extend_from_slice(&line);
        buffer.lines.push(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        flush_logs();
        Ok(())
    }
}

/// Starts the log of a tool, on standard error; a second call changes nothing.
pub fn start_logs(level: LogLevel) {
    start(logforth::append::Stderr::default().with_layout(LogfmtLayout::default()), level);
}

/// Starts the log of a daemon, on standard output; a second call changes nothing.
pub fn start_daemon_logs(level: LogLevel) {
    BUFFER.get_or_init(|| Mutex::new(Buffer { lines: Vec::new(), writer: start_writer() }));
    start(Buffered { layout: LogfmtLayout::default().timezone(TimeZone::UTC) }, level);
}

fn start(append: impl Append, level: LogLevel) {
    let logger = logforth::core::builder().dispatch(|d| d.append(append)).build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(filter(level));
    }
}

/// Hands the lines that wait to the writer, unless it is still busy with earlier ones.
pub fn flush_logs() {
    let Some(buffer) = BUFFER.get() else { return };
    let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
    if buffer.lines.is_empty() {
        return;
    }
    let lines = std::mem::take(&mut buffer.lines);
    if let Err(unsent) = buffer.writer.try_send(lines) {
        buffer.lines = match unsent {
            std::sync::mpsc::TrySendError::Full(lines)
            | std::sync::mpsc::TrySendError::Disconnected(lines) => lines,
        };
    }
}

/// Writes the last lines before the process ends, as long as somebody reads them.
pub fn finish_logs() {
    let end = Instant::now() + LAST_LINES;
    while Instant::now() < end && backlog() > 0 {
        flush_logs();
        thread::sleep(Duration::from_millis(1));
    }
    // The writer may still hold the last batch.
    thread::sleep(Duration::from_millis(1));
}

fn backlog() -> usize {
    let lines =
        |buffer: &Mutex<Buffer>| buffer.lock().unwrap_or_else(PoisonError::into_inner).lines.len();
    BUFFER.get().map_or(0, lines)
}

fn start_writer() -> SyncSender<Vec<u8>> {
    let (tx, rx) = sync_channel::<Vec<u8>>(BATCHES);
    thread::spawn(move || {
        let mut stdout = std::io::stdout().lock();
        for lines in rx {
            // Without a reader there is nobody who could be told of the error.
            let _ = stdout.write_all(&lines).and_then(|()| stdout.flush());
        }
    });
    tx
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
