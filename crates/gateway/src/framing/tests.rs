use super::*;
use Lengths::*;

/// What is seen of these bytes, whatever the pieces in which they come.
fn seen(text: &str) -> Vec<Lengths> {
    let by = |size: usize| {
        let mut heads = Heads::default();
        text.as_bytes().chunks(size).for_each(|piece| heads.read(piece));
        std::iter::from_fn(|| heads.next()).collect::<Vec<_>>()
    };
    let whole = by(usize::MAX);
    (1..40).for_each(|size| assert_eq!(by(size), whole, "in pieces of {size}"));
    whole
}

#[test]
fn each_request_is_known_by_its_own_lengths_alone() {
    let plain = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
    let counted = "POST /a HTTP/1.1\r\ncontent-LENGTH: 5 \r\n\r\nhello";
    let chunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let both = "POST /a HTTP/1.1\nTransfer-Encoding: chunked\nX: y\nContent-Length: 0\n\n";
    assert_eq!(
        seen(&[plain, counted, "\r\n", counted, chunked].concat()),
        [Counted, Counted, Counted, Chunked]
    );
    assert_eq!(seen(&[counted, both].concat()), [Counted, Both]);
    // A body that looks like a head is none.
    let hidden = chunked.replace("POST", "PUT");
    let body = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{hidden}{plain}", hidden.len());
    assert_eq!(seen(&body), [Counted, Counted]);
    // What follows chunks is not followed, so never believed.
    assert_eq!(seen(&[chunked, "0\r\n\r\n", chunked].concat()), [Chunked]);
    let long = format!("POST /a HTTP/1.1\r\nX: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(4 * LINE));
    assert_eq!(seen(&long), [Counted]);
}

#[test]
fn what_nobody_asks_for_does_not_grow() {
    let mut heads = Heads::default();
    (0..2 * UNASKED).for_each(|_| heads.read(b"GET / HTTP/1.1\r\n\r\n"));
    assert_eq!(std::iter::from_fn(|| heads.next()).count(), UNASKED);
}
