//! The client's half of what HTTP/1.1 discovery needs, free of I/O: one answer, its body given line by line.

use bytes::{Bytes, BytesMut};

/// Bytes of an answer's head, and of a chunk's.
const MOST_HEAD: usize = 16 << 10;
const MOST_CHUNK_HEAD: usize = 256;
/// Bytes of a line: a whole list of some twenty thousand backends.
const MOST_LINE: usize = 8 << 20;

/// Why an answer cannot be followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FeedError {
    /// The head is not HTTP/1.1's, or too long.
    #[error("head: expected a status line and fields of HTTP/1.1 in at most {MOST_HEAD} bytes")]
    Head,
    /// Another status.
    #[error("status: expected 200, found {0}")]
    Status(u16),
    /// The chunked coding is broken.
    #[error("body: expected a chunk")]
    Chunk,
    /// A line is too long.
    #[error("body: expected lines of at most {MOST_LINE} bytes")]
    Line,
}

#[derive(Clone, Copy, PartialEq)]
enum Part {
    Head,
    /// So many bytes to come; none: to the end of the connection.
    Plain(Option<u64>),
    ChunkHead,
    Chunk(u64),
    /// The line's end behind a chunk.
    ChunkEnd,
    End,
}

/// One answer.
pub struct Feed {
    input: BytesMut,
    body: BytesMut,
    /// How much of `body` was searched for the end of a line.
    seen: usize,
    part: Part,
}

impl Default for Feed {
    fn default() -> Self {
        Feed { input: BytesMut::new(), body: BytesMut::new(), seen: 0, part: Part::Head }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

impl Feed {
    /// Bytes came.
    ///
    /// # Errors
    /// See [`FeedError`]; the connection is of no further use.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), FeedError> {
        self.input.extend_from_slice(bytes);
        while self.step()? {}
        if self.body.len() > MOST_LINE && !self.body[self.seen..].contains(&b'\n') {
            return Err(FeedError::Line);
        }
        Ok(())
    }

    /// The next whole line of the body, without its end.
    pub fn line(&mut self) -> Option<Bytes> {
        let Some(end) = self.body[self.seen..].iter().position(|b| *b == b'\n') else {
            self.seen = self.body.len();
            return None;
        };
        let line = self.body.split_to(self.seen + end + 1).freeze();
        self.seen = 0;
        Some(line.slice(..line.len() - 1))
    }

    /// The body has ended: what is left of it. Also at the end of the connection, where `closed`.
    pub fn rest(&mut self, closed: bool) -> Option<Bytes> {
        let ended = self.part == Part::End || (closed && self.part == Part::Plain(None));
        ended.then(|| self.body.split().freeze())
    }

    fn step(&mut self) -> Result<bool, FeedError> {
        match self.part {
            Part::Head => {
                let Some(end) = find(&self.input, b"\r\n\r\n") else {
                    return if self.input.len() > MOST_HEAD { Err(FeedError::Head) } else { Ok(false) };
                };
                let head = self.input.split_to(end + 4);
                self.part = read_head(&head[..end])?;
            }
            Part::Plain(left) => {
                let n = left.map_or(self.input.len(), |l| self.input.len().min(l as usize));
                self.body.extend_from_slice(&self.input.split_to(n));
                let left = left.map(|l| l - n as u64);
                self.part = if left == Some(0) { Part::End } else { Part::Plain(left) };
                return Ok(false);
            }
            Part::ChunkHead => {
                let Some(end) = find(&self.input, b"\r\n") else {
                    let long = self.input.len() > MOST_CHUNK_HEAD;
                    return if long { Err(FeedError::Chunk) } else { Ok(false) };
                };
                let head = self.input.split_to(end + 2);
                let digits = head[..end].split(|b| *b == b';').next().unwrap_or_default();
                let size = std::str::from_utf8(digits.trim_ascii()).ok();
                let size = size.filter(|s| !s.starts_with('+')).and_then(|s| u64::from_str_radix(s, 16).ok());
                // Trailers may follow the last chunk: nobody reads them.
                self.part = match size.ok_or(FeedError::Chunk)? {
                    0 => Part::End,
                    n => Part::Chunk(n),
                };
            }
            Part::Chunk(left) => {
                let n = self.input.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                self.body.extend_from_slice(&self.input.split_to(n));
                let left = left - n as u64;
                self.part = if left == 0 { Part::ChunkEnd } else { Part::Chunk(left) };
                return Ok(left == 0 && !self.input.is_empty());
            }
            Part::ChunkEnd => {
                if self.input.len() < 2 {
                    return Ok(false);
                }
                if self.input.split_to(2)[..] != b"\r\n"[..] {
                    return Err(FeedError::Chunk);
                }
                self.part = Part::ChunkHead;
            }
            Part::End => return Ok(false),
        }
        Ok(!self.input.is_empty())
    }
}

fn read_head(head: &[u8]) -> Result<Part, FeedError> {
    let head = std::str::from_utf8(head).map_err(|_| FeedError::Head)?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ');
    let http = words.next().is_some_and(|w| w.starts_with("HTTP/1."));
    let status: u16 = words.next().filter(|_| http).and_then(|w| w.parse().ok()).ok_or(FeedError::Head)?;
    let mut length = None;
    let mut chunked = false;
    for line in lines {
        let (name, value) = line.split_once(':').ok_or(FeedError::Head)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = value.to_ascii_lowercase().ends_with("chunked");
        } else if name.eq_ignore_ascii_case("content-length") {
            length = Some(value.parse().map_err(|_| FeedError::Head)?);
        }
    }
    match status {
        100..=199 => Ok(Part::Head), // an interim answer: the real one follows
        200 if chunked => Ok(Part::ChunkHead),
        200 if length == Some(0) => Ok(Part::End),
        200 => Ok(Part::Plain(length)),
        other => Err(FeedError::Status(other)),
    }
}
