//! Client of the platform: key-value service, leases and box list.

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

/// Maximum size of a response; the largest are values.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time by which the timeout of a watch request exceeds its wait time.
const WATCH_SLACK: Duration = Duration::from_secs(3);

/// Requests that badgerferry sends to the platform.
pub trait Platform {
    /// Reads a key, with its version.
    fn read(&self, key: &str) -> impl Future<Output = Result<Versioned, NoAnswer>> + Send;

    /// Waits until the version of a key is past `after`; returns `None` if `wait` elapses first.
    fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, NoAnswer>> + Send;

    /// Writes a key if its version is `expect`; zero means that the key must not exist.
    fn swap(
        &self,
        key: &str,
        expect: Version,
        value: Vec<u8>,
        ttl: Option<Duration>,
    ) -> impl Future<Output = Result<SwapResponse, NoAnswer>> + Send;

    /// Deletes a key if its version is `expect`.
    fn delete(
        &self,
        key: &str,
        expect: Version,
    ) -> impl Future<Output = Result<SwapResponse, NoAnswer>> + Send;

    /// Lists the keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, NoAnswer>> + Send;

    /// Acquires, renews or releases a lease.
    fn lease(
        &self,
        request: &LeaseRequest,
    ) -> impl Future<Output = Result<LeaseResponse, NoAnswer>> + Send;

    /// Fetches the list of boxes and backend servers.
    fn boxes(&self) -> impl Future<Output = Result<BoxList, NoAnswer>> + Send;
}

/// Client of the platform over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: ControlClient,
    address: String,
}

impl HttpPlatform {
    /// Creates a client for the platform at an address, whose calls time out after `call_timeout`.
    pub fn new(address: &str, call_timeout: Duration) -> Self {
        Self {
            client: ControlClient::new(call_timeout, MAX_RESPONSE_BYTES),
            address: address.to_owned(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<BufferedResponse, NoAnswer> {
        let response = self.client.call(method, &self.address, path, body).await;
        response.map_err(|_cause| NoAnswer)
    }
}

fn parse_versioned(response: &BufferedResponse) -> Result<Versioned, NoAnswer> {
    let version = response
        .headers
        .get(VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    match (response.status, version) {
        (StatusCode::OK, Some(version)) => Ok(Versioned {
            version,
            value: Some(response.body.to_vec()),
        }),
        (StatusCode::NOT_FOUND, Some(version)) => Ok(Versioned {
            version,
            value: None,
        }),
        _ => Err(NoAnswer),
    }
}

const fn parse_swap_response(response: &BufferedResponse) -> Result<SwapResponse, NoAnswer> {
    match response.status {
        StatusCode::OK => Ok(SwapResponse::Swapped),
        StatusCode::CONFLICT => Ok(SwapResponse::Conflict),
        _ => Err(NoAnswer),
    }
}

fn discard_error<T>(result: Result<T, CallError>) -> Result<T, NoAnswer> {
    result.map_err(|_cause| NoAnswer)
}

impl Platform for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Versioned, NoAnswer> {
        let path = format!("/v1/kv?key={key}");
        parse_versioned(&self.call(Method::GET, &path, Bytes::new()).await?)
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
        let call_timeout = wait + WATCH_SLACK;
        let call = self.client.call_with_timeout(
            call_timeout,
            Method::GET,
            &self.address,
            &path,
            Bytes::new(),
        );
        let response = discard_error(call.await)?;
        match response.status {
            StatusCode::NOT_MODIFIED => Ok(None),
            _ => parse_versioned(&response).map(Some),
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
        parse_swap_response(&self.call(Method::PUT, &path, value).await?)
    }

    async fn delete(&self, key: &str, expect: Version) -> Result<SwapResponse, NoAnswer> {
        let path = format!("/v1/kv?key={key}&expect={expect}");
        parse_swap_response(&self.call(Method::DELETE, &path, Bytes::new()).await?)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, NoAnswer> {
        let path = format!("/v1/list?prefix={prefix}");
        let response = self.call(Method::GET, &path, Bytes::new()).await?;
        discard_error(parse(&self.address, &response))
    }

    async fn lease(&self, request: &LeaseRequest) -> Result<LeaseResponse, NoAnswer> {
        let response = discard_error(self.client.post(&self.address, "/v1/lease", request).await)?;
        discard_error(parse(&self.address, &response))
    }

    async fn boxes(&self) -> Result<BoxList, NoAnswer> {
        discard_error(self.client.get(&self.address, "/v1/boxes").await)
    }
}
