//! The framing of clients' requests, read beside hyper, which drops a Content-Length that stands with a
//! Transfer-Encoding: a chunked request is believed only if it was seen to name no length as well.

use std::collections::VecDeque;

/// As much of a header line as is kept: its name and a length.
const LINE: usize = 64;
/// Requests that were read and not asked for. Guards memory; hyper holds fewer heads than this.
const UNASKED: usize = 1024;

/// How a request says how long its body is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lengths {
    /// By Content-Length, or it has none.
    Counted,
    /// By chunks alone.
    Chunked,
    /// By both, which is for nobody to believe.
    Both,
}

#[derive(Debug)]
enum At {
    /// In a head: the line so far, whether it is the first one, and what the lines before it said.
    Head { line: Vec<u8>, first: bool, length: Option<u64>, chunked: bool },
    /// In a body with so many bytes to come.
    Body(u64),
    /// Behind a chunked head, or one that can't be followed. What comes next on this connection is not known.
    Lost,
}

const HEAD: At = At::Head { line: Vec::new(), first: true, length: None, chunked: false };

/// Follows the bytes of one connection from head to head.
#[derive(Debug)]
pub struct Heads {
    at: At,
    seen: VecDeque<Lengths>,
}

impl Default for Heads {
    fn default() -> Heads {
        Heads { at: HEAD, seen: VecDeque::new() }
    }
}

impl Heads {
    /// How the next request says how long it is, each asked for once and in order; `None` if that was not seen.
    pub fn next(&mut self) -> Option<Lengths> {
        self.seen.pop_front()
    }

    /// Bytes came.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Lost => return,
                At::Body(left) => {
                    let here = (bytes.len() as u64).min(*left);
                    *left -= here;
                    bytes = &bytes[here as usize..];
                    if *left == 0 {
                        self.at = HEAD;
                    }
                }
                At::Head { line, .. } => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    line.extend_from_slice(&part[..part.len().min(LINE.saturating_sub(line.len()))]);
                    let Some(end) = end else { return };
                    bytes = &bytes[end + 1..];
                    self.line();
                }
            }
        }
    }

    /// A line of a head is whole.
    fn line(&mut self) {
        let At::Head { line, first, length, chunked } = &mut self.at else { return };
        let text = std::mem::take(line);
        let text = text.strip_suffix(b"\r").unwrap_or(&text);
        let empty = text.is_empty();
        if *first {
            // Empty lines may stand before a request.
            *first = empty;
        } else if !empty {
            let colon = text.iter().position(|b| *b == b':').unwrap_or(text.len());
            let (name, value) = text.split_at(colon);
            if name.eq_ignore_ascii_case(b"transfer-encoding") {
                *chunked = true;
            } else if name.eq_ignore_ascii_case(b"content-length") {
                let digits = std::str::from_utf8(value).unwrap_or("").trim_start_matches(':').trim();
                // One that can't be read is refused by hyper where it counts.
                *length = Some(digits.parse().unwrap_or(u64::MAX));
            }
        } else {
            let (lengths, next) = match (*length, *chunked) {
                (Some(_), true) => (Lengths::Both, At::Lost),
                (None, true) => (Lengths::Chunked, At::Lost),
                (None | Some(0), false) => (Lengths::Counted, HEAD),
                (Some(length), false) => (Lengths::Counted, At::Body(length)),
            };
            self.seen.push_back(lengths);
            self.at = if self.seen.len() < UNASKED { next } else { At::Lost };
        }
    }
}

#[cfg(test)]
mod tests;
