//! All boxes are killed right after a series of large desired states.

use super::*;
use crate::client::KEY;
use crate::cluster::FIRST_VERSION;
use crate::cluster::desired_state;

const SERVICE: &str = "booking-app";
const SERVERS: u64 = 3;
/// Routes that are added to the first desired state.
const ADDED_ROUTES: usize = 1_040;
/// Desired states in quick succession, and the time between two of them: 2 s.
const CHANGES: u64 = 25;
const GAP: Duration = Duration::from_millis(80);
/// Key that the last desired state takes away.
const DROPPED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// How old the store's answers are to reads that may be seconds old.
const STALENESS: Duration = Duration::from_secs(3);
/// Time from the kill until the platform starts the processes again.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// Time after which a machine is in touch again.
const CONTACT: Duration = Duration::from_secs(4);
/// Bound on the time from the ack of a desired state until it is in force.
const CONFIG: Duration = Duration::from_secs(3);
/// For how long requests are judged, and the time between two at each box.
const JUDGED: Duration = Duration::from_secs(4);
const INTERVAL: Duration = Duration::from_millis(500);
/// For how long the record goes on, to show when the boxes are right again.
const WATCHED: Duration = Duration::from_secs(30);

fn route(prefix: String) -> Route {
    Route {
        prefix,
        kind: "idempotent",
        timeout_ms: 1_500,
        goal_ms: 300,
        max_attempts: 2,
        service: SERVICE,
        resumable: false,
        gap_goal_ms: 0,
    }
}

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Findings> {
    let mut routes = vec![route("/lookup/".to_owned())];
    let mut cluster = Cluster::start(record.clone(), &routes)?;
    cluster.store.set_staleness(STALENESS);
    for at in 0..SERVERS {
        let options = Options {
            name: format!("i-{at}"),
            parts: 1,
            gap_ms: 20,
            part_bytes: 800,
            ..Options::default()
        };
        cluster.start_server(SERVICE, options)?;
    }
    cluster.start_boxes(2)?;

    let mut version = FIRST_VERSION + 1;
    routes.extend((0..ADDED_ROUTES).map(|at| route(format!("/added-{at}/"))));
    let state = desired_state(version, &routes, &[KEY, DROPPED_KEY]);
    cluster.store.put("op/config", &state);
    record.add(format!(
        "version {version} is acked: {} routes, {} bytes",
        routes.len(),
        state.len()
    ));
    std::thread::sleep(Duration::from_secs(6));

    for change in 1..=CHANGES {
        version += 1;
        routes.push(route(format!("/new-{version}/")));
        let keys: &[&str] = match change {
            CHANGES => &[KEY],
            _ => &[KEY, DROPPED_KEY],
        };
        cluster
            .store
            .put("op/config", &desired_state(version, &routes, keys));
        record.add(format!("version {version} is acked"));
        if change < CHANGES {
            std::thread::sleep(GAP);
        }
    }
    let acked_at = record.elapsed();
    if has_trouble {
        cluster.kill_boxes();
        std::thread::sleep(DOWNTIME);
        cluster.start_boxes(2)?;
    }
    let started_at = record.elapsed();
    sleep_until(record, (started_at + CONTACT).max(acked_at + CONFIG));

    let new_path: &'static str = format!("/new-{version}/a").leak();
    let judged_until = record.elapsed() + JUDGED;
    let watched_until = started_at + WATCHED;
    let mut findings = Vec::new();
    let mut number = 0;
    loop {
        let asked_at = record.elapsed();
        let mut sent = Vec::new();
        for at_box in 0..cluster.boxes.len() {
            for (kind, path, key) in [("new", new_path, KEY), ("key", "/lookup/a", DROPPED_KEY)] {
                number += 1;
                let call = Call {
                    method: "GET",
                    path,
                    id: format!("{kind}-{number}"),
                    deadline: Duration::from_secs(3),
                    key,
                    ..Call::default()
                };
                sent.push(send(&cluster, at_box, call));
            }
        }
        let mut are_right = true;
        for (call, answer) in join(sent) {
            let (is_right, is_old, what) = match call.key {
                DROPPED_KEY => (
                    answer.status == 401,
                    answer.status == 200 && answer.has_seal,
                    "ran with a key that was taken away",
                ),
                _ => (
                    answer.status == 200,
                    answer.status == 404 && !answer.has_seal,
                    "got 404 on a route that was added",
                ),
            };
            are_right &= is_right;
            if is_old && asked_at < judged_until {
                findings.push(format!(
                    "call {} {what} {:.1} s before, {:.1} s after the start of the boxes",
                    call.id,
                    (asked_at - acked_at).as_secs_f64(),
                    (asked_at - started_at).as_secs_f64()
                ));
            }
        }
        if are_right {
            record.add("all boxes handle requests by the last version");
        }
        if (are_right && asked_at >= judged_until) || asked_at >= watched_until {
            return Ok(findings);
        }
        std::thread::sleep(INTERVAL);
    }
}
