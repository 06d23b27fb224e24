//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// The head of a message.
#[derive(Debug, Clone)]
pub struct Head {
    /// The first line.
    pub start: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the path of a request, the status of an answer.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// The announced length of the body.
    pub fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }

    /// Whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads messages from a connection, each read bounded by a time.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
    until: Option<Instant>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buf: Vec::new(),
            until: None,
        }
    }

    /// Sets the time at which reads fail.
    pub fn set_deadline(&mut self, until: Instant) {
        self.until = Some(until);
    }

    /// Reads more bytes. Returns false at the end of the connection.
    pub fn fill(&mut self, most: usize) -> io::Result<bool> {
        if let Some(until) = self.until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            self.stream
                .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        }
        let mut chunk = vec![0; most];
        let n = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..n]);
        Ok(n > 0)
    }

    /// Reads the next head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if !self.fill(16 * 1024)? {
                return Ok(None);
            }
        }
    }

    /// Reads the body that follows a head with a length or chunks. Returns its bytes.
    pub fn body(&mut self, head: &Head) -> io::Result<usize> {
        if head.is_chunked() {
            return self.chunks();
        }
        let length = head.length().unwrap_or(0);
        self.skip(length)?;
        Ok(length)
    }

    /// Discards so many bytes.
    pub fn skip(&mut self, bytes: usize) -> io::Result<()> {
        self.skip_by(bytes, 64 * 1024)
    }

    /// Discards so many bytes, of which at most `most` are read at once.
    pub fn skip_by(&mut self, mut bytes: usize, most: usize) -> io::Result<()> {
        loop {
            let taken = bytes.min(self.buf.len());
            self.buf.drain(..taken);
            bytes -= taken;
            if bytes == 0 {
                return Ok(());
            }
            if !self.fill(most)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunks(&mut self) -> io::Result<usize> {
        let mut total = 0;
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            self.skip(size + 2)?;
            total += size;
            if size == 0 {
                return Ok(total);
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buf, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill(4 * 1024)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Writes an answer with a body.
pub fn write_answer(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
