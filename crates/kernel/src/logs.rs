//! Set-up of the log: one line of key=value pairs for each event.

use std::io::Write;

/// Writes log lines to standard error as `ts=… level=… at=… key=value …`.
pub fn format_line(
    out: &mut impl Write,
    timestamp: impl std::fmt::Display,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    writeln!(out, "ts={timestamp} level={level} at={} {}", record.target(), record.args())
}
