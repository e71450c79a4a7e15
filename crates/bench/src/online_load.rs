//! The online load of an experiment. Latency counts from the scheduled start of each request.

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

/// The highest latency that the histograms record; longer ones count as this.
const MAX_LATENCY_US: u64 = 120_000_000;
/// The number of clients, each with its own connections.
const CLIENT_COUNT: usize = 6;

/// The distribution of the prompts that callers send.
#[derive(Clone, Debug)]
pub struct PromptMix {
    /// The model that the requests name.
    pub model: String,
    /// The minimum and maximum number of tokens of an answer.
    pub answer_tokens: (u32, u32),
    /// The length of the prefix that prompts with one prefix index share.
    pub prefix_bytes: usize,
    /// The number of different prefixes.
    pub prefix_count: u32,
    /// The seed of prefixes and answer lengths.
    pub seed: u64,
}

/// The results of the online load.
#[derive(Clone, Debug)]
pub struct OnlineStats {
    /// The time from the scheduled start to the first token.
    pub first_token_us: Histogram<u64>,
    /// The time between two tokens.
    pub between_tokens_us: Histogram<u64>,
    /// Requests with a complete and correct answer.
    pub answered: u64,
    /// Requests with an answer that differs from the expected text.
    pub wrong: u64,
    /// Received tokens.
    pub tokens: u64,
    /// Failed requests by reason.
    pub failed: BTreeMap<String, u64>,
}

impl Default for OnlineStats {
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

struct RequestResult {
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
    result: Result<bool, CliError>,
}

/// Sends one request at each time of `schedule` and waits for all answers.
pub async fn run(
    clients: Vec<Arc<Client>>,
    prompts: PromptMix,
    schedule: Vec<Duration>,
    started_at: Instant,
) -> OnlineStats {
    let mut rng = StdRng::seed_from_u64(prompts.seed);
    let mut tasks = JoinSet::new();
    for (number, at) in schedule.into_iter().enumerate() {
        let prefix_index = rng.gen_range(0..prompts.prefix_count.max(1));
        let prompt = prompt_text(&prompts, prefix_index, number);
        let max_tokens = rng.gen_range(prompts.answer_tokens.0..=prompts.answer_tokens.1);
        let client = Arc::clone(&clients[number % clients.len()]);
        let model = prompts.model.clone();
        tasks.spawn(async move {
            let scheduled_at = started_at + at;
            tokio::time::sleep_until(scheduled_at.into()).await;
            send_request(&client, &model, &prompt, max_tokens, scheduled_at).await
        });
    }
    let mut stats = OnlineStats::default();
    while let Some(Ok(request)) = tasks.join_next().await {
        stats.record(request);
    }
    stats
}

/// Creates the clients of the online load.
pub fn create_clients(make: impl Fn() -> Client) -> Vec<Arc<Client>> {
    (0..CLIENT_COUNT).map(|_| Arc::new(make())).collect()
}

impl OnlineStats {
    fn record(&mut self, request: RequestResult) {
        match request.result {
            Ok(true) => self.answered += 1,
            Ok(false) => self.wrong += 1,
            Err(error) => {
                *self.failed.entry(failure_reason(&error)).or_insert(0) += 1;
                return;
            }
        }
        if let Some(first) = request.first_token {
            self.first_token_us.saturating_record(first.as_micros() as u64);
            self.tokens += 1;
        }
        for gap in &request.token_gaps {
            self.between_tokens_us.saturating_record(gap.as_micros() as u64);
        }
        self.tokens += request.token_gaps.len() as u64;
    }

    /// Returns the number of completed requests, failed ones included.
    pub fn total(&self) -> u64 {
        self.answered + self.wrong + self.failed.values().sum::<u64>()
    }
}

async fn send_request(
    client: &Client,
    model: &str,
    prompt: &str,
    max_tokens: u32,
    scheduled_at: Instant,
) -> RequestResult {
    let body = json!({
        "model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true,
    });
    let call = Call::post_json("/v1/completions", &body);
    let mut request =
        RequestResult { first_token: None, token_gaps: Vec::new(), result: Ok(false) };
    let urls = match client.endpoints().await {
        Ok(urls) => urls,
        Err(error) => return RequestResult { result: Err(error), ..request },
    };
    let index = wire::rendezvous::hash(prompt.as_bytes()) as usize % urls.len().max(1);
    let mut text = String::new();
    let mut last_event_at = scheduled_at;
    let (first_token, token_gaps) = (&mut request.first_token, &mut request.token_gaps);
    let result = client.stream_at(&urls[index], &call, |event| {
        let piece = event_text(event);
        if piece.is_empty() {
            return;
        }
        text.push_str(piece);
        let now = Instant::now();
        match first_token {
            None => *first_token = Some(now - scheduled_at),
            Some(_) => token_gaps.push(now - last_event_at),
        }
        last_event_at = now;
    });
    let result = result.await;
    request.result = result.map(|()| text == expected_answer(prompt, max_tokens as usize));
    request
}

fn prompt_text(prompts: &PromptMix, prefix_index: u32, number: usize) -> String {
    let mut prompt = format!("kind {prefix_index}: ");
    while prompt.len() < prompts.prefix_bytes {
        prompt.push_str("crate and gate and lane and note ");
    }
    prompt.truncate(prompts.prefix_bytes.max(1));
    format!("{prompt} question {}-{number}", prompts.seed)
}

fn failure_reason(error: &CliError) -> String {
    match error {
        CliError::Refused(refusal) => refusal.reason.as_str().to_owned(),
        CliError::Unreachable(_) => "unreachable".to_owned(),
        CliError::OutcomeUnknown(message) if message.contains("early") => "cut_off".to_owned(),
        CliError::OutcomeUnknown(_) => "unknown".to_owned(),
        _ => "other".to_owned(),
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}
