//! Bodies of completion requests and answers, in the text and chat formats common to model serving.

use kernel::Clock;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use wire::Reason;
use wire::Refusal;
use wire::job::MAX_PROMPT_BYTES;

/// Maximum number of tokens to generate for a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 128;

/// Kind of a completion request and of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CompletionKind {
    /// The answer continues a prompt.
    Text,
    /// The answer is the next message of a chat.
    Chat,
}

/// The fields of a request body that are used; other fields are accepted and ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// Name of the model, or `model:adapter` for an adapter.
    pub model: String,
    /// The prompt, for `CompletionKind::Text`.
    #[serde(default)]
    pub prompt: Option<String>,
    /// The messages, for `CompletionKind::Chat`.
    #[serde(default)]
    pub messages: Option<Vec<Message>>,
    /// Maximum number of tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Role of the author, such as `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl CompletionBody {
    /// Returns the text to complete, or refuses an empty or too long one.
    pub fn prompt(&self, kind: CompletionKind) -> Result<String, Refusal> {
        let prompt = match kind {
            CompletionKind::Text => self.prompt.clone(),
            CompletionKind::Chat => self.messages.as_ref().map(|messages| chat_prompt(messages)),
        };
        let field = if kind == CompletionKind::Text { "prompt" } else { "messages" };
        let prompt = prompt.filter(|prompt| !prompt.is_empty()).ok_or_else(|| {
            Refusal::not_run(Reason::BadRequest, format!("the body, field '{field}': missing"))
        })?;
        if prompt.len() > MAX_PROMPT_BYTES {
            let message = format!("the prompt is over {MAX_PROMPT_BYTES} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        Ok(prompt)
    }

    /// Returns the maximum number of tokens to generate, checked against the model's limit.
    pub fn max_tokens(&self, model_limit: u32) -> Result<u32, Refusal> {
        let max_tokens = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(model_limit));
        if max_tokens == 0 || max_tokens > model_limit {
            let message = format!("the body, field 'max_tokens': use 1 to {model_limit}");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        Ok(max_tokens)
    }
}

/// Builds the JSON of an answer, whole or in chunks, from the fields that all of them share.
#[derive(Clone, Debug)]
pub struct AnswerBuilder {
    /// Id of the answer.
    pub id: String,
    /// Name of the model as the caller gave it.
    pub model: String,
    /// Kind of the answer.
    pub kind: CompletionKind,
}

impl AnswerBuilder {
    /// Builds a whole answer.
    pub fn build_whole(&self, text: &str, tokens: u32) -> Value {
        let choice = match self.kind {
            CompletionKind::Text => json!({"index": 0, "text": text, "finish_reason": "stop"}),
            CompletionKind::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }),
        };
        let object = match self.kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion",
        };
        json!({
            "id": self.id,
            "object": object,
            "created": Clock::unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
            "usage": {"completion_tokens": tokens},
        })
    }

    /// Builds one chunk of a streamed answer; the last chunk has no text.
    pub fn build_chunk(&self, text: Option<&str>) -> Value {
        let finish_reason = if text.is_none() { json!("stop") } else { Value::Null };
        let text = text.unwrap_or_default();
        let (object, choice) = match self.kind {
            CompletionKind::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish_reason}),
            ),
            CompletionKind::Chat => (
                "chat.completion.chunk",
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "created": Clock::unix_ms() / 1000,
            "model": self.model,
            "choices": [choice],
        })
    }
}

/// Joins the messages into one prompt, a line `role: content` for each.
fn chat_prompt(messages: &[Message]) -> String {
    let lines: Vec<String> =
        messages.iter().map(|message| format!("{}: {}", message.role, message.content)).collect();
    lines.join("\n")
}
