//! Answers that this box gives on its own: refusals, failures and denials.

use std::time::Duration;

use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::Refused;
use badgerferry_lib::relay::route_table::Denied;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use serde::Serialize;

use crate::relay::response_body::ResponseBody;

/// What a caller is told beside the status.
#[derive(Debug, Serialize)]
struct Body<'a> {
    error: &'a str,
    /// Whether the call may have run.
    may_have_run: bool,
}

fn answer(status: StatusCode, error: &str, may_have_run: bool) -> Response<ResponseBody> {
    let body = Body {
        error,
        may_have_run,
    };
    // Two plain fields always encode.
    let bytes = serde_json::to_vec(&body).unwrap_or_default();
    let mut answer = Response::new(ResponseBody::full(bytes));
    *answer.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// The call has not run, and when to come back.
pub fn refused(refused: &Refused) -> Response<ResponseBody> {
    let code = refused.reason().code();
    not_run(code, refused.retry_after())
}

/// The call has not run, for a reason that needs no proof: nothing was done with it.
pub fn not_run(code: &str, retry_after: Option<Duration>) -> Response<ResponseBody> {
    let mut answer = answer(StatusCode::SERVICE_UNAVAILABLE, code, false);
    if let Some(after) = retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(text) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    answer
}

/// The call may have run and has no answer.
pub fn failed(reason: FailureReason) -> Response<ResponseBody> {
    let status = match reason {
        FailureReason::DeadlineWhileRunning => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    answer(status, reason.code(), true)
}

/// The call is not allowed.
pub fn denied(denied: Denied) -> Response<ResponseBody> {
    match denied {
        Denied::NoRoute => answer(StatusCode::NOT_FOUND, "no_route", false),
        Denied::NoKey => answer(StatusCode::UNAUTHORIZED, "no_key", false),
    }
}

/// The call's bytes can't be used; the connection ends with this answer.
pub fn invalid_request(status: StatusCode, code: &str) -> Response<ResponseBody> {
    let mut answer = answer(status, code, false);
    let close = HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}
