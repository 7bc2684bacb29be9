//! Detects active members that have the same name.

use crate::node::Node;
use std::collections::BTreeMap;

/// Two active members with the same name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// The member that started earlier.
    pub older: Node,
    /// The member that started later and therefore owns the name.
    pub newer: Node,
}

/// The known conflicts.
#[derive(Default)]
pub(super) struct NameConflicts {
    known: Vec<NameConflict>,
}

impl NameConflicts {
    /// Detects conflicts among the active nodes, and returns the new ones. A conflict counts only once both nodes are
    /// settled, because a gateway that restarted at another address stays active at its old one for a short time.
    pub(super) fn update<'a>(
        &mut self,
        active: impl Iterator<Item = &'a Node>,
        is_settled: impl Fn(&Node) -> bool,
    ) -> Vec<NameConflict> {
        let mut by_name = BTreeMap::<&str, Vec<&Node>>::new();
        active.for_each(|node| by_name.entry(&node.name).or_default().push(node));
        let mut found = Vec::new();
        for mut nodes in by_name.into_values().filter(|nodes| nodes.len() > 1) {
            nodes.sort_by_key(|node| node.recency());
            for pair in nodes.windows(2).filter(|pair| pair.iter().all(|node| is_settled(node))) {
                found.push(NameConflict { older: pair[0].clone(), newer: pair[1].clone() });
            }
        }
        let new = found.iter().filter(|conflict| !self.known.contains(conflict)).cloned().collect();
        self.known = found;
        new
    }

    /// Returns the names in conflict, without duplicates.
    pub(super) fn names(&self) -> Vec<String> {
        let mut names: Vec<String> = self.known.iter().map(|conflict| conflict.older.name.clone()).collect();
        names.dedup();
        names
    }
}
