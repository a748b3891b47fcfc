//! Servers that send bytes without end, in a head or a body, until their client closes.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::endless::EndlessPart;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use futures::future::join_all;

/// Limit of the time that a call takes, of the four seconds that its route allows.
const MAX_TIME: Duration = Duration::from_millis(2_500);
/// Calls made until one of them has met the server with the endless response.
const MAX_CALLS: usize = 20;
/// Memory that the responses may take, in kilobytes. A response may be up to 4 MB long.
const MAX_GROWTH_KB: u64 = 16 << 10;

/// Makes calls at a box before two servers, the first of which sends one endless response, until it
/// has sent it. All calls have to be served in time, and the connection to be closed.
async fn check_calls_are_served(part: EndlessPart, path: &str) -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    let faulty = &world.servers[0];
    faulty.queue_behaviours(&[Behaviour::Endless(part)]);
    let memory_before = world.relay.peak_memory_kb()?;

    for number in 0..MAX_CALLS {
        let started = Instant::now();
        let request = call("POST", path, &format!("id-{number}"), "", "prompt");
        let response = Caller::exchange(world.relay.front(), &request).await?;
        let took = started.elapsed();

        let log = world.relay.log();
        assert_eq!(response.status, 200, "{response:?}; {log}");
        assert!(response.is_complete, "{response:?}; {log}");
        assert!(took < MAX_TIME, "took {took:?}; {log}");
        if !faulty.received_calls().is_empty() {
            break;
        }
    }

    assert!(
        !faulty.received_calls().is_empty(),
        "the server got no call"
    );
    wait_until(|| faulty.active_calls.load(Ordering::SeqCst) == 0).await?;
    let growth = world.relay.peak_memory_kb()?.saturating_sub(memory_before);
    assert!(growth < MAX_GROWTH_KB, "memory grew by {growth} kB");
    Ok(())
}

#[tokio::test]
async fn header_without_end_costs_the_caller_nothing() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Header, "/again/a").await
}

#[tokio::test]
async fn interim_responses_without_end_cost_the_caller_nothing() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Interim, "/again/a").await
}

#[tokio::test]
async fn body_without_end_of_a_declined_call_does_not_delay_its_retry() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::DeclinedBody, "/again/a").await
}

#[tokio::test]
async fn body_without_end_costs_the_caller_nothing() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Body, "/again/a").await
}

#[tokio::test]
async fn first_event_without_end_is_given_up_like_silence() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Event, "/stream/a").await
}

#[tokio::test]
async fn later_event_without_end_is_given_up_like_silence() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::LaterEvent(2), "/stream/a").await
}

#[tokio::test]
async fn comments_without_end_are_given_up_like_silence() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Comments, "/stream/a").await
}

#[tokio::test]
async fn bytes_without_end_after_a_response_reach_no_caller() -> anyhow::Result<()> {
    check_calls_are_served(EndlessPart::Excess, "/again/a").await
}

/// Streams at a time.
const STREAMS: usize = 40;
/// Memory limit of the box, in kilobytes.
const MEMORY_KB: u64 = 160 << 10;

#[tokio::test]
async fn sound_events_without_end_do_not_exhaust_memory() -> anyhow::Result<()> {
    let world = TestCluster::start(2).await?;
    for server in &world.servers {
        server.set_default_behaviour(Behaviour::Endless(EndlessPart::SoundEvents));
    }
    let streams = (0..STREAMS).map(|number| {
        let request = call("POST", "/stream/a", &format!("id-{number}"), "", "prompt");
        let front = world.relay.front();
        async move {
            let mut caller = Caller::connect(front).await?;
            caller.send(&request).await?;
            // The caller reads little of it, and then nothing.
            caller.read_some(1_024).await?;
            tokio::time::sleep(MAX_TIME).await;
            anyhow::Ok(())
        }
    });
    for stream in join_all(streams).await {
        stream?;
    }

    let peak = world.relay.peak_memory_kb()?;
    assert!(peak < MEMORY_KB, "{peak} kB");
    for server in &world.servers {
        server.set_default_behaviour(Behaviour::Serve);
    }
    let request = call("POST", "/stream/a", "id-other", "", "prompt");
    let response = Caller::exchange(world.relay.front(), &request).await?;
    assert_eq!(response.status, 200, "{}", world.relay.log());
    Ok(())
}
