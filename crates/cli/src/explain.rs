//! Reconstructs the timeline of one request, item or job from the logs of several daemons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;

use crate::error::CliError;
use crate::options::ExplainArgs;
use crate::options::OutputFormat;
use crate::output;

/// Replica events up to this many milliseconds before the first or after the last line of the id
/// are included as context.
const CONTEXT_MS: i64 = 3_000;
/// Fields that hold the id of the request, item or job that a line is about.
const ID_FIELDS: [&str; 3] = ["id", "item", "job"];
/// Replica events that explain what happened to a request. `replica_listed` is left out: every
/// daemon logs the whole list of replicas, which would bury the other lines.
const REPLICA_EVENTS: [&str; 6] = [
    "replica_suspect",
    "replica_trusted",
    "replica_gone",
    "replica_leaving",
    "replica_ejected",
    "replica_silent",
];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Timestamp as it stands in the log.
    pub time: String,
    /// Name of the log file, without its extension.
    pub log: String,
    /// Fields after the timestamp.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses a line of key=value pairs; text before the timestamp is skipped.
    pub fn parse(text: &str, log: &str) -> Option<Self> {
        let text = &text[text.find("ts=")?..];
        let mut fields = Vec::new();
        let mut rest = text.trim();
        while let Some((key, tail)) = rest.split_once('=') {
            let (value, next) = match tail.strip_prefix('"') {
                Some(quoted) => quoted.split_once('"')?,
                None => tail.split_once(' ').unwrap_or((tail, "")),
            };
            fields.push((key.trim().to_owned(), value.to_owned()));
            rest = next.trim_start();
        }
        let (first, time) = fields.first()?.clone();
        let has_event = fields.iter().any(|(key, _)| key == "event");
        (first == "ts" && has_event).then(|| Self {
            time,
            log: log.to_owned(),
            fields: fields.split_off(1),
        })
    }

    /// Returns the value of a field.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    fn to_text(&self) -> String {
        let shown = self.fields.iter().filter(|(key, _)| key != "level" && key != "at");
        let pairs: Vec<String> = shown.map(|(key, value)| format!("{key}={value}")).collect();
        format!("{} {} {}", self.time, self.log, pairs.join(" "))
    }

    fn is_about(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|field| self.get(field).is_some_and(|value| ids.contains(value)))
    }

    /// Returns the milliseconds since midnight, for comparing times that are close to each other.
    fn day_ms(&self) -> Option<i64> {
        let clock = self.time.split_once('T')?.1.trim_end_matches('Z');
        let mut parts = clock.split(':');
        let hours: i64 = parts.next()?.parse().ok()?;
        let minutes: i64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some((hours * 60 + minutes) * 60_000 + (seconds * 1000.0) as i64)
    }
}

/// The log lines that concern one id, ordered by time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// Lines about the id itself.
    pub lines: Vec<LogLine>,
    /// Events of its replicas around the same time.
    pub context: Vec<LogLine>,
    /// Number of lines that could not be parsed.
    pub malformed: usize,
}

/// Prints the timeline of an id.
pub fn run(args: &ExplainArgs, format: OutputFormat) -> Result<(), CliError> {
    let timeline = read_timeline(&args.id, &args.logs)?;
    if timeline.lines.is_empty() {
        return Err(CliError::NotInLogs(args.id.clone()));
    }
    output::print(format, &timeline, Timeline::to_text);
    Ok(())
}

/// Reads log files and returns the timeline of an id.
pub fn read_timeline(id: &str, logs: &[PathBuf]) -> Result<Timeline, CliError> {
    let mut all = Vec::new();
    let mut malformed = 0;
    for path in logs {
        let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        malformed += read_log(path, &name, &mut all)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })?;
    }
    let mut timeline = build_timeline(id, all);
    timeline.malformed = malformed;
    Ok(timeline)
}

fn read_log(path: &Path, name: &str, lines: &mut Vec<LogLine>) -> io::Result<usize> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut malformed = 0;
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        match LogLine::parse(&String::from_utf8_lossy(&bytes), name) {
            Some(line) => lines.push(line),
            None => malformed += 1,
        }
        bytes.clear();
    }
    Ok(malformed)
}

/// Selects the lines about an id and its job, and the events of its replicas.
pub fn build_timeline(id: &str, mut all: Vec<LogLine>) -> Timeline {
    all.sort_by(|a, b| a.time.cmp(&b.time));
    let mut ids = BTreeSet::from([id.to_owned()]);
    let jobs = all.iter().filter(|line| line.get("item") == Some(id));
    let jobs: Vec<String> = jobs.filter_map(|line| line.get("job").map(str::to_owned)).collect();
    ids.extend(jobs);
    let is_item = ids.len() > 1;
    let is_selected = |line: &LogLine| {
        line.is_about(&ids) && !(is_item && line.get("item").is_some_and(|item| item != id))
    };
    let lines: Vec<LogLine> = all.iter().filter(|line| is_selected(line)).cloned().collect();
    let replicas: BTreeSet<&str> = lines.iter().filter_map(|line| line.get("replica")).collect();
    let times: Vec<i64> = lines.iter().filter_map(LogLine::day_ms).collect();
    let from = times.iter().min().map_or(0, |ms| ms - CONTEXT_MS);
    let to = times.iter().max().map_or(0, |ms| ms + CONTEXT_MS);
    let is_context = |line: &&LogLine| {
        line.get("event").is_some_and(|event| REPLICA_EVENTS.contains(&event))
            && line.get("replica").is_some_and(|replica| replicas.contains(replica))
            && line.day_ms().is_some_and(|ms| (from..=to).contains(&ms))
    };
    let context = all.iter().filter(is_context).cloned().collect();
    Timeline { lines, context, malformed: 0 }
}

impl Timeline {
    /// Returns the lines ordered by time, followed by the summary of the outcome.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<&LogLine> = self.lines.iter().chain(&self.context).collect();
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let mut text: Vec<String> = lines.iter().map(|line| line.to_text()).collect();
        if self.malformed > 0 {
            text.push(format!("({} lines of the logs could not be read)", self.malformed));
        }
        text.push(self.outcome_summary());
        text.join("\n")
    }

    /// Returns one sentence on how the request, item or job ended and why.
    pub fn outcome_summary(&self) -> String {
        let last =
            |event: &str| self.lines.iter().rev().find(|line| line.get("event") == Some(event));
        if let Some(request) = last("request") {
            let is_quarantined = request.get("outcome") == Some("quarantined");
            let cause = last("request_quarantined").filter(|_| is_quarantined);
            if cause.is_some_and(|cause| cause.get("fingerprint").is_some()) {
                return "It was refused without being run: it crashed replicas under other ids and is \
                        quarantined."
                    .to_owned();
            }
            return request_summary(request, &self.context);
        }
        if let Some(refused) = last("body_refused") {
            let field = |name: &str| refused.get(name).unwrap_or("?");
            return format!(
                "It was refused without being run: its body was not read ({}); {} of {} bytes came in \
                 {} ms.",
                field("reason"),
                field("received_bytes"),
                field("announced_bytes"),
                field("took_ms")
            );
        }
        if let Some(refused) = last("job_refused") {
            let message = refused.get("message").unwrap_or("no message");
            return format!("The job was refused: {message}.");
        }
        if let Some(item) = last("item_try") {
            return self.item_summary(item);
        }
        match last("results_written") {
            Some(written) => format!(
                "{} of {} results are written.",
                written.get("listed").unwrap_or("?"),
                written.get("total").unwrap_or("?")
            ),
            None => "The logs do not say how it ended.".to_owned(),
        }
    }

    fn item_summary(&self, last: &LogLine) -> String {
        let attempts = self.lines.iter().filter(|line| line.get("event") == Some("item_try"));
        let mut causes: BTreeMap<&str, u32> = BTreeMap::new();
        for line in attempts {
            *causes.entry(line.get("cause").unwrap_or("unknown")).or_default() += 1;
        }
        let cause_counts: Vec<String> =
            causes.iter().map(|(cause, count)| format!("{cause} {count} times")).collect();
        format!(
            "The item's last try ended as {} ({}); its tries: {}.",
            last.get("end").unwrap_or("unknown"),
            last.get("cause").unwrap_or("unknown"),
            cause_counts.join(", ")
        )
    }
}

fn request_summary(request: &LogLine, context: &[LogLine]) -> String {
    let field = |name: &str| request.get(name).unwrap_or("?");
    let is_suspect = context.iter().any(|line| {
        line.get("event") == Some("replica_suspect")
            && line.get("replica") == request.get("replica")
    });
    let suspicion = if is_suspect { " (found silent by its owner)" } else { "" };
    match field("outcome") {
        "answered" => format!(
            "It was answered with {} by {}, {} ms after it arrived.",
            field("status"),
            field("replica"),
            field("first_ms")
        ),
        "client_left" => format!(
            "The client left after {} ms; {} events had been passed on.",
            field("total_ms"),
            field("events")
        ),
        "overload" => {
            format!(
                "It was refused without being run: no slot came free within {} ms.",
                field("slot_wait_ms")
            )
        }
        "leaving" => {
            "It was refused without being run: its daemon was stopping and might have ended first."
                .to_owned()
        }
        "quarantined" => {
            "It was refused without being run: a part of its prompt crashed replicas and is quarantined."
                .to_owned()
        }
        "unauthenticated" | "outdated_bundle" => {
            "It was refused without being run: its key went away while it waited for a slot."
                .to_owned()
        }
        "no_backend" => {
            "It was refused without being run: no replica of the service accepted it.".to_owned()
        }
        "deadline" => format!(
            "Its deadline passed after {} ms while {}{suspicion} was working on it.",
            field("total_ms"),
            field("replica")
        ),
        "backend_lost" => format!(
            "It was sent to {}{suspicion} and no answer came; it may have run and was not repeated.",
            field("replica")
        ),
        other => format!(
            "Its answer ended as {other} after {} events from {}{suspicion}.",
            field("events"),
            field("replica")
        ),
    }
}
