//! Determines how clients' requests delimit their bodies (RFC 9112, section 6). This runs alongside hyper, which drops
//! a Content-Length that comes with a Transfer-Encoding: a chunked request is accepted only if it is known to have no
//! Content-Length.

use std::collections::VecDeque;

/// Number of bytes kept of each line of a head: enough for a field name and a length.
const MAX_LINE_BYTES: usize = 64;
/// Maximum number of framings that were read but not yet returned. Bounds memory; hyper holds fewer heads than this.
const MAX_PENDING: usize = 1024;

/// The way a request delimits its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By Content-Length, or the request has no body.
    ContentLength,
    /// By Transfer-Encoding alone.
    Chunked,
    /// By both, which must not be trusted (RFC 9112, section 6.3).
    Conflicting,
}

/// What was read of one request head so far.
#[derive(Debug, Default)]
struct Head {
    request_line_read: bool,
    content_length: Option<u64>,
    chunked: bool,
    /// The start of the line that is being read.
    line: Vec<u8>,
}

impl Head {
    fn has_begun(&self) -> bool {
        self.request_line_read || !self.line.is_empty()
    }

    /// Processes a complete line; returns whether it ends the head.
    fn end_line(&mut self) -> bool {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if !self.request_line_read {
            // Empty lines may precede a request line (RFC 9112, section 2.2).
            self.request_line_read = !line.is_empty();
            return false;
        }
        if !line.is_empty() {
            self.read_field(line);
        }
        line.is_empty()
    }

    fn read_field(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let (name, value) = line.split_at(colon);
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let digits = std::str::from_utf8(value).unwrap_or("").trim_start_matches(':').trim();
            // hyper rejects an invalid length where the length is used.
            self.content_length = Some(digits.parse().unwrap_or(u64::MAX));
        }
    }

    /// Returns how the request delimits its body, and the position after the head.
    fn framing(&self) -> (BodyFraming, Position) {
        match (self.content_length, self.chunked) {
            (Some(_), true) => (BodyFraming::Conflicting, Position::Unknown),
            (None, true) => (BodyFraming::Chunked, Position::Unknown),
            (None | Some(0), false) => (BodyFraming::ContentLength, Position::Head(Head::default())),
            (Some(length), false) => (BodyFraming::ContentLength, Position::Body { remaining: length }),
        }
    }
}

/// The reader's position in the stream of requests.
#[derive(Debug)]
enum Position {
    Head(Head),
    Body {
        remaining: u64,
    },
    /// After a head with chunked or conflicting framing, or after too many pending framings: the reader does not know
    /// where the next head begins.
    Unknown,
}

/// Reads the request heads in the bytes of one connection and skips the bodies between them.
#[derive(Debug)]
pub struct FramingReader {
    position: Position,
    pending: VecDeque<BodyFraming>,
}

impl Default for FramingReader {
    fn default() -> FramingReader {
        FramingReader { position: Position::Head(Head::default()), pending: VecDeque::new() }
    }
}

impl FramingReader {
    /// Returns the framing of the next request, in order and once for each; `None` if it is unknown.
    pub fn next(&mut self) -> Option<BodyFraming> {
        self.pending.pop_front()
    }

    /// Returns whether the last bytes are the beginning of a head, and all heads before it have been returned by
    /// [`Self::next`].
    pub fn ends_in_next_head(&self) -> bool {
        let in_head = matches!(&self.position, Position::Head(head) if head.has_begun());
        in_head && self.pending.is_empty()
    }

    /// Processes received bytes.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            bytes = match &mut self.position {
                Position::Unknown => return,
                Position::Body { remaining } => {
                    let skipped = (bytes.len() as u64).min(*remaining);
                    *remaining -= skipped;
                    if *remaining == 0 {
                        self.position = Position::Head(Head::default());
                    }
                    &bytes[skipped as usize..]
                }
                Position::Head(_) => self.read_line(bytes),
            }
        }
    }

    /// Reads a line of a head, or a part of one, and returns the bytes after it.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let Position::Head(head) = &mut self.position else { return bytes };
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..line_end.unwrap_or(bytes.len())];
        let kept = part.len().min(MAX_LINE_BYTES.saturating_sub(head.line.len()));
        head.line.extend_from_slice(&part[..kept]);
        let Some(line_end) = line_end else { return &[] };
        if head.end_line() {
            let (framing, next) = head.framing();
            self.pending.push_back(framing);
            self.position = if self.pending.len() < MAX_PENDING { next } else { Position::Unknown };
        }
        &bytes[line_end + 1..]
    }
}

#[cfg(test)]
mod tests;
