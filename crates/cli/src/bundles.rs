//! Bundle commands: check, sign, roll out and status.

use std::path::Path;

use bundle::SignedBundle;
use bundle::check;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::error::CliError;
use crate::options::OutputFormat;
use crate::output;

#[derive(Serialize)]
struct CheckReport {
    digest: String,
    models: usize,
    replicas: usize,
    organisations: usize,
}

/// Checks a bundle file and prints what it contains.
pub fn check(file: &Path, format: OutputFormat) -> Result<(), CliError> {
    let signed = read_bundle(file)?;
    let bundle = parse_document(&signed)?;
    let report = CheckReport {
        digest: signed.digest(),
        models: bundle.models.len(),
        replicas: bundle.replicas.len(),
        organisations: bundle.organisations.len(),
    };
    output::print(format, &report, |report| {
        output::format_table(&[
            vec!["digest".to_owned(), report.digest.clone()],
            vec!["models".to_owned(), report.models.to_string()],
            vec!["replicas".to_owned(), report.replicas.to_string()],
            vec!["organisations".to_owned(), report.organisations.to_string()],
        ])
    });
    Ok(())
}

/// Adds an operator's signature and writes the signed bundle.
pub fn sign(file: &Path, operator: &str, key_file: &Path, out: &Path) -> Result<(), CliError> {
    let mut signed = read_bundle(file)?;
    parse_document(&signed)?;
    let key = read_file(key_file)?;
    signed.sign(operator, &key).map_err(|error| CliError::Usage(error.to_string()))?;
    let json = serde_json::to_string(&signed).unwrap_or_default();
    std::fs::write(out, json)
        .map_err(|source| CliError::File { path: out.display().to_string(), source })
}

/// Checks a signed bundle locally and rolls it out.
pub async fn roll(
    client: &Client,
    admin: &str,
    file: &Path,
    expect: Option<u64>,
    format: OutputFormat,
) -> Result<(), CliError> {
    let signed = read_bundle(file)?;
    parse_document(&signed)?;
    let body = json!({"bundle": signed, "expected_number": expect});
    let call = Call::post_json("/admin/v1/bundle/roll", &body);
    let pointer: Value = call_admin(client, admin, &call).await?;
    output::print(format, &pointer, |pointer| {
        format!(
            "number {} is accepted; 'crocus bundle status' shows where it is in force",
            pointer["number"]
        )
    });
    Ok(())
}

/// Shows the bundle in force on each daemon.
pub async fn status(client: &Client, admin: &str, format: OutputFormat) -> Result<(), CliError> {
    let status: Value = call_admin(client, admin, &Call::get("/admin/v1/bundle/status")).await?;
    output::print(format, &status, format_status);
    Ok(())
}

async fn call_admin(client: &Client, admin: &str, call: &Call) -> Result<Value, CliError> {
    let response = client.call_at(admin.trim_end_matches('/'), call).await?;
    serde_json::from_slice(response.body())
        .map_err(|error| CliError::InvalidAnswer(error.to_string()))
}

fn format_status(status: &Value) -> String {
    let accepted = match status["accepted"]["number"].as_u64() {
        Some(number) => format!("accepted: number {number}"),
        None => "accepted: not known, the object API does not answer".to_owned(),
    };
    let mut rows = vec![["daemon", "data centre", "number", "heard"].map(str::to_owned).to_vec()];
    for daemon in status["daemons"].as_array().into_iter().flatten() {
        let text = |field: &str| daemon[field].as_str().unwrap_or_default().to_owned();
        let age_ms = daemon["age_ms"].as_u64();
        rows.push(vec![
            text("daemon"),
            text("data_centre"),
            daemon["number"].to_string(),
            age_ms.map_or("never".to_owned(), |age_ms| format!("{age_ms} ms ago")),
        ]);
    }
    format!("{accepted}\n{}", output::format_table(&rows))
}

/// Reads a bundle file, either signed (JSON) or unsigned (YAML).
fn read_bundle(file: &Path) -> Result<SignedBundle, CliError> {
    let text = read_file(file)?;
    match serde_json::from_str::<SignedBundle>(&text) {
        Ok(signed) => Ok(signed),
        Err(_) => Ok(SignedBundle::unsigned(text)),
    }
}

fn parse_document(signed: &SignedBundle) -> Result<bundle::Bundle, CliError> {
    check::parse(&signed.document).map_err(|problems| {
        CliError::InvalidBundle(problems.iter().map(ToString::to_string).collect())
    })
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|source| CliError::File { path: path.display().to_string(), source })
}
