//! Requesters: each call on a connection of its own.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Head;
use crate::http::limit_receive_buffer;

/// Key that every desired state holds.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A call of a requester.
#[derive(Debug, Clone, Default)]
pub struct Call {
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub deadline: Duration,
    pub body: String,
    /// API key; [`KEY`] if it is empty.
    pub key: &'static str,
    /// Bytes a second at which the requester reads the answer; 0 for no limit.
    pub read_rate: u64,
    /// Receive buffer of the connection; 0 for that of the system.
    pub receive_buffer: i32,
}

/// How a call ended, as its requester sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// 0 if the connection ended before the head.
    pub status: u16,
    pub body: String,
    /// Whether the body is complete by its framing.
    pub is_complete: bool,
    /// Whether the answer carries the seal of a server.
    pub has_seal: bool,
    /// Whether the deadline passed first.
    pub is_late: bool,
    pub took: Duration,
}

/// Bytes that a slow requester reads at once.
const SLOW_READ_BYTES: usize = 4 << 10;

/// Sends a call and reads its answer.
pub fn send(front: SocketAddr, call: &Call) -> Answer {
    let started = Instant::now();
    let mut answer = Answer {
        status: 0,
        body: String::new(),
        is_complete: false,
        has_seal: false,
        is_late: false,
        took: Duration::ZERO,
    };
    // An error leaves what has arrived, as an incomplete answer.
    if let Err(cause) = exchange(front, call, &mut answer) {
        use std::io::ErrorKind::TimedOut;
        use std::io::ErrorKind::WouldBlock;
        answer.is_late = matches!(cause.kind(), TimedOut | WouldBlock);
    }
    answer.took = started.elapsed();
    answer.is_late |= answer.took >= call.deadline;
    answer
}

fn exchange(front: SocketAddr, call: &Call, answer: &mut Answer) -> std::io::Result<()> {
    let stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(call.deadline))?;
    if call.receive_buffer > 0 {
        limit_receive_buffer(&stream, call.receive_buffer);
    }
    let mut connection = Connection::new(stream);
    let first_line = format!("{} {} HTTP/1.1", call.method, call.path);
    let deadline = call.deadline.as_millis().to_string();
    let key = if call.key.is_empty() { KEY } else { call.key };
    let authorization = format!("Bearer {key}");
    let headers = [
        ("Host", "ficu95.example"),
        ("Badgerferry-Attempt-Id", call.id.as_str()),
        ("Badgerferry-Deadline-Ms", deadline.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    connection.write_message(&first_line, &headers, &call.body)?;
    let Some(head) = connection.read_head()? else {
        return Ok(());
    };
    answer.status = head.second_word().parse().unwrap_or_default();
    answer.has_seal = head.header("badgerferry-response-seal").is_some();
    let mut reader = SlowReader::new(call);
    let body = match read_body(&mut connection, &head, &mut reader) {
        Ok(body) => {
            answer.is_complete = true;
            body
        }
        Err(Incomplete { body, cause }) => {
            answer.body = String::from_utf8_lossy(&body).into_owned();
            return Err(cause);
        }
    };
    answer.body = String::from_utf8_lossy(&body).into_owned();
    Ok(())
}

struct SlowReader {
    pause: Duration,
    max_read: usize,
    next: Instant,
}

impl SlowReader {
    fn new(call: &Call) -> Self {
        let (pause, max_read) = match call.read_rate {
            0 => (Duration::ZERO, 64 << 10),
            rate => {
                let pause = Duration::from_secs_f64(SLOW_READ_BYTES as f64 / rate as f64);
                (pause, SLOW_READ_BYTES)
            }
        };
        Self {
            pause,
            max_read,
            next: Instant::now(),
        }
    }

    fn fill(&mut self, connection: &mut Connection) -> std::io::Result<()> {
        self.next += self.pause;
        std::thread::sleep(self.next.saturating_duration_since(Instant::now()));
        match connection.fill(self.max_read)? {
            true => Ok(()),
            false => Err(std::io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

struct Incomplete {
    body: Vec<u8>,
    cause: std::io::Error,
}

fn read_body(
    connection: &mut Connection,
    head: &Head,
    reader: &mut SlowReader,
) -> Result<Vec<u8>, Incomplete> {
    let mut body = Vec::new();
    let result = match head
        .header("content-length")
        .and_then(|text| text.parse().ok())
    {
        Some(len) => read_exactly(connection, len, reader, &mut body),
        None => read_chunks(connection, reader, &mut body),
    };
    match result {
        Ok(()) => Ok(body),
        Err(cause) => {
            body.append(&mut connection.buf);
            Err(Incomplete { body, cause })
        }
    }
}

fn read_exactly(
    connection: &mut Connection,
    len: usize,
    reader: &mut SlowReader,
    out: &mut Vec<u8>,
) -> std::io::Result<()> {
    while connection.buf.len() < len {
        reader.fill(connection)?;
    }
    out.extend(connection.buf.drain(..len));
    Ok(())
}

fn read_chunks(
    connection: &mut Connection,
    reader: &mut SlowReader,
    out: &mut Vec<u8>,
) -> std::io::Result<()> {
    loop {
        let end = loop {
            if let Some(at) = connection
                .buf
                .windows(2)
                .position(|window| window == b"\r\n")
            {
                break at;
            }
            reader.fill(connection)?;
        };
        let line: Vec<u8> = connection.buf.drain(..end + 2).collect();
        let line = String::from_utf8_lossy(&line).trim().to_owned();
        let len = usize::from_str_radix(&line, 16);
        let len = len.map_err(|_not_hex| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
        read_exactly(connection, len, reader, out)?;
        read_exactly(connection, 2, reader, &mut Vec::new())?;
        if len == 0 {
            return Ok(());
        }
    }
}
