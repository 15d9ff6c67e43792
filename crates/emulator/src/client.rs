//! Clients, open loop: arrivals are drawn by themselves, whatever becomes of earlier requests; and what each
//! client does with an answer.

use beaconshore::interface::Micros;

use crate::draws::{Draws, Purpose};
use crate::plan::{Plan, SECOND};

/// What a client wants: all its tries belong to it.
#[derive(Clone, Debug)]
pub struct Story {
    /// When it first asked.
    pub asked: Micros,
    /// Class.
    pub class: usize,
    /// Group.
    pub group: usize,
    /// Zone of the client.
    pub zone: usize,
    /// Which of the sessions of its group.
    pub session: usize,
    /// Work, in microseconds.
    pub work: f64,
    /// Which router of the zone, where there are several.
    pub pick: u64,
    /// Tries that are left.
    pub left: u32,
    /// Whether it heeds a time to come back.
    pub heeds: bool,
    /// Whether it counts: it came after the day settled.
    pub counts: bool,
}

/// Draws what clients want, and when.
pub struct Arrivals {
    arrivals: Draws,
    rate: f64,
    /// Strikes that multiply the traffic.
    bursts: Vec<(usize, f64)>,
    zones: Vec<f64>,
    classes: Vec<f64>,
    groups: Vec<f64>,
    sessions: usize,
}

fn sums(parts: impl Iterator<Item = f64>) -> Vec<f64> {
    parts
        .scan(0.0, |sum, part| {
            *sum += part;
            Some(*sum)
        })
        .collect()
}

fn pick(sums: &[f64], share: f64) -> usize {
    let at = share * sums.last().copied().unwrap_or(1.0);
    sums.partition_point(|sum| *sum <= at).min(sums.len().saturating_sub(1))
}

impl Arrivals {
    /// Of a day.
    pub fn new(plan: &Plan, seed: u64) -> Self {
        let count = plan.groups.members.len();
        let weight = |g: usize| 1.0 / ((g + 1) as f64).powf(plan.clients.skew);
        Arrivals {
            arrivals: Draws::new(seed, Purpose::Arrivals),
            rate: plan.clients.rate,
            bursts: Vec::new(),
            zones: sums(plan.clients_by_zone.iter().copied()),
            classes: sums(plan.classes.iter().map(|c| c.share)),
            groups: sums((0..count).map(weight)),
            sessions: (plan.clients.sessions / count).max(1),
        }
    }

    /// Time until the next arrival.
    pub fn wait(&mut self) -> Micros {
        let rate = self.bursts.iter().fold(self.rate, |rate, (_, times)| rate * times);
        (self.arrivals.wait(SECOND as f64 / rate) as Micros).max(1)
    }

    /// What arrives now.
    pub fn draw(&mut self, plan: &Plan, now: Micros, counts: bool) -> Story {
        let draws = &mut self.arrivals;
        let class = pick(&self.classes, draws.share());
        Story {
            asked: now,
            class,
            zone: pick(&self.zones, draws.share()),
            group: pick(&self.groups, draws.share()),
            session: draws.below(self.sessions),
            work: draws.lognormal(plan.classes[class].work, plan.classes[class].spread),
            pick: draws.any(),
            left: plan.clients.retries,
            heeds: draws.chance(plan.clients.heeds),
            counts,
        }
    }

    /// Sessions of each group.
    pub fn sessions(&self) -> usize {
        self.sessions
    }

    /// More traffic begins.
    pub fn burst(&mut self, strike: usize, times: f64) {
        self.bursts.push((strike, times));
    }

    /// A strike ends.
    pub fn heal(&mut self, strike: usize) {
        self.bursts.retain(|(s, _)| *s != strike);
    }
}

/// A final answer as a client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served, with the commit if it was a write.
    Served(Option<Micros>),
    /// Refused, with a time to come back.
    Refused(Micros),
    /// Failed.
    Failed,
}

/// When a client asks again after an answer, if it does.
pub fn again(story: &Story, plan: &Plan, answer: Answer, now: Micros) -> Option<Micros> {
    let deadline = story.asked + plan.classes[story.class].class.deadline;
    let pause = match answer {
        Answer::Served(_) => return None,
        // A failed request may have run: only what is safe or carries a key is asked again.
        Answer::Failed
            if plan.classes[story.class].class.effect == beaconshore::interface::Effect::Unsafe =>
        {
            return None;
        }
        Answer::Refused(after) if story.heeds && after > 0 => after,
        Answer::Refused(_) | Answer::Failed => plan.clients.pause,
    };
    (story.left > 0 && now + pause + 10_000 < deadline).then_some(now + pause)
}
