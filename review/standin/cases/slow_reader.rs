//! A box is stopped as planned while requesters still read answers that it holds.

use super::*;

const SERVICE: &str = "booking-app";
const SERVERS: u64 = 3;
/// Size of an answer, and the rate at which its requester reads it: 5 s.
const ANSWER_BYTES: usize = 800_000;
const READ_RATE: u64 = 160_000;
const CALLS: usize = 6;
/// Time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Findings> {
    let route = |prefix: &str, kind| Route {
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: 15_000,
        goal_ms: 3_000,
        max_attempts: 1,
        service: SERVICE,
        resumable: false,
        gap_goal_ms: 0,
    };
    let routes = [
        route("/lookup/", "idempotent"),
        route("/submit/", "non_idempotent"),
    ];
    let mut cluster = Cluster::start(record.clone(), &routes)?;
    let options = Options {
        parts: 1,
        gap_ms: 20,
        part_bytes: ANSWER_BYTES,
        ..Options::default()
    };
    for at in 0..SERVERS {
        let name = format!("i-{at}");
        cluster.start_server(
            SERVICE,
            Options {
                name,
                ..options.clone()
            },
        )?;
    }
    cluster.start_boxes(1)?;
    std::thread::sleep(Duration::from_secs(4));

    let mut sent = Vec::new();
    for at in 0..CALLS {
        let (kind, method, path) = match at % 2 {
            0 => ("read", "GET", "/lookup/a"),
            _ => ("write", "POST", "/submit/a"),
        };
        let call = Call {
            method,
            path,
            id: format!("{kind}-{at}"),
            deadline: Duration::from_secs(15),
            read_rate: READ_RATE,
            ..Call::default()
        };
        sent.push(send(&cluster, 0, call));
    }
    std::thread::sleep(Duration::from_millis(700));
    if has_trouble {
        cluster.boxes[0].process.signal(Signal::Term);
        let name = cluster.boxes[0].name.clone();
        record.add(format!("{name} gets SIGTERM"));
        let killed_at = Instant::now() + GRACE;
        while !cluster.boxes[0].process.has_ended() && Instant::now() < killed_at {
            std::thread::sleep(Duration::from_millis(10));
        }
        if cluster.boxes[0].process.has_ended() {
            record.add(format!("{name} has ended by itself"));
        } else {
            cluster.boxes[0].process.signal(Signal::Kill);
            record.add(format!("{name} is killed at the end of the grace"));
        }
    }
    let answers = join(sent);

    let mut findings = Vec::new();
    for (call, answer) in answers {
        let whole = answer_parts(&options, &call.id, false).concat();
        let is_whole = answer.status == 200 && answer.is_complete && answer.body == whole;
        if !is_whole && !answer.is_late {
            findings.push(format!(
                "call {} lost its answer: status {}, {} of {} bytes, after {:.1} s of {} s",
                call.id,
                answer.status,
                answer.body.len(),
                whole.len(),
                answer.took.as_secs_f64(),
                call.deadline.as_secs()
            ));
        }
    }
    Ok(findings)
}
