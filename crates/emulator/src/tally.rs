//! What a day brought, second by second.

use beaconshore::interface::Micros;
use beaconshore::sizes::TableSizes;

use crate::audit::Breach;
use crate::plan::{Plan, DAWN, SECOND};

/// One second of a day, by when requests were first asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Second {
    /// Worth asked for.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Stories that began.
    pub stories: u32,
    /// Of these, served in time, served late, and never served.
    pub in_time: u32,
    /// Served late.
    pub late: u32,
    /// Never served.
    pub lost: u32,
    /// Tries that routers refused in this second.
    pub refused: u32,
    /// Tries that routers failed in this second.
    pub failed: u32,
    /// Attempts sent in this second.
    pub attempts: u32,
    /// Probes sent in this second.
    pub probes: u32,
    /// Messages that routers told all others in this second.
    pub told: u32,
    /// Work of reads sent to each zone from routers elsewhere whose zone holds a replica of the group.
    pub spilled: Vec<f64>,
    /// Busy share of each member's cores.
    pub load: Vec<f32>,
    /// The most that any router kept at the end of this second.
    pub kept: TableSizes,
}

/// A served request: class, second of the day in which it was first asked, time in microseconds.
pub type Latency = (u8, u16, u32);

/// What a day brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Day {
    /// By second.
    pub seconds: Vec<Second>,
    /// Served requests.
    pub latencies: Vec<Latency>,
    /// Broken rules.
    pub breaches: Vec<Breach>,
    /// Members that were pushed over.
    pub fallen: u32,
    /// For each zone, the most work that spilled there in any second, in microseconds.
    pub most_spilled: Vec<f64>,
    /// Seconds (of any placement, counted at each send) in which more spilled than the limit, over all zones.
    pub over_limit: u64,
    /// Changes of preference, over all routers.
    pub turns: u64,
    /// Requests of all tries that routers took.
    pub taken: u64,
    /// Log lines of routers: time since dawn, router, line.
    pub lines: Vec<(Micros, usize, String)>,
}

impl Day {
    /// An empty day.
    pub fn new(plan: &Plan) -> Self {
        let zones = plan.zones.len();
        let second = Second { spilled: vec![0.0; zones], ..Second::default() };
        Day { seconds: vec![second; plan.seconds() + 1], most_spilled: vec![0.0; zones], ..Day::default() }
    }

    /// The second that holds a time.
    pub fn second(&mut self, at: Micros) -> &mut Second {
        let index = (at.saturating_sub(DAWN) / SECOND) as usize;
        let last = self.seconds.len() - 1;
        &mut self.seconds[index.min(last)]
    }

    /// Worth earned over worth asked for, from one second to another.
    pub fn score_between(&self, from: usize, to: usize) -> f64 {
        let seconds = &self.seconds[from.min(self.seconds.len())..to.min(self.seconds.len())];
        let asked: f64 = seconds.iter().map(|s| s.asked).sum();
        let earned: f64 = seconds.iter().map(|s| s.earned).sum();
        if asked > 0.0 {
            earned / asked
        } else {
            0.0
        }
    }

    /// The same over the day.
    pub fn score(&self) -> f64 {
        self.score_between(0, self.seconds.len())
    }
}
