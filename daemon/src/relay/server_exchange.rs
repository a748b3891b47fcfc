//! The exchange of a request for the head of its response. If its call ends first, its connection is reset.

use std::sync::Arc;

use futures::FutureExt;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use hyper::body::Incoming;

use crate::relay::abandoned_run::AbandonedRun;
use crate::relay::abandoned_run::SentRun;
use crate::relay::call_retry::PendingSend;
use crate::relay::connection_pool::Connection;
use crate::relay::connection_pool::SendError;
use crate::relay::connection_pool::Via;
use crate::relay::request_body::RequestBody;
use crate::relay::server_gate::Admitted;
use crate::relay::server_stream::StreamControl;
use crate::relay::unread_sends;

type Answer = Result<(Response<Incoming>, Connection), SendError>;

struct Running {
    answer: BoxFuture<'static, Answer>,
    run: SentRun,
    control: Arc<StreamControl>,
    via: Via,
    /// Tells the retry budget when the call has arrived.
    pending: PendingSend,
}

/// A request that was sent. Dropped before the response, it is abandoned.
pub struct Exchange(Option<Running>);

impl Exchange {
    /// Sends a request once.
    pub fn start(
        mut connection: Connection,
        request: Request<RequestBody>,
        admitted: Admitted,
        (run, pending): (SentRun, PendingSend),
    ) -> Self {
        let (control, via) = (Arc::clone(&connection.control), connection.via);
        control.begin_exchange();
        let answer = async move {
            let response = connection.send(request, admitted).await?;
            Ok((response, connection))
        };
        Self(Some(Running {
            answer: answer.boxed(),
            run,
            control,
            via,
            pending,
        }))
    }

    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`SendError::NotSent`] only if no byte was written.
    pub async fn answer(&mut self) -> Answer {
        let Some(running) = &mut self.0 else {
            return Err(SendError::NotSent("answered before".to_owned()));
        };
        let answer = running.answer.as_mut().await;
        if let Some(running) = self.0.take() {
            running.end(&answer);
        }
        answer
    }
}

impl Running {
    fn end(self, answer: &Answer) {
        match answer {
            Err(SendError::NotSent(_)) => self.pending.record_not_sent(),
            // The end shows nothing of the server: a forwarder may have closed the connection.
            Err(_) => unread_sends::keep(&self.run, self.pending),
            // A response is recorded by those who read it.
            Ok(_) => {}
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let Some(running) = self.0.take() else { return };
        let Running {
            answer,
            run,
            control,
            via,
            pending,
        } = running;
        control.abandon();
        drop(answer);
        unread_sends::keep(&run, pending);
        AbandonedRun { run, via }.watch();
    }
}
