//! Servers that stop within a response and close the connection: callers never take it for a whole one.

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::cut_part::CutPart;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::server::Behaviour;

/// Calls of each test.
const CALLS: usize = 12;

/// Where servers stop.
const PARTS: [CutPart; 17] = [
    CutPart::Head(1),
    CutPart::Head(12),
    CutPart::Head(40),
    CutPart::Head(-3),
    CutPart::Head(-2),
    CutPart::Head(-1),
    CutPart::UnframedHead(12),
    CutPart::UnframedHead(40),
    CutPart::UnframedHead(-3),
    CutPart::UnframedHead(-1),
    CutPart::Interim(9),
    CutPart::Interim(30),
    CutPart::AfterInterim,
    CutPart::Body,
    CutPart::ChunkSize,
    CutPart::LastChunk,
    CutPart::Trailers,
];

/// Sends calls one by one to servers that stop in `part` of each second response.
async fn call_cutting_servers(path: &str, part: CutPart) -> anyhow::Result<Vec<RawResponse>> {
    let cluster = TestCluster::start(3).await?;
    for server in &cluster.servers {
        let behaviours = [Behaviour::Cut(part), Behaviour::Serve];
        server.queue_behaviours(&behaviours.repeat(CALLS));
    }
    let mut responses = Vec::new();
    for index in 0..CALLS {
        let text = call("POST", path, &format!("call-{index}"), "", "prompt");
        responses.push(Caller::exchange(cluster.relay.front(), &text).await?);
    }
    Ok(responses)
}

/// Checks that responses that look whole are.
async fn assert_no_cut_response_looks_whole(path: &str, is_whole: impl Fn(&RawResponse) -> bool) {
    for part in PARTS {
        let responses = call_cutting_servers(path, part).await;

        let responses = responses.expect("the box responds");
        assert_eq!(responses.len(), CALLS);
        for response in responses {
            let looks_whole = response.status == 200 && response.is_complete;
            assert!(
                !looks_whole || is_whole(&response),
                "{part:?}: {response:?}"
            );
            assert_ne!(response.status, 0, "{part:?}: closed without a response");
        }
    }
}

#[tokio::test]
async fn response_cut_in_its_head_does_not_look_whole() {
    assert_no_cut_response_looks_whole("/again/a", |response| response.body.contains(" served "))
        .await;
}

#[tokio::test]
async fn response_cut_in_its_head_to_a_call_that_may_run_once_does_not_look_whole() {
    assert_no_cut_response_looks_whole("/once/a", |response| response.body.contains(" served "))
        .await;
}

#[tokio::test]
async fn stream_cut_in_its_head_does_not_look_whole() {
    let last = "id: 4\ndata: piece 4\n\n";
    assert_no_cut_response_looks_whole("/stream/a", |response| response.body.ends_with(last)).await;
}
