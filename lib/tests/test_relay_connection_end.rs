//! What the end of a connection to a server shows, over all evidence.

use badgerferry_lib::relay::connection_end::ConnectionEnd;
use badgerferry_lib::relay::connection_end::PeerVerdict;
use badgerferry_lib::relay::connection_end::ProbeResult;
use badgerferry_lib::relay::connection_end::ProcessEvidence;
use badgerferry_lib::relay::connection_end::ServerStanding;
use badgerferry_lib::relay::server_tracker::ServerOutcome;

const STANDINGS: [ServerStanding; 3] = [
    ServerStanding::InService,
    ServerStanding::MayExit,
    ServerStanding::Replaced,
];

/// All combinations of evidence.
fn all_evidence() -> Vec<ProcessEvidence> {
    let mut all = Vec::new();
    for probe in [
        ProbeResult::Refused,
        ProbeResult::Open,
        ProbeResult::Closed,
        ProbeResult::NoAnswer,
    ] {
        for peers in [
            PeerVerdict::Up,
            PeerVerdict::Down,
            PeerVerdict::Unknown,
            PeerVerdict::Alone,
        ] {
            for is_path_suspected in [false, true] {
                all.push(ProcessEvidence {
                    probe,
                    peers,
                    is_path_suspected,
                });
            }
        }
    }
    all
}

/// Guards against cut responses of servers that no one may blame for their exit.
#[test]
fn response_of_a_process_that_refuses_connections_is_not_whole() {
    for standing in STANDINGS {
        for evidence in all_evidence() {
            let ProcessEvidence {
                probe,
                peers,
                is_path_suspected,
            } = evidence;
            let is_up =
                peers == PeerVerdict::Up || (peers == PeerVerdict::Unknown && is_path_suspected);
            if probe == ProbeResult::Refused && !is_up {
                let end = ConnectionEnd::conclude(standing, evidence);
                assert!(!end.is_response_whole(), "{standing:?}, {evidence:?}");
            }
        }
    }
}

#[test]
fn response_of_a_replaced_process_is_not_whole() {
    for evidence in all_evidence() {
        let end = ConnectionEnd::conclude(ServerStanding::Replaced, evidence);
        assert!(!end.is_response_whole(), "{evidence:?}");
    }
}

#[test]
fn response_of_a_process_that_accepts_connections_is_whole() {
    for standing in [ServerStanding::InService, ServerStanding::MayExit] {
        for evidence in all_evidence() {
            if evidence.probe == ProbeResult::Open {
                let end = ConnectionEnd::conclude(standing, evidence);
                assert!(end.is_response_whole(), "{standing:?}, {evidence:?}");
                let outcome = end.server_outcome(ServerOutcome::Success);
                assert_eq!(outcome, ServerOutcome::Success);
            }
        }
    }
}

/// Guards against crash records of servers that exit as announced, or that only this box can't reach.
#[test]
fn only_a_server_in_service_that_refuses_everyone_has_crashed() {
    for standing in STANDINGS {
        for evidence in all_evidence() {
            let end = ConnectionEnd::conclude(standing, evidence);
            if end == ConnectionEnd::Crashed {
                assert_eq!(standing, ServerStanding::InService, "{evidence:?}");
                assert_eq!(evidence.probe, ProbeResult::Refused, "{evidence:?}");
                assert_ne!(evidence.peers, PeerVerdict::Up, "{evidence:?}");
            } else if !end.is_response_whole() {
                let outcome = end.server_outcome(ServerOutcome::Success);
                assert_eq!(outcome, ServerOutcome::Inconclusive, "{evidence:?}");
            }
        }
    }
}
