use super::*;
use BodyFraming::{Chunked, Conflicting, ContentLength};

/// Returns the framings read from `text`, after checking that they do not depend on how it is split into chunks.
fn framings(text: &str) -> Vec<BodyFraming> {
    let framings_in_chunks_of = |size: usize| {
        let mut reader = FramingReader::default();
        text.as_bytes().chunks(size).for_each(|chunk| reader.read(chunk));
        std::iter::from_fn(|| reader.next()).collect::<Vec<_>>()
    };
    let expected = framings_in_chunks_of(usize::MAX);
    (1..40).for_each(|size| assert_eq!(framings_in_chunks_of(size), expected, "in chunks of {size} bytes"));
    expected
}

#[test]
fn each_request_has_the_framing_of_its_own_head() {
    let plain = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let counted = "POST /a HTTP/1.1\r\ncontent-LENGTH: 5 \r\n\r\nhello";
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let both = "POST /a HTTP/1.1\nTransfer-Encoding: chunked\nX: y\nContent-Length: 0\n\n";
    assert_eq!(
        framings(&[plain, counted, "\r\n", counted, chunked].concat()),
        [ContentLength, ContentLength, ContentLength, Chunked]
    );
    assert_eq!(framings(&[counted, both].concat()), [ContentLength, Conflicting]);
    // A body that looks like a request head is not read as one.
    let hidden = chunked.replace("POST", "PUT");
    let body = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{hidden}{plain}", hidden.len());
    assert_eq!(framings(&body), [ContentLength, ContentLength]);
    // Requests after a chunked body are not read, so their framing is unknown.
    assert_eq!(framings(&[chunked, "0\r\n\r\n", chunked].concat()), [Chunked]);
    let long =
        format!("POST /a HTTP/1.1\r\nX: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(4 * MAX_LINE_BYTES));
    assert_eq!(framings(&long), [ContentLength]);
}

#[test]
fn the_number_of_pending_framings_is_bounded() {
    let mut reader = FramingReader::default();
    (0..2 * MAX_PENDING).for_each(|_| reader.read(b"GET / HTTP/1.1\r\n\r\n"));
    assert_eq!(std::iter::from_fn(|| reader.next()).count(), MAX_PENDING);
}

#[test]
fn only_a_head_behind_all_returned_ones_counts_as_the_next() {
    let mut reader = FramingReader::default();
    assert!(!reader.ends_in_next_head(), "nothing was read");
    reader.read(b"GET /");
    assert!(reader.ends_in_next_head());
    reader.read(b" HTTP/1.1\r\nHost: a\r\n\r\nPOST / HTTP/1.1\r\n");
    assert!(!reader.ends_in_next_head(), "the head before it is still to be returned");
    reader.next();
    assert!(reader.ends_in_next_head());
    reader.read(b"Content-Length: 4\r\n\r\nab");
    reader.next();
    assert!(!reader.ends_in_next_head(), "the rest of a body is not the next head");
    reader.read(b"cdG");
    assert!(reader.ends_in_next_head());
}
