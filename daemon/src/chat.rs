//! The API of model requests: chat completions and completions.
//!
//! Only the fields that badgerferry uses are parsed from a body. They are validated before any
//! resource is reserved. Responses have the format of the same API, either complete or streamed as
//! server-sent events.

use badgerferry_lib::ids::ModelName;
use badgerferry_lib::ids::RequestId;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::api_error::ApiError;

/// Endpoint of a model request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A model request, parsed from its body.
#[derive(Debug, Clone)]
pub struct ModelRequest {
    /// Endpoint that received the request.
    pub endpoint: Endpoint,
    /// Name of the model.
    pub model: ModelName,
    /// Complete prompt; the messages of a chat are joined, each after its role.
    pub prompt: String,
    /// Maximum number of tokens in the response; `None` if the caller sets none.
    pub max_tokens: Option<u64>,
    /// Whether the response is streamed.
    pub stream: bool,
}

// serde names the body types in its error messages, which are sent to callers.

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

/// Parses and validates a body.
///
/// # Errors
///
/// The body is not JSON in the expected format, the prompt is empty, or `max_tokens` is zero.
pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<ModelRequest, ApiError> {
    let invalid = |cause: serde_json::Error| {
        ApiError::bad_request("invalid_body", format!("the body can't be read: {cause}"))
    };
    let request = match endpoint {
        Endpoint::Chat => {
            let body: ChatBody = serde_json::from_slice(body).map_err(invalid)?;
            ModelRequest {
                endpoint,
                prompt: prompt_from_messages(&body.messages)?,
                model: ModelName::new(body.model),
                max_tokens: body.max_completion_tokens.or(body.max_tokens),
                stream: body.stream,
            }
        }
        Endpoint::Text => {
            let body: TextBody = serde_json::from_slice(body).map_err(invalid)?;
            ModelRequest {
                endpoint,
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

fn prompt_from_messages(messages: &[Message]) -> Result<String, ApiError> {
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

/// Encodes the response to one request, as one JSON body or as server-sent events.
#[derive(Debug, Clone)]
pub struct ResponseWriter {
    endpoint: Endpoint,
    id: RequestId,
    model: ModelName,
}

impl ResponseWriter {
    /// A writer for the format of the request's endpoint.
    pub fn new(request: &ModelRequest, id: RequestId) -> Self {
        Self {
            endpoint: request.endpoint,
            id,
            model: request.model.clone(),
        }
    }

    /// The event with a chunk of the response.
    pub fn chunk(&self, text: &str) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({"index": 0, "delta": {"content": text}}),
            Endpoint::Text => json!({"index": 0, "text": text}),
        };
        self.event(&choice)
    }

    /// The events after the last chunk of a complete response.
    pub fn end(&self) -> String {
        let choice = match self.endpoint {
            Endpoint::Chat => json!({"index": 0, "delta": {}, "finish_reason": "stop"}),
            Endpoint::Text => json!({"index": 0, "text": "", "finish_reason": "stop"}),
        };
        format!("{}data: [DONE]\n\n", self.event(&choice))
    }

    /// The event at the end of a failed response; no end marker follows it.
    pub fn failure(error: &ApiError) -> String {
        format!("data: {}\n\n", error.json())
    }

    fn event(&self, choice: &Value) -> String {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let event = json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
        });
        format!("data: {event}\n\n")
    }

    /// The body of a response that is not streamed, with its token counts.
    pub fn complete(&self, text: &str, prompt_tokens: u64, completion_tokens: u64) -> Value {
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }),
            ),
            Endpoint::Text => (
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
                "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
            },
        })
    }
}
