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

use crate::relay::caller_io::CallHold;

/// Pieces that wait for a slow caller before its server is held up.
pub const PIECES: usize = 4;

/// A piece of an answer, or its premature end.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The answer ends early and must not look complete.
    Cut,
}

/// The answer was cut; the connection to the caller is closed.
#[derive(Debug, thiserror::Error)]
#[error("the answer ended early")]
pub struct AnswerCut;

/// Where the bytes of a body come from.
#[derive(Debug)]
enum Content {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes piece by piece; it is complete when the sender is gone.
    Pieces(mpsc::Receiver<Piece>),
}

/// A body, and what is kept until it has been written.
#[derive(Debug)]
pub struct AnswerBody {
    content: Content,
    hold: Option<CallHold>,
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty());
        Self {
            content: Content::Whole(bytes),
            hold: None,
        }
    }

    /// A body that comes piece by piece.
    pub const fn pieces(rx: mpsc::Receiver<Piece>) -> Self {
        Self {
            content: Content::Pieces(rx),
            hold: None,
        }
    }

    /// Keeps `hold` until the body has been written, or dropped.
    pub fn hold(&mut self, hold: CallHold) {
        self.hold = Some(hold);
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Pieces(rx) => rx.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::Cut) => Some(Err(AnswerCut)),
                None => None,
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Services of the front door always answer.
pub type Answered<T> = Result<T, Infallible>;
