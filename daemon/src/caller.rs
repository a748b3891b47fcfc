//! The first filters of a request: whose it is, and what its headers ask for.

use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::settings_view::ClassSettings;
use badgerferry_lib::settings_view::SettingsView;
use hyper::StatusCode;
use hyper::header::HeaderMap;

use crate::api_error::ApiError;

/// Header with a time limit in milliseconds; it may only shorten the class's.
pub const TIME_LIMIT_HEADER: &str = "x-badgerferry-time-limit-ms";
/// Header that names a request class of the workspace.
pub const CLASS_HEADER: &str = "x-badgerferry-class";
/// Header that marks a request as not repeatable, with `true`.
pub const NOT_REPEATABLE_HEADER: &str = "x-badgerferry-not-repeatable";
/// Header with a key that marks submissions of the same not-repeatable request.
pub const REQUEST_KEY_HEADER: &str = "x-badgerferry-request-key";
/// Every header of ours; none is passed on to a plain service.
pub const HEADER_PREFIX: &str = "x-badgerferry-";
/// Longest request key, in bytes.
const MAX_REQUEST_KEY_BYTES: usize = 256;

/// What a request's headers say.
#[derive(Debug, Clone)]
pub struct Caller {
    /// The workspace that the key opens.
    pub workspace: WorkspaceName,
    /// The class's settings.
    pub class: ClassSettings,
    /// Time limit, the class's or shorter.
    pub time_limit: Duration,
    /// Whether it may be tried again after it may have run, where the caller says.
    pub repeatable: Option<bool>,
    /// Marks submissions of the same request.
    pub request_key: Option<String>,
}

/// Reads the headers.
///
/// # Errors
///
/// The key opens no workspace, or a header is wrong.
pub fn identify(view: &SettingsView, headers: &HeaderMap) -> Result<Caller, ApiError> {
    let workspace = authenticate(view, headers)?;
    let class_name = single(headers, CLASS_HEADER)?;
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
        repeatable: is_repeatable(headers)?,
        request_key,
        class: class.clone(),
        workspace,
    })
}

fn authenticate(view: &SettingsView, headers: &HeaderMap) -> Result<WorkspaceName, ApiError> {
    let wrong = |message: &str| ApiError::refused(StatusCode::UNAUTHORIZED, "wrong_key", message);
    let Some(text) = single(headers, "authorization")? else {
        return Err(wrong(
            "send the workspace's key as `Authorization: Bearer KEY`",
        ));
    };
    let key = text.strip_prefix("Bearer ").unwrap_or_default();
    let found = view.workspace_for_key(key);
    found
        .cloned()
        .ok_or_else(|| wrong("the key opens no workspace"))
}

/// The one value of a header; two values that might differ are refused.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, ApiError> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        let message = format!("header {name} is given twice");
        return Err(ApiError::bad_request("duplicate_header", message));
    }
    let text = first.map(|value| value.to_str()).transpose();
    text.map_err(|_not_text| {
        ApiError::bad_request("bad_header", format!("header {name} is not plain text"))
    })
}

fn time_limit(headers: &HeaderMap, class: &ClassSettings) -> Result<Duration, ApiError> {
    let Some(text) = single(headers, TIME_LIMIT_HEADER)? else {
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

fn is_repeatable(headers: &HeaderMap) -> Result<Option<bool>, ApiError> {
    match single(headers, NOT_REPEATABLE_HEADER)? {
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
    match single(headers, REQUEST_KEY_HEADER)? {
        Some(key) if key.is_empty() || key.len() > MAX_REQUEST_KEY_BYTES => {
            Err(ApiError::bad_request(
                "bad_header",
                format!("header {REQUEST_KEY_HEADER} takes 1 to {MAX_REQUEST_KEY_BYTES} bytes"),
            ))
        }
        key => Ok(key.map(str::to_owned)),
    }
}
