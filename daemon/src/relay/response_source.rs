//! The body of a response and the connection that carries it, which is reset if the body is not read to its
//! end.

use http_body::Body as _;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::relay::abandoned_run::AbandonedRun;
use crate::relay::abandoned_run::SentRun;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::Via;

/// A response that is being received. Dropped before its end, its run is abandoned.
#[derive(Debug)]
pub struct ResponseSource {
    /// `None` only once it is consumed.
    carried: Option<(Incoming, Connection)>,
    run: SentRun,
    /// Whether its end or the end of its connection was received.
    has_ended: bool,
}

impl ResponseSource {
    /// Body that arrives on this connection.
    pub const fn new(body: Incoming, connection: Connection, run: SentRun) -> Self {
        Self {
            carried: Some((body, connection)),
            run,
            has_ended: false,
        }
    }

    /// Who made the connection.
    pub fn via(&self) -> Via {
        let connection = self.carried.as_ref();
        connection.map_or(Via::Own, |(_, connection)| connection.via)
    }

    /// Length of the body, as far as its head states it.
    pub fn size_hint(&self) -> SizeHint {
        let carried = self.carried.as_ref();
        carried.map_or_else(SizeHint::default, |(body, _)| body.size_hint())
    }

    /// The next frame; `None` after the last.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let (body, _) = self.carried.as_mut()?;
        let frame = body.frame().await;
        self.has_ended = !matches!(frame, Some(Ok(_)));
        frame
    }

    /// The connection of a response that has ended.
    pub fn into_connection(mut self) -> Option<Connection> {
        self.carried.take().map(|(_body, connection)| connection)
    }

    /// Whether the body is known to have ended.
    pub fn is_end_stream(&self) -> bool {
        let carried = self.carried.as_ref();
        carried.is_some_and(|(body, _)| body.is_end_stream())
    }

    /// Reads the rest, up to `max_bytes`; returns whether that was all.
    pub async fn discard(&mut self, max_bytes: usize) -> bool {
        let mut read = 0;
        while read <= max_bytes {
            match self.frame().await {
                Some(Ok(frame)) => read += frame.data_ref().map_or(0, Bytes::len),
                Some(Err(_)) => return false,
                None => return true,
            }
        }
        false
    }

    /// Resets the connection of a response that is of no use. Its server has responded, so that nothing more
    /// is expected of the run.
    pub fn reset(mut self) {
        if let Some((_body, connection)) = &self.carried {
            connection.control.abandon();
        }
        self.carried = None;
    }
}

impl Drop for ResponseSource {
    fn drop(&mut self) {
        let Some((body, connection)) = self.carried.take() else {
            return;
        };
        if self.has_ended {
            return;
        }
        connection.control.abandon();
        let via = connection.via;
        drop((body, connection));
        let run = self.run.clone();
        AbandonedRun { run, via }.watch();
    }
}
