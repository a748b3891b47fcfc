//! Concurrent edits, lost responses and waits, with the command-line binary.

use badgerferry_testutils::fleet::Fleet;
use badgerferry_testutils::fleet::FleetPlan;
use badgerferry_testutils::fleet::stderr;
use badgerferry_testutils::fleet::stdout;
use serde_json::Value;
use serde_json::json;

const CONFLICT: Option<i32> = Some(3);
const NOT_IN_FORCE: Option<i32> = Some(5);
const NO_RESPONSE: Option<i32> = Some(6);

#[tokio::test]
async fn concurrent_edits_conflict_only_on_the_same_setting() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let set = |key, value| fleet.cli(&["settings", "set", "crashes", key, value, "--base", "1"]);

    let first = set("request.time_limit_ms", "30000")?;
    let same = set("request.time_limit_ms", "40000")?;
    let other = set("request.max_attempts", "2")?;

    assert_eq!(stdout(&first), "revision 2\n", "{}", stderr(&first));
    assert_eq!(same.status.code(), CONFLICT);
    assert!(stderr(&same).contains("revision 2 by"), "{}", stderr(&same));
    assert_eq!(stdout(&other), "revision 3\n", "{}", stderr(&other));
    let value = fleet.cli(&["settings", "get", "crashes/live", "request.time_limit_ms"])?;
    assert_eq!(stdout(&value), "30000\n");
    Ok(())
}

/// The platform applies a write but its response is lost; submitting the edit again must not
/// commit it twice.
#[tokio::test]
async fn edit_is_applied_once_if_its_response_is_lost() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet
        .set_faults(fleet.platform.address, &json!({"lose_write_answers": 3}))
        .await?;

    let edit = fleet.cli(&["settings", "set", "crashes", "request.max_attempts", "2"])?;

    assert_eq!(stdout(&edit), "revision 2\n", "{}", stderr(&edit));
    let log = stdout(&fleet.cli(&["settings", "log"])?);
    assert_eq!(log.matches("request.max_attempts").count(), 1, "{log}");
    Ok(())
}

#[tokio::test]
async fn concurrent_edits_with_lost_responses_are_each_applied_once() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet
        .set_faults(fleet.platform.address, &json!({"lose_write_answers": 6}))
        .await?;

    let results: Vec<_> = std::thread::scope(|scope| {
        let edits = (0..8).map(|number| {
            let fleet = &fleet;
            scope.spawn(move || {
                let node = format!("ws-{number}");
                fleet.cli(&["settings", "add", &node, "--kind", "workspace"])
            })
        });
        let handles: Vec<_> = edits.collect();
        handles
            .into_iter()
            .map(std::thread::ScopedJoinHandle::join)
            .collect()
    });

    let show = stdout(&fleet.cli(&["settings", "show"])?);
    for (number, result) in results.into_iter().enumerate() {
        let output = result.expect("the thread did not panic")?;
        assert!(output.status.success(), "{}", stderr(&output));
        assert!(
            show.contains(&format!("ws-{number} ")),
            "edit accepted but missing in:\n{show}"
        );
    }
    assert!(show.starts_with("revision 9\n"), "{show}");
    Ok(())
}

#[tokio::test]
async fn unavailable_platform_is_reported() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet
        .set_faults(fleet.platform.address, &json!({"down": true}))
        .await?;

    let edit = fleet.cli(&[
        "--patience",
        "1",
        "settings",
        "set",
        "crashes",
        "workspace.weight",
        "2",
    ])?;

    assert_eq!(edit.status.code(), NO_RESPONSE, "{}", stderr(&edit));
    assert!(
        stderr(&edit).contains("hint: check --platform"),
        "{}",
        stderr(&edit)
    );
    Ok(())
}

/// A suspended box responds to nothing; the wait must name it instead of only timing out.
#[tokio::test]
async fn wait_reports_the_box_that_lags() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    fleet.boxes[1].signal("STOP")?;

    let edit = fleet.cli(&["settings", "set", "crashes", "workspace.weight", "2"])?;
    let wait = fleet.cli(&["--patience", "1", "settings", "wait", "2"])?;
    fleet.boxes[1].signal("CONT")?;
    let again = fleet.cli(&["settings", "wait", "2"])?;

    assert!(edit.status.success());
    assert_eq!(wait.status.code(), NOT_IN_FORCE, "{}", stderr(&wait));
    assert!(
        stderr(&wait).contains("box-1: no answer"),
        "{}",
        stderr(&wait)
    );
    assert!(again.status.success(), "{}", stderr(&again));
    Ok(())
}

#[tokio::test]
async fn backup_is_restored_and_a_modified_one_rejected() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let file = std::env::temp_dir().join(format!("badgerferry-backup-{}.json", std::process::id()));
    let path = file.display().to_string();
    assert!(fleet.cli(&["settings", "export", &path])?.status.success());
    assert!(
        fleet
            .cli(&["settings", "set", "crashes", "workspace.weight", "2"])?
            .status
            .success()
    );

    let restored = fleet.cli(&["settings", "import", &path])?;
    let weight = stdout(&fleet.cli(&["settings", "get", "crashes", "workspace.weight"])?);
    let text = std::fs::read_to_string(&file)?.replace("texas", "nevada");
    std::fs::write(&file, text)?;
    let modified = fleet.cli(&["settings", "import", &path])?;

    std::fs::remove_file(&file)?;
    assert!(restored.status.success(), "{}", stderr(&restored));
    assert_eq!(weight, "10\n");
    assert_eq!(modified.status.code(), Some(1));
    assert!(
        stderr(&modified).contains("the digest does not match"),
        "{}",
        stderr(&modified)
    );
    Ok(())
}

#[tokio::test]
async fn invalid_edits_are_rejected_with_their_path() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let cases: [(&[&str], &str); 5] = [
        (
            &["set", "crashes", "request.colour", "1"],
            "crashes: request.colour: no such setting",
        ),
        (
            &["set", "crashes", "request.max_attempts", "99"],
            "request.max_attempts takes a whole number from 1 to 10 (attempts), not 99",
        ),
        (
            &["set", "crashes", "request.priority", "soon"],
            "one of normal, urgent, batch",
        ),
        (
            &["move", "texas", "texas"],
            "texas: it would inherit from itself",
        ),
        (&["remove", "texas"], "texas: other nodes inherit from it"),
    ];

    for (command, expected) in cases {
        let args: Vec<&str> = std::iter::once("settings")
            .chain(command.iter().copied())
            .collect();
        let output = fleet.cli(&args)?;
        assert_eq!(output.status.code(), Some(1), "{command:?}");
        assert!(
            stderr(&output).contains(expected),
            "{command:?}: {}",
            stderr(&output)
        );
    }
    assert!(stdout(&fleet.cli(&["settings", "show"])?).starts_with("revision 1\n"));
    Ok(())
}

#[tokio::test]
async fn edits_and_waits_print_json() -> anyhow::Result<()> {
    let fleet = Fleet::start(&FleetPlan::default()).await?;
    let json = |output: &std::process::Output| serde_json::from_str::<Value>(&stdout(output));

    let edit = fleet.cli(&[
        "settings",
        "set",
        "crashes",
        "workspace.weight",
        "2",
        "--json",
    ])?;
    let wait = fleet.cli(&["settings", "wait", "2", "--json"])?;

    assert_eq!(json(&edit)?, json!({"revision": 2}));
    assert_eq!(json(&wait)?, json!({"revision": 2, "boxes": 2}));
    Ok(())
}
