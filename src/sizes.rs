//! How much a router keeps, for logs and tests; decides nothing.

use crate::policy::Router;

/// Entries of a router's tables.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Members that it knows.
    pub members: usize,
    /// Groups.
    pub groups: usize,
    /// Requests that await their final answer.
    pub requests: usize,
    /// Sessions whose commits it remembers.
    pub sessions: usize,
}

impl Router {
    /// The sizes of its tables.
    pub fn sizes(&self) -> TableSizes {
        TableSizes {
            members: self.members.len(),
            groups: self.groups.len(),
            requests: self.held.len(),
            sessions: self.sessions.len(),
        }
    }
}
