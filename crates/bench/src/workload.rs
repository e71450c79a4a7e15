//! Jobs and requests of experiments, checked against the answers that engines must generate.

use std::fmt::Write;

use cli::CliError;
use cli::Client;
use cli::client::Call;
use cli::job_file::Lot;
use cli::jobs::JobClient;
use cli::jobs::NewJob;
use kernel::Clock;
use serde_json::Value;
use serde_json::json;
use stub::engine::expected_answer;
use wire::job::LOT_ITEMS;
use wire::job::OutcomeCounts;

/// The time from the start of a job to its deadline.
const DEFAULT_DUE_IN_MS: u64 = 3_600_000;

/// A job whose prompts are derived from its key, so that every expected answer is known.
#[derive(Clone, Debug)]
pub struct TestJob {
    /// The job's key.
    pub key: String,
    /// The model that answers the items.
    pub model: String,
    /// The number of items.
    pub items: u32,
    /// The number of tokens of each answer.
    pub max_tokens: u32,
    /// Whether an item may run more than once.
    pub idempotent: bool,
    /// The time from the start of the job to its deadline.
    pub due_in_ms: u64,
}

/// The results of a job, compared with the expected answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResultCheck {
    /// The number of outcomes by kind.
    pub counts: OutcomeCounts,
    /// The number of answers that differ from the expected ones.
    pub wrong: u32,
    /// The number of items with no outcome or with more than one.
    pub missing_or_duplicated: u32,
}

impl TestJob {
    /// Creates an idempotent job.
    pub fn new(key: &str, model: &str, items: u32, max_tokens: u32) -> Self {
        Self {
            key: key.to_owned(),
            model: model.to_owned(),
            items,
            max_tokens,
            idempotent: true,
            due_in_ms: DEFAULT_DUE_IN_MS,
        }
    }

    /// Makes the job non-idempotent: its items run at most once.
    pub fn not_idempotent(mut self) -> Self {
        self.idempotent = false;
        self
    }

    /// Returns an item's prompt.
    pub fn prompt(&self, index: u32) -> String {
        format!("summary {} {index}", self.key)
    }

    /// Starts the job and returns its id.
    pub async fn start(&self, client: &Client) -> Result<String, CliError> {
        let job = NewJob {
            key: self.key.clone(),
            model: self.model.clone(),
            due_unix_ms: Clock::unix_ms() + self.due_in_ms,
            idempotent: self.idempotent,
        };
        let jobs = JobClient { client, base: "/v1".to_owned() };
        let status = jobs.start(&job, &self.lots(), true).await?;
        Ok(status["job"].as_str().unwrap_or_default().to_owned())
    }

    /// Reads all results and compares them with the expected answers.
    pub async fn check(&self, client: &Client, id: &str) -> Result<ResultCheck, CliError> {
        let jobs = JobClient { client, base: "/v1".to_owned() };
        let mut bytes = Vec::new();
        jobs.results(id, &mut bytes).await?;
        let mut outcomes_per_item = vec![0u32; self.items as usize];
        let mut check = ResultCheck::default();
        for line in bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let line: batch::results::ResultLine = serde_json::from_slice(line)
                .map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
            if let Some(count) = outcomes_per_item.get_mut(line.index as usize) {
                *count += 1;
            }
            check.counts.add(line.outcome);
            let is_done = line.outcome == wire::job::OutcomeKind::Done;
            let expected = expected_answer(&self.prompt(line.index), self.max_tokens as usize);
            let is_expected =
                line.text == expected && line.custom_id == format!("item-{}", line.index);
            check.wrong += u32::from(is_done && !is_expected);
        }
        check.missing_or_duplicated =
            outcomes_per_item.iter().filter(|count| **count != 1).count() as u32;
        Ok(check)
    }

    fn lots(&self) -> Vec<Lot> {
        (0..self.items)
            .step_by(LOT_ITEMS as usize)
            .map(|first| {
                let last = self.items.min(first + LOT_ITEMS);
                let lines = (first..last).fold(String::new(), |mut lines, index| {
                    let item = json!({
                        "custom_id": format!("item-{index}"),
                        "prompt": self.prompt(index),
                        "max_tokens": self.max_tokens,
                    });
                    let _ = writeln!(lines, "{item}");
                    lines
                });
                Lot { lines: lines.into_bytes(), items: last - first }
            })
            .collect()
    }
}

/// Sends one completion request and returns whether the answer is the expected one.
pub async fn check_completion(
    client: &Client,
    model: &str,
    prompt: &str,
    max_tokens: u32,
) -> Result<bool, CliError> {
    let body = json!({"model": model, "prompt": prompt, "max_tokens": max_tokens});
    let call = Call::post_json("/v1/completions", &body).idempotent();
    let answer: Value = client.call_json(&call).await?;
    let text = answer["choices"][0]["text"].as_str().unwrap_or_default();
    Ok(text == expected_answer(prompt, max_tokens as usize))
}
