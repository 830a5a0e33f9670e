//! HTTP/1.1 on blocking sockets, as much as the stand-ins need.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// Headers in the order in which they arrived.
pub type Headers = Vec<(String, String)>;

/// A request or response without its body.
#[derive(Clone, Debug)]
pub struct Head {
    /// The first line.
    pub line: String,
    pub headers: Headers,
}

impl Head {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }
}

/// Reader of one side of a connection, which keeps what it has read too far.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its length, or by its last chunk.
    Whole,
    /// With the connection, where the head states no length.
    Closed,
    /// Before its length or last chunk.
    Broken,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length)
    }

    fn take(&mut self, length: usize) -> Vec<u8> {
        let rest = self.buffer.split_off(length);
        std::mem::replace(&mut self.buffer, rest)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(at);
                self.take(2);
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a head; returns `None` if the connection ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        if self.buffer.is_empty() && self.fill()? == 0 {
            return Ok(None);
        }
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        Ok(Some(Head { line, headers }))
    }

    /// Reads the body of a request.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if head.is_chunked() || head.length().is_some() {
            if self.body(head, &mut |part| body.extend_from_slice(part)) == End::Broken {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(body)
    }

    /// Reads a body part by part.
    pub fn body<F>(&mut self, head: &Head, on_part: &mut F) -> End
    where
        F: FnMut(&[u8]),
    {
        let read = if head.is_chunked() {
            self.chunks(on_part)
        } else if let Some(length) = head.length() {
            self.exactly(length, on_part)
        } else {
            return self.until_closed(on_part);
        };
        match read {
            Ok(()) => End::Whole,
            Err(_) => End::Broken,
        }
    }

    fn chunks<F>(&mut self, on_part: &mut F) -> io::Result<()>
    where
        F: FnMut(&[u8]),
    {
        loop {
            let line = self.line()?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if length == 0 {
                while !self.line()?.is_empty() {}
                return Ok(());
            }
            self.exactly(length, on_part)?;
            self.line()?;
        }
    }

    fn exactly<F>(&mut self, length: usize, on_part: &mut F) -> io::Result<()>
    where
        F: FnMut(&[u8]),
    {
        let mut missing = length;
        while missing > 0 {
            if self.buffer.is_empty() && self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let part = self.take(self.buffer.len().min(missing));
            missing -= part.len();
            on_part(&part);
        }
        Ok(())
    }

    fn until_closed<F>(&mut self, on_part: &mut F) -> End
    where
        F: FnMut(&[u8]),
    {
        loop {
            if !self.buffer.is_empty() {
                let part = self.take(self.buffer.len());
                on_part(&part);
            }
            match self.fill() {
                Ok(0) => return End::Closed,
                Ok(_) => {}
                Err(_) => return End::Broken,
            }
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Writes one chunk.
pub fn chunk(stream: &mut TcpStream, part: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(part);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}
