//! Client of model engines.

use std::time::Duration;

use badgerferry_lib::engine_wire::CancelRequest;
use badgerferry_lib::engine_wire::GenerateRequest;
use badgerferry_lib::engine_wire::Order;
use badgerferry_lib::engine_wire::PrefillRequest;
use badgerferry_lib::engine_wire::ReleaseRequest;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::engine_wire::ReportResponse;
use badgerferry_lib::engine_wire::ReserveRequest;
use badgerferry_lib::engine_wire::ServerErrorBody;
use badgerferry_lib::stream_join::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Serialize;

use crate::http_client::CallError;
use crate::http_client::ControlClient;
use crate::http_client::SendError;
use crate::http_client::json;
use crate::http_client::send_once;

/// Maximum size of a line of a response stream; a line is one frame, which holds one token.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum size of a response to a control call; the largest are reports.
const MAX_CONTROL_BYTES: usize = 256 << 10;
/// Maximum size of an error body read from a server.
const MAX_ERROR_BYTES: usize = 64 << 10;

/// Requests that badgerferry sends to a model engine.
pub trait Engine {
    /// Starts or resumes a generation.
    fn generate(
        &self,
        address: &str,
        connect_timeout: Duration,
        request: &GenerateRequest,
    ) -> impl Future<Output = Result<FrameStream, SendError>> + Send;

    /// Prefills a share of a prompt; returns when the prefill is done.
    fn prefill(
        &self,
        address: &str,
        connect_timeout: Duration,
        request: &PrefillRequest,
    ) -> impl Future<Output = Result<(), SendError>> + Send;

    /// Reserves memory for a share; after an error, the memory may or may not be reserved.
    fn reserve(
        &self,
        address: &str,
        request: &ReserveRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Releases a reservation.
    fn release(
        &self,
        address: &str,
        request: &ReleaseRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Stops an attempt and frees its memory.
    fn cancel(
        &self,
        address: &str,
        request: &CancelRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Renews an owner's liveness and lists the attempts and reservations that it still needs.
    fn renew(
        &self,
        address: &str,
        request: &RenewRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Fetches the engine's state report.
    fn report(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<ReportResponse, CallError>> + Send;

    /// Sends a placement order, protected by a fencing token.
    fn order(
        &self,
        address: &str,
        order: &Order,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// Client of engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: ControlClient,
}

impl HttpEngine {
    /// Creates a client whose control calls time out after `call_timeout`.
    pub fn new(call_timeout: Duration) -> Self {
        Self {
            client: ControlClient::new(call_timeout, MAX_CONTROL_BYTES),
        }
    }
}

/// Frames of a generation, read from the response body.
#[derive(Debug)]
pub struct FrameStream {
    body: Incoming,
    buf: Vec<u8>,
}

/// The stream ended or failed, or a line was too long or not a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnded;

impl FrameStream {
    /// Returns the next frame. Cancel safe: dropping the future loses no data.
    ///
    /// # Errors
    ///
    /// The stream ended or failed, or a line was too long or not a frame.
    pub async fn next(&mut self) -> Result<Frame, StreamEnded> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return serde_json::from_slice(&line).map_err(|_malformed| StreamEnded);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(StreamEnded);
            }
            match self.body.frame().await {
                Some(Ok(chunk)) => {
                    if let Some(data) = chunk.data_ref() {
                        self.buf.extend_from_slice(data);
                    }
                }
                Some(Err(_)) | None => return Err(StreamEnded),
            }
        }
    }
}

async fn post_once<T: Serialize>(
    address: &str,
    connect_timeout: Duration,
    path: &str,
    message: &T,
) -> Result<Response<Incoming>, SendError> {
    let request = Request::post(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(json(message).into()))
        .expect("a fixed path and a server address form a valid request");
    let response = send_once(address, connect_timeout, request).await?;
    if response.status().is_success() {
        return Ok(response);
    }
    Err(read_error(address, response).await)
}

/// Converts an error response: [`SendError::NotStarted`] only if the server states so in its body,
/// otherwise [`SendError::Lost`].
pub(crate) async fn read_error(address: &str, response: Response<Incoming>) -> SendError {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ERROR_BYTES);
    let bytes = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(cause) => return SendError::lost(address, &cause),
    };
    match serde_json::from_slice::<ServerErrorBody>(&bytes) {
        Ok(error) if error.not_started => SendError::NotStarted {
            address: address.to_owned(),
            message: error.message,
        },
        _ => SendError::lost(address, &status),
    }
}

impl Engine for HttpEngine {
    async fn generate(
        &self,
        address: &str,
        connect_timeout: Duration,
        request: &GenerateRequest,
    ) -> Result<FrameStream, SendError> {
        let response = post_once(address, connect_timeout, "/v1/generate", request).await?;
        Ok(FrameStream {
            body: response.into_body(),
            buf: Vec::new(),
        })
    }

    async fn prefill(
        &self,
        address: &str,
        connect_timeout: Duration,
        request: &PrefillRequest,
    ) -> Result<(), SendError> {
        post_once(address, connect_timeout, "/v1/prefill", request)
            .await
            .map(drop)
    }

    async fn reserve(&self, address: &str, request: &ReserveRequest) -> Result<(), CallError> {
        self.client
            .post(address, "/v1/reserve", request)
            .await
            .map(drop)
    }

    async fn release(&self, address: &str, request: &ReleaseRequest) -> Result<(), CallError> {
        self.client
            .post(address, "/v1/release", request)
            .await
            .map(drop)
    }

    async fn cancel(&self, address: &str, request: &CancelRequest) -> Result<(), CallError> {
        self.client
            .post(address, "/v1/cancel", request)
            .await
            .map(drop)
    }

    async fn renew(&self, address: &str, request: &RenewRequest) -> Result<(), CallError> {
        self.client
            .post(address, "/v1/renew", request)
            .await
            .map(drop)
    }

    async fn report(&self, address: &str) -> Result<ReportResponse, CallError> {
        self.client.get(address, "/v1/report").await
    }

    async fn order(&self, address: &str, order: &Order) -> Result<(), CallError> {
        self.client
            .post(address, "/v1/orders", order)
            .await
            .map(drop)
    }
}
