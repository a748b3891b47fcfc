//! Requests of the box itself to an engine (reservations and reports), each on its own connection.

use badgerferry_platform::orders::EngineCall;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Bytes;

use crate::relay::request_body::RequestBody;
use crate::relay::server_gate::Admitted;
use crate::relay::server_path;
use crate::relay::server_path::Destination;

/// Largest response body; a report that lists many reservations takes a few kilobytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Sends the request and reads the complete response.
///
/// # Errors
///
/// The connection failed, or the response was incomplete or larger than `MAX_RESPONSE_BYTES`.
pub async fn exchange(
    destination: &Destination<'_>,
    call: EngineCall,
    admitted: Admitted,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let mut connection = server_path::connect(destination).await?;
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, destination.address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(RequestBody::new(Bytes::from(call.body)))?;
    let response = connection.send(request, admitted).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
    Ok((status, body.to_bytes()))
}
