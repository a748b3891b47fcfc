//! Quarantine of prompt parts that crash servers.

use std::ops::RangeInclusive;
use std::time::Duration;

use badgerferry_lib::ids::WorkspaceName;
use badgerferry_lib::relay::prompt_parts::PartId;
use badgerferry_lib::relay::prompt_parts::PromptParts;
use badgerferry_lib::relay::quarantine::Admission;
use badgerferry_lib::relay::quarantine::CrashedRun;
use badgerferry_lib::relay::quarantine::DEFAULT_CRASH_DELAY;
use badgerferry_lib::relay::quarantine::Quarantine;
use badgerferry_lib::relay::quarantine::RunScope;
use badgerferry_lib::relay::quarantine::StoredFact;
use badgerferry_lib::relay::request_fingerprint::RequestFingerprint;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::route_table::ServiceName;
use badgerferry_lib::relay::suspect_key::CallKeys;
use badgerferry_lib::relay::suspect_key::PartFingerprint;
use badgerferry_lib::relay::suspect_key::SuspectKey;
use badgerferry_lib::relay::suspect_key::SuspectKind;
use badgerferry_lib::relay::suspect_record::SuspectStatus;
use badgerferry_lib::time::Time;
use quickcheck::quickcheck;

const SHARED: u64 = 0x5afe;
const CRASHING: u64 = 0xdead;

const fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Keys of a call of a workspace, with a request of its own.
fn keys(request: u64, parts: &[u64], workspace: &str) -> CallKeys {
    let request = RequestFingerprint {
        workspace_digest: 7,
        digest: request,
    };
    let parts = PromptParts::collect(parts.iter().map(|id| Some(PartId(*id))));
    let workspace = WorkspaceName::new(workspace);
    CallKeys::of(
        Some(request),
        &parts,
        &ServiceName::new("s"),
        Some(&workspace),
    )
}

fn part_key(id: u64, workspace: &str) -> SuspectKey {
    let keys = keys(0, &[id], workspace);
    SuspectKey::Part(keys.parts()[0])
}

/// A run that crashed its server at `now`, 60 ms after its response began.
fn crashed_run(now: u64) -> CrashedRun {
    CrashedRun {
        started: at(now - 200),
        response_started: Some(at(now - 60)),
        ended: at(now),
    }
}

fn crash(quarantine: &mut Quarantine, now: u64, keys: &CallKeys) {
    quarantine.record_crash(at(now), keys, ServerIncarnation(now), crashed_run(now));
}

fn admit(quarantine: &mut Quarantine, now: u64, keys: &CallKeys) -> Admission {
    quarantine.quarantine_settled_parts(at(now), keys);
    let admission = quarantine.admit(at(now), keys, false, |_key| 0);
    if matches!(admission, Admission::Run { .. }) {
        quarantine.end_run(at(now), keys);
    }
    admission
}

fn is_quarantined(quarantine: &mut Quarantine, now: u64, keys: &CallKeys) -> bool {
    matches!(
        admit(quarantine, now, keys),
        Admission::Quarantined {
            key: SuspectKey::Part(_),
            ..
        }
    )
}

/// Records after three unlike requests with both parts have crashed a server each, the last one at
/// 3 s.
fn after_three_crashes() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for request in 1..=3 {
        let keys = keys(request, &[SHARED, CRASHING], "w");
        crash(&mut quarantine, 1_000 * request, &keys);
    }
    quarantine
}

#[test]
fn part_of_unlike_requests_is_quarantined_after_three_crashes() {
    let mut quarantine = after_three_crashes();

    let refused = admit(&mut quarantine, 4_000, &keys(9, &[1, CRASHING], "w"));

    let Admission::Quarantined { key, left, crashes } = refused else {
        panic!("not quarantined: {refused:?}");
    };
    assert_eq!((key, crashes), (part_key(CRASHING, "w"), 3));
    assert_eq!(left, Duration::from_secs(599));
}

/// Guards against sound calls that are refused because they share a part with crashing ones.
#[test]
fn part_beside_a_quarantined_one_is_not_suspect() {
    let mut quarantine = after_three_crashes();

    let sound = admit(&mut quarantine, 4_000, &keys(9, &[SHARED], "w"));

    assert_eq!(sound, Admission::Run { crashes: 0 });
    assert_eq!(
        quarantine.quarantined_count(at(4_000), SuspectKind::Part),
        1
    );
}

/// Guards against a quarantine of the parts of a request that crashes servers by itself.
#[test]
fn repeats_of_one_request_do_not_quarantine_its_parts() {
    let mut quarantine = Quarantine::default();
    let crashing = keys(1, &[SHARED], "w");
    for round in 1..=5 {
        crash(&mut quarantine, 1_000 * round, &crashing);
    }

    let repeated = admit(&mut quarantine, 6_000, &crashing);
    let sound = admit(&mut quarantine, 6_000, &keys(2, &[SHARED], "w"));

    let is_request = |admission: &Admission| matches!(admission, Admission::Quarantined { key, .. } if key.kind() == SuspectKind::Request);
    assert!(is_request(&repeated), "{repeated:?}");
    assert!(matches!(sound, Admission::Run { .. }), "{sound:?}");
}

#[test]
fn run_that_keeps_responding_clears_its_parts() {
    let mut quarantine = Quarantine::default();
    let call = keys(1, &[SHARED], "w");
    crash(&mut quarantine, 1_000, &call);
    crash(&mut quarantine, 2_000, &keys(2, &[SHARED], "w"));
    let status =
        |quarantine: &Quarantine, now: u64| quarantine.status(at(now), part_key(SHARED, "w"));

    let early = quarantine.record_progress(at(3_000), &call, Duration::from_millis(200));
    let cleared = quarantine.record_progress(at(3_100), &call, Duration::from_millis(250));

    assert_eq!(early, []);
    assert_eq!(
        cleared.first().map(|change| change.status),
        Some(SuspectStatus::Cleared)
    );
    crash(&mut quarantine, 3_050, &keys(3, &[SHARED], "w"));
    assert_eq!(status(&quarantine, 3_200), SuspectStatus::Cleared);
    crash(&mut quarantine, 4_000, &keys(4, &[SHARED], "w"));
    assert_eq!(status(&quarantine, 4_100), SuspectStatus::Suspect);
}

#[test]
fn run_that_responded_for_long_or_not_at_all_is_not_blamed() {
    let mut quarantine = Quarantine::default();
    let long = DEFAULT_CRASH_DELAY.as_millis() as u64 + 1;
    for (now, response_started) in [(2_000, Some(2_000 - long)), (4_000, None)] {
        let run = CrashedRun {
            started: at(now - 1_000),
            response_started: response_started.map(at),
            ended: at(now),
        };
        let call = keys(now, &[SHARED], "w");
        quarantine.record_crash(at(now), &call, ServerIncarnation(now), run);
    }

    let status = quarantine.status(at(5_000), part_key(SHARED, "w"));

    assert_eq!(status, SuspectStatus::Cleared);
}

/// Crashes servers with unlike requests that share a part, `response_ms` after each response began.
fn crash_in_series(
    quarantine: &mut Quarantine,
    requests: RangeInclusive<u64>,
    response_ms: Option<u64>,
) {
    for request in requests {
        let now = 2_000 * request;
        let run = CrashedRun {
            started: at(now - 1_500),
            response_started: response_ms.map(|ms| at(now - ms)),
            ended: at(now),
        };
        let call = keys(request, &[SHARED + request, CRASHING], "w");
        quarantine.record_crash(at(now), &call, ServerIncarnation(now), run);
    }
}

/// Guards against a part that crashes servers before their responses arrive, or long after they began.
#[test]
fn part_that_crashes_servers_at_any_time_is_quarantined_after_five_crashes() {
    for response_ms in [None, Some(900)] {
        let mut quarantine = Quarantine::default();
        crash_in_series(&mut quarantine, 1..=5, response_ms);

        let crashing = is_quarantined(&mut quarantine, 11_000, &keys(9, &[1, CRASHING], "w"));
        let sound = admit(&mut quarantine, 11_000, &keys(10, &[SHARED + 1], "w"));

        assert!(crashing, "{response_ms:?}");
        assert_eq!(sound, Admission::Run { crashes: 0 }, "{response_ms:?}");
    }
}

/// Guards against sound parts that run at servers which crash for other reasons.
#[test]
fn run_of_a_part_ends_evidence_that_is_not_certain() {
    let mut quarantine = Quarantine::default();
    crash_in_series(&mut quarantine, 1..=4, None);
    let call = keys(9, &[CRASHING], "w");

    let suspect = admit(&mut quarantine, 8_500, &call);
    quarantine.record_success(at(9_000), &call);
    let run = CrashedRun {
        started: at(9_100),
        response_started: None,
        ended: at(10_000),
    };
    quarantine.record_crash(at(10_000), &call, ServerIncarnation(99), run);

    assert_eq!(suspect, Admission::Run { crashes: 1 });
    let after = quarantine.status(at(10_100), part_key(CRASHING, "w"));
    assert_eq!(after, SuspectStatus::Cleared);
}

/// Guards against evidence that is lost when all boxes are killed.
#[test]
fn evidence_that_is_not_certain_reaches_started_boxes() {
    let mut quarantine = Quarantine::default();
    crash_in_series(&mut quarantine, 1..=2, None);
    let mut by_pull = Quarantine::default();
    by_pull.merge_rows(
        at(50),
        RunScope::Box,
        "a pull",
        &quarantine.initial_rows(at(4_010)),
    );
    crash_in_series(&mut by_pull, 3..=3, None);
    crash_in_series(&mut quarantine, 3..=3, None);
    let mut by_store = Quarantine::default();
    for (key, fact) in quarantine.unstored_facts(at(6_010), false) {
        by_store.apply_fact(at(50), key, fact);
    }
    let facts = quarantine.unstored_facts(at(6_010), false);
    for (key, fact) in facts {
        quarantine.apply_fact(at(6_020), key, fact);
    }

    let key = part_key(CRASHING, "w");
    assert_eq!(by_pull.status(at(6_100), key), SuspectStatus::Suspect);
    assert_eq!(by_store.status(at(100), key), SuspectStatus::Suspect);
    let call = keys(9, &[CRASHING], "w");
    assert_eq!(
        admit(&mut quarantine, 7_000, &call),
        Admission::Run { crashes: 1 }
    );
}

/// Guards against a run that clears its part before the time at which it crashes its server.
#[test]
fn run_that_responds_no_longer_than_before_a_crash_does_not_clear_its_part() {
    let mut quarantine = Quarantine::default();
    crash_in_series(&mut quarantine, 1..=3, Some(900));
    let call = keys(9, &[CRASHING], "w");

    let early = quarantine.record_progress(at(7_000), &call, Duration::from_millis(900));

    assert_eq!(early, []);
    let status = quarantine.status(at(7_000), part_key(CRASHING, "w"));
    assert_eq!(status, SuspectStatus::Suspect);
}

/// Guards against boxes that each see a few of the crashes of a part, and never add them up.
#[test]
fn crashes_that_are_not_certain_add_up_over_boxes() {
    let (mut here, mut there) = (Quarantine::default(), Quarantine::default());
    crash_in_series(&mut here, 1..=3, None);
    let rows = here.rows(at(6_010), RunScope::Box);
    there.merge_rows(at(6_011), RunScope::Box, "box-1", &rows);

    for request in 7..=8 {
        let now = 1_000 * request;
        let run = CrashedRun {
            started: at(now - 900),
            response_started: None,
            ended: at(now),
        };
        let call = keys(request, &[CRASHING], "w");
        there.record_crash(at(now), &call, ServerIncarnation(now), run);
    }

    assert!(is_quarantined(
        &mut there,
        9_000,
        &keys(9, &[CRASHING], "w")
    ));
}

#[test]
fn suspect_part_runs_once_at_a_time_over_boxes_and_workspaces() {
    let mut here = Quarantine::default();
    crash(&mut here, 1_000, &keys(1, &[CRASHING], "w"));
    let running = here.admit(at(2_000), &keys(2, &[CRASHING], "w"), false, |_key| 0);
    let mut there = Quarantine::default();
    there.merge_rows(
        at(2_001),
        RunScope::Box,
        "box-1",
        &here.rows(at(2_001), RunScope::Box),
    );

    let others = ["w", "other"].map(|workspace| {
        let call = keys(3, &[CRASHING], workspace);
        [
            admit(&mut here, 2_500, &call),
            admit(&mut there, 2_500, &call),
        ]
    });

    assert_eq!(running, Admission::Run { crashes: 1 });
    assert_eq!(others, [[Admission::Wait; 2]; 2]);
}

/// Guards against a caller that gets a part of another workspace quarantined by stating its id.
#[test]
fn crashes_of_one_other_workspace_do_not_quarantine_a_part() {
    let mut quarantine = Quarantine::default();
    for request in 1..=9 {
        let call = keys(request, &[SHARED], "liar");
        crash(&mut quarantine, 1_000 * request, &call);
    }
    let sound = keys(20, &[SHARED], "w");

    assert!(is_quarantined(
        &mut quarantine,
        10_000,
        &keys(21, &[SHARED], "liar")
    ));
    assert_eq!(
        admit(&mut quarantine, 10_000, &sound),
        Admission::Run { crashes: 1 }
    );
    quarantine.record_success(at(10_500), &sound);
    assert_eq!(
        admit(&mut quarantine, 10_600, &sound),
        Admission::Run { crashes: 0 }
    );
    assert!(is_quarantined(
        &mut quarantine,
        10_700,
        &keys(22, &[SHARED], "liar")
    ));
}

/// Guards against a part that all workspaces use and that one crash gets quarantined.
#[test]
fn one_crash_with_calls_of_many_workspaces_counts_once() {
    let workspaces = ["a", "b", "c", "d", "e", "f"];
    let mut quarantine = Quarantine::default();
    for (request, workspace) in workspaces.iter().enumerate() {
        let call = keys(request as u64, &[SHARED], workspace);
        quarantine.record_crash(at(1_000), &call, ServerIncarnation(1), crashed_run(1_000));
    }
    let status = |quarantine: &Quarantine, workspace: &&str| {
        quarantine.status(at(2_000), part_key(SHARED, workspace))
    };

    let users = workspaces.map(|workspace| status(&quarantine, &workspace));
    let other = status(&quarantine, &"z");

    assert_eq!(users, [SuspectStatus::Suspect; 6]);
    assert_eq!(other, SuspectStatus::Suspect);
}

/// Guards against crashes of workspaces with few calls that add up against all others.
#[test]
fn success_in_any_workspace_ends_evidence_against_others() {
    let mut quarantine = Quarantine::default();
    for (request, workspace) in ["a", "b", "c", "d"].iter().enumerate() {
        let call = keys(request as u64, &[SHARED], workspace);
        crash(&mut quarantine, 1_000 * (request as u64 + 1), &call);
    }
    let other = keys(9, &[SHARED], "z");
    let before = is_quarantined(&mut quarantine, 5_000, &other);

    quarantine.record_success(at(5_500), &keys(10, &[SHARED], "b"));

    assert!(before);
    assert_eq!(
        admit(&mut quarantine, 6_000, &other),
        Admission::Run { crashes: 0 }
    );
    assert_eq!(
        quarantine.status(at(6_000), part_key(SHARED, "a")),
        SuspectStatus::Suspect
    );
}

/// Guards against a workspace with few calls that waits for the runs of all others.
#[test]
fn suspect_part_does_not_wait_for_runs_of_workspaces_that_cleared_it() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1_000, &keys(1, &[SHARED], "rare"));
    let usual = keys(2, &[SHARED], "usual");
    quarantine.admit(at(1_500), &usual, false, |_key| 0);
    quarantine.record_success(at(2_000), &usual);
    quarantine.admit(at(2_100), &keys(3, &[SHARED], "usual"), false, |_key| 0);

    let rare = admit(&mut quarantine, 2_200, &keys(4, &[SHARED], "rare"));

    assert_eq!(rare, Admission::Run { crashes: 1 });
}

/// Guards against three crashes in each of many workspaces.
#[test]
fn part_that_crashed_servers_in_three_workspaces_is_quarantined_in_all() {
    let mut quarantine = Quarantine::default();
    let mut crashes = 0;
    for round in 0..10 {
        for workspace in ["a", "b", "c", "d", "e", "f"] {
            let now = 1_000 * (1 + crashes);
            let call = keys(100 * round + crashes, &[CRASHING], workspace);
            if !is_quarantined(&mut quarantine, now + 900, &call) {
                crash(&mut quarantine, now + 1_000, &call);
                crashes += 1;
            }
        }
    }

    assert!(crashes <= 5, "{crashes}");
}

/// Guards against a lost part of a crash report that waits behind those of calls beside it.
#[test]
fn all_parts_of_a_crash_are_reported_in_few_datagrams() {
    let mut here = Quarantine::default();
    for call in 0..15 {
        let parts = [SHARED + call, CRASHING + call];
        let keys = keys(call, &parts, "w");
        here.record_crash(at(1_000), &keys, ServerIncarnation(1), crashed_run(1_000));
    }
    let mut there = Quarantine::default();
    let mut datagrams = 0;
    while here.has_unreported(at(1_010), RunScope::Box) {
        let rows = here.rows(at(1_010), RunScope::Box);
        there.merge_rows(at(1_011), RunScope::Box, "box-1", &rows);
        datagrams += 1;
    }

    assert!(datagrams <= 45 / 6 + 1, "{datagrams}");
    let is_suspect = |id: u64| there.status(at(1_012), part_key(id, "w")) == SuspectStatus::Suspect;
    assert!((0..15).all(|call| is_suspect(SHARED + call) && is_suspect(CRASHING + call)));
}

/// Guards against datagrams without end: many runs of parts with a record that must not keep other
/// changes from being reported.
#[test]
fn runs_in_progress_do_not_keep_changes_from_being_reported() {
    let mut quarantine = Quarantine::default();
    for call in 0..20 {
        let keys = keys(call, &[SHARED + call], "w");
        quarantine.admit(at(900), &keys, false, |_key| 0);
        crash(&mut quarantine, 1_000 + call, &keys);
        quarantine.record_success(at(1_100), &keys);
    }
    crash(&mut quarantine, 1_200, &keys(90, &[CRASHING], "w"));

    let mut datagrams = 0;
    while quarantine.has_unreported(at(1_210), RunScope::Box) && datagrams < 100 {
        quarantine.rows(at(1_210), RunScope::Box);
        datagrams += 1;
    }

    assert!(datagrams <= 42 / 6 + 1, "{datagrams}");
}

/// Guards against a datagram at the end of each call with a part that was suspect some time ago.
#[test]
fn end_of_a_run_is_reported_only_while_its_part_is_suspect() {
    let mut quarantine = Quarantine::default();
    let call = keys(1, &[SHARED], "w");
    crash(&mut quarantine, 1_000, &call);
    let end_of_run = |quarantine: &mut Quarantine, now: u64| {
        quarantine.admit(at(now), &call, false, |_key| 0);
        quarantine.end_run(at(now + 1), &call)
    };

    let while_suspect = end_of_run(&mut quarantine, 2_000);
    quarantine.record_success(at(3_000), &call);
    quarantine.rows(at(3_001), RunScope::Box);
    let later = end_of_run(&mut quarantine, 20_000);

    assert_eq!((while_suspect, later), (true, false));
    assert!(!quarantine.has_unreported(at(20_002), RunScope::Box));
}

#[test]
fn started_box_learns_of_quarantined_parts_by_its_first_pull_or_from_the_store() {
    let quarantine = after_three_crashes();
    let mut by_pull = Quarantine::default();
    by_pull.merge_rows(
        at(50),
        RunScope::Box,
        "a pull",
        &quarantine.initial_rows(at(4_000)),
    );
    let mut by_store = Quarantine::default();
    for (key, fact) in quarantine.unstored_facts(at(4_000), false) {
        by_store.apply_fact(at(50), key, fact);
    }

    for started in [&mut by_pull, &mut by_store] {
        assert!(is_quarantined(
            started,
            100,
            &keys(9, &[CRASHING, SHARED], "w")
        ));
    }
}

#[test]
fn one_run_decides_after_a_part_is_released() {
    let mut quarantine = after_three_crashes();
    let call = keys(9, &[CRASHING], "w");

    quarantine.apply_fact(at(4_000), part_key(CRASHING, "w"), StoredFact::Released);
    let first = quarantine.admit(at(5_000), &call, false, |_key| 0);
    let second = quarantine.admit(at(5_001), &keys(10, &[CRASHING], "w"), false, |_key| 0);
    crash(&mut quarantine, 5_300, &call);
    quarantine.end_run(at(5_300), &call);

    assert!(matches!(first, Admission::Run { .. }), "{first:?}");
    assert_eq!(second, Admission::Wait);
    assert!(is_quarantined(&mut quarantine, 5_400, &call));
}

/// Guards against a workspace that makes others forget quarantined parts.
#[test]
fn workspace_with_thousands_of_parts_evicts_only_its_own() {
    let mut quarantine = after_three_crashes();
    for id in 0..2_000 {
        let now = 4_000 + id;
        crash(
            &mut quarantine,
            now,
            &keys(now, &[100_000 + id, id], "other"),
        );
    }

    assert!(is_quarantined(
        &mut quarantine,
        7_000,
        &keys(9, &[CRASHING], "w")
    ));
    assert!(quarantine.evicted() > 3_000);
}

quickcheck! {
    fn part_key_survives_text_and_binary(id: u64, service_digest: u32, workspace_digest: u32) -> bool {
        let key = SuspectKey::Part(PartFingerprint { id, service_digest, workspace_digest });
        let text: Option<SuspectKey> = key.to_string().parse().ok();
        let binary = postcard::to_stdvec(&key).expect("key is serializable");
        text == Some(key) && postcard::from_bytes::<SuspectKey>(&binary).ok() == Some(key)
    }
}
