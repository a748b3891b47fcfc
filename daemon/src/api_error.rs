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

    /// An error for a request that did not run, without a time to retry.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A refusal with the status, code and message of its reason.
    pub fn from_refusal(reason: RefusalReason, retry_after: Duration) -> Self {
        let mut error = Self::refused(
            refusal_status(reason),
            reason.code(),
            refusal_message(reason),
        );
        error.retry_after = Some(retry_after);
        error
    }

    /// The error response for an outcome; `None` for a completed request.
    pub fn from_outcome(outcome: &Outcome) -> Option<Self> {
        match outcome {
            Outcome::Completed { .. } => None,
            Outcome::Refused(refused) => {
                let mut error = Self::from_refusal(refused.reason(), Duration::ZERO);
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
                message: "the caller went away".to_owned(),
                ran: Ran::Maybe,
                retry_after: None,
            }),
        }
    }

    /// Stable code for callers and logs.
    pub const fn code(&self) -> &'static str {
        self.code
    }

    /// The error as JSON, for the body of a response or an event of a stream.
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
        | RefusalReason::PartCrashesServers
        | RefusalReason::SuspectRunning
        | RefusalReason::ServersLimited
        | RefusalReason::ServersShedding
        | RefusalReason::ServersEvacuated
        | RefusalReason::ServersFull
        | RefusalReason::ServersLeaving
        | RefusalReason::ServersUnreachable
        | RefusalReason::ServersSilent
        | RefusalReason::NoSettings => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn refusal_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::WouldMissDeadline => "it could not have finished within its time limit",
        RefusalReason::DeadlineWhileWaiting => "its time limit can't be met any more",
        RefusalReason::QueueFull => "too many requests of the workspace wait here",
        RefusalReason::WorkspaceLimit => "the workspace is over its limit",
        RefusalReason::NoServer => "no live server has what it asks for",
        RefusalReason::PromptTooLong => "the prompt is longer than the limit or the fleet's memory",
        RefusalReason::Leaving => "this box is leaving; send it to another",
        RefusalReason::NoSettings => "this box has no settings yet",
        RefusalReason::DuplicateKey => {
            "this submission was not run; an earlier one with the same key may have been"
        }
        RefusalReason::KeyNotChecked => {
            "its key can't be checked while the platform is out of reach"
        }
        RefusalReason::CrashesServers => "servers ended under each of the last runs of it",
        RefusalReason::PartCrashesServers => {
            "servers ended under each of the last runs of prompts with a part of its prompt"
        }
        RefusalReason::SuspectRunning => "servers ended under it, and another run of it goes on",
        RefusalReason::ServersLimited => "the servers take no more calls now",
        RefusalReason::ServersShedding => "the servers shed load",
        RefusalReason::ServersEvacuated => {
            "all servers that could take it are in data halls that are evacuated"
        }
        RefusalReason::ServersFull => "the queues of all servers are full",
        RefusalReason::ServersLeaving => "all servers that could take it leave",
        RefusalReason::ServersUnreachable => "no box can connect to the servers that could take it",
        RefusalReason::ServersSilent => "the servers that could take it do not respond",
    }
}

const fn failure_status(reason: FailureReason) -> StatusCode {
    match reason {
        FailureReason::DeadlineWhileRunning => StatusCode::GATEWAY_TIMEOUT,
        FailureReason::ServerLost
        | FailureReason::ServerSilent
        | FailureReason::BoxStopping
        | FailureReason::AttemptsUsed
        | FailureReason::NoOtherServer
        | FailureReason::ServerError => StatusCode::BAD_GATEWAY,
    }
}

const fn failure_message(reason: FailureReason) -> &'static str {
    match reason {
        FailureReason::DeadlineWhileRunning => "the time limit passed while a server worked on it",
        FailureReason::ServerLost => "the server was lost and the request may not be repeated",
        FailureReason::ServerSilent => "the server was lost and does not respond",
        FailureReason::BoxStopping => "this box exits before the request has ended",
        FailureReason::AttemptsUsed => "every attempt that is allowed was used",
        FailureReason::NoOtherServer => "no other server could take it over",
        FailureReason::ServerError => "the server answered with an error of its own",
    }
}
