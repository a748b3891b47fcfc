//! The cases. Each starts a small deployment, brings one disruption about, and checks one rule by
//! what requesters and servers saw.

use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::COULD_NOT_RUN;
use crate::client;
use crate::client::Answer;
use crate::client::Call;
use crate::cluster;
use crate::cluster::Cluster;
use crate::cluster::Record;
use crate::cluster::Route;
use crate::cluster::Signal;
use crate::server::Options;
use crate::server::answer_parts;

mod foreign_entry;
mod half_answer;
mod late_body;
mod slow_reader;
mod stale_start;

/// Time after which a case that hangs is given up.
const TIME_LIMIT: Duration = Duration::from_secs(100);
/// Exit code if the rule held.
const HELD: i32 = 0;
/// Exit code if the rule was broken.
const BROKEN: i32 = 1;

/// What a case found: lines that tell how the rule was broken, or none.
type Findings = Vec<String>;

/// Runs a case and returns the exit code.
pub fn run(name: &str, folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.add(format!(
        "case {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let case = match name {
        "foreign-entry" => foreign_entry::run,
        "half-answer" => half_answer::run,
        "slow-reader" => slow_reader::run,
        "late-body" => late_body::run,
        "stale-start" => stale_start::run,
        _ => return COULD_NOT_RUN,
    };
    let (done_tx, done_rx) = std::sync::mpsc::channel();
    let case_record = record.clone();
    std::thread::spawn(move || {
        // The deployment is part of the case's state, so its processes have ended by then.
        let _ = done_tx.send(case(&case_record, has_trouble));
    });
    let code = match done_rx.recv_timeout(TIME_LIMIT) {
        Ok(Ok(findings)) if findings.is_empty() => {
            record.add("the rule held");
            HELD
        }
        Ok(Ok(findings)) => {
            for finding in findings {
                record.add(format!("BROKEN: {finding}"));
            }
            BROKEN
        }
        Ok(Err(cause)) => {
            record.add(format!("the case could not run: {cause}"));
            COULD_NOT_RUN
        }
        Err(_no_end) => {
            record.add("the case could not run: it did not end");
            cluster::kill_all();
            COULD_NOT_RUN
        }
    };
    if let Err(cause) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {cause}");
        return COULD_NOT_RUN;
    }
    for prefix in ["BROKEN", "the rule", "the case"] {
        for (at, line) in record.lines_with(prefix) {
            println!("{:8.3} s  {line}", at.as_secs_f64());
        }
    }
    code
}

/// Sends a call in a thread of its own; the record gets its end.
fn send(cluster: &Cluster, at_box: usize, call: Call) -> JoinHandle<(Call, Answer)> {
    let (record, front) = (cluster.record.clone(), cluster.boxes[at_box].front);
    record.add(format!(
        "call {} is sent to {}: {} {}, {} bytes",
        call.id,
        cluster.boxes[at_box].name,
        call.method,
        call.path,
        call.body.len()
    ));
    std::thread::spawn(move || {
        let answer = client::send(front, &call);
        record.add(format!(
            "call {} ends: status {}, {} bytes, {}{}{}",
            call.id,
            answer.status,
            answer.body.len(),
            if answer.is_complete {
                "complete"
            } else {
                "not complete"
            },
            if answer.has_seal { ", sealed" } else { "" },
            if answer.is_late {
                ", past its deadline"
            } else {
                ""
            },
        ));
        (call, answer)
    })
}

fn join(sent: Vec<JoinHandle<(Call, Answer)>>) -> Vec<(Call, Answer)> {
    sent.into_iter()
        .map(|call| call.join().expect("a requester does not panic"))
        .collect()
}

/// Waits until a time of the case.
fn sleep_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.elapsed()));
}
