//! Logging as one line of key=value pairs per event.

use std::num::NonZeroUsize;
use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Largest number of queued lines: a few seconds of a busy ingress instance, about 2 MB.
const MAX_QUEUED_LINES: NonZeroUsize = NonZeroUsize::new(8_192).expect("it isn't zero");

/// Logs events of `level` and above to standard error.
///
/// # Errors
/// The logging library's error, if the logger can't be made.
pub fn start_logs(level: Level) -> Result<(), spdlog::Error> {
    start_logs_to(StdStream::Stderr, level)
}

/// Logs events of `level` and above to standard output without ever blocking: lines are queued for
/// a writer thread. Lines that find the queue full are dropped and counted.
///
/// # Errors
/// The logging library's error, if the logger can't be made.
pub fn start_queued_logs(level: Level) -> Result<(), spdlog::Error> {
    let pool = ThreadPool::builder().capacity(MAX_QUEUED_LINES).build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(stream_sink(StdStream::Stdout)?)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(|_: spdlog::Error| {
            metrics::counter!("wheel_log_lines_dropped_total").increment(1);
        })
        .build()?;
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build()?;
    logger.set_flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn));
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Logs events of `level` and above to a standard stream.
fn start_logs_to(stream: StdStream, level: Level) -> Result<(), spdlog::Error> {
    let filter = LevelFilter::MoreSevereEqual(level);
    let logger = Logger::builder().sink(stream_sink(stream)?).level_filter(filter).build()?;
    logger.set_flush_level_filter(LevelFilter::All);
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

fn stream_sink(stream: StdStream) -> Result<Arc<dyn Sink>, spdlog::Error> {
    let layout = pattern!(
        "time={date}T{time}.{millisecond}{tz_offset} level={level} event={payload} {kv}{eol}"
    );
    let formatter = PatternFormatter::new(layout);
    Ok(Arc::new(StdStreamSink::builder().std_stream(stream).formatter(formatter).build()?))
}
