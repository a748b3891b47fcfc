//! EngineWork at engines, and the datagrams that tell it.

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
use badgerferry_lib::time::Time;

use crate::seeded::seeded;

fn long_work() -> EngineWork {
    EngineWork {
        prefill: Duration::from_millis(300),
        delay: Duration::ZERO,
        memory_tokens: 150_000,
        is_lead: true,
        is_long: true,
    }
}

#[test]
fn another_boxs_table_counts_for_its_lifetime_only() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let told = EngineLoad {
        short_calls: 3,
        ..EngineLoad::default()
    };

    loads.update_peer_table(Time::ZERO, "box-b", 1, 1, vec![(engine, told)]);
    let early = loads.table(Time::from_millis(10)).get(&engine).copied();
    let late = loads.table(Time::ZERO + TABLE_TTL).get(&engine).copied();

    assert_eq!(early.map(|row| row.short_calls), Some(3));
    assert_eq!(late, None);
}

#[test]
fn an_overtaken_datagram_is_ignored_and_a_new_lifetime_is_not() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let short = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    let now = Time::from_millis(1);

    loads.update_peer_table(now, "box-b", 1, 9, vec![(engine, short(3))]);
    loads.update_peer_table(now, "box-b", 1, 8, vec![(engine, short(5))]);
    let after_old = loads.table(now)[&engine].short_calls;
    loads.update_peer_table(now, "box-b", 2, 1, vec![(engine, short(1))]);

    assert_eq!(after_old, 3);
    assert_eq!(loads.table(now)[&engine].short_calls, 1);
}

#[test]
fn another_halls_work_is_its_last_sum_whichever_box_told_it() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let hall = HallName::new("hall-b");
    let short = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    let now = Time::from_millis(1);

    loads.update_hall_table(now, &hall, 1, 4, vec![(engine, short(3))]);
    loads.update_hall_table(now, &hall, 2, 9, vec![(engine, short(5))]);
    let is_newer = loads.update_hall_table(now, &hall, 2, 8, vec![(engine, short(7))]);

    assert!(!is_newer);
    assert_eq!(loads.table(now)[&engine].short_calls, 5);
}

#[test]
fn a_halls_sum_holds_its_own_boxes_only() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(7);
    let now = Time::from_millis(1);
    let short = |count| EngineLoad {
        short_calls: count,
        ..EngineLoad::default()
    };
    loads.begin(now, engine, long_work());
    loads.update_peer_table(now, "near", 1, 1, vec![(engine, short(2))]);
    loads.update_peer_table(now, "far", 1, 1, vec![(engine, short(4))]);
    loads.update_hall_table(now, &HallName::new("b"), 1, 1, vec![(engine, short(8))]);

    let told = loads.hall_table(now, |name| name == "near")[&engine];

    assert_eq!((told.short_calls, told.long_calls), (2, 1));
}

#[test]
fn own_work_counts_until_it_ends() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let now = Time::from_millis(100);

    let id = loads.begin(now, engine, long_work());
    let reading = loads.table(now)[&engine];
    loads.prefill_done(id);
    let writing = loads.table(now)[&engine];
    loads.end(id);

    assert_eq!(
        (
            reading.long_prefills,
            reading.long_calls,
            reading.prefill_ms
        ),
        (1, 1, 300)
    );
    assert_eq!(
        (
            writing.long_prefills,
            writing.long_calls,
            writing.prefill_ms
        ),
        (0, 1, 0)
    );
    assert!(loads.table(now).is_empty());
}

#[test]
fn a_part_that_is_late_counts_until_its_prompt_is_read() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let id = loads.begin(Time::ZERO, engine, long_work());

    let late = loads.table(Time::from_millis(1_900))[&engine];
    loads.prefill_done(id);
    let read = loads.table(Time::from_millis(1_900))[&engine];

    assert_eq!((late.long_prefills, late.prefill_ms), (1, 300));
    assert_eq!((read.long_prefills, read.prefill_ms), (0, 0));
}

#[test]
fn what_is_read_ahead_counts_once() {
    let mut loads = EngineLoadTracker::default();
    let engine = EngineKey(1);
    let now = Time::from_millis(100);
    let mut ahead = Duration::ZERO;

    for _ in 0..6 {
        let work = EngineWork {
            delay: ahead,
            ..long_work()
        };
        loads.begin(now, engine, work);
        ahead = Duration::from_millis(loads.table(now)[&engine].prefill_ms.into());
    }

    assert_eq!(ahead, long_work().prefill * 6, "each is read once");
}

#[test]
fn reading_whose_end_is_never_seen_does_not_count_for_ever() {
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
        known_state: KnownState {
            routes: Some(3),
            servers: StorePosition {
                era: 2,
                revision: 900,
            },
        },
        follows_store: true,
        queue_head: None,
        faults: Vec::new(),
        departures: Vec::new(),
        slow_engines: Vec::new(),
        suspects: Vec::new(),
        notices: NoticeRows::default(),
        rows,
    }
}

#[test]
fn a_datagram_leaves_out_what_does_not_fit_into_a_packet() {
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

    let (left_out, none) = (large.truncate_rows(), small.truncate_rows());

    assert!(large.encode().len() <= MAX_DATAGRAM_BYTES);
    assert_eq!(LoadDatagram::decode(&large.encode()), Ok(large.clone()));
    assert_eq!(left_out + large.rows.len(), 300);
    assert!(large.rows.len() > 30, "{}", large.rows.len());
    assert_eq!(none, 0);
}

#[test]
fn a_datagram_of_another_version_is_dropped() {
    let mut bytes = datagram(Vec::new()).encode();
    let other = FRAME_VERSION + 1;
    bytes[0] = other;

    assert_eq!(
        LoadDatagram::decode(&bytes),
        Err(DatagramError::Version(other))
    );
    assert_eq!(LoadDatagram::decode(&[]), Err(DatagramError::Malformed));
    assert_eq!(
        LoadDatagram::decode(&[FRAME_VERSION, 200]),
        Err(DatagramError::Malformed)
    );
}

#[test]
fn any_bytes_are_borne_as_a_datagram() {
    fn property(bytes: Vec<u8>) -> bool {
        let decoded = LoadDatagram::decode(&bytes);
        drop(bytes);
        decoded.is_ok() || decoded.is_err()
    }
    seeded().quickcheck(property as fn(Vec<u8>) -> bool);
}
