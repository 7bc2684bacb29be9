//! What a gateway believes of the fleet, for operators and for decisions.

use crate::node::{Facts, Node};
use serde::Serialize;
use std::collections::BTreeMap;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It answers.
    Present,
    /// It did not answer somebody, and has a moment left to say that it lives.
    Suspect,
    /// It announced that it leaves, and left.
    Left,
    /// It is silent, or its place was taken by a later life.
    Lost,
}

impl Standing {
    /// It counts as one of the fleet.
    pub fn is_present(self) -> bool {
        matches!(self, Standing::Present | Standing::Suspect)
    }
}

/// How a change came to be known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Seen {
    /// This gateway's own probes.
    Here,
    /// Told by the member of this name.
    By(String),
}

impl std::fmt::Display for Seen {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Seen::Here => f.write_str("here"),
            Seen::By(name) => write!(f, "by {name}"),
        }
    }
}

/// A change of what is believed of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The member.
    pub node: Node,
    /// How it stood; `None`: it was not known.
    pub before: Option<Standing>,
    /// How it stands.
    pub now: Standing,
    /// Who saw it.
    pub seen: Seen,
}

/// One member.
#[derive(Clone, Debug, Serialize)]
pub struct MemberView {
    /// Its identity.
    #[serde(flatten)]
    pub node: Node,
    /// How it stands.
    pub standing: Standing,
    /// Who saw that.
    pub seen: Seen,
    /// For how long it has stood so, in microseconds.
    pub since: u64,
    /// A later life of its name is present too, and has the name.
    pub superseded: bool,
    /// What it told of itself.
    pub facts: Facts,
    /// Whether the last digest it told is that of this view; `None`: it told none lately.
    pub agrees: Option<bool>,
    /// The fleet plan that it acts on; `None`: it has none.
    pub acts_on: Option<ActsOn>,
}

/// A place in the fleet plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ActsOn {
    /// The plan's index.
    pub index: u64,
    /// Its digest there.
    pub digest: String,
}

/// How many members of a zone stand how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneView {
    /// Present and not suspect.
    pub present: usize,
    /// Suspect.
    pub suspect: usize,
    /// Left or lost.
    pub gone: usize,
}

/// All that a gateway believes.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This gateway.
    pub me: Node,
    /// Raised with each change here.
    pub version: u64,
    /// The same wherever the same members are present and have told the same facts.
    pub digest: String,
    /// Each member, this gateway included, by name.
    pub members: Vec<MemberView>,
    /// By zone.
    pub zones: BTreeMap<String, ZoneView>,
    /// Names that two processes claim at once.
    pub claimed_twice: Vec<String>,
    /// Members that were heard lately and whose digest is another.
    pub disagreeing: usize,
}
