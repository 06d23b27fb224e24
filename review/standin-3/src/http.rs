//! HTTP/1.1 messages on blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// The head of a request or a response, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    /// The header fields in their order.
    pub fields: Vec<(String, String)>,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut found = self
            .fields
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The target of a request: the second word of its first line.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.field("transfer-encoding");
        coding.is_some_and(|it| it.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads messages from a connection, with what was read beyond the last one.
#[derive(Debug)]
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    /// A reader of the connection.
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
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

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < n {
            self.fill()?;
        }
        Ok(self.buf.drain(..n).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|it| it == b"\r\n") {
                let line = self.take(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a whole message, whose body has a length or is chunked.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the message does.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let field = (name.to_owned(), value.trim().to_owned());
            message.fields.push(field);
        }
        if message.is_chunked() {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.trim(), 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.take(2)?;
                if size == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message
            .field("content-length")
            .and_then(|it| it.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(message)
    }
}

/// Writes a message whose body has a length.
///
/// # Errors
///
/// Fails if the connection is broken.
pub fn write(
    stream: &TcpStream,
    first: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    write_part(stream, first, fields, body, body.len())
}

/// Writes a message, but only the first `n` bytes of its body.
///
/// # Errors
///
/// Fails if the connection is broken.
pub fn write_part(
    mut stream: &TcpStream,
    first: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    n: usize,
) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&body[..n]);
    stream.write_all(&bytes)
}

/// Writes a message whose body is sent as one chunk.
///
/// # Errors
///
/// Fails if the connection is broken.
pub fn write_chunked(
    mut stream: &TcpStream,
    first: &str,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{first}\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!(
        "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n",
        body.len()
    ));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n0\r\n\r\n");
    stream.write_all(&bytes)
}
