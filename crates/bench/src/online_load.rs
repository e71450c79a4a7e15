//! Online callers of an experiment, with latency counted from the intended time of each request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use cli::CliError;
use cli::Client;
use cli::ask::event_text;
use cli::client::Call;
use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use stub::engine::expected_answer;
use tokio::task::JoinSet;

/// The longest latency that is told apart, in microseconds.
const MAX_US: u64 = 120_000_000;
/// Callers with connections of their own.
const CLIENTS: usize = 6;

/// What the callers ask.
#[derive(Clone, Debug)]
pub struct Questions {
    /// The model.
    pub model: String,
    /// The least and most tokens of an answer.
    pub tokens: (u32, u32),
    /// Bytes of the prompt prefix that questions of one kind share.
    pub prefix_bytes: usize,
    /// Kinds of questions.
    pub kinds: u32,
    /// The seed.
    pub seed: u64,
}

/// What the callers saw.
#[derive(Clone, Debug)]
pub struct OnlineSeen {
    /// Time to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between_tokens_us: Histogram<u64>,
    /// Whole and right answers.
    pub answered: u64,
    /// Answers that were not the expected text.
    pub wrong: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Failures by reason.
    pub failed: BTreeMap<String, u64>,
}

impl Default for OnlineSeen {
    fn default() -> Self {
        Self {
            first_token_us: new_histogram(),
            between_tokens_us: new_histogram(),
            answered: 0,
            wrong: 0,
            tokens: 0,
            failed: BTreeMap::new(),
        }
    }
}

struct Seen {
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
    result: Result<bool, CliError>,
}

/// Sends one request at each time of `schedule` and waits for all answers.
pub async fn run(
    clients: Vec<Arc<Client>>,
    questions: Questions,
    schedule: Vec<Duration>,
    started_at: Instant,
) -> OnlineSeen {
    let mut rng = StdRng::seed_from_u64(questions.seed);
    let mut tasks = JoinSet::new();
    for (number, at) in schedule.into_iter().enumerate() {
        let kind = rng.gen_range(0..questions.kinds.max(1));
        let prompt = question(&questions, kind, number);
        let max_tokens = rng.gen_range(questions.tokens.0..=questions.tokens.1);
        let client = Arc::clone(&clients[number % clients.len()]);
        let model = questions.model.clone();
        tasks.spawn(async move {
            let intended_at = started_at + at;
            tokio::time::sleep_until(intended_at.into()).await;
            ask(&client, &model, &prompt, max_tokens, intended_at).await
        });
    }
    let mut seen = OnlineSeen::default();
    while let Some(Ok(one)) = tasks.join_next().await {
        seen.add(one);
    }
    seen
}

/// Creates the callers' clients.
pub fn clients(make: impl Fn() -> Client) -> Vec<Arc<Client>> {
    (0..CLIENTS).map(|_| Arc::new(make())).collect()
}

impl OnlineSeen {
    fn add(&mut self, one: Seen) {
        match one.result {
            Ok(true) => self.answered += 1,
            Ok(false) => self.wrong += 1,
            Err(error) => {
                *self.failed.entry(reason_of(&error)).or_insert(0) += 1;
                return;
            }
        }
        if let Some(first) = one.first_token {
            self.first_token_us.saturating_record(first.as_micros() as u64);
            self.tokens += 1;
        }
        for gap in &one.gaps {
            self.between_tokens_us.saturating_record(gap.as_micros() as u64);
        }
        self.tokens += one.gaps.len() as u64;
    }

    /// Returns the requests that ended in any way.
    pub fn total(&self) -> u64 {
        self.answered + self.wrong + self.failed.values().sum::<u64>()
    }
}

async fn ask(
    client: &Client,
    model: &str,
    prompt: &str,
    max_tokens: u32,
    intended_at: Instant,
) -> Seen {
    let body = json!({
        "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    let call = Call::post_json("/v1/completions", &body);
    let mut seen = Seen { first_token: None, gaps: Vec::new(), result: Ok(false) };
    let urls = match client.endpoints().await {
        Ok(urls) => urls,
        Err(error) => return Seen { result: Err(error), ..seen },
    };
    let place = wire::rendezvous::hash(prompt.as_bytes()) as usize % urls.len().max(1);
    let mut text = String::new();
    let mut last = intended_at;
    let (first_token, gaps) = (&mut seen.first_token, &mut seen.gaps);
    let result = client.stream_at(&urls[place], &call, |event| {
        let piece = event_text(event);
        if piece.is_empty() {
            return;
        }
        text.push_str(piece);
        let now = Instant::now();
        match first_token {
            None => *first_token = Some(now - intended_at),
            Some(_) => gaps.push(now - last),
        }
        last = now;
    });
    let result = result.await;
    seen.result = result.map(|()| text == expected_answer(prompt, max_tokens as usize));
    seen
}

fn question(questions: &Questions, kind: u32, number: usize) -> String {
    let mut prompt = format!("kind {kind}: ");
    while prompt.len() < questions.prefix_bytes {
        prompt.push_str("crate and gate and lane and note ");
    }
    prompt.truncate(questions.prefix_bytes.max(1));
    format!("{prompt} question {}-{number}", questions.seed)
}

fn reason_of(error: &CliError) -> String {
    match error {
        CliError::Refused(refusal) => refusal.reason.as_str().to_owned(),
        CliError::Unreachable(_) => "unreachable".to_owned(),
        CliError::OutcomeUnknown(message) if message.contains("early") => "cut_off".to_owned(),
        CliError::OutcomeUnknown(_) => "unknown".to_owned(),
        _ => "other".to_owned(),
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_US, 3).expect("the bounds of the histogram are valid")
}
