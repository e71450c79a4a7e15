//! The bundle commands.

use std::path::Path;

use bundle::SignedBundle;
use bundle::check;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::error::CliError;
use crate::options::OutputForm;
use crate::output;

#[derive(Serialize)]
struct CheckReport {
    digest: String,
    models: usize,
    replicas: usize,
    organisations: usize,
}

/// Checks a bundle file.
pub fn check(file: &Path, form: OutputForm) -> Result<(), CliError> {
    let signed = read(file)?;
    let bundle = parse(&signed)?;
    let report = CheckReport {
        digest: signed.digest(),
        models: bundle.models.len(),
        replicas: bundle.replicas.len(),
        organisations: bundle.organisations.len(),
    };
    output::print(form, &report, |report| {
        output::table(&[
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
    let mut signed = read(file)?;
    parse(&signed)?;
    let key = read_file(key_file)?;
    signed.sign(operator, &key).map_err(|error| CliError::Usage(error.to_string()))?;
    let json = serde_json::to_string(&signed).unwrap_or_default();
    std::fs::write(out, json)
        .map_err(|source| CliError::File { path: out.display().to_string(), source })
}

/// Rolls a signed bundle.
pub async fn roll(
    client: &Client,
    admin: &str,
    file: &Path,
    expect: Option<u64>,
    form: OutputForm,
) -> Result<(), CliError> {
    let signed = read(file)?;
    parse(&signed)?;
    let body = json!({"bundle": signed, "expected_number": expect});
    let call = Call::post_json("/admin/v1/bundle/roll", &body);
    let pointer: Value = answer(client, admin, &call).await?;
    output::print(form, &pointer, |pointer| {
        format!(
            "number {} is accepted; 'crocus bundle status' shows where it is in force",
            pointer["number"]
        )
    });
    Ok(())
}

/// Shows the bundle in force on each daemon.
pub async fn status(client: &Client, admin: &str, form: OutputForm) -> Result<(), CliError> {
    let status: Value = answer(client, admin, &Call::get("/admin/v1/bundle/status")).await?;
    output::print(form, &status, status_text);
    Ok(())
}

async fn answer(client: &Client, admin: &str, call: &Call) -> Result<Value, CliError> {
    let response = client.call_at(admin.trim_end_matches('/'), call).await?;
    serde_json::from_slice(response.body()).map_err(|error| CliError::Answer(error.to_string()))
}

fn status_text(status: &Value) -> String {
    let accepted = match status["accepted"]["number"].as_u64() {
        Some(number) => format!("accepted: number {number}"),
        None => "accepted: not known, the object API does not answer".to_owned(),
    };
    let mut rows = vec![["daemon", "data centre", "number", "heard"].map(str::to_owned).to_vec()];
    for daemon in status["daemons"].as_array().into_iter().flatten() {
        let text = |field: &str| daemon[field].as_str().unwrap_or_default().to_owned();
        let heard = daemon["age_ms"].as_u64();
        rows.push(vec![
            text("daemon"),
            text("data_centre"),
            daemon["number"].to_string(),
            heard.map_or("never".to_owned(), |age_ms| format!("{age_ms} ms ago")),
        ]);
    }
    format!("{accepted}\n{}", output::table(&rows))
}

/// Reads a bundle file, signed or not.
fn read(file: &Path) -> Result<SignedBundle, CliError> {
    let text = read_file(file)?;
    match serde_json::from_str::<SignedBundle>(&text) {
        Ok(signed) => Ok(signed),
        Err(_) => Ok(SignedBundle::unsigned(text)),
    }
}

fn parse(signed: &SignedBundle) -> Result<bundle::Bundle, CliError> {
    check::parse(&signed.document)
        .map_err(|problems| CliError::BadBundle(problems.iter().map(ToString::to_string).collect()))
}

fn read_file(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|source| CliError::File { path: path.display().to_string(), source })
}
