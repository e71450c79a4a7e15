//! The commands `crocus ask` and `crocus endpoints`.

use std::io::Write;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::error::CliError;
use crate::options::AskArgs;
use crate::options::OutputFormat;
use crate::output;

#[derive(Serialize)]
struct AskAnswer {
    text: String,
}

/// Sends one prompt and prints the answer; the text format prints it while it streams in.
pub async fn ask(client: &Client, args: &AskArgs, format: OutputFormat) -> Result<(), CliError> {
    let call = build_call(args);
    let urls = client.endpoints().await?;
    let url = urls.first().ok_or_else(|| CliError::Unreachable("no endpoint".to_owned()))?;
    let mut text = String::new();
    let is_text = format == OutputFormat::Text;
    client
        .stream_at(url, &call, |event| {
            let piece = event_text(event);
            if is_text {
                print!("{piece}");
                let _ = std::io::stdout().flush();
            }
            text.push_str(piece);
        })
        .await?;
    if is_text {
        println!();
    } else {
        output::print(format, &AskAnswer { text }, |answer| answer.text.clone());
    }
    Ok(())
}

/// Prints the addresses that callers should use.
pub async fn endpoints(client: &Client, format: OutputFormat) -> Result<(), CliError> {
    let urls = client.endpoints().await?;
    output::print(format, &urls, |urls| urls.join("\n"));
    Ok(())
}

/// Returns the generated text in one streamed event.
pub fn event_text(event: &Value) -> &str {
    event["choices"][0]["text"].as_str().unwrap_or_default()
}

fn build_call(args: &AskArgs) -> Call {
    let body = json!({
        "model": args.model,
        "prompt": args.prompt,
        "max_tokens": args.max_tokens,
        "stream": true,
    });
    let mut call = Call::post_json("/v1/completions", &body);
    if let Some(key) = &args.key {
        call = call.header("idempotency-key", key.as_str());
    }
    if let Some(deadline_ms) = args.deadline_ms {
        call = call.header("x-deadline-ms", deadline_ms.to_string());
    }
    call
}
