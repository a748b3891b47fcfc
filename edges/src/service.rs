//! Plain services: a call is passed on once, whole, and its whole answer comes back.

use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;

use crate::engine::read_error;
use crate::http_client::BufferedResponse;
use crate::http_client::SendError;
use crate::http_client::send_once;

/// Largest answer of a service.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 9] = [
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

/// A call as it is passed on.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers, without the caller's key.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What badgerferry asks of a plain service.
pub trait Service {
    /// Makes a call once.
    fn call(
        &self,
        address: &str,
        connect: Duration,
        call: &ServiceCall,
    ) -> impl Future<Output = Result<BufferedResponse, SendError>> + Send;
}

/// Plain services over HTTP.
#[derive(Debug, Clone, Copy, Default)]
pub struct HttpService;

/// Whether a header is passed on.
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_HEADERS.contains(&name.as_str())
}

impl Service for HttpService {
    async fn call(
        &self,
        address: &str,
        connect: Duration,
        call: &ServiceCall,
    ) -> Result<BufferedResponse, SendError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .body(Full::new(call.body.clone()))
            .map_err(|cause| SendError::no_connection(address, &cause))?;
        let passed = call.headers.iter().filter(|(name, _)| is_end_to_end(name));
        for (name, value) in passed {
            request.headers_mut().append(name, value.clone());
        }
        let host = address
            .parse()
            .map_err(|cause| SendError::no_connection(address, &cause))?;
        request.headers_mut().insert("host", host);
        let answer = send_once(address, connect, request).await?;
        if answer.status() == StatusCode::SERVICE_UNAVAILABLE {
            return Err(read_error(address, answer).await);
        }
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|cause| SendError::lost(address, &cause))?;
        Ok(BufferedResponse {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}
