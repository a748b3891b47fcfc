//! The body of a stream and the connection that carries it, watched on if the call ends first.

use std::sync::Arc;

use futures::FutureExt;
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::body::Incoming;

use crate::relay::abandoned_run::AbandonedRun;
use crate::relay::abandoned_run::SentRun;
use crate::relay::abandoned_run::Sign;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::Via;

/// A stream that is being received. Dropped before its end, its run is abandoned.
#[derive(Debug)]
pub struct StreamSource {
    /// `None` only once it is consumed.
    carried: Option<(Incoming, Connection)>,
    run: SentRun,
    /// Whether its end or the end of its connection was received.
    has_ended: bool,
}

impl StreamSource {
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

    /// The next frame; `None` after the last.
    pub async fn frame(&mut self) -> Option<Result<Frame<Bytes>, hyper::Error>> {
        let (body, _) = self.carried.as_mut()?;
        let frame = body.frame().await;
        self.has_ended = !matches!(frame, Some(Ok(_)));
        frame
    }

    /// The connection of a stream that has ended.
    pub fn into_connection(mut self) -> Option<Connection> {
        self.carried.take().map(|(_body, connection)| connection)
    }
}

impl Drop for StreamSource {
    fn drop(&mut self) {
        let Some((mut body, connection)) = self.carried.take() else {
            return;
        };
        if self.has_ended {
            return;
        }
        connection.control.abandon();
        let abandoned = AbandonedRun {
            run: self.run.clone(),
            control: Arc::clone(&connection.control),
            via: connection.via,
            pending: None,
        };
        let sign = async move {
            let _connection = connection;
            match body.frame().await {
                Some(Ok(_frame)) => Sign::Sent,
                Some(Err(_)) | None => Sign::Closed,
            }
        };
        abandoned.watch(sign.boxed());
    }
}
