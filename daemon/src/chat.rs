//! The callers' interface of model requests: chat completions and completions.
//!
//! Only what badgerferry acts on is read from a body; it is checked before anything is
//! held. Answers are written in the same shapes, whole or as server-sent events.

use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::api_error::ApiError;

/// Which of the two interfaces a request uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A model request as its body asks for it.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Which interface it came by.
    pub interface: Interface,
    /// The model.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: String,
    /// Most tokens of the answer, if the caller says.
    pub max_tokens: Option<u64>,
    /// Whether the answer is streamed.
    pub stream: bool,
}

#[derive(Deserialize)]
struct ChatBody {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Value,
}

#[derive(Deserialize)]
struct TextBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
}

/// Reads a body.
///
/// # Errors
///
/// It is not JSON of the expected shape, or asks for nothing.
pub fn parse(interface: Interface, body: &[u8]) -> Result<ModelRequest, ApiError> {
    let invalid = |cause: serde_json::Error| {
        ApiError::bad_request("invalid_body", format!("the body can't be read: {cause}"))
    };
    let request = match interface {
        Interface::Chat => {
            let body: ChatBody = serde_json::from_slice(body).map_err(invalid)?;
            ModelRequest {
                interface,
                prompt: prompt_of(&body.messages)?,
                model: ModelName::new(body.model),
                max_tokens: body.max_completion_tokens.or(body.max_tokens),
                stream: body.stream,
            }
        }
        Interface::Text => {
            let body: TextBody = serde_json::from_slice(body).map_err(invalid)?;
            ModelRequest {
                interface,
                model: ModelName::new(body.model),
                prompt: body.prompt,
                max_tokens: body.max_tokens,
                stream: body.stream,
            }
        }
    };
    match (request.prompt.is_empty(), request.max_tokens) {
        (true, _) => Err(ApiError::bad_request("invalid_body", "the prompt is empty")),
        (_, Some(0)) => Err(ApiError::bad_request("invalid_body", "max_tokens is zero")),
        _ => Ok(request),
    }
}

fn prompt_of(messages: &[Message]) -> Result<String, ApiError> {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        push_content(&mut prompt, &message.content)?;
        prompt.push('\n');
    }
    Ok(prompt)
}

fn push_content(prompt: &mut String, content: &Value) -> Result<(), ApiError> {
    match content {
        Value::String(text) => prompt.push_str(text),
        Value::Array(parts) => {
            for part in parts {
                let text = part.get("text").and_then(Value::as_str).ok_or_else(|| {
                    ApiError::bad_request("invalid_body", "only text parts are served")
                })?;
                prompt.push_str(text);
            }
        }
        _ => {
            let message = "a message's content is text or a list of text parts";
            return Err(ApiError::bad_request("invalid_body", message));
        }
    }
    Ok(())
}

/// Writes answers for one request.
#[derive(Debug, Clone)]
pub struct ResponseWriter {
    interface: Interface,
    id: RequestId,
    model: ModelName,
}

impl ResponseWriter {
    /// A writer for a request.
    pub fn new(request: &ModelRequest, id: RequestId) -> Self {
        Self {
            interface: request.interface,
            id,
            model: request.model.clone(),
        }
    }

    /// An event with a piece of the answer.
    pub fn piece(&self, text: &str) -> String {
        let choice = match self.interface {
            Interface::Chat => json!({"index": 0, "delta": {"content": text}}),
            Interface::Text => json!({"index": 0, "text": text}),
        };
        self.event(&choice)
    }

    /// The events after the last piece of a whole answer.
    pub fn end(&self) -> String {
        let choice = match self.interface {
            Interface::Chat => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
            Interface::Text => json!({"index": 0, "text": "", "finish_reason": "stop"}),
        };
        format!("{}data: [DONE]\n\n", self.event(&choice))
    }

    /// The event of an answer that broke off; no end marker follows it.
    pub fn failure(error: &ApiError) -> String {
        format!("data: {}\n\n", error.json())
    }

    fn event(&self, choice: &Value) -> String {
        let object = match self.interface {
            Interface::Chat => "chat.completion.chunk",
            Interface::Text => "text_completion",
        };
        let event = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, prompt_tokens: u64, tokens: u64) -> Value {
        let (object, choice) = match self.interface {
            Interface::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }),
            ),
            Interface::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": "stop"}),
            ),
        };
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": tokens,
                "total_tokens": prompt_tokens + tokens,
            },
        })
    }
}
