//! Calls to plain services over TCP sockets on loopback.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use badgerferry_edges::http_client::BufferedResponse;
use badgerferry_edges::http_client::SendError;
use badgerferry_edges::service::HttpService;
use badgerferry_edges::service::Service;
use badgerferry_edges::service::ServiceCall;
use hyper::Method;
use hyper::body::Bytes;
use hyper::header::HeaderMap;

/// What a service does after it has closed the connection of its only response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AfterResponse {
    Exits,
    RunsOn,
}

/// Calls a service that sends `response` and closes the connection.
async fn call(response: &'static str, after: AfterResponse) -> Result<BufferedResponse, SendError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is available");
    let address = listener.local_addr().expect("the listener is bound");
    let service = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the client connects");
        let mut request = [0; 4_096];
        let _len = stream.read(&mut request).expect("the client sends");
        stream.write_all(response.as_bytes()).expect("it is sent");
        (after == AfterResponse::RunsOn).then_some(listener)
    });
    let call = ServiceCall {
        method: Method::POST,
        path: "/run".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
    };
    let address = address.to_string();
    let result = HttpService::new(1 << 20)
        .call(&address, Duration::from_secs(1), &call)
        .await;
    drop(service.join());
    result
}

/// Guards against a response that looks whole because its service exited.
#[tokio::test]
async fn response_without_framing_of_a_service_that_exits_may_be_cut() {
    for response in [
        "HTTP/1.1 200 OK\r\n\r\nfirst part",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nfirst part",
    ] {
        let result = call(response, AfterResponse::Exits).await;

        assert!(matches!(result, Err(SendError::Lost { .. })), "{result:?}");
    }
}

#[tokio::test]
async fn response_without_framing_of_a_running_service_is_whole() {
    let response = "HTTP/1.1 200 OK\r\n\r\nthe whole response";

    let received = call(response, AfterResponse::RunsOn).await;

    let body = received.map(|received| received.body);
    assert_eq!(body, Ok(Bytes::from_static(b"the whole response")));
}

#[tokio::test]
async fn response_with_framing_or_without_a_body_is_whole() {
    for response in [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 204 No Content\r\n\r\n",
    ] {
        let received = call(response, AfterResponse::Exits).await;

        let status = received.map(|received| received.status);
        assert!(status.is_ok_and(|status| status.is_success()));
    }
}
