//! Logs: one line of key=value pairs for each event.
//!
//! Daemons write to standard output. Logging never blocks on a slow reader: lines are buffered
//! and written by a thread; lines that find the buffer full are dropped and counted.

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

/// Capacity of the line buffer in bytes: some seconds of a busy instance's log.
const BUFFER_CAPACITY: usize = 256 << 10;
/// Number of batches that may be queued for the writer thread.
const WRITER_QUEUE_LEN: usize = 2;
/// Time limit for writing the last lines when the process ends.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines not yet handed to the writer thread, and the channel to it.
#[derive(Debug)]
struct Buffer {
    lines: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
}

static BUFFER: OnceLock<Mutex<Buffer>> = OnceLock::new();

/// Log appender that writes to the buffer.
#[derive(Debug)]
struct BufferedAppender {
    layout: LogfmtLayout,
}

impl Append for BufferedAppender {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = self.layout.format(record, diags)?;
        let Some(buffer) = BUFFER.get() else { return Ok(()) };
        let mut buffer = buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.lines.len() + line.len() >= BUFFER_CAPACITY {
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

/// Installs the logger of a tool, on standard error; a second call has no effect.
pub fn start_logs(level: LogLevel) {
    install_logger(logforth::append::Stderr::default().with_layout(LogfmtLayout::default()), level);
}

/// Installs the logger of a daemon, on standard output; a second call has no effect.
pub fn start_daemon_logs(level: LogLevel) {
    BUFFER.get_or_init(|| Mutex::new(Buffer { lines: Vec::new(), writer: start_writer() }));
    install_logger(
        BufferedAppender { layout: LogfmtLayout::default().timezone(TimeZone::UTC) },
        level,
    );
}

fn install_logger(append: impl Append, level: LogLevel) {
    let logger = logforth::core::builder().dispatch(|d| d.append(append)).build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(level_filter(level));
    }
}

/// Hands the buffered lines to the writer thread, unless its queue is full.
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

/// Waits a limited time for the last lines to be written before the process ends.
pub fn finish_logs() {
    let deadline = Instant::now() + FINAL_FLUSH_TIMEOUT;
    while Instant::now() < deadline && buffered_len() > 0 {
        flush_logs();
        thread::sleep(Duration::from_millis(1));
    }
    // The writer thread may still be writing the last batch.
    thread::sleep(Duration::from_millis(1));
}

fn buffered_len() -> usize {
    let lines =
        |buffer: &Mutex<Buffer>| buffer.lock().unwrap_or_else(PoisonError::into_inner).lines.len();
    BUFFER.get().map_or(0, lines)
}

fn start_writer() -> SyncSender<Vec<u8>> {
    let (tx, rx) = sync_channel::<Vec<u8>>(WRITER_QUEUE_LEN);
    thread::spawn(move || {
        let mut stdout = std::io::stdout().lock();
        for lines in rx {
            // Ignored: an error means that nothing reads standard output.
            let _ = stdout.write_all(&lines).and_then(|()| stdout.flush());
        }
    });
    tx
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
