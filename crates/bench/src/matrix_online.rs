//! The online requests of a fault-matrix cell, and the checks of what became of each.

use std::time::Duration;

use bytes::Bytes;
use cli::CliError;
use cli::Client;
use cli::client::Call;
use serde_json::Value;
use serde_json::json;
use stub::engine::expected_answer;
use tokio::task::JoinSet;
use wire::Ran;

use crate::lab::Lab;
use crate::matrix::TOKEN;

/// Requests of each kind.
const REQUESTS: usize = 8;
/// Tokens of an answer.
const TOKENS: u32 = 40;
/// The pause between the starts of two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Tries of a caller who sends a keyed request again.
const RESENDS: usize = 25;

/// What kind of request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// May run again.
    Plain,
    /// May run once, without a key.
    Once,
    /// May run once, with a key, sent again until it is answered.
    Keyed,
    /// A call of a plain service that may run once.
    Call,
}

/// What became of one request.
struct Seen {
    kind: Kind,
    prompt: String,
    end: Result<String, CliError>,
}

/// The requests of one cell.
pub struct OnlineProbe {
    tasks: JoinSet<Seen>,
}

impl OnlineProbe {
    /// Starts the requests; with `is_resent`, keyed ones are sent to two daemons at once.
    pub fn start(lab: &Lab, seed: u64, is_resent: bool) -> Self {
        let mut tasks = JoinSet::new();
        let urls: Vec<String> = (0..lab.daemon_count()).map(|i| lab.caller_url(i)).collect();
        for number in 0..REQUESTS {
            for kind in [Kind::Plain, Kind::Once, Kind::Keyed, Kind::Call] {
                let client = lab.client(TOKEN);
                let prompt = format!("{kind:?} {seed} {number}");
                let urls = urls.clone();
                tasks.spawn(async move {
                    tokio::time::sleep(PAUSE * number as u32).await;
                    let end = send(&client, kind, &prompt, &urls, number, is_resent).await;
                    Seen { kind, prompt, end }
                });
            }
        }
        Self { tasks }
    }

    /// Waits for all ends and checks each against the stand-ins' records.
    pub async fn finish(mut self, lab: &Lab) -> Result<String, String> {
        let (mut answered, mut refused, mut unknown) = (0, 0, 0);
        while let Some(seen) = self.tasks.join_next().await {
            let seen = seen.map_err(|error| error.to_string())?;
            check(lab, &seen)?;
            match &seen.end {
                Ok(_) => answered += 1,
                Err(CliError::Refused(refusal)) if refusal.ran == Ran::No => refused += 1,
                Err(_) => unknown += 1,
            }
        }
        Ok(format!("answered {answered} not run {refused} unknown {unknown}"))
    }
}

async fn send(
    client: &Client,
    kind: Kind,
    prompt: &str,
    urls: &[String],
    number: usize,
    is_resent: bool,
) -> Result<String, CliError> {
    let url = &urls[number % urls.len()];
    let other = &urls[(number + 1) % urls.len()];
    match kind {
        Kind::Plain => complete(client, url, prompt, None, true).await,
        Kind::Once => complete(client, url, prompt, None, false).await,
        Kind::Call => call(client, url, prompt).await,
        Kind::Keyed if is_resent => {
            let first = complete(client, url, prompt, Some(prompt), false);
            let second = complete(client, other, prompt, Some(prompt), false);
            let (first, second) = tokio::join!(first, second);
            first.or(second)
        }
        Kind::Keyed => resend(client, prompt, urls, number).await,
    }
}

/// Sends a keyed request again, to one daemon after the other, as a careful caller does.
async fn resend(
    client: &Client,
    prompt: &str,
    urls: &[String],
    number: usize,
) -> Result<String, CliError> {
    let mut last = Err(CliError::Unreachable("no address".to_owned()));
    for attempt in 0..RESENDS {
        let url = &urls[(number + attempt) % urls.len()];
        last = complete(client, url, prompt, Some(prompt), false).await;
        if last.is_ok() {
            return last;
        }
        tokio::time::sleep(PAUSE * 2).await;
    }
    last
}

async fn complete(
    client: &Client,
    url: &str,
    prompt: &str,
    key: Option<&str>,
    idempotent: bool,
) -> Result<String, CliError> {
    let body = json!({"model": "depot", "prompt": prompt, "max_tokens": TOKENS});
    let mut call = Call::post_json("/v1/completions", &body);
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    if !idempotent {
        call = call.header("x-idempotent", "false");
    }
    let answer = client.call_at(url, &call).await?;
    let value: Value = serde_json::from_slice(answer.body())
        .map_err(|error| CliError::InvalidAnswer(error.to_string()))?;
    Ok(value["choices"][0]["text"].as_str().unwrap_or_default().to_owned())
}

async fn call(client: &Client, url: &str, body: &str) -> Result<String, CliError> {
    let call = Call::post("/v1/services/meter/dispute", Bytes::from(body.to_owned()));
    let answer = client.call_at(url, &call).await?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

fn check(lab: &Lab, seen: &Seen) -> Result<(), String> {
    let runs = match seen.kind {
        Kind::Call => {
            lab.stubs.services.values().map(|s| s.run_count(seen.prompt.as_bytes())).sum()
        }
        _ => lab.stubs.run_count(&seen.prompt),
    };
    let prompt = &seen.prompt;
    if seen.kind != Kind::Plain && runs > 1 {
        return Err(format!("'{prompt}' ran {runs} times"));
    }
    match &seen.end {
        Ok(answer) => {
            let expected = match seen.kind {
                Kind::Call => format!("done:{prompt}"),
                _ => expected_answer(prompt, TOKENS as usize),
            };
            if *answer != expected {
                return Err(format!("'{prompt}' got another answer"));
            }
        }
        Err(CliError::Refused(refusal)) if refusal.ran == Ran::No && runs > 0 => {
            return Err(format!("'{prompt}' was refused as not run and ran: {refusal}"));
        }
        Err(_) => {}
    }
    Ok(())
}
