//! Framing of responses.

use badgerferry_edges::http_client;
use hyper::header::HeaderMap;
use hyper::header::HeaderName;

fn header_map(rows: &[(&'static str, &str)]) -> HeaderMap {
    let rows = rows.iter().map(|(name, value)| {
        let value = value.parse().expect("the value is valid");
        (HeaderName::from_static(name), value)
    });
    rows.collect()
}

#[test]
fn response_without_length_or_chunks_is_not_framed() {
    let has_framing = |rows: &[(&'static str, &str)]| http_client::has_framing(&header_map(rows));

    assert!(has_framing(&[("content-length", "3")]));
    assert!(has_framing(&[("transfer-encoding", "chunked")]));
    assert!(has_framing(&[("transfer-encoding", "gzip, Chunked")]));
    assert!(!has_framing(&[("content-type", "text/event-stream")]));
    assert!(!has_framing(&[("transfer-encoding", "gzip")]));
    assert!(!has_framing(&[
        ("transfer-encoding", "identity"),
        ("content-length", "3")
    ]));
}
