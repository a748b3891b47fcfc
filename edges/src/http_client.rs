//! HTTP calls: requests over a new connection each, and control calls over pooled connections.
//!
//! Generations, prefills and service calls use a new connection each. A failure to connect then
//! proves that the request was not started, and no connection pool can send a request a second
//! time. Control calls are idempotent and use a connection pool, with its automatic retries
//! disabled.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body as _;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::CONTENT_LENGTH;
use hyper::header::HeaderMap;
use hyper::header::TRANSFER_ENCODING;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time after which idle control connections are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Failure of a request to a server.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The connection was not established, so nothing was sent.
    #[error("no connection to {address}: {cause}")]
    NoConnection {
        /// Address of the server.
        address: String,
        /// Underlying error.
        cause: String,
    },
    /// The server responded that it did not start the request.
    #[error("{address} did not start the request: {message}")]
    NotStarted {
        /// Address of the server.
        address: String,
        /// Description from the server.
        message: String,
    },
    /// Any other failure; the request may have run.
    #[error("request to {address} failed and may have run: {cause}")]
    Lost {
        /// Address of the server.
        address: String,
        /// Underlying error.
        cause: String,
    },
}

impl SendError {
    pub(crate) fn no_connection(address: &str, cause: &impl ToString) -> Self {
        Self::NoConnection {
            address: address.to_owned(),
            cause: cause.to_string(),
        }
    }

    pub(crate) fn lost(address: &str, cause: &impl ToString) -> Self {
        Self::Lost {
            address: address.to_owned(),
            cause: cause.to_string(),
        }
    }
}

/// Body of a request.
pub type Body = Full<Bytes>;

/// Sends one request over a new connection and returns the response head with a streaming body.
///
/// # Errors
///
/// [`SendError::NoConnection`] if nothing was sent, else [`SendError::Lost`].
pub async fn send_once(
    address: &str,
    connect_timeout: Duration,
    request: Request<Body>,
) -> Result<Response<Incoming>, SendError> {
    let stream = match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(SendError::no_connection(address, &cause)),
        Err(elapsed) => return Err(SendError::no_connection(address, &elapsed)),
    };
    // Frames are small; with Nagle's algorithm each would wait for the acknowledgement of the
    // previous one.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|cause| SendError::no_connection(address, &cause))?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await;
    response.map_err(|cause| SendError::lost(address, &cause))
}

/// Whether a response has its own end: it can have no body, or its headers delimit the body, by
/// chunks or by a length. Otherwise the body ends with its connection, and its end can't be
/// distinguished from an exit of the server.
pub fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    body.is_end_stream() || has_framing(headers)
}

/// Whether the headers delimit the body of a response. A length counts only without a transfer
/// coding.
pub fn has_framing(headers: &HeaderMap) -> bool {
    match headers.get_all(TRANSFER_ENCODING).iter().next_back() {
        Some(codings) => codings.to_str().is_ok_and(|codings| {
            let last = codings.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        }),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Failure of a control call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No response arrived in time, or it could not be parsed.
    #[error("no valid response from {address}: {cause}")]
    NoResponse {
        /// Address that was called.
        address: String,
        /// Underlying error.
        cause: String,
    },
    /// The response has a status other than success.
    #[error("{address} responded with status {status}")]
    Status {
        /// Address that was called.
        address: String,
        /// Status of the response.
        status: StatusCode,
    },
}

/// Response with its body read in full.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as received.
    pub body: Bytes,
}

/// Client for control calls over pooled connections.
#[derive(Debug, Clone)]
pub struct ControlClient {
    client: Client<HttpConnector, Body>,
    call_timeout: Duration,
    max_response_bytes: usize,
}

impl ControlClient {
    /// Creates a client whose calls time out after `call_timeout`. A response with a longer body is invalid.
    pub fn new(call_timeout: Duration, max_response_bytes: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(call_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self {
            client,
            call_timeout,
            max_response_bytes,
        }
    }

    /// Makes a call with a time limit other than the client's.
    ///
    /// # Errors
    ///
    /// No complete response arrived within the limit.
    pub async fn call_with_timeout(
        &self,
        call_timeout: Duration,
        method: Method,
        address: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, CallError> {
        let no_response = |cause: String| CallError::NoResponse {
            address: address.to_owned(),
            cause,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body.into()))
            .map_err(|cause| no_response(cause.to_string()))?;
        let call = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|cause| no_response(cause.to_string()))?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, self.max_response_bytes).collect().await;
            let body = body.map_err(|cause| no_response(cause.to_string()))?;
            Ok(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(call_timeout, call).await {
            Ok(response) => response,
            Err(elapsed) => Err(no_response(elapsed.to_string())),
        }
    }

    /// Makes a call with the client's time limit.
    ///
    /// # Errors
    ///
    /// No complete response arrived within the limit.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, CallError> {
        self.call_with_timeout(self.call_timeout, method, address, path, body)
            .await
    }

    /// Posts a value as JSON and returns the response if its status is a success.
    ///
    /// # Errors
    ///
    /// No complete response arrived in time, or its status is not a success.
    pub async fn post<T: Serialize + Sync>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<BufferedResponse, CallError> {
        let body = json(value);
        let response = self.call(Method::POST, address, path, body).await?;
        match response.status {
            status if status.is_success() => Ok(response),
            status => Err(CallError::Status {
                address: address.to_owned(),
                status,
            }),
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// No complete response arrived in time, its status is not a success, or its body is not a
    /// `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CallError> {
        let response = self.call(Method::GET, address, path, Bytes::new()).await?;
        parse(address, &response)
    }
}

pub(crate) fn parse<T: DeserializeOwned>(
    address: &str,
    response: &BufferedResponse,
) -> Result<T, CallError> {
    if !response.status.is_success() {
        return Err(CallError::Status {
            address: address.to_owned(),
            status: response.status,
        });
    }
    serde_json::from_slice(&response.body).map_err(|cause| CallError::NoResponse {
        address: address.to_owned(),
        cause: cause.to_string(),
    })
}

pub(crate) fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data always encodes")
}
