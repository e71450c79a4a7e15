//! Tells the story of one request, item or job from the logs of many daemons.

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
use crate::options::OutputForm;
use crate::output;

/// How far before and after the story what happened to its replicas belongs to it, in
/// milliseconds.
const CONTEXT_MS: i64 = 3_000;
/// The fields that name what a line is about.
const SUBJECTS: [&str; 3] = ["id", "item", "job"];
/// The events of replicas that explain what happened to a request; every daemon logs the list of
/// replicas, which would hide the rest.
const REPLICA_EVENTS: [&str; 5] =
    ["replica_suspect", "replica_trusted", "replica_gone", "replica_ejected", "replica_silent"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// The time as it was written.
    pub time: String,
    /// The log that it stands in.
    pub log: String,
    /// The fields after the time.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Reads a line of key=value pairs; text before the time is skipped.
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
        SUBJECTS.iter().any(|field| self.get(field).is_some_and(|value| ids.contains(value)))
    }

    /// Returns the milliseconds of the day, for comparing times that are close to each other.
    fn day_ms(&self) -> Option<i64> {
        let clock = self.time.split_once('T')?.1.trim_end_matches('Z');
        let mut parts = clock.split(':');
        let hours: i64 = parts.next()?.parse().ok()?;
        let minutes: i64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        Some((hours * 60 + minutes) * 60_000 + (seconds * 1000.0) as i64)
    }
}

/// The lines that belong to one id, in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Story {
    /// The lines about the id itself.
    pub lines: Vec<Line>,
    /// What happened to its replicas meanwhile.
    pub context: Vec<Line>,
    /// Lines that could not be read.
    pub malformed: usize,
}

/// Prints the story of an id.
pub fn run(args: &ExplainArgs, form: OutputForm) -> Result<(), CliError> {
    let story = read(&args.id, &args.logs)?;
    if story.lines.is_empty() {
        return Err(CliError::NotInLogs(args.id.clone()));
    }
    output::print(form, &story, Story::to_text);
    Ok(())
}

/// Reads logs and returns the story of an id.
pub fn read(id: &str, logs: &[PathBuf]) -> Result<Story, CliError> {
    let mut all = Vec::new();
    let mut malformed = 0;
    for path in logs {
        let name = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        malformed += read_log(path, &name, &mut all)
            .map_err(|source| CliError::File { path: path.display().to_string(), source })?;
    }
    let mut story = tell(id, all);
    story.malformed = malformed;
    Ok(story)
}

fn read_log(path: &Path, name: &str, lines: &mut Vec<Line>) -> io::Result<usize> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut malformed = 0;
    let mut bytes = Vec::new();
    while reader.read_until(b'\n', &mut bytes)? > 0 {
        match Line::parse(&String::from_utf8_lossy(&bytes), name) {
            Some(line) => lines.push(line),
            None => malformed += 1,
        }
        bytes.clear();
    }
    Ok(malformed)
}

/// Picks the lines of an id, of its job, and of what happened to its replicas.
pub fn tell(id: &str, mut all: Vec<Line>) -> Story {
    all.sort_by(|a, b| a.time.cmp(&b.time));
    let mut ids = BTreeSet::from([id.to_owned()]);
    let jobs = all.iter().filter(|line| line.get("item") == Some(id));
    let jobs: Vec<String> = jobs.filter_map(|line| line.get("job").map(str::to_owned)).collect();
    ids.extend(jobs);
    let is_item = ids.len() > 1;
    let belongs = |line: &Line| {
        line.is_about(&ids) && !(is_item && line.get("item").is_some_and(|item| item != id))
    };
    let lines: Vec<Line> = all.iter().filter(|line| belongs(line)).cloned().collect();
    let replicas: BTreeSet<&str> = lines.iter().filter_map(|line| line.get("replica")).collect();
    let times: Vec<i64> = lines.iter().filter_map(Line::day_ms).collect();
    let from = times.iter().min().map_or(0, |ms| ms - CONTEXT_MS);
    let to = times.iter().max().map_or(0, |ms| ms + CONTEXT_MS);
    let is_context = |line: &&Line| {
        line.get("event").is_some_and(|event| REPLICA_EVENTS.contains(&event))
            && line.get("replica").is_some_and(|replica| replicas.contains(replica))
            && line.day_ms().is_some_and(|ms| (from..=to).contains(&ms))
    };
    let context = all.iter().filter(is_context).cloned().collect();
    Story { lines, context, malformed: 0 }
}

impl Story {
    /// Returns the story in the order of time, with its cause at the end.
    pub fn to_text(&self) -> String {
        let mut lines: Vec<&Line> = self.lines.iter().chain(&self.context).collect();
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        let mut text: Vec<String> = lines.iter().map(|line| line.to_text()).collect();
        if self.malformed > 0 {
            text.push(format!("({} lines of the logs could not be read)", self.malformed));
        }
        text.push(self.cause());
        text.join("\n")
    }

    /// Returns what decided the end, in one sentence.
    pub fn cause(&self) -> String {
        let last =
            |event: &str| self.lines.iter().rev().find(|line| line.get("event") == Some(event));
        if let Some(request) = last("request") {
            return cause_of_request(request, &self.context);
        }
        if let Some(refused) = last("job_refused") {
            let message = refused.get("message").unwrap_or("no message");
            return format!("The job was refused: {message}.");
        }
        if let Some(item) = last("item_try") {
            return self.cause_of_item(item);
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

    fn cause_of_item(&self, last: &Line) -> String {
        let tries = self.lines.iter().filter(|line| line.get("event") == Some("item_try"));
        let mut causes: BTreeMap<&str, u32> = BTreeMap::new();
        for line in tries {
            *causes.entry(line.get("cause").unwrap_or("unknown")).or_default() += 1;
        }
        let counted: Vec<String> =
            causes.iter().map(|(cause, count)| format!("{cause} {count} times")).collect();
        format!(
            "The item's last try ended as {} ({}); its tries: {}.",
            last.get("end").unwrap_or("unknown"),
            last.get("cause").unwrap_or("unknown"),
            counted.join(", ")
        )
    }
}

fn cause_of_request(request: &Line, context: &[Line]) -> String {
    let field = |name: &str| request.get(name).unwrap_or("?");
    let suspect = context.iter().any(|line| {
        line.get("event") == Some("replica_suspect")
            && line.get("replica") == request.get("replica")
    });
    let state = if suspect { ", which its owner found silent" } else { "" };
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
            format!("It was refused unrun: no slot came free within {} ms.", field("slot_wait_ms"))
        }
        "leaving" => {
            "It was refused unrun: its daemon was about to stop and might not have outlasted it."
                .to_owned()
        }
        "no_backend" => "It was refused unrun: no replica of the service took it.".to_owned(),
        "deadline" => format!(
            "Its time was over after {} ms while {}{state} worked on it.",
            field("total_ms"),
            field("replica")
        ),
        "backend_lost" => format!(
            "It was sent to {}{state} and no answer came; it may have run and was not repeated.",
            field("replica")
        ),
        other => format!(
            "Its answer ended as {other} after {} events from {}{state}.",
            field("events"),
            field("replica")
        ),
    }
}
