//! Calls whose connection ends before their server has read them.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::proxy::Link;
use badgerferry_standin::relay_box::TestCluster;
use badgerferry_standin::retry_audit;
use badgerferry_standin::retry_audit::LateRepeats;
use badgerferry_standin::retry_audit::SentCall;
use badgerferry_standin::server::Server;
use futures::future::join_all;

/// Calls of each test.
const CALLS: u32 = 30;
/// Interval between two calls, so short that all are sent before a server counts as silent.
const CALL_INTERVAL: Duration = Duration::from_millis(2);
/// Time that each caller leaves.
const CALL_DEADLINE: Duration = Duration::from_secs(5);
/// When forwarders reset their connections, and for how long.
const RESET_AT: Duration = Duration::from_millis(300);
const RESET_TIME: Duration = Duration::from_millis(100);
/// Time in which servers read what has arrived meanwhile.
const SETTLING_TIME: Duration = Duration::from_millis(700);

/// A call of a test, and its response.
struct Exchanged {
    sent: SentCall,
    took: Duration,
    response: RawResponse,
}

/// Twelve servers behind forwarders, half of which stand still.
struct HalfStill {
    cluster: TestCluster,
}

impl HalfStill {
    async fn start() -> anyhow::Result<Self> {
        let cluster = TestCluster::start_forwarded(12).await?;
        let half = Self { cluster };
        half.suspend(true);
        Ok(half)
    }

    fn still(&self) -> &[Server] {
        &self.cluster.servers[..6]
    }

    fn suspend(&self, is_suspended: bool) {
        for server in self.still() {
            server.suspend(is_suspended);
        }
    }

    fn slow_down(&self, factor: f64) {
        for server in self.still() {
            server.slow_down(factor);
        }
    }

    fn set_links(&self, link: Link) {
        for forwarder in &self.cluster.forwarders[..6] {
            forwarder.set(link);
        }
    }

    /// Resets all connections to the servers that stand still, which go on after this time.
    async fn reset_and_resume(&self, resume_at: Duration) {
        tokio::time::sleep(RESET_AT).await;
        self.set_links(Link::Reset);
        tokio::time::sleep(RESET_TIME).await;
        self.set_links(Link::Open);
        tokio::time::sleep(resume_at.saturating_sub(RESET_AT + RESET_TIME)).await;
        self.suspend(false);
    }

    /// Makes calls while connections are reset and servers go on.
    async fn play(&self, path: &str, resume_at: Duration) -> anyhow::Result<Vec<Exchanged>> {
        let calls = join_all((0..CALLS).map(|index| self.exchange(path, index)));
        let (calls, ()) = tokio::join!(calls, self.reset_and_resume(resume_at));
        tokio::time::sleep(SETTLING_TIME).await;
        calls.into_iter().collect()
    }

    async fn exchange(&self, path: &str, index: u32) -> anyhow::Result<Exchanged> {
        tokio::time::sleep(CALL_INTERVAL * index).await;
        let id = format!("call-{index}");
        let at = Instant::now();
        let text = call("POST", path, &id, "", "prompt");
        let response = Caller::exchange(self.cluster.relay.front(), &text).await?;
        Ok(Exchanged {
            sent: SentCall {
                id,
                at,
                deadline: CALL_DEADLINE,
            },
            took: at.elapsed(),
            response,
        })
    }

    /// Number of calls that a server which stood still has read.
    fn read_late(&self) -> usize {
        let still = self.still().iter();
        still.map(|server| server.received_calls().len()).sum()
    }

    fn late_repeats(&self, calls: &[Exchanged]) -> LateRepeats {
        let sent: Vec<_> = calls.iter().map(|call| call.sent.clone()).collect();
        retry_audit::late_repeats(&sent, &self.cluster.servers)
    }
}

async fn check_no_first_send_is_overtaken(path: &str) -> anyhow::Result<()> {
    let half = HalfStill::start().await?;

    let calls = half.play(path, Duration::from_millis(2_500)).await?;

    let late = half.late_repeats(&calls);
    let log = half.cluster.relay.log();
    assert!(half.read_late() >= 5, "too few calls were reset; {log}");
    assert_eq!(late.too_much, 0, "{late}; {log}");
    let unanswered = calls.iter().filter(|call| call.response.status == 0);
    assert_eq!(unanswered.count(), 0, "calls without an answer; {log}");
    Ok(())
}

#[tokio::test]
async fn reset_call_is_not_read_after_its_retry() -> anyhow::Result<()> {
    check_no_first_send_is_overtaken("/again/a").await
}

#[tokio::test]
async fn reset_stream_is_not_read_after_its_retry() -> anyhow::Result<()> {
    check_no_first_send_is_overtaken("/stream/a").await
}

#[tokio::test]
async fn reset_calls_are_served_once_their_server_goes_on() -> anyhow::Result<()> {
    let half = HalfStill::start().await?;

    let calls = half.play("/again/a", Duration::from_millis(900)).await?;

    let log = half.cluster.relay.log();
    assert!(half.read_late() >= 5, "too few calls were reset; {log}");
    for call in &calls {
        assert_eq!(call.response.status, 200, "{}; {log}", call.sent.id);
    }
    Ok(())
}

#[tokio::test]
async fn calls_reset_by_servers_that_run_are_retried_at_once() -> anyhow::Result<()> {
    let half = HalfStill::start().await?;
    half.suspend(false);
    half.slow_down(100.0);
    // The retries are to be fast.
    let speed_up = async {
        tokio::time::sleep(RESET_AT / 2).await;
        half.slow_down(1.0);
    };

    let (calls, ()) = tokio::join!(half.play("/again/a", RESET_AT + RESET_TIME), speed_up);
    let calls = calls?;

    let log = half.cluster.relay.log();
    for call in &calls {
        assert_eq!(call.response.status, 200, "{}; {log}", call.sent.id);
        let is_prompt = call.took < RESET_AT + RESET_TIME + Duration::from_millis(500);
        assert!(is_prompt, "{} took {:?}; {log}", call.sent.id, call.took);
    }
    Ok(())
}

/// The servers that were found for a retry fail other calls at the same time, and are excluded.
#[tokio::test]
async fn reset_calls_are_served_though_found_servers_are_excluded_meanwhile() -> anyhow::Result<()>
{
    let half = HalfStill::start().await?;
    half.suspend(false);
    half.slow_down(100.0);

    let calls = half.play("/again/a", RESET_AT + RESET_TIME).await?;

    let log = half.cluster.relay.log();
    for call in &calls {
        assert_eq!(call.response.status, 200, "{}; {log}", call.sent.id);
    }
    Ok(())
}
