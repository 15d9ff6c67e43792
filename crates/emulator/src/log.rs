//! A group's log: commits of its primary, shipped to replicas, applied there by one thread each.

use beaconshore::interface::Micros;

/// A commit.
#[derive(Clone, Copy, Debug)]
struct Commit {
    at: Micros,
    /// Time that a replica's thread needs for it, in microseconds.
    cost: f64,
}

/// A group's commits.
#[derive(Clone, Debug, Default)]
pub struct Log {
    commits: Vec<Commit>,
    /// The primary is gone since then: nothing is told of the time after.
    pub ends: Option<Micros>,
    /// Commits that were never shipped when their primary died.
    pub lost: u64,
}

/// How far one member has applied its group's log.
#[derive(Clone, Debug)]
pub struct Applied {
    next: usize,
    free_at: f64,
    /// Times slower than usual.
    pub slower: f64,
    position: Micros,
}

impl Log {
    /// A commit of the primary.
    pub fn commit(&mut self, at: Micros, cost: f64) {
        self.commits.push(Commit { at, cost });
    }

    /// The primary is gone: what had not left it is lost.
    pub fn cut_off(&mut self, at: Micros, ship: Micros) {
        let before = self.commits.len();
        self.commits.retain(|c| c.at + ship <= at);
        self.lost += (before - self.commits.len()) as u64;
        self.ends = Some(at);
    }
}

impl Applied {
    /// A member that has all, or is the primary.
    pub fn all(log: &Log, now: Micros) -> Self {
        Applied { next: log.commits.len(), free_at: now as f64, slower: 1.0, position: now }
    }

    /// A replica of an empty log.
    pub fn replica(now: Micros, ship: Micros) -> Self {
        Applied { next: 0, free_at: now as f64, slower: 1.0, position: now - ship }
    }

    /// Applies what there was time for; `strain` slows the thread beside busy cores.
    pub fn advance(&mut self, log: &Log, now: Micros, ship: Micros, strain: f64) {
        self.next = self.next.min(log.commits.len());
        while let Some(commit) = log.commits.get(self.next) {
            let start = self.free_at.max((commit.at + ship) as f64);
            let done = start + commit.cost * self.slower * strain;
            if done > now as f64 {
                break;
            }
            (self.free_at, self.next) = (done, self.next + 1);
        }
        let reached = match log.commits.get(self.next) {
            Some(commit) => commit.at - 1,
            None => log.ends.unwrap_or(now).min(now).saturating_sub(ship),
        };
        self.position = self.position.max(reached);
    }

    /// It stood still until now, and starts further back by this time.
    pub fn resume(&mut self, log: &Log, now: Micros, back: Micros) {
        self.free_at = now as f64;
        let from = self.position.saturating_sub(back);
        self.next = self.next.min(log.commits.partition_point(|c| c.at <= from));
        self.position = from;
    }

    /// Commits that it has not applied.
    pub fn backlog(&self, log: &Log) -> usize {
        log.commits.len().saturating_sub(self.next)
    }

    /// Up to this time it has applied all.
    pub fn position(&self) -> Micros {
        self.position
    }

    /// What it has as a primary that has just committed.
    pub fn lead(&mut self, log: &Log, now: Micros) {
        (self.next, self.position) = (log.commits.len(), self.position.max(now));
    }

    /// Which of several has more: by applied commits, then by position.
    pub fn rank(&self) -> (usize, Micros) {
        (self.next, self.position)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_slow_replica_falls_behind_and_catches_up() {
        let (mut log, ship) = (Log::default(), 5_000);
        let mut replica = Applied::replica(1_000_000, ship);
        for i in 0..100 {
            log.commit(2_000_000 + i * 50_000, 20_000.0);
        }
        replica.slower = 10.0;
        replica.advance(&log, 7_000_000, ship, 1.0);
        let behind = replica.position();
        assert!((3_000_000..3_500_000).contains(&behind), "{behind}");
        replica.slower = 1.0;
        replica.advance(&log, 9_000_000, ship, 1.0);
        assert_eq!(replica.position(), 9_000_000 - ship);
        assert_eq!(replica.backlog(&log), 0);
    }

    #[test]
    fn a_lost_primary_takes_along_what_it_had_not_shipped() {
        let (mut log, ship) = (Log::default(), 5_000);
        log.commit(1_000_000, 1.0);
        log.commit(1_008_000, 1.0);
        log.cut_off(1_010_000, ship);
        assert_eq!(log.lost, 1);
        let mut replica = Applied::replica(900_000, ship);
        replica.advance(&log, 5_000_000, ship, 1.0);
        assert_eq!(replica.position(), 1_005_000, "nothing is told of the time after the primary");
    }
}
