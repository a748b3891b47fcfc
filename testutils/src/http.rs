//! What the stand-ins' servers and the tests' clients share of HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use badgerferry_edges::no_delay_listener::NoDelayListener;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::IntoResponse;
use viz::RequestExt;
use viz::Response;
use viz::Router;

/// Serves a router until the process ends, and prints the address once it listens.
///
/// # Errors
///
/// The address can't be listened on.
pub async fn serve(listen: &str, router: Router) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::bind(listen).await;
    let listener = listener.with_context(|| format!("failed to listen on {listen}"))?;
    println!("listening on {}", listener.local_addr()?);
    viz::serve(NoDelayListener(listener), router).await?;
    Ok(())
}

/// An answer of JSON with a status.
///
/// # Panics
///
/// Never for plain data.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("plain data always encodes");
    let mut answer = body.into_response();
    *answer.status_mut() = status;
    answer
}

/// Reads a JSON body of any size and content type; none if it is not what was expected.
///
/// # Errors
///
/// The body broke off.
pub async fn body<T: DeserializeOwned>(req: &mut Request<viz::Body>) -> viz::Result<Option<T>> {
    let bytes = req.bytes().await?;
    Ok(serde_json::from_slice(&bytes).ok())
}

/// An answer to a body that is not what was expected.
pub fn bad_request() -> Response {
    StatusCode::BAD_REQUEST.into_response()
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// It is not what was expected.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body).with_context(|| format!("unexpected: {}", self.text()))
    }
}

/// A caller for tests: one request, one whole answer.
#[derive(Debug, Clone)]
pub struct HttpCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpCaller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self {
            client: builder.build(connector),
        }
    }
}

/// Longest that a test waits for one answer; only a hang takes as long.
const LONGEST_ANSWER: Duration = Duration::from_mins(2);

impl HttpCaller {
    /// Sends a request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// No connection, or the answer broke off.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> anyhow::Result<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into()))?;
        let call = async {
            let answer = self.client.request(request).await?;
            let (parts, body) = answer.into_parts();
            let body = body.collect().await?.to_bytes();
            anyhow::Ok(Answer {
                status: parts.status,
                headers: parts.headers,
                body,
            })
        };
        let answer = tokio::time::timeout(LONGEST_ANSWER, call).await;
        answer
            .context("no answer in two minutes")?
            .with_context(|| format!("failed to call {address}{path}"))
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> anyhow::Result<Answer> {
        self.call(Method::GET, address, path, &[], Bytes::new())
            .await
    }

    /// Posts JSON.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn post<T: Serialize + Sync>(
        &self,
        address: SocketAddr,
        path: &str,
        value: &T,
    ) -> anyhow::Result<Answer> {
        let body = serde_json::to_vec(value)?;
        self.call(Method::POST, address, path, &[], body).await
    }
}
