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

/// All combinations of evidence of a box that was not suspended.
fn running_evidence() -> Vec<ProcessEvidence> {
    let mut running = all_evidence();
    running.retain(|evidence| !evidence.was_suspended);
    running
}

/// All combinations of evidence.
fn all_evidence() -> Vec<ProcessEvidence> {
    let mut all = Vec::new();
    for probe in [
        ProbeResult::Refused,
        ProbeResult::Open,
        ProbeResult::Closed,
        ProbeResult::ClosedForLong,
        ProbeResult::NoAnswer,
    ] {
        for peers in [
            PeerVerdict::Up,
            PeerVerdict::Closes,
            PeerVerdict::Down,
            PeerVerdict::Unknown,
            PeerVerdict::Alone,
        ] {
            for (is_path_suspected, was_suspended) in
                [(false, false), (false, true), (true, false), (true, true)]
            {
                all.push(ProcessEvidence {
                    probe,
                    peers,
                    is_path_suspected,
                    was_suspended,
                });
            }
        }
    }
    all
}

/// Guards against cut responses of servers that nobody may blame for their exit, or that this box
/// can't reach.
#[test]
fn response_is_not_whole_if_nobody_connects_to_its_process() {
    for standing in STANDINGS {
        for evidence in all_evidence() {
            let ProcessEvidence { probe, peers, .. } = evidence;
            let is_own = matches!(probe, ProbeResult::Open | ProbeResult::ClosedForLong);
            if !is_own && peers != PeerVerdict::Up {
                let end = ConnectionEnd::conclude(standing, evidence);
                assert!(!end.is_response_whole(), "{standing:?}, {evidence:?}");
            }
        }
    }
}

#[test]
fn response_is_whole_if_a_peer_connects_to_its_process() {
    for standing in [ServerStanding::InService, ServerStanding::MayExit] {
        for evidence in running_evidence() {
            // Peers are not asked about a server that accepts connections of this box.
            if evidence.peers == PeerVerdict::Up && evidence.probe != ProbeResult::Closed {
                let end = ConnectionEnd::conclude(standing, evidence);
                assert!(end.is_response_whole(), "{standing:?}, {evidence:?}");
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

/// Guards against servers that count as failed for what a suspended box saw late.
#[test]
fn server_is_not_blamed_if_another_process_may_have_its_address() {
    for evidence in all_evidence() {
        let end = ConnectionEnd::conclude(ServerStanding::InService, evidence);
        if end == ConnectionEnd::Unknown {
            let outcome = end.server_outcome(ServerOutcome::Failure);
            assert_eq!(outcome, ServerOutcome::Inconclusive, "{evidence:?}");
        }
    }
}

#[test]
fn response_of_a_process_that_accepts_connections_is_whole() {
    for standing in [ServerStanding::InService, ServerStanding::MayExit] {
        for evidence in running_evidence() {
            if matches!(
                evidence.probe,
                ProbeResult::Open | ProbeResult::ClosedForLong
            ) {
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
                let listens = matches!(evidence.peers, PeerVerdict::Up | PeerVerdict::Closes);
                assert!(!listens, "{evidence:?}");
            } else if !end.is_response_whole() {
                let outcome = end.server_outcome(ServerOutcome::Success);
                assert_eq!(outcome, ServerOutcome::Inconclusive, "{evidence:?}");
            }
        }
    }
}

/// Guards against cut responses that look whole because another process has the address of the server
/// once a suspended box runs again.
#[test]
fn response_that_ended_during_a_suspension_is_not_whole() {
    for standing in STANDINGS {
        for evidence in all_evidence() {
            if evidence.was_suspended {
                let end = ConnectionEnd::conclude(standing, evidence);
                assert!(!end.is_response_whole(), "{standing:?}, {evidence:?}");
            }
        }
    }
}
