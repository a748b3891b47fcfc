//! Servers that say in their answers that they leave, while the store tells nothing of it.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::Crashes;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use badgerferry_standin::store::Mode;

use crate::relay_fleet::Fleet;
use crate::relay_fleet::SHORT_PROMPT;
use crate::relay_fleet::count_served;

/// Calls before a server begins to leave.
const WARM_UP: Duration = Duration::from_millis(500);
/// By then all boxes know it from the one that was told first.
const SPREAD: Duration = Duration::from_millis(250);
/// Longer than a box goes by what others guess.
const WATCHED: Duration = Duration::from_secs(5);

/// Calls that came later than the boxes have to know by; the first one after `since` carries the news.
fn late_calls(server: &Server, since: Instant) -> usize {
    let times = server.seen().into_iter().filter_map(|seen| seen.at);
    let times: Vec<Instant> = times.filter(|at| *at >= since).collect();
    let known = times.first().map(|first| *first + SPREAD);
    times.iter().filter(|at| Some(**at) > known).count()
}

async fn one_of_six_leaves(boxes: usize, service: &str, path: &str, extra: &str) {
    let fleet = Fleet::start(boxes, 6, service).await.expect("a fleet");
    fleet.call_all(path, extra, WARM_UP).await;
    fleet.store.set_mode(Mode::Silent);
    let leaving = fleet.busiest();
    leaving.say_leaving(Some("1"));
    let since = Instant::now();

    let told = fleet.call_all(path, extra, WATCHED).await;

    let late = late_calls(leaving, since);
    assert_eq!(late, 0, "calls; logs:\n{}", fleet.logs());
    assert_eq!(count_served(&told), told.len(), "no call needs that server");
}

#[tokio::test]
async fn a_server_that_leaves_gets_no_more_calls_from_one_box() {
    one_of_six_leaves(1, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn a_server_that_leaves_gets_no_more_calls_from_four_boxes() {
    one_of_six_leaves(4, "boards", "/again/a", "").await;
}

#[tokio::test]
async fn an_engine_that_leaves_gets_no_more_calls_from_four_boxes() {
    one_of_six_leaves(4, "engines", "/long/stream", SHORT_PROMPT).await;
}

#[tokio::test]
async fn where_all_servers_leave_callers_hear_so_at_once() {
    let fleet = Fleet::start(2, 3, "boards").await.expect("a fleet");
    fleet.store.set_mode(Mode::Silent);
    for server in &fleet.servers {
        server.say_leaving(Some("1"));
    }
    fleet.call_all("/again/a", "", WARM_UP).await;

    let told = fleet.call_all("/again/a", "", WARM_UP).await;

    for (answer, took) in told {
        assert_eq!(answer.status, 503, "{answer:?}; {}", fleet.logs());
        assert!(answer.body.contains("servers_leaving"), "{answer:?}");
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(took < Duration::from_millis(500), "held for {took:?}");
    }
}

#[tokio::test]
async fn a_stream_that_a_leaving_server_runs_goes_on_to_its_end() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("a fleet");
    fleet.servers[0].say_leaving(Some("1"));
    let text = call("POST", "/stream/a", "stream", "", "a prompt");

    let answer = Caller::once(fleet.boxes[0].front(), &text).await;

    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.whole, "{answer:?}");
}

#[tokio::test]
async fn a_server_that_starts_again_under_its_name_gets_calls_again() {
    let fleet = Fleet::start(2, 1, "boards").await.expect("a fleet");
    let server = &fleet.servers[0];
    server.crash_by(Crashes::by("", Duration::from_millis(300), &fleet.store));
    server.say_leaving(Some("1"));
    fleet.call_all("/again/a", "", WARM_UP).await;

    server.crash();

    for one in &fleet.boxes {
        let mut at = 0;
        let mut status = 0;
        while status != 200 && at < 200 {
            at += 1;
            let text = call("POST", "/again/a", &format!("again-{at}"), "", "");
            let answer = Caller::once(one.front(), &text).await.unwrap_or_default();
            status = answer.status;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(status, 200, "{}", one.log());
    }
}

#[tokio::test]
async fn a_box_that_starts_while_the_store_is_away_learns_which_servers_leave() {
    let mut fleet = Fleet::start(1, 3, "boards").await.expect("a fleet");
    let leaving = fleet.servers[0].clone();
    leaving.say_leaving(Some("1"));
    while !leaving.seen().iter().any(|seen| seen.ran) {
        fleet.call_all("/again/a", "", WARM_UP).await;
    }
    fleet.store.set_mode(Mode::Silent);
    let seeds = [fleet.boxes[0].ip];
    let late = RelayBox::start("box-late", fleet.store.address, &seeds).expect("a box");
    late.wait_ready().await.expect("it has routes");
    fleet.boxes = vec![late];
    let since = Instant::now();

    let told = fleet.call_all("/again/a", "", WATCHED).await;

    let times = leaving.seen().into_iter().filter_map(|seen| seen.at);
    assert_eq!(
        times.filter(|at| *at >= since).count(),
        0,
        "{}",
        fleet.logs()
    );
    assert_eq!(count_served(&told), told.len());
}

#[tokio::test]
async fn what_is_no_flag_of_leaving_takes_no_server_away() {
    let fleet = Fleet::start(1, 1, "boards").await.expect("a fleet");
    for odd in ["0", "", "yes", "11"] {
        fleet.servers[0].say_leaving(Some(odd));

        let told = fleet.call_all("/again/a", "", WARM_UP).await;

        assert_eq!(count_served(&told), told.len(), "{odd:?}: {}", fleet.logs());
    }
    let line = "a server's header can't be read";
    wait_until(|| fleet.boxes[0].log().contains(line))
        .await
        .expect("a line");
}

/// What another server says at the same address is not this one's word.
#[tokio::test]
async fn an_answer_of_another_server_takes_no_server_away() {
    let fleet = Fleet::start(1, 2, "boards").await.expect("a fleet");
    for server in &fleet.servers {
        server.say_leaving(Some("1"));
        server.next(&[Behaviour::ForeignId]);
    }
    let text = call("POST", "/again/a", "first", "", "");
    // Its answers are unusable; what counts is that the servers are used later on.
    let _ = Caller::once(fleet.boxes[0].front(), &text).await;
    for server in &fleet.servers {
        server.say_leaving(None);
    }
    tokio::time::sleep(Duration::from_secs(2)).await;

    let told = fleet.call_all("/again/a", "", WARM_UP).await;

    assert_eq!(count_served(&told), told.len(), "{}", fleet.logs());
}
