//! Client side of the job commands.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use indicatif::ProgressBar;
use indicatif::ProgressStyle;
use serde_json::Value;
use serde_json::json;
use wire::job::LotRef;

use crate::client::Call;
use crate::client::Client;
use crate::error::CliError;
use crate::job_file;
use crate::job_file::Lot;
use crate::options::OutputFormat;
use crate::output;

/// Interval between two status queries while waiting for a job.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long `wait` retries while the job's status cannot be read.
const STATUS_RETRY_TIMEOUT: Duration = Duration::from_secs(3600);

/// A job to start.
pub struct NewJob {
    /// Job key: the same key with the same items is the same job.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
    /// Whether an item may run again after its answer was lost.
    pub idempotent: bool,
}

/// The job API as seen by one client.
pub struct JobClient<'a> {
    /// Client that makes the calls.
    pub client: &'a Client,
    /// Path prefix of `/jobs` and `/lots`: `/v1` for callers, the organisation's path for operators.
    pub base: String,
}

impl JobClient<'_> {
    /// Sends the lots and starts the job. Every call is idempotent, so a failed start can be
    /// repeated.
    pub async fn start(
        &self,
        job: &NewJob,
        lots: &[Lot],
        is_quiet: bool,
    ) -> Result<Value, CliError> {
        let bar = progress_bar(is_quiet, lots.len() as u64, "sending lots");
        let mut refs = Vec::new();
        for lot in lots {
            let path = format!("{}/lots", self.base);
            let call = Call::post(path, Bytes::from(lot.lines.clone())).idempotent();
            refs.push(self.client.call_json::<LotRef>(&call).await?);
            bar.inc(1);
        }
        bar.finish_and_clear();
        let body = json!({
            "key": job.key,
            "model": job.model,
            "idempotent": job.idempotent,
            "due_unix_ms": job.due_unix_ms,
            "lots": refs,
        });
        let call = Call::post_json(format!("{}/jobs", self.base), &body).idempotent();
        self.client.call_json(&call).await
    }

    /// Returns the status of a job.
    pub async fn status(&self, job: &str) -> Result<Value, CliError> {
        self.client.call_json(&Call::get(format!("{}/jobs/{job}", self.base))).await
    }

    /// Cancels a job.
    pub async fn cancel(&self, job: &str) -> Result<Value, CliError> {
        let call = Call::post(format!("{}/jobs/{job}/cancel", self.base), Bytes::new());
        self.client.call_json(&call.idempotent()).await
    }

    /// Waits until the job is finished or cancelled and returns its last status.
    pub async fn wait(&self, job: &str, is_quiet: bool) -> Result<Value, CliError> {
        let mut bar: Option<ProgressBar> = None;
        let mut last_answer_at = Instant::now();
        loop {
            let status = match self.status(job).await {
                Ok(status) => status,
                // The job continues while the system or the platform is unreachable.
                Err(error)
                    if error.is_transient() && last_answer_at.elapsed() < STATUS_RETRY_TIMEOUT =>
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            last_answer_at = Instant::now();
            let items = status["items"].as_u64().unwrap_or(0);
            let bar = bar.get_or_insert_with(|| progress_bar(is_quiet, items, "items"));
            bar.set_position(count_ended(&status));
            if matches!(status["state"].as_str(), Some("finished" | "cancelled")) {
                bar.finish_and_clear();
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Writes the recorded results to `out`, lot by lot, and returns the number of lines.
    pub async fn results(&self, job: &str, out: &mut (dyn Write + Send)) -> Result<u64, CliError> {
        let mut lines = 0;
        let mut lot = Some("0".to_owned());
        while let Some(number) = lot {
            let path = format!("{}/jobs/{job}/results?lot={number}", self.base);
            let response = self.client.call(&Call::get(path)).await?;
            lines += response.body().iter().filter(|byte| **byte == b'\n').count() as u64;
            out.write_all(response.body())
                .map_err(|source| CliError::File { path: "the output".to_owned(), source })?;
            lot = response
                .headers()
                .get("x-next-lot")
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned);
        }
        Ok(lines)
    }
}

/// Reads the lots of a file; without `key`, the job's key is derived from them.
pub fn read_job(path: &Path, key: Option<&str>) -> Result<(Vec<Lot>, String), CliError> {
    let lots = job_file::read_lots(path)?;
    let key = key.map_or_else(|| job_file::default_key(&lots), str::to_owned);
    Ok((lots, key))
}

/// Creates the file that results are written to.
pub fn create_file(path: &Path) -> Result<File, CliError> {
    File::create(path).map_err(|source| CliError::File { path: path.display().to_string(), source })
}

/// Prints the status of a job.
pub fn print_status(format: OutputFormat, status: &Value) {
    output::print(format, status, |status| {
        let text = |field: &str| status[field].to_string().trim_matches('"').to_owned();
        let outcome = |field: &str| status["outcomes"][field].to_string();
        output::format_table(&[
            vec!["job".to_owned(), text("job")],
            vec!["state".to_owned(), text("state")],
            vec!["items".to_owned(), text("items")],
            vec!["done".to_owned(), outcome("done")],
            vec!["failed".to_owned(), outcome("failed")],
            vec!["interrupted".to_owned(), outcome("interrupted")],
            vec!["cancelled".to_owned(), outcome("cancelled")],
        ])
    });
}

/// Returns an error unless every item is done.
pub fn check_all_done(status: &Value) -> Result<(), CliError> {
    if status["outcomes"]["done"] == status["items"] {
        return Ok(());
    }
    let message = "some items are not done; run 'crocus job results' for the outcome of each";
    Err(CliError::ItemsNotDone(message.to_owned()))
}

fn count_ended(status: &Value) -> u64 {
    let counts = &status["outcomes"];
    ["done", "failed", "interrupted", "cancelled"]
        .iter()
        .map(|field| counts[*field].as_u64().unwrap_or(0))
        .sum()
}

fn progress_bar(is_quiet: bool, length: u64, message: &'static str) -> ProgressBar {
    if is_quiet {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(length).with_message(message);
    if let Ok(style) = ProgressStyle::with_template("{msg} {wide_bar} {pos}/{len} {eta}") {
        bar.set_style(style);
    }
    bar
}
