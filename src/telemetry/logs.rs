//! Logs: one line of key=value pairs for each event, on standard error.

use log::LevelFilter;
use logforth::append;
use logforth::layout::LogfmtLayout;

use crate::settings::LogLevel;

/// Starts the process's log; a second call changes nothing.
pub fn start_logs(level: LogLevel) {
    let append = append::Stderr::default().with_layout(LogfmtLayout::default());
    let logger = logforth::core::builder().dispatch(|d| d.append(append)).build();
    if log::set_boxed_logger(Box::new(logforth::bridge::log::LogBridge::new(logger))).is_ok() {
        log::set_max_level(filter(level));
    }
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
