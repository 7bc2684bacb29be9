//! Encodes and decodes SWIM messages with postcard, and rejects invalid identities.

use crate::node::Node;
use bytes::{Buf, BufMut};
use foca::{Codec, Header, Member, PostcardCodec};

/// The highest accepted incarnation, in microseconds of Unix time: the year 2255. The limit rejects a forged
/// incarnation that no later one could exceed.
pub(super) const MAX_INCARNATION: u64 = 1 << 53;

/// A postcard codec that rejects invalid identities when decoding.
pub(super) struct ValidatingCodec(PostcardCodec);

impl ValidatingCodec {
    pub(super) fn new() -> ValidatingCodec {
        ValidatingCodec(PostcardCodec)
    }
}

/// Returns whether an identity may be stored in the member table.
pub(super) fn is_acceptable(node: &Node) -> bool {
    node.is_valid() && node.incarnation <= MAX_INCARNATION
}

fn validate(node: &Node) -> Result<(), postcard::Error> {
    match is_acceptable(node) {
        true => Ok(()),
        false => Err(postcard::Error::DeserializeBadUtf8),
    }
}

impl Codec<Node> for ValidatingCodec {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Node>, buffer: impl BufMut) -> Result<(), Self::Error> {
        self.0.encode_header(header, buffer)
    }
    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<Node>, Self::Error> {
        let header = self.0.decode_header(buffer)?;
        validate(&header.src)?;
        validate(&header.dst)?;
        Ok(header)
    }
    fn encode_member(&mut self, member: &Member<Node>, buffer: impl BufMut) -> Result<(), Self::Error> {
        self.0.encode_member(member, buffer)
    }
    fn decode_member(&mut self, buffer: impl Buf) -> Result<Member<Node>, Self::Error> {
        let member: Member<Node> = self.0.decode_member(buffer)?;
        validate(member.id())?;
        Ok(member)
    }
}

/// Returns whether a SWIM message can be decoded and contains only known nodes.
pub(super) fn names_only(mut message: &[u8], is_known: impl Fn(&Node) -> bool) -> bool {
    let mut codec = ValidatingCodec::new();
    let Ok(header) = codec.decode_header(&mut message) else { return false };
    if !is_known(&header.src) {
        return false;
    }
    let members = if message.len() >= 2 { message.get_u16() } else { 0 };
    (0..members).all(|_| codec.decode_member(&mut message).is_ok_and(|member| is_known(member.id())))
}
