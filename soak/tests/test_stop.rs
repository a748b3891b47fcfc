//! Guards against orphaned boxes: a soak test that gets SIGTERM must kill the boxes it started.

use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// Polls before a wait fails, [`POLL_INTERVAL`] apart.
const MAX_POLLS: u32 = 1_500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting until {condition}");
}

fn start_soak() -> Child {
    Command::new(env!("CARGO_BIN_EXE_badgerferry-soak"))
        .args(["--seeds", "1", "--first", "1", "--seconds", "60"])
        .arg("--no-regressions")
        .stdout(Stdio::null())
        .spawn()
        .expect("failed to start the soak test")
}

fn child_pids(parent: u32) -> Vec<u32> {
    let path = format!("/proc/{parent}/task/{parent}/children");
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.split_whitespace()
        .filter_map(|pid| pid.parse().ok())
        .collect()
}

#[test]
fn sigterm_kills_the_boxes_of_a_soak() {
    let mut soak = start_soak();
    let mut boxes = Vec::new();
    wait_until("a box is running", || {
        boxes = child_pids(soak.id());
        !boxes.is_empty()
    });

    let sent = Command::new("kill")
        .args(["-TERM", &soak.id().to_string()])
        .status();

    assert!(sent.is_ok_and(|status| status.success()));
    wait_until("the soak exits", || {
        soak.try_wait().is_ok_and(|status| status.is_some())
    });
    wait_until("all its boxes have exited", || {
        let gone = |pid: &u32| !Path::new(&format!("/proc/{pid}/exe")).exists();
        boxes.iter().all(gone)
    });
}
