//! The shapes of completion requests and answers that model-serving callers use.

use kernel::Clock;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use wire::Reason;
use wire::Refusal;
use wire::job::MAX_PROMPT_BYTES;

/// The most tokens generated where the request names no limit.
const DEFAULT_MAX_TOKENS: u32 = 128;

/// The two shapes of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// A prompt and its continuation.
    Text,
    /// A list of messages and the next one.
    Chat,
}

/// The fields of a request that the system reads; others are accepted and not used.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionBody {
    /// The model, with an adapter as `model:adapter`.
    pub model: String,
    /// The prompt, for `Shape::Text`.
    #[serde(default)]
    pub prompt: Option<String>,
    /// The messages, for `Shape::Chat`.
    #[serde(default)]
    pub messages: Option<Vec<Message>>,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub role: String,
    /// What is said.
    pub content: String,
}

impl CompletionBody {
    /// Returns the text to complete.
    pub fn prompt(&self, shape: Shape) -> Result<String, Refusal> {
        let prompt = match shape {
            Shape::Text => self.prompt.clone(),
            Shape::Chat => self.messages.as_ref().map(|messages| chat_prompt(messages)),
        };
        let field = if shape == Shape::Text { "prompt" } else { "messages" };
        let prompt = prompt.filter(|prompt| !prompt.is_empty()).ok_or_else(|| {
            Refusal::not_run(Reason::BadRequest, format!("the body, field '{field}': missing"))
        })?;
        if prompt.len() > MAX_PROMPT_BYTES {
            let message = format!("the prompt is over {MAX_PROMPT_BYTES} bytes");
            return Err(Refusal::not_run(Reason::TooLarge, message));
        }
        Ok(prompt)
    }

    /// Returns the most tokens to generate, checked against the model's limit.
    pub fn max_tokens(&self, model_limit: u32) -> Result<u32, Refusal> {
        let wanted = self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS.min(model_limit));
        if wanted == 0 || wanted > model_limit {
            let message = format!("the body, field 'max_tokens': use 1 to {model_limit}");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
        Ok(wanted)
    }
}

/// The parts of an answer that are the same in all of its shapes.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// The id of the answer.
    pub id: String,
    /// The model as the caller named it.
    pub model: String,
    /// The shape.
    pub shape: Shape,
}

impl AnswerHead {
    /// Builds a whole answer.
    pub fn whole(&self, text: &str, tokens: u32) -> Value {
        let choice = match self.shape {
            Shape::Text => json!({"index": 0, "text": text, "finish_reason": "stop"}),
            Shape::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }),
        };
        let object = match self.shape {
            Shape::Text => "text_completion",
            Shape::Chat => "chat.completion",
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

    /// Builds one chunk of a streamed answer; the last one has no text.
    pub fn chunk(&self, text: Option<&str>) -> Value {
        let finish_reason = if text.is_none() { json!("stop") } else { Value::Null };
        let text = text.unwrap_or_default();
        let (object, choice) = match self.shape {
            Shape::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish_reason}),
            ),
            Shape::Chat => (
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

fn chat_prompt(messages: &[Message]) -> String {
    let lines: Vec<String> =
        messages.iter().map(|message| format!("{}: {}", message.role, message.content)).collect();
    lines.join("\n")
}
