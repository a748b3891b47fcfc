//! Accepts callers' connections, enforces their time and size limits, and passes requests to
//! [`super::call`].

use std::io;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use badgerferry_lib::relay::route_table::CallerLimits;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::relay::call;
use crate::relay::caller_io::CallGuard;
use crate::relay::caller_io::CallerConnection;
use crate::relay::caller_io::CallerIo;
use crate::relay::caller_io::ConnectionState;
use crate::relay::caller_presence::CallPhase;
use crate::relay::caller_presence::DepartureSign;
use crate::relay::listener;
use crate::relay::response_body::ResponseBody;
use crate::relay::response_body::ServiceResult;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Limits until the first route table arrives; the same as in the usual route tables of users.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    header_bytes: 16_384,
    body_bytes: 4 << 20,
    header_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// Smallest read buffer that the HTTP library accepts, in bytes.
const MIN_READ_BUFFER: usize = 8_192;
/// Interval at which the timeouts of a connection are checked.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Accepts and serves callers' connections; never returns.
pub async fn serve(listener: TcpListener, relay: Arc<Relay>) {
    listener::accept_loop(listener, |stream| {
        serve_connection(stream, Arc::clone(&relay))
    })
    .await;
}

fn current_limits(relay: &Relay) -> CallerLimits {
    relay
        .routes
        .load()
        .as_ref()
        .map_or(DEFAULT_LIMITS, |index| index.table().limits)
}

async fn serve_connection(stream: TcpStream, relay: Arc<Relay>) {
    if let Err(cause) = stream.set_nodelay(true) {
        tracing::debug!(%cause, "failed to set TCP_NODELAY on caller connection");
        return;
    }
    let limits = current_limits(&relay);
    let state = Arc::new(Mutex::new(CallerConnection::new()));
    let io = CallerIo::new(stream, Arc::clone(&relay), Arc::clone(&state));
    let service = service_fn({
        let (relay, state) = (Arc::clone(&relay), Arc::clone(&state));
        move |req| serve_call(Arc::clone(&relay), Arc::clone(&state), req)
    });
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.header_bytes.max(MIN_READ_BUFFER));
    builder.header_read_timeout(None);
    let connection = builder.serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let mut check = tokio::time::interval(TIMEOUT_CHECK_INTERVAL);
    check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(cause) = ended {
                    if let Some(sign) = departure_sign(&cause) {
                        lock(&state).record_departure(sign);
                    }
                    tracing::debug!(%cause, "caller connection ended with an error");
                }
                return;
            }
            _ = check.tick() => {
                let mut caller = lock(&state);
                let is_cut = caller.cut_slow_reader(relay.clock.now());
                match caller.state {
                    _ if is_cut => return,
                    ConnectionState::Idle(since) if since.elapsed() >= limits.idle_time => {
                        connection.as_mut().graceful_shutdown();
                    }
                    ConnectionState::ReadingHead(since)
                        if since.elapsed() >= limits.header_time => return,
                    ConnectionState::Idle(_)
                    | ConnectionState::ReadingHead(_)
                    | ConnectionState::Busy => {}
                }
            }
        }
    }
}

/// How an error shows that the caller has left; `None` if the box itself ends the connection.
fn departure_sign(error: &hyper::Error) -> Option<DepartureSign> {
    let source = std::error::Error::source(error);
    let cause = source.and_then(|source| source.downcast_ref::<io::Error>());
    match cause.map(io::Error::kind) {
        Some(ErrorKind::ConnectionAborted) => Some(DepartureSign::EndBehindUnread),
        Some(_) => Some(DepartureSign::ConnectionFailed),
        None if error.is_incomplete_message() => Some(DepartureSign::EndOfInput),
        None => None,
    }
}

async fn serve_call(
    relay: Arc<Relay>,
    state: Arc<Mutex<CallerConnection>>,
    req: Request<Incoming>,
) -> ServiceResult<Response<ResponseBody>> {
    let guard = CallGuard::new(&relay, Arc::clone(&state));
    let caller = Arc::clone(guard.caller());
    let mut response = call::handle(Arc::clone(&relay), Arc::clone(&caller), req).await;
    caller.set_phase(CallPhase::Responding);
    if relay.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let (limits, reader) = response.body_mut().take_reader();
    lock(&state).set_reader(limits, reader);
    response.body_mut().set_guard(guard);
    Ok(response)
}
