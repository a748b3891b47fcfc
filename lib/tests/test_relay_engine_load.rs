//! Engine load tracking and load datagrams.

use std::time::Duration;

use badgerferry_lib::ids::HallName;
use badgerferry_lib::relay::engine_load::EngineKey;
use badgerferry_lib::relay::engine_load::EngineLoad;
use badgerferry_lib::relay::engine_load::EngineLoadTracker;
use badgerferry_lib::relay::engine_load::EngineWork;
use badgerferry_lib::relay::engine_load::TABLE_TTL;
use badgerferry_lib::relay::load_datagram::DatagramError;
use badgerferry_lib::relay::load_datagram::LoadDatagram;
use badgerferry_lib::relay::load_datagram::LoadSource;
use badgerferry_lib::relay::load_datagram::MAX_DATAGRAM_BYTES;
use badgerferry_lib::relay::server_notices::NoticeRows;
use badgerferry_lib::relay::state_pull::FRAME_VERSION;
use badgerferry_lib::relay::state_pull::KnownState;
use badgerferry_lib::relay::store_position::StorePosition;
use badgerferry_lib::relay::stream_gaps::StreamClass;
use badgerferry_lib::time::Time;

use crate::seeded::seeded;

fn long_work() -> EngineWork {
    EngineWork {
        prefill: Duration::from_millis(300),
        delay: Duration::ZERO,
        memory_tokens: 150_000,
        is_lead: true,
        is_long: true,
        stream: StreamClass::Tolerant,
    }
}

#[test]
fn peer_table_expires_after_ttl() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let load = EngineLoad {
        short_calls: 3,
        ..EngineLoad::default()
    };

    loads.update_peer_table(Time::ZERO, "box-b", 1, 1, vec![(engine, load)]);
    let early = loads.table(Time::from_millis(10)).get(&engine).copied();
    let late = loads.table(Time::ZERO + TABLE_TTL).get(&engine).copied();

    assert_eq!(early.map(|row| row.short_calls), Some(3));
    assert_eq!(late, None);
}

#[test]
fn stale_sequence_is_ignored_unless_incarnation_is_new() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let short_calls = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    let now = Time::from_millis(1);

    loads.update_peer_table(now, "box-b", 1, 9, vec![(engine, short_calls(3))]);
    loads.update_peer_table(now, "box-b", 1, 8, vec![(engine, short_calls(5))]);
    let after_stale = loads.table(now)[&engine].short_calls;
    loads.update_peer_table(now, "box-b", 2, 1, vec![(engine, short_calls(1))]);

    assert_eq!(after_stale, 3);
    assert_eq!(loads.table(now)[&engine].short_calls, 1);
}

#[test]
fn hall_table_is_replaced_by_any_delegate() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let hall = HallName::new("hall-b");
    let short_calls = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    let now = Time::from_millis(1);

    loads.update_hall_table(now, &hall, 1, 4, vec![(engine, short_calls(3))]);
    loads.update_hall_table(now, &hall, 2, 9, vec![(engine, short_calls(5))]);
    let is_newer = loads.update_hall_table(now, &hall, 2, 8, vec![(engine, short_calls(7))]);

    assert!(!is_newer);
    assert_eq!(loads.table(now)[&engine].short_calls, 5);
}

#[test]
fn hall_table_excludes_boxes_and_tables_of_other_halls() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let now = Time::from_millis(1);
    let short_calls = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    loads.begin(now, engine, long_work());
    loads.update_peer_table(now, "local", 1, 1, vec![(engine, short_calls(2))]);
    loads.update_peer_table(now, "remote", 1, 1, vec![(engine, short_calls(4))]);
    loads.update_hall_table(
        now,
        &HallName::new("b"),
        1,
        1,
        vec![(engine, short_calls(8))],
    );

    let total = loads.hall_table(now, |name| name == "local")[&engine];

    assert_eq!((total.short_calls, total.long_calls), (2, 1));
}

#[test]
fn own_work_counts_until_it_ends_and_its_prefill_until_the_first_token() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let now = Time::from_millis(100);

    let id = loads.begin(now, engine, long_work());
    let prefilling = loads.table(now)[&engine];
    loads.prefill_done(id);
    let decoding = loads.table(now)[&engine];
    loads.end(id);

    assert_eq!(
        (
            prefilling.long_prefills,
            prefilling.long_calls,
            prefilling.prefill_ms
        ),
        (1, 1, 300)
    );
    assert_eq!(
        (
            decoding.long_prefills,
            decoding.long_calls,
            decoding.prefill_ms
        ),
        (0, 1, 0)
    );
    assert!(loads.table(now).is_empty());
}

#[test]
fn overdue_prefill_counts_until_it_is_done() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let id = loads.begin(Time::ZERO, engine, long_work());

    let overdue = loads.table(Time::from_millis(1_900))[&engine];
    loads.prefill_done(id);
    let done = loads.table(Time::from_millis(1_900))[&engine];

    assert_eq!((overdue.long_prefills, overdue.prefill_ms), (1, 300));
    assert_eq!((done.long_prefills, done.prefill_ms), (0, 0));
}

/// Guards against counting a chunk again in the entry of each chunk that is queued behind it.
#[test]
fn queued_prefill_counts_once() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let now = Time::from_millis(100);
    let mut backlog = Duration::ZERO;

    for _ in 0..6 {
        let work = EngineWork {
            delay: backlog,
            ..long_work()
        };
        loads.begin(now, engine, work);
        backlog = Duration::from_millis(loads.table(now)[&engine].prefill_ms.into());
    }

    assert_eq!(backlog, long_work().prefill * 6, "each prefill counts once");
}

#[test]
fn prefill_without_observed_end_expires() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    loads.begin(Time::ZERO, engine, long_work());

    let later = loads.table(Time::from_millis(10_000));

    assert_eq!(later[&engine].long_prefills, 0);
}

fn datagram(rows: Vec<(EngineKey, EngineLoad)>) -> LoadDatagram {
    LoadDatagram {
        version: FRAME_VERSION,
        from: "edge-hall-a-1".to_owned(),
        incarnation: u64::MAX,
        sequence: 12,
        source: LoadSource::Box,
        is_urgent: false,
        is_for_hub: false,
        known_boxes: 0,
        known_state: KnownState {
            routes: Some(3),
            servers: StorePosition {
                era: 2,
                revision: 900,
            },
        },
        unconfirmed: None,
        follows_store: true,
        queue_head: None,
        size_counts: Vec::new(),
        faults: Vec::new(),
        silent: Vec::new(),
        cut_off: Vec::new(),
        departures: Vec::new(),
        slow_engines: Vec::new(),
        suspects: Vec::new(),
        notices: NoticeRows::default(),
        rows,
    }
}

#[test]
fn rows_are_truncated_to_datagram_size() {
    let row = |key| {
        let row = EngineLoad {
            prefill_ms: u32::MAX,
            long_prefills: u16::MAX,
            short_calls: u16::MAX,
            long_calls: u16::MAX,
            memory_kilotokens: u32::MAX,
        };
        (EngineKey(u32::MAX - key), row)
    };
    let mut large = datagram((0..300).map(row).collect());
    large.faults = (0..16).map(|key| EngineKey(u32::MAX - key)).collect();
    let mut small = datagram((0..5).map(row).collect());

    let (dropped_from_large, dropped_from_small) = (large.truncate_rows(), small.truncate_rows());

    assert!(large.encode().len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(LoadDatagram::decode(&large.encode()), Ok(large.clone()));
    assert_eq!(dropped_from_large + large.rows.len(), 300);
    assert!(large.rows.len() > 30, "{}", large.rows.len());
    assert_eq!(dropped_from_small, 0);
}

#[test]
fn undecodable_datagrams_and_those_of_other_versions_are_rejected() {
    let mut bytes = datagram(Vec::new()).encode();
    let version = FRAME_VERSION + 1;
    bytes[0] = version;

    assert_eq!(
        LoadDatagram::decode(&bytes),
        Err(DatagramError::Version(version))
    );
    assert_eq!(LoadDatagram::decode(&[]), Err(DatagramError::Malformed));
    assert_eq!(
        LoadDatagram::decode(&[FRAME_VERSION, 200]),
        Err(DatagramError::Malformed)
    );
}

#[test]
fn decode_never_panics_on_arbitrary_bytes() {
    fn property(bytes: Vec<u8>) -> bool {
        let decoded = LoadDatagram::decode(&bytes);
        drop(bytes);
        decoded.is_ok() || decoded.is_err()
    }
    seeded().quickcheck(property as fn(Vec<u8>) -> bool);
}
