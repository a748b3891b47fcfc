//! Client of plain services: forwards a call once and buffers the complete response.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::NoRoom;
use crate::engine::read_error;
use crate::http_client;
use crate::http_client::BufferedResponse;
use crate::http_client::SendError;
use crate::http_client::send_once;
use crate::process_probe;

/// Maximum size of a service's response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Why a response without framing is not used.
const MAYBE_CUT: &str = "response ended with its connection, and may be cut";
/// Headers that are not forwarded: those that apply to one connection only, and `content-length`,
/// which is set anew from the buffered body.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
];

/// Call to forward to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request headers, without the caller's key.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
}

/// Transport of calls to a plain service.
pub trait Service {
    /// Makes a call once, without retries.
    fn call(
        &self,
        address: &str,
        connect_timeout: Duration,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<BufferedResponse, SendError>> + Send;
}

/// Client of plain services over HTTP.
#[derive(Debug, Clone)]
pub struct HttpService {
    budget: ByteBudget,
}

impl HttpService {
    /// Creates a client that buffers at most `max_buffered` bytes of all responses together.
    pub fn new(max_buffered: usize) -> Self {
        Self {
            budget: ByteBudget::new(max_buffered),
        }
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let mut buffer = self.budget.buffer();
        while let Some(frame) = body.frame().await {
            if let Some(chunk) = frame?.data_ref() {
                buffer.push(chunk)?;
            }
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(BodyError::TooLong);
            }
        }
        Ok(buffer.finish())
    }
}

/// Why the body of a response is not used.
#[derive(Debug, thiserror::Error)]
enum BodyError {
    /// The connection ended before it.
    #[error("response incomplete: {0}")]
    Incomplete(#[from] hyper::Error),
    /// It is longer than any response.
    #[error("response too long")]
    TooLong,
    /// There is no room for it.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
}

/// Returns whether a header is forwarded.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name.as_str())
}

impl Service for HttpService {
    async fn call(
        &self,
        address: &str,
        connect_timeout: Duration,
        call: &ServiceCall,
    ) -> Result<BufferedResponse, SendError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .body(Full::new(call.body.clone()))
            .map_err(|cause| SendError::no_connection(address, &cause))?;
        let forwarded = call.headers.iter().filter(|(name, _)| is_end_to_end(name));
        for (name, value) in forwarded {
            request.headers_mut().append(name, value.clone());
        }
        let host = address
            .parse()
            .map_err(|cause| SendError::no_connection(address, &cause))?;
        request.headers_mut().insert("host", host);
        let response = send_once(address, connect_timeout, request).await?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(read_error(address, response).await);
        }
        let (parts, body) = response.into_parts();
        let is_framed = http_client::is_framed(&parts.headers, &body);
        let body = self.read_body(body).await;
        let body = body.map_err(|cause| SendError::lost(address, &cause))?;
        if !is_framed && !process_probe::is_running(address).await {
            return Err(SendError::lost(address, &MAYBE_CUT));
        }
        Ok(BufferedResponse {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}
