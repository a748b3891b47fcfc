//! The platform's key-value service and box list.

use std::time::Duration;

use badgerferry_lib::platform_wire::BoxList;
use badgerferry_lib::platform_wire::LeaseRequest;
use badgerferry_lib::platform_wire::LeaseResponse;
use badgerferry_lib::platform_wire::VERSION_HEADER;
use badgerferry_lib::settings_commit::NoAnswer;
use badgerferry_lib::settings_commit::SwapResponse;
use badgerferry_lib::settings_commit::Version;
use badgerferry_lib::settings_commit::Versioned;
use hyper::Method;
use hyper::StatusCode;
use hyper::body::Bytes;

use crate::http_client::BufferedResponse;
use crate::http_client::CallError;
use crate::http_client::ControlClient;
use crate::http_client::parse;

/// Added to a watch's own waiting time before it is given up.
const WATCH_SLACK: Duration = Duration::from_secs(3);

/// What badgerferry asks of the platform.
pub trait Platform {
    /// Reads a key.
    fn read(&self, key: &str) -> impl Future<Output = Result<Versioned, NoAnswer>> + Send;

    /// Waits until a key stands past `after`; none if it did not in time.
    fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, NoAnswer>> + Send;

    /// Writes a key if it stands at `expect`; zero means that it must not exist.
    fn swap(
        &self,
        key: &str,
        expect: Version,
        value: Vec<u8>,
        ttl: Option<Duration>,
    ) -> impl Future<Output = Result<SwapResponse, NoAnswer>> + Send;

    /// Deletes a key if it stands at `expect`.
    fn delete(
        &self,
        key: &str,
        expect: Version,
    ) -> impl Future<Output = Result<SwapResponse, NoAnswer>> + Send;

    /// Keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, NoAnswer>> + Send;

    /// Asks for a lease, renews it or gives it up.
    fn lease(
        &self,
        asked: &LeaseRequest,
    ) -> impl Future<Output = Result<LeaseResponse, NoAnswer>> + Send;

    /// The list of boxes and backend servers.
    fn boxes(&self) -> impl Future<Output = Result<BoxList, NoAnswer>> + Send;
}

/// The platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    link: ControlClient,
    address: String,
}

impl HttpPlatform {
    /// The platform at an address; each call takes at most `limit`.
    pub fn new(address: &str, limit: Duration) -> Self {
        Self {
            link: ControlClient::new(limit),
            address: address.to_owned(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, NoAnswer> {
        let answer = self.link.call(method, &self.address, path, body).await;
        answer.map_err(|_silence| NoAnswer)
    }
}

fn versioned(answer: &BufferedResponse) -> Result<Versioned, NoAnswer> {
    let version = answer
        .headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    match (answer.status, version) {
        (StatusCode::OK, Some(version)) => Ok(Versioned {
            version,
            value: Some(answer.body.to_vec()),
        }),
        (StatusCode::NOT_FOUND, Some(version)) => Ok(Versioned {
            version,
            value: None,
        }),
        _ => Err(NoAnswer),
    }
}

const fn swap_answer(answer: &BufferedResponse) -> Result<SwapResponse, NoAnswer> {
    match answer.status {
        StatusCode::OK => Ok(SwapResponse::Swapped),
        StatusCode::CONFLICT => Ok(SwapResponse::Conflict),
        _ => Err(NoAnswer),
    }
}

fn understood<T>(result: Result<T, CallError>) -> Result<T, NoAnswer> {
    result.map_err(|_silence| NoAnswer)
}

impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Versioned, NoAnswer> {
        let path = format!("/v1/kv?key={key}");
        versioned(&self.call(Method::GET, &path, Bytes::new()).await?)
    }

    async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Versioned>, NoAnswer> {
        let path = format!(
            "/v1/watch?key={key}&after={after}&wait_ms={}",
            wait.as_millis()
        );
        let limit = wait + WATCH_SLACK;
        let call =
            self.link
                .call_with_timeout(limit, Method::GET, &self.address, &path, Bytes::new());
        let answer = understood(call.await)?;
        match answer.status {
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => versioned(&answer).map(Some),
        }
    }

    async fn swap(
        &self,
        key: &str,
        expect: Version,
        value: Vec<u8>,
        ttl: Option<Duration>,
    ) -> Result<SwapResponse, NoAnswer> {
        let path = match ttl {
            Some(ttl) => format!(
                "/v1/kv?key={key}&expect={expect}&ttl_ms={}",
                ttl.as_millis()
            ),
            None => format!("/v1/kv?key={key}&expect={expect}"),
        };
        swap_answer(&self.call(Method::PUT, &path, value).await?)
    }

    async fn delete(&self, key: &str, expect: Version) -> Result<SwapResponse, NoAnswer> {
        let path = format!("/v1/kv?key={key}&expect={expect}");
        swap_answer(&self.call(Method::DELETE, &path, Bytes::new()).await?)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, NoAnswer> {
        let path = format!("/v1/list?prefix={prefix}");
        let answer = self.call(Method::GET, &path, Bytes::new()).await?;
        understood(parse(&self.address, &answer))
    }

    async fn lease(&self, asked: &LeaseRequest) -> Result<LeaseResponse, NoAnswer> {
        let answer = understood(self.link.post(&self.address, "/v1/lease", asked).await)?;
        understood(parse(&self.address, &answer))
    }

    async fn boxes(&self) -> Result<BoxList, NoAnswer> {
        understood(self.link.get(&self.address, "/v1/boxes").await)
    }
}
