//! Set-up of the log: each event is one line of key=value pairs.

use std::io;
use std::io::Write;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;

use crate::log_writer;
use crate::log_writer::LogGuard;

/// Writes a log line as `ts=… level=… at=… key=value …`.
pub fn format_line(
    out: &mut impl Write,
    timestamp: impl std::fmt::Display,
    record: &log::Record<'_>,
) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    writeln!(out, "ts={timestamp} level={level} at={} {}", record.target(), record.args())
}

/// Initializes the log of a daemon on standard output; a slow reader never blocks it.
///
/// The guard writes the remaining lines when it is dropped.
pub fn init_bounded(default_level: &str) -> io::Result<LogGuard> {
    let (writer, guard) = log_writer::start(io::stdout())?;
    Builder::from_env(Env::default().default_filter_or(default_level))
        .format(|out, record| {
            let timestamp = out.timestamp_millis();
            format_line(out, timestamp, record)
        })
        .target(Target::Pipe(Box::new(writer)))
        .init();
    Ok(guard)
}

/// Initializes the log of a process; `RUST_LOG` overrides `default_level`.
pub fn init(default_level: &str) {
    Builder::from_env(Env::default().default_filter_or(default_level))
        .format(|out, record| {
            let timestamp = out.timestamp_millis();
            format_line(out, timestamp, record)
        })
        .init();
}
