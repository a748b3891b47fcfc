//! A server that reads slowly leaves, while further calls with large bodies wait for it.

use super::*;

const SERVICE: &str = "booking-app";
const SERVERS: u64 = 3;
/// Size of a request, and the rate at which a server reads it: 4.2 s.
const BODY_BYTES: usize = 1 << 20;
const BODY_RATE: u64 = 250_000;
/// Receive buffer of a server.
const RECEIVE_BUFFER: i32 = 16 << 10;
const CALLS: usize = 9;
/// Bound on the arrival of calls at a server after the store has taken its leaving.
const DRAIN: Duration = Duration::from_secs(3);
/// Time from the leaving to the end of the server: the bound and a little longer.
const SERVED_ON: Duration = Duration::from_millis(4_500);

pub fn run(record: &Record, has_trouble: bool) -> std::io::Result<Findings> {
    let routes = [Route {
        prefix: "/stream/".to_owned(),
        kind: "streaming",
        timeout_ms: 15_000,
        goal_ms: 4_000,
        max_attempts: 1,
        service: SERVICE,
        resumable: false,
        gap_goal_ms: 1_000,
    }];
    let mut cluster = Cluster::start(record.clone(), &routes)?;
    let options = Options {
        parts: 16,
        gap_ms: 50,
        part_bytes: 70,
        body_rate: BODY_RATE,
        receive_buffer: RECEIVE_BUFFER,
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
        let call = Call {
            method: "POST",
            path: "/stream/a",
            id: format!("stream-{at}"),
            deadline: Duration::from_secs(15),
            body: "x".repeat(BODY_BYTES),
            ..Call::default()
        };
        sent.push(send(&cluster, 0, call));
    }
    std::thread::sleep(Duration::from_millis(200));
    let mut left_at = None;
    if has_trouble {
        let leaving = (0..SERVERS as usize).find(|at| {
            let reached = record.lines_with("call").into_iter();
            reached
                .filter(|(_, line)| line.ends_with(&format!("reaches server i-{at}")))
                .count()
                == 1
        });
        let leaving = leaving.ok_or_else(|| std::io::Error::other("no server is busy"))?;
        cluster.write_entry(leaving, "draining");
        let at = record.elapsed();
        left_at = Some((leaving, at));
        sleep_until(record, at + SERVED_ON);
        cluster.end_server(leaving);
    }
    let answers = join(sent);

    let mut findings = Vec::new();
    if let Some((leaving, left_at)) = left_at {
        let suffix = format!("reaches server i-{leaving}");
        for (at, line) in record.lines_with("call") {
            if line.ends_with(&suffix) && at > left_at + DRAIN {
                let late = (at - left_at).as_secs_f64();
                findings.push(format!(
                    "{line} {late:.2} s after the store took its leaving"
                ));
            }
        }
    }
    let served = answers
        .iter()
        .filter(|(_, answer)| answer.status == 200 && answer.is_complete);
    record.add(format!("{} of {CALLS} calls are served", served.count()));
    Ok(findings)
}
