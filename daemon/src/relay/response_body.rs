//! The body of an answer to a caller: whole, or piece by piece as it comes.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Bytes;
use tokio::sync::mpsc;

use crate::relay::caller_io::CallGuard;

/// Pieces that wait for a slow caller before its server is held up.
pub const BODY_CHANNEL_CAPACITY: usize = 4;

/// A piece of an answer, or its premature end.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes.
    Data(Bytes),
    /// The answer ends early and must not look complete.
    Aborted,
}

/// The answer was cut; the connection to the caller is closed.
#[derive(Debug, thiserror::Error)]
#[error("the answer ended early")]
pub struct ResponseAborted;

/// Where the bytes of a body come from.
#[derive(Debug)]
enum Content {
    /// All of it is here.
    Full(Option<Bytes>),
    /// It comes piece by piece; it is complete when the sender is gone.
    Channel(mpsc::Receiver<BodyChunk>),
}

/// A body, and what is kept until it has been written.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    guard: Option<CallGuard>,
}

impl ResponseBody {
    /// A whole body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty());
        Self {
            content: Content::Full(bytes),
            guard: None,
        }
    }

    /// A body that comes piece by piece.
    pub const fn channel(rx: mpsc::Receiver<BodyChunk>) -> Self {
        Self {
            content: Content::Channel(rx),
            guard: None,
        }
    }

    /// Keeps `guard` until the body has been written, or dropped.
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
            Content::Channel(rx) => rx.poll_recv(cx).map(|piece| match piece {
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

/// Services of the front door always answer.
pub type ServiceResult<T> = Result<T, Infallible>;
