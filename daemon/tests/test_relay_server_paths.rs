//! Boxes whose network paths to the servers are cut, while callers, the store and other boxes reach
//! them.

use std::time::Duration;
use std::time::Instant;

use badgerferry_standin::caller::Caller;
use badgerferry_standin::caller::RawResponse;
use badgerferry_standin::caller::call;
use badgerferry_standin::crashes::CrashRule;
use badgerferry_standin::departure_audit;
use badgerferry_standin::departure_audit::Departure;
use badgerferry_standin::disconnect::DisconnectDetection;
use badgerferry_standin::endless::EndlessPart;
use badgerferry_standin::proxy::Link;
use badgerferry_standin::relay_box::RelayBox;
use badgerferry_standin::relay_box::desired_state;
use badgerferry_standin::relay_box::wait_until;
use badgerferry_standin::server::Behaviour;
use badgerferry_standin::server::Server;
use badgerferry_standin::server_links::ServerLinks;
use badgerferry_standin::store::Store;
use futures::future::join_all;
use futures::future::try_join_all;

use crate::relay_fleet::CALL_INTERVAL;
use crate::relay_fleet::count_served;

/// Time in which newly started boxes discover each other.
const DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a cut must not show to callers any more.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// Time in which calls are counted then.
const COUNTED_TIME: Duration = Duration::from_millis(2_500);

/// Time in which a path is cut and restored several times.
const FLAPPING_TIME: Duration = Duration::from_millis(2_800);
/// Time that a server takes for one event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Time in which a call that can't be served must be refused.
const PROMPT: Duration = Duration::from_millis(200);

/// Time limit of the route of these calls.
const TIME_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a server may read a retry without working for longer than the caller waits.
const MAX_READ_DELAY: Duration = Duration::from_millis(500);
/// Time from a send until its server has read it.
const MAX_DELAY: Duration = Duration::from_millis(100);

/// Boxes, each with links of its own to all servers.
struct LinkedFleet {
    _store: Store,
    servers: Vec<Server>,
    boxes: Vec<RelayBox>,
    links: Vec<ServerLinks>,
}

impl LinkedFleet {
    /// Starts servers of these services and a box in each of `halls`, and waits until the boxes know
    /// each other.
    async fn start(halls: &[&str], services: &[&str]) -> anyhow::Result<Self> {
        let store = Store::start().await?;
        store.put_routes(&desired_state(3, &["key-1"]));
        let mut servers = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let name = format!("i-{index}");
            let server = Server::start(&name, service, EVENT_INTERVAL).await?;
            store.put(&server.key(), &server.entry("ready"));
            servers.push(server);
        }
        let (mut boxes, mut links) = (Vec::new(), Vec::new());
        for (index, hall) in halls.iter().enumerate() {
            let name = format!("box-{index}");
            let own_links = ServerLinks::start(&store, &name, &servers).await?;
            let relay_box = RelayBox::start_in_hall(&name, hall, own_links.store.address)?;
            relay_box.wait_ready().await?;
            boxes.push(relay_box);
            links.push(own_links);
        }
        tokio::time::sleep(DISCOVERY_TIME).await;
        Ok(Self {
            _store: store,
            servers,
            boxes,
            links,
        })
    }

    /// Calls one box for `duration`, one call at a time. A connection closed without a response
    /// counts as status 0.
    async fn call_box(
        &self,
        index: usize,
        method: &str,
        path: &str,
        duration: Duration,
    ) -> Vec<(RawResponse, Duration)> {
        let until = Instant::now() + duration;
        let mut responses = Vec::new();
        while Instant::now() < until {
            let id = format!("call-{index}-{:016x}", rand::random::<u64>());
            let request = call(method, path, &id, "", "a prompt");
            let started_at = Instant::now();
            let response = Caller::exchange(self.boxes[index].front(), &request)
                .await
                .unwrap_or_default();
            responses.push((response, started_at.elapsed()));
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        responses
    }

    /// Checks that a box that has been called since its cut serves nine of ten calls.
    async fn check_served(&self, index: usize, method: &str, path: &str) {
        self.call_box(index, method, path, DETECTION_TIME).await;

        let responses = self.call_box(index, method, path, COUNTED_TIME).await;

        let (served, sent) = (count_served(&responses), responses.len());
        assert!(
            sent >= 10 && served * 10 >= sent * 9,
            "{served} of {sent} calls served; {}",
            self.logs()
        );
    }

    /// Cuts the first box off from all servers and waits until it connects through a peer. Servers
    /// handle calls in this way from then on.
    async fn cut_off_first_box(&self, link: Link, behaviour: Behaviour) {
        self.links[0].set(link);
        self.check_served(0, "GET", "/again/a").await;
        for server in &self.servers {
            server.set_default_behaviour(behaviour);
        }
    }

    /// Servers and ids of the calls that they received with this id.
    fn received(&self, id: &str) -> usize {
        let calls = self.servers.iter().flat_map(Server::received_calls);
        calls.filter(|seen| seen.id() == id).count()
    }

    fn logs(&self) -> String {
        self.boxes.iter().map(RelayBox::log).collect()
    }
}

/// Calls at a time whose responses have no end, and the memory limit of a box, in kilobytes.
const ENDLESS_CALLS: usize = 60;
const MEMORY_KB: u64 = 160 << 10;

/// Three servers of the same service.
const BOARDS: [&str; 3] = ["boards"; 3];

#[tokio::test]
async fn box_whose_connections_to_all_servers_hang_serves_its_callers() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;

    fleet.links[0].set(Link::Dropped);

    fleet.check_served(0, "GET", "/again/a").await;
    Ok(())
}

#[tokio::test]
async fn box_that_all_servers_refuse_serves_its_callers() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;

    fleet.links[0].set(Link::Refused);

    fleet.check_served(0, "POST", "/stream/a").await;
    Ok(())
}

#[tokio::test]
async fn hall_whose_boxes_are_all_cut_off_serves_its_callers() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a", "hall-b"], &BOARDS).await?;

    fleet.links[0].set(Link::Dropped);
    fleet.links[1].set(Link::Dropped);

    fleet.check_served(1, "GET", "/again/a").await;
    Ok(())
}

/// Resets the links of the first `cut_off` boxes again and again while they serve streams, and checks
/// that this makes no request suspect.
async fn check_cuts_are_no_crashes(halls: &[&str], cut_off: usize) -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(halls, &BOARDS).await?;
    let callers = (0..8 * cut_off)
        .map(|caller| fleet.call_box(caller % cut_off, "POST", "/stream/a", FLAPPING_TIME));
    let flap = async {
        for link in [Link::Refused, Link::Open].into_iter().cycle().take(6) {
            tokio::time::sleep(FLAPPING_TIME / 7).await;
            fleet.links[..cut_off]
                .iter()
                .for_each(|links| links.set(link));
        }
    };

    futures::join!(join_all(callers), flap);

    assert!(
        !fleet.logs().contains("request is suspect"),
        "{}",
        fleet.logs()
    );
    Ok(())
}

/// A cut that resets connections looks like a crash of each server to the box that is cut off.
#[tokio::test]
async fn requests_of_a_box_that_is_cut_off_do_not_become_suspect() -> anyhow::Result<()> {
    check_cuts_are_no_crashes(&["hall-a", "hall-a"], 1).await
}

/// A peer that is cut off at the same time is refused by the server as well.
#[tokio::test]
async fn requests_of_boxes_that_are_cut_off_together_do_not_become_suspect() -> anyhow::Result<()> {
    check_cuts_are_no_crashes(&["hall-a", "hall-a", "hall-b"], 2).await
}

#[tokio::test]
async fn stream_under_way_is_resumed_through_a_peer() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    let mut caller = Caller::connect(fleet.boxes[0].front()).await?;
    let request = call("POST", "/stream/a", "call-1", "", "a prompt");

    caller.send(&request).await?;
    tokio::time::sleep(EVENT_INTERVAL * 5 / 2).await;
    fleet.links[0].set(Link::Dropped);

    let response = caller.read_response().await?;
    assert!(response.is_complete, "{response:?}; {}", fleet.logs());
    let received = fleet.servers.iter().flat_map(Server::received_calls);
    assert_eq!(received.count(), 2);
    Ok(())
}

#[tokio::test]
async fn calls_that_may_run_once_do_so_while_paths_come_and_go() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    let callers = (0..8).map(|_| fleet.call_box(0, "POST", "/once/a", FLAPPING_TIME));
    let flap = async {
        let links = [Link::Refused, Link::Open, Link::Dropped, Link::Open];
        for link in links.into_iter().cycle().take(8) {
            tokio::time::sleep(FLAPPING_TIME / 9).await;
            fleet.links[0].set(link);
        }
    };

    let (responses, ()) = futures::join!(join_all(callers), flap);

    let received: Vec<_> = fleet
        .servers
        .iter()
        .flat_map(Server::received_calls)
        .collect();
    let runs = |id: &str| received.iter().filter(|seen| seen.id() == id).count();
    for seen in &received {
        assert_eq!(runs(seen.id()), 1, "{}", seen.id());
    }
    for (response, _) in responses.iter().flatten() {
        let id = response
            .header("badgerferry-attempt-id")
            .unwrap_or_default();
        assert!(response.status != 503 || runs(id) == 0, "{response:?}");
    }
    Ok(())
}

#[tokio::test]
async fn calls_are_refused_at_once_while_no_box_reaches_the_servers() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    fleet
        .links
        .iter()
        .for_each(|links| links.set(Link::Dropped));
    let both = || [0, 1].map(|index| fleet.call_box(index, "GET", "/again/a", DETECTION_TIME));
    join_all(both()).await;

    let refused = fleet.call_box(0, "GET", "/again/a", COUNTED_TIME).await;
    fleet.links.iter().for_each(|links| links.set(Link::Open));
    join_all(both()).await;
    let served = fleet.call_box(0, "GET", "/again/a", COUNTED_TIME).await;

    let is_prompt = |(response, took): &&(RawResponse, Duration)| {
        let retry_after = response.header("retry-after").unwrap_or_default();
        let retry_after: f64 = retry_after.parse().unwrap_or_default();
        response.status == 503 && retry_after >= 0.25 && *took < PROMPT
    };
    let prompt = refused.iter().filter(is_prompt).count();
    assert!(
        prompt * 10 >= refused.len() * 9,
        "{prompt} of {}",
        refused.len()
    );
    assert_eq!(count_served(&served), served.len(), "{}", fleet.logs());
    Ok(())
}

#[tokio::test]
async fn cut_to_one_service_leaves_another_alone() -> anyhow::Result<()> {
    let services = ["boards", "boards", "boards", "fragile", "fragile"];
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &services).await?;

    fleet.links[0].set_for_service("boards", Link::Dropped);

    fleet.check_served(0, "POST", "/stream/a").await;
    fleet.check_served(0, "POST", "/stream/fragile/a").await;
    let log = fleet.boxes[0].log();
    let cuts = log
        .lines()
        .filter(|line| line.contains("path to servers changed"));
    assert!(
        cuts.clone().count() > 0 && cuts.clone().all(|line| line.contains("boards")),
        "{log}"
    );
    Ok(())
}

#[tokio::test]
async fn box_serves_directly_again_once_its_path_is_back() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    fleet.links[0].set(Link::NewRefused);
    fleet.check_served(0, "GET", "/again/a").await;

    fleet.links[0].set(Link::Open);

    fleet.boxes[0]
        .wait_for_log_line(&["path to servers restored"])
        .await?;
    fleet.check_served(0, "GET", "/again/a").await;
    Ok(())
}

#[tokio::test]
async fn servers_that_are_silent_for_a_second_are_no_cut() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    fleet
        .call_box(0, "POST", "/stream/a", Duration::from_millis(500))
        .await;

    fleet.links[0].set(Link::Silent);
    fleet
        .call_box(0, "POST", "/stream/a", Duration::from_secs(1))
        .await;
    fleet.links[0].set(Link::Open);

    fleet.check_served(0, "POST", "/stream/a").await;
    assert!(
        !fleet.logs().contains("path to servers changed"),
        "{}",
        fleet.logs()
    );
    Ok(())
}

/// Guards against a carried response that looks whole because its server, which the box itself can't
/// reach, exited.
#[tokio::test]
async fn carried_unframed_response_cut_by_the_exit_of_its_server_is_not_whole() -> anyhow::Result<()>
{
    for link in [Link::Dropped, Link::Refused] {
        for (path, status) in [("/stream/a", 200), ("/once/a", 502)] {
            let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
            fleet
                .cut_off_first_box(link, Behaviour::HoldUnframed(2))
                .await;
            let mut caller = Caller::connect(fleet.boxes[0].front()).await?;
            caller
                .send(&call("POST", path, "call-1", "", "a prompt"))
                .await?;
            wait_until(|| fleet.received("call-1") == 1).await?;
            for server in &fleet.servers {
                server.set_default_behaviour(Behaviour::Serve);
                server.set_crash_rule(CrashRule {
                    downtime: Duration::from_secs(30),
                    ..CrashRule::default()
                });
            }
            tokio::time::sleep(EVENT_INTERVAL * 5).await;

            let mut servers = fleet.servers.iter();
            let server = servers.find(|server| {
                let calls = server.received_calls();
                calls.iter().any(|seen| seen.id() == "call-1")
            });
            server.expect("a server received the call").crash();
            let response = caller.read_response().await?;

            let context = format!("{link:?}, {path}: {response:?}; {}", fleet.logs());
            assert_eq!(response.status, status, "{context}");
            if status == 200 {
                assert!(response.is_complete, "{context}");
                let events = response.body.matches("id: ").count();
                assert_eq!(events, 5, "{context}");
            } else {
                assert_eq!(fleet.received("call-1"), 1, "{context}");
            }
        }
    }
    Ok(())
}

#[tokio::test]
async fn carried_unframed_response_of_a_running_server_is_whole() -> anyhow::Result<()> {
    for link in [Link::Dropped, Link::Refused] {
        let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
        fleet.cut_off_first_box(link, Behaviour::Unframed).await;

        for (index, path) in ["/once/a", "/again/a", "/stream/a"].into_iter().enumerate() {
            let id = format!("call-{index}");
            let request = call("POST", path, &id, "", "a prompt");
            let response = Caller::exchange(fleet.boxes[0].front(), &request).await?;

            let is_served = (response.status, response.is_complete) == (200, true);
            assert!(is_served, "{link:?}: {response:?}; {}", fleet.logs());
            assert_eq!(fleet.received(&id), 1, "{link:?}; {}", fleet.logs());
        }
    }
    Ok(())
}

#[tokio::test]
async fn carried_calls_end_at_servers_that_notice_failed_writes() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    fleet
        .cut_off_first_box(Link::Dropped, Behaviour::Serve)
        .await;
    for server in &fleet.servers {
        server.detect_disconnects(DisconnectDetection::FailedWrite);
        server.delay_heads(Duration::from_secs(2), Some(Duration::from_millis(150)));
    }

    let calls = (0..20).map(|index| {
        let id = format!("left-{index}");
        let front = fleet.boxes[0].front();
        async move {
            let mut caller = Caller::connect(front).await?;
            caller
                .send(&call("POST", "/again/a", &id, "", "prompt"))
                .await?;
            tokio::time::sleep(Duration::from_millis(300)).await;
            drop(caller);
            let at = Instant::now();
            anyhow::Ok(Departure { id, at })
        }
    });
    let departures = try_join_all(calls).await?;
    tokio::time::sleep(Duration::from_millis(700)).await;

    let found = departure_audit::audit(&departures, &fleet.servers, Duration::ZERO);
    assert!(found.runs >= 10, "too few runs: {found}");
    assert!(!found.violates(), "{found}; {}", fleet.logs());
    Ok(())
}

#[tokio::test]
async fn carried_responses_without_end_do_not_exhaust_memory() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a"], &BOARDS).await?;
    let endless = Behaviour::Endless(EndlessPart::Body);
    fleet.cut_off_first_box(Link::Dropped, endless).await;

    let calls = (0..ENDLESS_CALLS).map(|_| fleet.call_box(0, "GET", "/again/a", COUNTED_TIME));
    let responses = join_all(calls).await.concat();

    for relay_box in &fleet.boxes {
        let peak = relay_box.peak_memory_kb()?;
        assert!(peak < MEMORY_KB, "{peak} kB");
    }
    let unanswered = responses
        .iter()
        .filter(|(response, _)| response.status == 0);
    assert_eq!(unanswered.count(), 0, "{}", fleet.logs());
    for server in &fleet.servers {
        server.set_default_behaviour(Behaviour::Serve);
    }
    fleet.check_served(0, "GET", "/again/a").await;
    Ok(())
}

/// Time in which a box that is told to stop has exited, in these fleets.
const STOP_TIME: Duration = Duration::from_secs(8);
/// Time that servers take before each response.
const LONG_WORK: Duration = Duration::from_millis(2_500);

#[tokio::test]
async fn calls_through_a_box_that_stops_are_answered() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-a", "hall-a"], &BOARDS).await?;
    fleet
        .cut_off_first_box(Link::Dropped, Behaviour::Serve)
        .await;
    for server in &fleet.servers {
        server.delay_heads(LONG_WORK, None);
    }
    let paths = ["/again/a", "/once/a", "/stream/a"].into_iter().cycle();
    let callers = paths
        .take(12)
        .map(|path| fleet.call_box(0, "POST", path, STOP_TIME));
    let stop = async {
        tokio::time::sleep(LONG_WORK / 2).await;
        fleet.boxes[1].signal("TERM")
    };

    let (responses, stopped) = futures::join!(join_all(callers), stop);

    stopped?;
    let log = fleet.boxes[1].log();
    assert!(
        log.contains("connection requested by a peer"),
        "nothing was carried; {log}"
    );
    let responses = responses.concat();
    let unanswered = responses
        .iter()
        .filter(|(response, _)| response.status == 0);
    assert_eq!(unanswered.count(), 0, "{}", fleet.logs());
    Ok(())
}

/// Guards against a deadline that was computed before a connection that took long to be made.
#[tokio::test]
async fn call_whose_connection_took_long_states_the_time_that_is_left() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a", "hall-b"], &["boards"; 3]).await?;
    fleet.links[0].set(Link::Dropped);
    let request = call("GET", "/again/a", "call-1", "", "");
    let sent_at = Instant::now();

    let response = Caller::exchange(fleet.boxes[0].front(), &request).await?;

    let received = fleet.servers.iter().flat_map(Server::received_calls);
    let received: Vec<_> = received.filter(|call| call.id() == "call-1").collect();
    assert_eq!(
        (response.status, received.len()),
        (200, 1),
        "{}",
        fleet.logs()
    );
    let received_at = received[0].received_at.expect("it was received");
    let told = received[0].headers["badgerferry-deadline-ms"].parse()?;
    let waited = received_at - sent_at;
    let stated = waited + Duration::from_millis(told);
    assert!(
        waited > Duration::from_millis(150),
        "it did not wait: {waited:?}"
    );
    assert!(
        stated <= TIME_LIMIT + MAX_DELAY,
        "{stated:?} after {waited:?}"
    );
    Ok(())
}

/// Guards against a retry that outlasts its caller because its server reads it late.
#[tokio::test]
async fn retry_that_is_read_late_does_not_outlast_its_caller() -> anyhow::Result<()> {
    let fleet = LinkedFleet::start(&["hall-a"], &["boards"; 2]).await?;
    for server in &fleet.servers {
        server.queue_behaviours(&[Behaviour::CloseUnanswered]);
    }
    let request = call("GET", "/again/a", "call-1", "", "");
    let sent_at = Instant::now();

    Caller::exchange(fleet.boxes[0].front(), &request).await?;

    let received = fleet.servers.iter().flat_map(Server::received_calls);
    let stated = received.filter_map(|call| {
        let told = call.headers["badgerferry-deadline-ms"].parse().ok()?;
        Some(call.received_at? - sent_at + Duration::from_millis(told))
    });
    let mut stated: Vec<Duration> = stated.collect();
    stated.sort();
    assert_eq!(stated.len(), 2, "{}", fleet.logs());
    assert!(
        stated[0] + MAX_READ_DELAY <= TIME_LIMIT + MAX_DELAY,
        "{stated:?}"
    );
    assert!(stated[1] + MAX_DELAY >= TIME_LIMIT, "{stated:?}");
    Ok(())
}
