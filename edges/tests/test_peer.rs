//! Exchanges over the real sockets.

use std::time::Duration;

use badgerferry_edges::peer::NngPeer;
use badgerferry_edges::peer::Peer;
use badgerferry_edges::peer::PeerListener;

const MAX_FRAME: usize = 2_000_000;

const PEER: NngPeer = NngPeer {
    timeout: Duration::from_secs(5),
    max_frame: MAX_FRAME,
};

fn listen() -> String {
    let any = "127.0.0.1:0".parse().expect("a fixed address");
    let listener = PeerListener::bind(any, MAX_FRAME).expect("loopback can be listened on");
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
fn exchange_brings_the_answer() {
    let address = listen();

    let answer = PEER.exchange(&address, b"hello");

    assert_eq!(answer.as_deref(), Ok(b"HELLO".as_slice()));
}

#[test]
fn listener_goes_on_after_a_frame_without_an_answer() {
    let address = listen();
    let short = NngPeer {
        timeout: Duration::from_millis(200),
        ..PEER
    };

    let dropped = short.exchange(&address, b"bad");
    let answer = PEER.exchange(&address, b"good");

    assert!(dropped.is_err());
    assert_eq!(answer.as_deref(), Ok(b"GOOD".as_slice()));
}
