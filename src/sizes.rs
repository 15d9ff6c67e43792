//! The number of entries in a router's tables, for logs and tests. This file makes no decision.

use crate::policy::Router;

/// Number of entries in each of a router's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Known members.
    pub members: usize,
    /// Known groups.
    pub groups: usize,
    /// Requests that await their final answer.
    pub requests: usize,
    /// Sessions whose last commit is remembered.
    pub sessions: usize,
}

impl Router {
    /// Returns the number of entries in the router's tables.
    pub fn sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.len(),
            groups: self.groups.len(),
            requests: self.pending.len(),
            sessions: self.sessions.len(),
        }
    }
}
