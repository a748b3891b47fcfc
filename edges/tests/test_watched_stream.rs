//! Ends of streams behind bytes that nobody reads.

use std::future::poll_fn;
use std::io::ErrorKind;
use std::pin::Pin;
use std::time::Duration;

use badgerferry_edges::watched_stream::WatchedStream;
use badgerferry_edges::watched_stream::closed_by_peer;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time in which an end must be noticed; generous.
const NOTICE_TIME: Duration = Duration::from_secs(10);
/// Time after which it is clear that there is none.
const QUIET_TIME: Duration = Duration::from_millis(100);

async fn connected_pair() -> anyhow::Result<(TcpStream, TcpStream)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let peer = TcpStream::connect(listener.local_addr()?).await?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, peer))
}

#[tokio::test]
async fn end_behind_unread_bytes_is_noticed() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;
    peer.write_all(b"unread").await?;
    stream.readable().await?;

    drop(peer);

    timeout(NOTICE_TIME, closed_by_peer(&stream)).await?;
    Ok(())
}

#[tokio::test]
async fn reset_behind_unread_bytes_is_noticed() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;
    peer.write_all(b"unread").await?;
    stream.readable().await?;

    SockRef::from(&peer).set_linger(Some(Duration::ZERO))?;
    drop(peer);

    timeout(NOTICE_TIME, closed_by_peer(&stream)).await?;
    Ok(())
}

#[tokio::test]
async fn unread_bytes_alone_are_no_end() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;

    peer.write_all(b"unread").await?;
    let early = timeout(QUIET_TIME, closed_by_peer(&stream)).await;
    peer.write_all(b"more").await?;
    let late = timeout(QUIET_TIME, closed_by_peer(&stream)).await;

    assert!(early.is_err() && late.is_err(), "an end was reported");
    Ok(())
}

async fn flush(stream: &mut WatchedStream) -> std::io::Result<()> {
    poll_fn(|cx| Pin::new(&mut *stream).poll_flush(cx)).await
}

#[tokio::test]
async fn watched_stream_wakes_its_task_at_an_end_behind_unread_bytes() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;
    let mut stream = WatchedStream::new(stream);
    peer.write_all(b"a request and more").await?;
    stream.read_exact(&mut [0; 9]).await?;
    flush(&mut stream).await?;

    let task = tokio::spawn(poll_fn(move |cx| {
        let polled = Pin::new(&mut stream).poll_flush(cx);
        match polled {
            std::task::Poll::Ready(Ok(())) => std::task::Poll::Pending,
            other => other,
        }
    }));
    tokio::time::sleep(QUIET_TIME).await;
    drop(peer);

    let failed = timeout(NOTICE_TIME, task).await??;
    assert_eq!(
        failed.map_err(|cause| cause.kind()),
        Err(ErrorKind::ConnectionAborted)
    );
    Ok(())
}

#[tokio::test]
async fn watched_stream_reads_up_to_its_end() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;
    let mut stream = WatchedStream::new(stream);
    peer.write_all(b"all of it").await?;
    drop(peer);
    let mut text = String::new();

    stream.read_to_string(&mut text).await?;

    assert_eq!(text, "all of it");
    Ok(())
}

#[tokio::test]
async fn blocked_write_fails_once_the_peer_has_closed_behind_unread_bytes() -> anyhow::Result<()> {
    let (stream, mut peer) = connected_pair().await?;
    let mut stream = WatchedStream::new(stream);
    peer.write_all(b"unread").await?;

    let writing = tokio::spawn(async move { stream.write_all(&vec![0; 64 << 20]).await });
    tokio::time::sleep(QUIET_TIME).await;
    peer.shutdown().await?;

    let written = timeout(NOTICE_TIME, writing).await??;
    assert_eq!(
        written.map_err(|cause| cause.kind()),
        Err(ErrorKind::ConnectionAborted)
    );
    Ok(())
}
