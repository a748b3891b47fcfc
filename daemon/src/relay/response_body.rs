//! Body of a response to a caller: complete in memory, or forwarded chunk by chunk.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Bytes;
use tokio::sync::mpsc;

use crate::relay::caller_io::CallGuard;
use crate::relay::caller_io::ReaderLimits;
use crate::relay::held_bytes::ResponseReader;

/// Chunks buffered for a slow caller before backpressure reaches the server, if the bytes held for
/// it are bounded as well.
pub const COUNTED_CHANNEL_CAPACITY: usize = 64;
/// Chunks buffered for a slow caller if the bytes held for it are not bounded.
pub const UNCOUNTED_CHANNEL_CAPACITY: usize = 4;

/// A chunk of a streamed body, or its premature end.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The response is incomplete. The body ends with an error, so that the caller does not take it
    /// for complete.
    Aborted,
}

/// The response was aborted before its end; the connection to the caller is closed.
#[derive(Debug, thiserror::Error)]
#[error("response aborted before its end")]
pub struct ResponseAborted;

/// Source of the bytes of a body.
#[derive(Debug)]
enum Content {
    /// A complete body; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Chunks of a streamed body, which is complete when the sender is dropped.
    Channel(mpsc::Receiver<BodyChunk>),
}

/// Response body that may hold a [`CallGuard`] until it has been written.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    guard: Option<CallGuard>,
    limits: Option<ReaderLimits>,
    reader: Option<Arc<ResponseReader>>,
}

impl ResponseBody {
    /// A body that is complete in memory.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty());
        Self {
            content: Content::Full(bytes),
            guard: None,
            limits: None,
            reader: None,
        }
    }

    /// A body whose chunks arrive over a channel.
    pub const fn channel(rx: mpsc::Receiver<BodyChunk>) -> Self {
        Self {
            content: Content::Channel(rx),
            guard: None,
            limits: None,
            reader: None,
        }
    }

    /// Sets the reader for whom bytes of this body are counted.
    #[must_use]
    pub fn with_reader(mut self, reader: Option<Arc<ResponseReader>>) -> Self {
        self.reader = reader;
        self
    }

    /// Sets the limits on the caller.
    pub fn set_limits(&mut self, limits: ReaderLimits) {
        self.limits = Some(limits);
    }

    /// Returns the limits on the caller and the reader, for the connection.
    pub fn take_reader(&mut self) -> (Option<ReaderLimits>, Option<Arc<ResponseReader>>) {
        (self.limits.take(), self.reader.take())
    }

    /// Holds `guard` until the body has been written or dropped.
    pub fn set_guard(&mut self, guard: CallGuard) {
        self.guard = Some(guard);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Channel(rx) => rx.poll_recv(cx).map(|chunk| match chunk {
                Some(BodyChunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(BodyChunk::Aborted) => Some(Err(ResponseAborted)),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Channel(_) => SizeHint::default(),
        }
    }
}

/// Result of an HTTP service that responds to every request.
pub type ServiceResult<T> = Result<T, Infallible>;
