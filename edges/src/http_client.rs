//! One HTTP call over a connection of its own, and pooled calls for control.
//!
//! Work goes out on a fresh connection. Then "no connection was made" is a fact that
//! proves the work was not started, and no client underneath sends anything twice.
//! Control calls may be repeated without harm and use a pool that does not retry.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HeaderMap;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Largest answer read whole, in bytes; the platform's values are the largest there are.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Idle control connections are closed after this time.
const IDLE: Duration = Duration::from_secs(30);

/// Why work sent to a server did not come back.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No connection was made, so nothing was sent.
    #[error("no connection to {address}: {cause}")]
    NoConnection {
        /// Where to.
        address: String,
        /// Why.
        cause: String,
    },
    /// The server answered that it did not start the work.
    #[error("{address} did not start it: {message}")]
    NotStarted {
        /// Which server.
        address: String,
        /// What it said.
        message: String,
    },
    /// Anything else; the work may have run.
    #[error("lost {address}: {cause}")]
    Lost {
        /// Which server.
        address: String,
        /// Why.
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

/// A body to send.
pub type Body = Full<Bytes>;

/// Sends one request over a new connection and gives back the answer's head and body.
///
/// # Errors
///
/// [`SendError::NoConnection`] if nothing was sent, else [`SendError::Lost`].
pub async fn send_once(
    address: &str,
    connect: Duration,
    request: Request<Body>,
) -> Result<Response<Incoming>, SendError> {
    let stream = match timeout(connect, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(cause)) => return Err(SendError::no_connection(address, &cause)),
        Err(elapsed) => return Err(SendError::no_connection(address, &elapsed)),
    };
    // Frames are small and must not wait for each other.
    let _ = stream.set_nodelay(true);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) =
        handshake.map_err(|cause| SendError::no_connection(address, &cause))?;
    tokio::spawn(connection);
    let answer = sender.send_request(request).await;
    answer.map_err(|cause| SendError::lost(address, &cause))
}

/// Why a control call failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No answer that could be understood.
    #[error("no answer from {address}: {cause}")]
    NoResponse {
        /// Whom.
        address: String,
        /// Why.
        cause: String,
    },
    /// An answer that says no.
    #[error("{address} answered {status}")]
    Status {
        /// Who.
        address: String,
        /// With what.
        status: StatusCode,
    },
}

/// A whole answer to a control call.
#[derive(Debug, Clone)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Control calls over pooled connections.
#[derive(Debug, Clone)]
pub struct ControlClient {
    client: Client<HttpConnector, Body>,
    limit: Duration,
}

impl ControlClient {
    /// A link whose calls take at most `limit`.
    pub fn new(limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(limit));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self { client, limit }
    }

    /// Makes a call with a time limit of its own.
    ///
    /// # Errors
    ///
    /// No whole answer came in time.
    pub async fn call_with_timeout(
        &self,
        limit: Duration,
        method: Method,
        address: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, CallError> {
        let no_answer = |cause: String| CallError::NoResponse {
            address: address.to_owned(),
            cause,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body.into()))
            .map_err(|cause| no_answer(cause.to_string()))?;
        let call = async {
            let answer = self.client.request(request).await;
            let answer = answer.map_err(|cause| no_answer(cause.to_string()))?;
            let (parts, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|cause| no_answer(cause.to_string()))?;
            Ok(BufferedResponse {
                status: parts.status,
                headers: parts.headers,
                body: body.to_bytes(),
            })
        };
        match timeout(limit, call).await {
            Ok(answer) => answer,
            Err(elapsed) => Err(no_answer(elapsed.to_string())),
        }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// No whole answer came in time.
    pub async fn call(
        &self,
        method: Method,
        address: &str,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, CallError> {
        self.call_with_timeout(self.limit, method, address, path, body)
            .await
    }

    /// Posts JSON and takes any answer of success.
    ///
    /// # Errors
    ///
    /// No answer, or one that says no.
    pub async fn post<T: Serialize + Sync>(
        &self,
        address: &str,
        path: &str,
        value: &T,
    ) -> Result<BufferedResponse, CallError> {
        let body = json(value);
        let answer = self.call(Method::POST, address, path, body).await?;
        match answer.status {
            status if status.is_success() => Ok(answer),
            status => Err(CallError::Status {
                address: address.to_owned(),
                status,
            }),
        }
    }

    /// Reads JSON.
    ///
    /// # Errors
    ///
    /// No answer, one that says no, or one that is not what was expected.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CallError> {
        let answer = self.call(Method::GET, address, path, Bytes::new()).await?;
        parse(address, &answer)
    }
}

pub(crate) fn parse<T: DeserializeOwned>(
    address: &str,
    answer: &BufferedResponse,
) -> Result<T, CallError> {
    if !answer.status.is_success() {
        return Err(CallError::Status {
            address: address.to_owned(),
            status: answer.status,
        });
    }
    serde_json::from_slice(&answer.body).map_err(|cause| CallError::NoResponse {
        address: address.to_owned(),
        cause: cause.to_string(),
    })
}

pub(crate) fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data always encodes")
}
