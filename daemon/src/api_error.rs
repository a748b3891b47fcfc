//! Error responses to callers, in the JSON format of the `OpenAI` API.
//!
//! Each has a stable `code`, states whether the request ran and, if known, when to retry. See
//! `docs/callers.md` for the list.

use std::time::Duration;

use badgerferry_lib::outcome::FailureReason;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::outcome::RefusalReason;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use serde::Serialize;
use viz::IntoResponse;
use viz::Response;

/// Header that states whether the request ran: `no`, `maybe` or `yes`.
pub const RAN_HEADER: &str = "x-badgerferry-ran";

/// Whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No server ran it.
    No,
    /// A server may have run it, in part or completely.
    Maybe,
    /// A server ran it to completion.
    Yes,
}

impl Ran {
    /// Value of [`RAN_HEADER`].
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// An error response to a caller.
#[derive(Debug, Clone)]
pub struct ApiError {
    status: StatusCode,
    code: &'static str,
    message: String,
    ran: Ran,
    retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'static str,
    code: &'static str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

impl ApiError {
    /// A malformed request (status 400), which did not run.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, code, message)
    }

    /// A refusal before the request was admitted; it did not run.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A refusal by a filter, before the request was submitted to the dispatcher.
    pub fn before_dispatch(reason: RefusalReason, retry_after: Duration) -> Self {
        let mut error = Self::refused(
            refusal_status(reason),
            reason.code(),
            refusal_message(reason),
        );
        error.retry_after = Some(retry_after);
        error
    }

    /// The error of an outcome; `None` for a completed request.
    pub fn from_outcome(outcome: &Outcome) -> Option<Self> {
        match outcome {
            Outcome::Completed { .. } => None,
            Outcome::Refused(refused) => {
                let mut error = Self::before_dispatch(refused.reason(), Duration::ZERO);
                error.retry_after = refused.retry_after();
                Some(error)
            }
            Outcome::Failed(reason) => Some(Self {
                status: failure_status(*reason),
                code: reason.code(),
                message: failure_message(*reason).to_owned(),
                ran: Ran::Maybe,
                retry_after: None,
            }),
            Outcome::Cancelled => Some(Self {
                status: StatusCode::BAD_REQUEST,
                code: "cancelled",
                message: "the caller disconnected".to_owned(),
                ran: Ran::Maybe,
                retry_after: None,
            }),
        }
    }

    /// Stable code for callers and logs.
    pub const fn code(&self) -> &'static str {
        self.code
    }

    /// The response body, as JSON.
    pub fn json(&self) -> String {
        let body = ErrorBody {
            error: ErrorDetail {
                message: &self.message,
                r#type: error_type(self.status),
                code: self.code,
                ran: self.ran,
                retry_after_ms: self.retry_after.map(|delay| delay.as_millis() as u64),
            },
        };
        serde_json::to_string(&body).expect("plain data always encodes")
    }

    /// The complete response with status and headers.
    pub fn response(&self) -> Response {
        let mut response = json_response(self.json(), self.ran);
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        if let Some(delay) = self.retry_after {
            // Whole seconds, rounded up, since an earlier retry would be refused again.
            let seconds = delay.as_millis().div_ceil(1_000) as u64;
            headers.insert("retry-after", seconds.into());
        }
        response
    }
}

/// A JSON response that states whether the request ran.
pub fn json_response(body: String, ran: Ran) -> Response {
    let mut response = body.into_response();
    let headers = response.headers_mut();
    let json = HeaderValue::from_static("application/json");
    headers.insert("content-type", json);
    headers.insert(RAN_HEADER, HeaderValue::from_static(ran.as_str()));
    response
}

const fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.as_u16() < 500 => "invalid_request_error",
        _ => "server_error",
    }
}

const fn refusal_status(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::WorkspaceLimit | RefusalReason::QueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::PromptTooLong => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::DuplicateKey => StatusCode::CONFLICT,
        RefusalReason::WouldMissDeadline
        | RefusalReason::DeadlineWhileWaiting
        | RefusalReason::NoServer
        | RefusalReason::Leaving
        | RefusalReason::KeyNotChecked
        | RefusalReason::CrashesServers
        | RefusalReason::SuspectRunning
        | RefusalReason::ServersLimited
        | RefusalReason::ServersShedding
        | RefusalReason::ServersLeaving
        | RefusalReason::NoSettings => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::WouldMissDeadline => {
            "the request could not have completed within its time limit"
        }
        RefusalReason::DeadlineWhileWaiting => "the time limit of the request can no longer be met",
        RefusalReason::QueueFull => "the workspace has too many requests queued at this box",
        RefusalReason::WorkspaceLimit => "the workspace exceeded its rate limit",
        RefusalReason::NoServer => "no live server offers the requested model or service",
        RefusalReason::PromptTooLong => "the prompt exceeds the limit or the memory of the fleet",
        RefusalReason::Leaving => "this box is shutting down; send the request to another box",
        RefusalReason::NoSettings => "this box has not received settings yet",
        RefusalReason::DuplicateKey => {
            "this submission did not run; an earlier one with the same key may have run"
        }
        RefusalReason::KeyNotChecked => {
            "the request key can't be checked while the platform is unreachable"
        }
        RefusalReason::CrashesServers => {
            "servers crashed during each of the last runs of this request"
        }
        RefusalReason::SuspectRunning => {
            "servers crashed during this request, and another run of it is in progress"
        }
        RefusalReason::ServersLimited => "all eligible servers have reached their limits",
        RefusalReason::ServersShedding => "all eligible servers shed load",
        RefusalReason::ServersLeaving => "all eligible servers are leaving",
    }
}

const fn failure_status(reason: FailureReason) -> StatusCode {
    match reason {
        FailureReason::DeadlineWhileRunning => StatusCode::GATEWAY_TIMEOUT,
        FailureReason::ServerLost
        | FailureReason::AttemptsUsed
        | FailureReason::NoOtherServer
        | FailureReason::ServerError => StatusCode::BAD_GATEWAY,
    }
}

const fn failure_message(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::DeadlineWhileRunning => {
            "the time limit passed while a server was processing the request"
        }
        FailureReason::ServerLost => "the server was lost and the request may not be retried",
        FailureReason::AttemptsUsed => "all allowed attempts were used",
        FailureReason::NoOtherServer => "no other server could take over the request",
        FailureReason::ServerError => "the server responded with an error",
    }
}
