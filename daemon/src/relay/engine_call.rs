//! One call to an engine beside the calls of callers, on a connection of its own.

use badgerferry_platform::orders::EngineCall;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Bytes;

use crate::relay::server_gate::Admitted;
use crate::relay::upstream;

/// Largest answer; reports of many reservations take some kilobytes.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// Makes the call and reads the whole answer.
///
/// # Errors
///
/// There is no whole answer.
pub async fn exchange(
    address: &str,
    call: EngineCall,
    admitted: Admitted,
) -> anyhow::Result<(StatusCode, Bytes)> {
    let mut connection = upstream::connect(address).await?;
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(call.body)))?;
    let answer = connection.send(request, admitted).await?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(anyhow::Error::from_boxed)?;
    Ok((status, body.to_bytes()))
}
