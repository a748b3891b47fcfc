//! Sends whose connection ended before any response.

use std::time::Duration;

use badgerferry_lib::ids::ServerName;
use badgerferry_lib::relay::request_fingerprint::ServerIncarnation;
use badgerferry_lib::relay::unread_sends::MAX_UNREAD_SENDS;
use badgerferry_lib::relay::unread_sends::ProcessLiveness;
use badgerferry_lib::relay::unread_sends::ServerProcess;
use badgerferry_lib::relay::unread_sends::SettledSend;
use badgerferry_lib::relay::unread_sends::UnreadSends;
use badgerferry_lib::time::Time;

const ENDED_AT: Time = Time::from_micros(2_000_000);
const UNTIL: Time = Time::from_micros(12_000_000);

fn process(incarnation: u64) -> ServerProcess {
    ServerProcess {
        name: ServerName::new("i-0"),
        incarnation: ServerIncarnation(incarnation),
    }
}

const FIRST: SettledSend<&str> = SettledSend {
    ended_at: ENDED_AT,
    send: "first",
};

fn one_unread() -> UnreadSends<&'static str> {
    let mut sends = UnreadSends::default();
    assert!(sends.keep(&process(1), ENDED_AT, UNTIL, "first"));
    sends
}

#[test]
fn send_is_unread_though_its_server_was_heard_before_the_end_of_the_connection() {
    let mut sends = one_unread();
    let now = ENDED_AT + Duration::from_secs(1);
    let before = Time::from_micros(1_999_999);

    for heard in [None, Some(before)] {
        let settled = sends.remove_settled(now, &process(1), ProcessLiveness::HeardAt(heard));

        assert!(settled.is_empty(), "heard {heard:?}");
    }
    assert!(sends.has_unread(&process(1)));
}

#[test]
fn send_is_settled_once_its_server_was_heard_since() {
    let mut sends = one_unread();

    let settled = sends.remove_settled(
        ENDED_AT,
        &process(1),
        ProcessLiveness::HeardAt(Some(ENDED_AT)),
    );

    assert_eq!(settled, [FIRST]);
    assert!(sends.is_empty());
}

#[test]
fn sends_are_settled_with_their_process_and_not_with_another() {
    let mut sends = one_unread();
    sends.keep(&process(2), ENDED_AT, UNTIL, "second");

    let settled = sends.remove_settled(ENDED_AT, &process(1), ProcessLiveness::Exited);

    assert_eq!(settled, [FIRST]);
    assert!(sends.has_unread(&process(2)));
}

#[test]
fn send_is_settled_when_its_route_allows_no_call_any_more() {
    let mut sends = one_unread();

    let settled = sends.remove_settled(UNTIL, &process(1), ProcessLiveness::HeardAt(None));

    assert_eq!(settled, [FIRST]);
}

#[test]
fn sends_beyond_the_limit_are_not_kept() {
    let mut sends = UnreadSends::default();
    for number in 0..MAX_UNREAD_SENDS {
        sends.keep(&process(1), ENDED_AT, UNTIL, number);
    }

    sends.keep(&process(1), ENDED_AT, UNTIL, MAX_UNREAD_SENDS);

    assert_eq!(sends.len(), MAX_UNREAD_SENDS);
}
