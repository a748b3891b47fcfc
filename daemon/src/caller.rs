//! Authentication of callers and parsing of badgerferry's own request headers.

use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::settings_view::ClassSettings;
use badgerferry_lib::settings_view::SettingsView;
use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::api_error::ApiError;

/// Header with a time limit in milliseconds; it can only shorten the time limit of the class.
pub const TIME_LIMIT_HEADER: &str = "x-badgerferry-time-limit-ms";
/// Header with the name of a request class of the workspace.
pub const CLASS_HEADER: &str = "x-badgerferry-class";
/// Header that marks a request as non-repeatable if its value is `true`.
pub const NOT_REPEATABLE_HEADER: &str = "x-badgerferry-not-repeatable";
/// Header with the request key: an idempotency key, the same on every submission of one
/// non-repeatable request.
pub const REQUEST_KEY_HEADER: &str = "x-badgerferry-request-key";
/// Prefix of badgerferry's own headers, which are not forwarded to plain services.
pub const HEADER_PREFIX: &str = "x-badgerferry-";
const MAX_REQUEST_KEY_BYTES: usize = 256;

/// The caller's identity and options, from the headers of a request.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Workspace that the key authenticates.
    pub workspace: WorkspaceName,
    /// Settings of the request class.
    pub class: ClassSettings,
    /// Time limit of the class, or a shorter one from the header.
    pub time_limit: Duration,
    /// Whether the request may be retried after it may have run; `None` without the header
    /// [`NOT_REPEATABLE_HEADER`].
    pub repeatable: Option<bool>,
    /// Idempotency key, the same on every submission of the same request.
    pub request_key: Option<String>,
}

/// Authenticates the caller and parses its headers.
///
/// # Errors
///
/// The key authenticates no workspace, the class does not exist, or a header is invalid.
pub fn identify(view: &SettingsView, headers: &HeaderMap) -> Result<Caller, ApiError> {
    let workspace = authenticate(view, headers)?;
    let class_name = single_value(headers, CLASS_HEADER)?;
    let class = view.class(&workspace, class_name);
    let class = class.ok_or_else(|| {
        let message = format!(
            "workspace {workspace} has no class {}",
            class_name.unwrap_or("?")
        );
        ApiError::bad_request("unknown_class", message)
    })?;
    let request_key = request_key(headers)?;
    Ok(Caller {
        time_limit: time_limit(headers, class)?,
        repeatable: repeatable(headers)?,
        request_key,
        class: class.clone(),
        workspace,
    })
}

fn authenticate(view: &SettingsView, headers: &HeaderMap) -> Result<WorkspaceName, ApiError> {
    let wrong_key =
        |message: &str| ApiError::refused(StatusCode::UNAUTHORIZED, "wrong_key", message);
    let Some(text) = single_value(headers, "authorization")? else {
        return Err(wrong_key(
            "send the workspace's key as `Authorization: Bearer KEY`",
        ));
    };
    let key = text.strip_prefix("Bearer ").unwrap_or_default();
    let found = view.workspace_for_key(key);
    found
        .cloned()
        .ok_or_else(|| wrong_key("the key opens no workspace"))
}

/// The value of a header. More than one value is rejected, since they might differ.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let message = format!("header {name} is given twice");
        return Err(ApiError::bad_request("duplicate_header", message));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_not_ascii| {
        ApiError::bad_request("bad_header", format!("header {name} is not plain text"))
    })
}

fn time_limit(headers: &HeaderMap, class: &ClassSettings) -> Result<Duration, ApiError> {
    let Some(text) = single_value(headers, TIME_LIMIT_HEADER)? else {
        return Ok(class.time_limit);
    };
    match text.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(class.time_limit)),
        _ => Err(ApiError::bad_request(
            "bad_header",
            format!("header {TIME_LIMIT_HEADER} takes whole milliseconds above zero, not {text:?}"),
        )),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, ApiError> {
    match single_value(headers, NOT_REPEATABLE_HEADER)? {
        None => Ok(None),
        Some("false") => Ok(Some(true)),
        Some("true") => Ok(Some(false)),
        Some(other) => Err(ApiError::bad_request(
            "bad_header",
            format!("header {NOT_REPEATABLE_HEADER} takes true or false, not {other:?}"),
        )),
    }
}

fn request_key(headers: &HeaderMap) -> Result<Option<String>, ApiError> {
    match single_value(headers, REQUEST_KEY_HEADER)? {
        Some(key) if key.is_empty() || key.len() > MAX_REQUEST_KEY_BYTES => {
            Err(ApiError::bad_request(
                "bad_header",
                format!("header {REQUEST_KEY_HEADER} takes 1 to {MAX_REQUEST_KEY_BYTES} bytes"),
            ))
        }
        key => Ok(key.map(str::to_owned)),
    }
}
