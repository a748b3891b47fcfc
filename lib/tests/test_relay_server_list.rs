//! Server list as read from the store and updated by other boxes.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::server_list::HOLD_AFTER_RECOVERY;
use badgerferry_lib::relay::server_list::ServerEntry;
use badgerferry_lib::relay::server_list::ServerList;
use badgerferry_lib::relay::server_list::ServerSnapshot;
use badgerferry_lib::relay::server_list::ServerUpdate;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::time::Time;

use crate::server_entry::server;

const fn at(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

const fn in_era(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn entries(revision: u64, names: &[&str]) -> ServerSnapshot {
    entries_at(at(revision), names)
}

fn entries_at(position: StorePosition, names: &[&str]) -> ServerSnapshot {
    ServerSnapshot {
        position,
        servers: names
            .iter()
            .map(|name| (ServerName::new(*name), server(name)))
            .collect(),
        ..ServerSnapshot::default()
    }
}

fn names(list: &ServerList) -> Vec<String> {
    let mut names: Vec<String> = list
        .servers()
        .iter()
        .map(|server| server.name.to_string())
        .collect();
    names.sort();
    names
}

#[test]
fn entry_removed_while_store_is_available_removes_server() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(1, &["a", "b"]));

    list.remove(Time::from_millis(5), at(2), &ServerName::new("a"));

    assert_eq!(names(&list), ["b"]);
}

#[test]
fn entries_that_expired_during_a_store_outage_are_held_after_its_recovery() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(1, &["a", "b"]));
    list.store_unavailable();
    let recovered_at = Time::from_millis(9_000);
    list.store_available(recovered_at);

    list.replace(recovered_at, entries(7, &["b"]));
    let held = names(&list);
    list.tick(recovered_at + HOLD_AFTER_RECOVERY);

    assert_eq!(held, ["a", "b"]);
    assert_eq!(names(&list), ["b"]);
}

#[test]
fn reappearing_entry_is_no_longer_held() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(1, &["a"]));
    list.store_unavailable();
    list.store_available(Time::from_millis(9_000));
    list.replace(Time::from_millis(9_000), entries(7, &[]));

    list.put(at(8), server("a"));
    list.tick(Time::from_millis(20_000));

    assert_eq!(names(&list), ["a"]);
}

#[test]
fn leaving_server_is_not_held() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(1, &["a"]));
    let leaving = ServerEntry {
        leaving: true,
        ..server("a")
    };
    list.put(at(2), leaving);
    list.store_unavailable();

    list.replace(Time::from_millis(5), entries(3, &[]));

    assert!(list.servers().is_empty());
}

#[test]
fn older_snapshot_is_ignored() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(5, &["a"]));

    list.replace(Time::from_millis(1), entries(4, &["a", "b"]));

    assert_eq!(names(&list), ["a"]);
}

#[test]
fn box_that_is_behind_gets_delta() {
    let mut sender = ServerList::default();
    sender.replace(Time::ZERO, entries(5, &["a", "b"]));
    let mut receiver = ServerList::default();
    receiver.replace(Time::ZERO, entries(5, &["a", "b"]));
    sender.put(at(6), server("c"));
    sender.remove(Time::ZERO, at(7), &ServerName::new("a"));

    let update = sender.update_since(at(5)).expect("receiver is behind");
    receiver.apply_update(Time::ZERO, update.clone());

    let ServerUpdate::Delta(changes) = update else {
        panic!("expected a delta, got a snapshot");
    };
    assert_eq!((changes.upserted.len(), changes.removed.len()), (1, 1));
    assert_eq!(receiver.entries(), sender.entries());
    assert_eq!(sender.update_since(at(7)), None);
}

#[test]
fn box_that_is_far_behind_gets_snapshot() {
    let mut sender = ServerList::default();
    sender.replace(Time::ZERO, entries(5, &["a", "b"]));
    for revision in 6..4_000 {
        sender.put(at(revision), server("c"));
    }

    let before_snapshot = sender.update_since(at(4));
    let before_kept_changes = sender.update_since(at(10));
    let recent = sender.update_since(at(3_990));

    assert!(matches!(before_snapshot, Some(ServerUpdate::Snapshot(_))));
    assert!(matches!(
        before_kept_changes,
        Some(ServerUpdate::Snapshot(_))
    ));
    assert!(matches!(recent, Some(ServerUpdate::Delta(_))));
}

#[test]
fn deltas_are_forwarded_through_intermediate_box() {
    let mut first = ServerList::default();
    first.replace(Time::ZERO, entries(5, &["a"]));
    let (mut second, mut third) = (ServerList::default(), ServerList::default());
    second.replace(Time::ZERO, entries(5, &["a"]));
    third.replace(Time::ZERO, entries(5, &["a"]));
    for revision in 6..9 {
        first.put(at(revision), server("b"));
        let update = first
            .update_since(at(revision - 1))
            .expect("receiver is behind");
        second.apply_update(Time::ZERO, update);
    }

    let update = second.update_since(at(5)).expect("receiver is behind");
    third.apply_update(Time::ZERO, update);

    assert_eq!(third.entries(), first.entries());
}

#[test]
fn older_delta_is_ignored() {
    let mut sender = ServerList::default();
    sender.replace(Time::ZERO, entries(5, &["a"]));
    sender.put(at(6), server("b"));
    let older = sender.update_since(at(5)).expect("receiver is behind");
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(9, &["c"]));

    list.apply_update(Time::ZERO, older);

    assert_eq!(names(&list), ["c"]);
}

#[test]
fn removal_from_peer_is_held_as_long_as_at_peer() {
    let mut sender = ServerList::default();
    sender.replace(Time::ZERO, entries(5, &["a", "b"]));
    let mut receiver = ServerList::default();
    receiver.replace(Time::ZERO, entries(5, &["a", "b"]));
    sender.remove(Time::ZERO, at(6), &ServerName::new("a"));

    receiver.extend_hold(Time::ZERO, Duration::from_secs(1));
    receiver.apply_update(
        Time::ZERO,
        sender.update_since(at(5)).expect("receiver is behind"),
    );
    let held = names(&receiver);
    receiver.tick(Time::from_millis(1_001));

    assert_eq!(held, ["a", "b"]);
    assert_eq!(names(&receiver), ["b"]);
}

#[test]
fn unreadable_entry_marks_only_its_own_server_as_leaving() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries(1, &["a", "b"]));

    list.put_unreadable(at(2), &ServerName::new("a"));
    list.put_unreadable(at(3), &ServerName::new("unknown"));

    let leaving: Vec<bool> = list.servers().iter().map(|server| server.leaving).collect();
    assert_eq!(names(&list), ["a", "b"]);
    assert_eq!(leaving, [true, false]);
    list.put(at(4), server("a"));
    assert!(list.servers().iter().all(|server| !server.leaving));
}

/// A store that is restored from a backup assigns the same revisions again.
/// Guards against an entry by another writer that is taken for a new incarnation.
#[test]
fn entry_without_the_known_start_marks_its_server_as_leaving() {
    let name = ServerName::new("a");
    let started = |born: Option<u64>| ServerEntry {
        born,
        ..server("a")
    };
    let known = |list: &ServerList| {
        let servers = list.servers();
        servers.first().map(|server| (server.leaving, server.born))
    };
    let mut list = ServerList::default();
    list.put(at(1), started(Some(7)));

    list.put(at(2), started(None));
    let by_change = known(&list);
    list.put(at(3), started(Some(7)));
    let by_itself = known(&list);
    let mut snapshot = entries(4, &[]);
    snapshot.servers.insert(name, started(None));
    list.replace(Time::ZERO, snapshot);

    assert_eq!(by_change, Some((true, Some(7))));
    assert_eq!(by_itself, Some((false, Some(7))));
    assert_eq!(known(&list), Some((true, Some(7))));
}

#[test]
fn snapshot_of_newer_era_with_lower_revision_is_applied() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries_at(in_era(1, 56), &["a"]));

    list.replace(Time::ZERO, entries_at(in_era(2, 52), &["a", "b"]));
    list.put(in_era(2, 53), server("c"));

    assert_eq!(names(&list), ["a", "b", "c"]);
    assert_eq!(list.entries().position, in_era(2, 53));
}

#[test]
fn changes_of_other_era_are_ignored() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries_at(in_era(2, 52), &["a"]));

    list.put(in_era(1, 60), server("b"));
    list.remove(Time::ZERO, in_era(1, 61), &ServerName::new("a"));
    list.replace(Time::ZERO, entries_at(in_era(1, 90), &["b"]));

    assert_eq!(names(&list), ["a"]);
    assert_eq!(list.entries().position, in_era(2, 52));
}

#[test]
fn box_of_older_era_gets_snapshot_and_box_of_newer_era_nothing() {
    let mut sender = ServerList::default();
    sender.replace(Time::ZERO, entries_at(in_era(2, 5), &["a"]));
    sender.put(in_era(2, 6), server("b"));

    assert!(matches!(
        sender.update_since(in_era(1, 90)),
        Some(ServerUpdate::Snapshot(_))
    ));
    assert_eq!(sender.update_since(in_era(3, 1)), None);
}

#[test]
fn server_missing_in_backup_is_held_after_restore() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries_at(in_era(1, 9), &["a", "b"]));
    let recovered_at = Time::from_millis(5_000);

    list.replace(recovered_at, entries_at(in_era(2, 4), &["a"]));
    let held = names(&list);
    list.tick(recovered_at + HOLD_AFTER_RECOVERY);

    assert_eq!(held, ["a", "b"]);
    assert_eq!(names(&list), ["a"]);
}

#[test]
fn backup_does_not_revive_retired_servers() {
    let mut list = ServerList::default();
    list.replace(
        Time::ZERO,
        entries_at(in_era(1, 9), &["gone", "leaving", "alive"]),
    );
    list.remove(Time::ZERO, in_era(1, 10), &ServerName::new("gone"));
    let leaving = ServerEntry {
        leaving: true,
        ..server("leaving")
    };
    list.put(in_era(1, 11), leaving);

    list.replace(
        Time::ZERO,
        entries_at(in_era(2, 9), &["gone", "leaving", "alive"]),
    );

    let usable = list.servers().into_iter().filter(|server| !server.leaving);
    let usable: Vec<String> = usable.map(|server| server.name.to_string()).collect();
    assert_eq!(usable, ["alive"]);
}

#[test]
fn server_that_writes_entry_after_restore_is_used() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries_at(in_era(1, 9), &["a"]));
    list.remove(Time::ZERO, in_era(1, 10), &ServerName::new("a"));
    list.replace(Time::ZERO, entries_at(in_era(2, 9), &["a"]));

    list.put(in_era(2, 10), server("a"));

    assert!(list.servers().iter().all(|server| !server.leaving));
}

/// A box that received the new era from a peer reads the backup's entries again from the store, in
/// the same era.
#[test]
fn backup_that_is_read_twice_does_not_revive_retired_servers() {
    let mut list = ServerList::default();
    list.replace(Time::ZERO, entries_at(in_era(1, 9), &["a", "b"]));
    list.remove(Time::ZERO, in_era(1, 10), &ServerName::new("a"));

    list.replace(Time::ZERO, entries_at(in_era(2, 9), &["a", "b"]));
    list.replace(Time::ZERO, entries_at(in_era(2, 9), &["a", "b"]));

    let usable = list.servers().into_iter().filter(|server| !server.leaving);
    let usable: Vec<String> = usable.map(|server| server.name.to_string()).collect();
    assert_eq!(usable, ["b"]);
}
