//! Model engines.

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

/// Longest line of a stream; a frame holds one token.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Largest fault read from a server.
const MAX_FAULT_BYTES: usize = 64 << 10;

/// What badgerferry asks of a model engine.
pub trait Engine {
    /// Starts or resumes an answer.
    fn generate(
        &self,
        address: &str,
        connect: Duration,
        asked: &GenerateRequest,
    ) -> impl Future<Output = Result<FrameStream, SendError>> + Send;

    /// Prefills a share of a prompt; returns when that is done.
    fn prefill(
        &self,
        address: &str,
        connect: Duration,
        asked: &PrefillRequest,
    ) -> impl Future<Output = Result<(), SendError>> + Send;

    /// Reserves memory for a share; an error means that it may or may not be reserved.
    fn reserve(
        &self,
        address: &str,
        asked: &ReserveRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Gives up a reservation.
    fn release(
        &self,
        address: &str,
        asked: &ReleaseRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Stops an attempt.
    fn cancel(
        &self,
        address: &str,
        asked: &CancelRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Says what an owner still holds, and that it lives.
    fn renew(
        &self,
        address: &str,
        asked: &RenewRequest,
    ) -> impl Future<Output = Result<(), CallError>> + Send;

    /// Asks how the engine stands.
    fn report(
        &self,
        address: &str,
    ) -> impl Future<Output = Result<ReportResponse, CallError>> + Send;

    /// Gives a fenced order.
    fn order(
        &self,
        address: &str,
        order: &Order,
    ) -> impl Future<Output = Result<(), CallError>> + Send;
}

/// Engines over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    link: ControlClient,
}

impl HttpEngine {
    /// A client whose control calls take at most `limit`.
    pub fn new(limit: Duration) -> Self {
        Self {
            link: ControlClient::new(limit),
        }
    }
}

/// The frames of an answer as they come.
#[derive(Debug)]
pub struct FrameStream {
    body: Incoming,
    buf: Vec<u8>,
}

/// The stream ended, or what came was no frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamEnded;

impl FrameStream {
    /// The next frame. May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// The stream ended, or what came was no frame.
    pub async fn next(&mut self) -> Result<Frame, StreamEnded> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return serde_json::from_slice(&line).map_err(|_not_a_frame| StreamEnded);
            }
            if self.buf.len() > MAX_LINE_BYTES {
                return Err(StreamEnded);
            }
            match self.body.frame().await {
                Some(Ok(part)) => {
                    if let Some(data) = part.data_ref() {
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
    connect: Duration,
    path: &str,
    asked: &T,
) -> Result<Response<Incoming>, SendError> {
    let request = Request::post(path)
        .header("host", address)
        .header("content-type", "application/json")
        .body(Full::new(json(asked).into()))
        .expect("a fixed path and an address make a request");
    let answer = send_once(address, connect, request).await?;
    if answer.status().is_success() {
        return Ok(answer);
    }
    Err(read_error(address, answer).await)
}

/// Reads why a server did not do the work.
pub(crate) async fn read_error(address: &str, answer: Response<Incoming>) -> SendError {
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_FAULT_BYTES);
    let bytes = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(cause) => return SendError::lost(address, &cause),
    };
    match serde_json::from_slice::<ServerErrorBody>(&bytes) {
        Ok(fault) if fault.not_started => SendError::NotStarted {
            address: address.to_owned(),
            message: fault.message,
        },
        _ => SendError::lost(address, &status),
    }
}

impl Engine for HttpEngine {
    async fn generate(
        &self,
        address: &str,
        connect: Duration,
        asked: &GenerateRequest,
    ) -> Result<FrameStream, SendError> {
        let answer = post_once(address, connect, "/v1/generate", asked).await?;
        Ok(FrameStream {
            body: answer.into_body(),
            buf: Vec::new(),
        })
    }

    async fn prefill(
        &self,
        address: &str,
        connect: Duration,
        asked: &PrefillRequest,
    ) -> Result<(), SendError> {
        post_once(address, connect, "/v1/prefill", asked)
            .await
            .map(drop)
    }

    async fn reserve(&self, address: &str, asked: &ReserveRequest) -> Result<(), CallError> {
        self.link
            .post(address, "/v1/reserve", asked)
            .await
            .map(drop)
    }

    async fn release(&self, address: &str, asked: &ReleaseRequest) -> Result<(), CallError> {
        self.link
            .post(address, "/v1/release", asked)
            .await
            .map(drop)
    }

    async fn cancel(&self, address: &str, asked: &CancelRequest) -> Result<(), CallError> {
        self.link.post(address, "/v1/cancel", asked).await.map(drop)
    }

    async fn renew(&self, address: &str, asked: &RenewRequest) -> Result<(), CallError> {
        self.link.post(address, "/v1/renew", asked).await.map(drop)
    }

    async fn report(&self, address: &str) -> Result<ReportResponse, CallError> {
        self.link.get(address, "/v1/report").await
    }

    async fn order(&self, address: &str, order: &Order) -> Result<(), CallError> {
        self.link.post(address, "/v1/orders", order).await.map(drop)
    }
}
