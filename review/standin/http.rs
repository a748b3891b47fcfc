//! HTTP/1.1 messages on blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

/// Head of a request or of an answer.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target, or the status code.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    pub fn fill(&mut self, max: usize) -> std::io::Result<bool> {
        let mut chunk = vec![0; max];
        let read = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let rest = self.buf.split_off(at + 4);
                let text = String::from_utf8_lossy(&self.buf).into_owned();
                self.buf = rest;
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head {
                    first_line,
                    headers,
                }));
            }
            if !self.fill(16 << 10)? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads a body of this length, waiting before each read if `pause` says so.
    pub fn read_body(
        &mut self,
        len: usize,
        max_read: usize,
        mut pause: impl FnMut(),
    ) -> std::io::Result<Vec<u8>> {
        while self.buf.len() < len {
            pause();
            if !self.fill(max_read.min(len - self.buf.len()))? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(len);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a complete message with a length.
    pub fn write_message(
        &mut self,
        first_line: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> std::io::Result<()> {
        let mut text = format!("{first_line}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.write(text.as_bytes())
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// Makes the receive window of a socket, or of those accepted by it, small.
pub fn limit_receive_buffer(socket: &impl std::os::fd::AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and the value is a 32-bit integer of the given length.
    let result = unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    assert_eq!(result, 0, "the receive buffer can't be set");
}
