//! Peer exchanges over TCP sockets on loopback.

use std::time::Duration;

use badgerferry_edges::peer::NngPeer;
use badgerferry_edges::peer::Peer;
use badgerferry_edges::peer::PeerListener;

const MAX_FRAME: usize = 2_000_000;

const PEER: NngPeer = NngPeer {
    timeout: Duration::from_secs(5),
    max_frame: MAX_FRAME,
};

fn start_listener() -> String {
    let any_port = "127.0.0.1:0".parse().expect("the address is valid");
    let listener = PeerListener::bind(any_port, MAX_FRAME).expect("a loopback port is available");
    let address = listener.address().to_string();
    std::thread::spawn(move || {
        listener.serve(|frame| match frame {
            b"bad" => None,
            frame => Some(frame.to_ascii_uppercase()),
        });
    });
    address
}

#[test]
fn exchange_returns_the_reply() {
    let address = start_listener();

    let reply = PEER.exchange(&address, b"hello");

    assert_eq!(reply.as_deref(), Ok(b"HELLO".as_slice()));
}

#[test]
fn listener_continues_after_a_frame_without_reply() {
    let address = start_listener();
    let short_timeout = NngPeer {
        timeout: Duration::from_millis(200),
        ..PEER
    };

    let dropped = short_timeout.exchange(&address, b"bad");
    let reply = PEER.exchange(&address, b"good");

    assert!(dropped.is_err());
    assert_eq!(reply.as_deref(), Ok(b"GOOD".as_slice()));
}
