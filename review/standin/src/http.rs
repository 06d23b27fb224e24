//! The parts of HTTP/1.1 that the stand-ins need.

use std::io;
use std::io::Read;
use std::net::TcpStream;

/// A head with its header fields.
#[derive(Debug, Clone)]
pub(crate) struct Head {
    /// The request line or the status line.
    pub(crate) first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// The value of a header field.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        let is_named = |field: &&(String, String)| field.0.eq_ignore_ascii_case(name);
        self.fields
            .iter()
            .find(is_named)
            .map(|field| field.1.as_str())
    }

    /// The word at a position of the first line.
    pub(crate) fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// The status of an answer; 0 if it has none.
    pub(crate) fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
#[derive(Debug)]
pub(crate) struct Conn {
    pub(crate) stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub(crate) fn new(stream: TcpStream) -> Conn {
        // Only latency depends on it.
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.buf.extend_from_slice(&part[..n]);
                Ok(())
            }
        }
    }

    /// Reads the next head.
    pub(crate) fn read_head(&mut self) -> io::Result<Head> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|it| it == b"\r\n\r\n") {
                break at;
            }
            self.fill()?;
        };
        let bytes: Vec<u8> = self.buf.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let fields = lines.filter_map(|line| line.split_once(':'));
        let fields = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
        Ok(Head {
            first,
            fields: fields.collect(),
        })
    }

    /// Reads exactly `len` bytes.
    pub(crate) fn read_exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(at) = self.buf.windows(2).position(|it| it == b"\r\n") {
                break at;
            }
            self.fill()?;
        };
        let line: Vec<u8> = self.buf.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line).trim().to_owned())
    }

    /// Reads the body that belongs to `head`, with a length or in chunks.
    pub(crate) fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let coding = head.get("Transfer-Encoding").unwrap_or("");
        if coding.eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("");
                let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData);
                let size = size?;
                body.extend(self.read_exact(size)?);
                self.read_line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let len = head.get("Content-Length").and_then(|len| len.parse().ok());
        self.read_exact(len.unwrap_or(0))
    }
}
