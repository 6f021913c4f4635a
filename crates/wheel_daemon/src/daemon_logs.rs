//! One line of key=value pairs for each event.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

/// Sends the process's log to standard error from `level` on.
///
/// # Errors
/// The logging library's error, if the logger can't be made.
pub fn start_logs(level: Level) -> Result<(), spdlog::Error> {
    start_logs_to(StdStream::Stderr, level)
}

/// Sends the process's log to a standard stream from `level` on.
///
/// # Errors
/// The logging library's error, if the logger can't be made.
pub fn start_logs_to(stream: StdStream, level: Level) -> Result<(), spdlog::Error> {
    let layout = pattern!(
        "time={date}T{time}.{millisecond}{tz_offset} level={level} event={payload} {kv}{eol}"
    );
    let formatter = PatternFormatter::new(layout);
    let sink: Arc<dyn Sink> =
        Arc::new(StdStreamSink::builder().std_stream(stream).formatter(formatter).build()?);
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(sink).level_filter(filter).build()?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
