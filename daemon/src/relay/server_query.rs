//! Requests of the box itself to a server (reservations, reports and status checks), each on its own
//! connection.

use badgerferry_platform::headers;
use badgerferry_platform::orders::ServerQuery;
use badgerferry_platform::reports;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Bytes;

use crate::relay::listed_server::ListedServer;
use crate::relay::request_body::RequestBody;
use crate::relay::server_gate::Admitted;
use crate::relay::server_path;
use crate::relay::server_path::Destination;
use crate::relay::state::Relay;
use crate::traffic::lock;

/// Largest response body; a report that lists many reservations takes a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Sends the request and reads the complete response, which shows that the server runs.
///
/// # Errors
///
/// The connection failed, or the response was incomplete or larger than `MAX_RESPONSE_BYTES`.
pub async fn exchange(
    destination: &Destination<'_>,
    query: ServerQuery,
    admitted: Admitted,
) -> anyhow::Result<Response<Bytes>> {
    let mut connection = server_path::connect(destination).await?;
    let request = Request::builder()
        .method(query.method)
        .uri(query.path.as_ref())
        .header(http::header::HOST, destination.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(RequestBody::new(Bytes::from(query.body)))?;
    let response = connection.send(request, admitted).await?;
    let relay = destination.relay;
    {
        let (now, mut tracker) = (relay.clock.now(), lock(&relay.tracker));
        if response.status().is_success() {
            tracker.record_verified(now, destination.server);
        } else {
            tracker.record_running(now, destination.server);
        }
    }
    let (parts, body) = response.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}

/// Asks an engine for its pace, as a multiple of its usual time.
///
/// # Errors
///
/// It got no response, or an invalid one.
pub async fn fetch_pace(
    relay: &Relay,
    engine: &ListedServer,
    admitted: Admitted,
) -> anyhow::Result<f64> {
    let report = reports::report_request();
    let response = exchange(&engine.destination(relay), report, admitted).await?;
    Ok(reports::parse_pace(response.body())?)
}

/// Checks the status of a server at this path, and records what the response announces. Returns whether the
/// server states that it is healthy.
///
/// # Errors
///
/// It got no response.
pub async fn check_status(
    relay: &Relay,
    server: &ListedServer,
    path: &str,
    admitted: Admitted,
) -> anyhow::Result<bool> {
    let check = reports::status_check(path);
    let response = exchange(&server.destination(relay), check, admitted).await?;
    let head = headers::parse_response_head(response.status(), response.headers(), None);
    relay
        .gate
        .record_response("-", &server.target, &head.notice, head.has_proof);
    Ok(response.status().is_success())
}
