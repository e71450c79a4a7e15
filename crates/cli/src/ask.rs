//! `crocus ask` and `crocus endpoints`.

use std::io::Write;

use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::client::Call;
use crate::client::Client;
use crate::error::CliError;
use crate::options::AskArgs;
use crate::options::OutputForm;
use crate::output;

#[derive(Serialize)]
struct AskAnswer {
    text: String,
}

/// Asks one question; in text form the answer is printed as it is made.
pub async fn ask(client: &Client, args: &AskArgs, form: OutputForm) -> Result<(), CliError> {
    let call = call_of(args);
    let urls = client.endpoints().await?;
    let url = urls.first().ok_or_else(|| CliError::Unreachable("no address".to_owned()))?;
    let mut text = String::new();
    let is_text = form == OutputForm::Text;
    client
        .stream_at(url, &call, |event| {
            let piece = piece_of(event);
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
        output::print(form, &AskAnswer { text }, |answer| answer.text.clone());
    }
    Ok(())
}

/// Shows the addresses to use.
pub async fn endpoints(client: &Client, form: OutputForm) -> Result<(), CliError> {
    let urls = client.endpoints().await?;
    output::print(form, &urls, |urls| urls.join("\n"));
    Ok(())
}

/// Returns the text of one streamed event.
pub fn piece_of(event: &Value) -> &str {
    event["choices"][0]["text"].as_str().unwrap_or_default()
}

fn call_of(args: &AskArgs) -> Call {
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
