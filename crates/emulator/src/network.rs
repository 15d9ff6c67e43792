//! The network: delays between zones, and the cuts and losses that are in force.

use beaconshore::interface::Micros;

use crate::draws::Draws;

/// A cut that is in force: which strike made it, and what it takes.
#[derive(Clone, Debug)]
struct Cut {
    strike: usize,
    from: Vec<usize>,
    to: Vec<usize>,
    answers_only: bool,
}

/// Which way a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// From a router to a member or another router.
    Out,
    /// A member's answer.
    Back,
}

/// Delays and cuts.
pub struct Network {
    delays: Vec<Vec<f64>>,
    jitter: f64,
    cuts: Vec<Cut>,
    /// Share of new connections that are lost, by the strikes in force.
    losses: Vec<(usize, f64)>,
    /// Share of answers that are lost, and of messages between routers, by the strikes in force.
    answers: Vec<(usize, f64)>,
    peers: Vec<(usize, f64)>,
    draws: Draws,
}

impl Network {
    /// All is well.
    pub fn new(delays: Vec<Vec<f64>>, jitter: f64, draws: Draws) -> Self {
        Network {
            delays,
            jitter,
            cuts: Vec::new(),
            losses: Vec::new(),
            answers: Vec::new(),
            peers: Vec::new(),
            draws,
        }
    }

    /// The mean delay one way.
    pub fn mean(&self, a: usize, b: usize) -> f64 {
        self.delays[a][b]
    }

    /// A message's delay.
    pub fn delay(&mut self, a: usize, b: usize) -> Micros {
        self.draws.around(self.delays[a][b], self.jitter).max(1)
    }

    /// Whether a message between a router's zone and a member's gets through.
    pub fn passes(&self, router: usize, member: usize, way: Way) -> bool {
        let takes = |cut: &&Cut| {
            let hit = cut.from.contains(&router) && cut.to.contains(&member);
            hit && router != member && (way == Way::Back || !cut.answers_only)
        };
        !self.cuts.iter().any(|cut| takes(&cut))
    }

    /// Whether messages get through both ways.
    pub fn passes_both(&self, router: usize, member: usize) -> bool {
        self.passes(router, member, Way::Out) && self.passes(router, member, Way::Back)
    }

    /// Whether a new connection is lost on its way.
    pub fn loses_connection(&mut self) -> bool {
        let share = lost(&self.losses);
        self.loses(share)
    }

    /// Whether an answer is lost on its way, and its connection reset.
    pub fn loses_answer(&mut self) -> bool {
        let share = lost(&self.answers);
        self.loses(share)
    }

    /// Whether a message between routers is lost, where this share is lost on a good day.
    pub fn loses_word(&mut self, usual: f64) -> bool {
        let share = 1.0 - (1.0 - lost(&self.peers)) * (1.0 - usual);
        self.loses(share)
    }

    /// Whether something of which this share is lost is lost.
    fn loses(&mut self, share: f64) -> bool {
        share > 0.0 && self.draws.chance(share)
    }

    /// A time around a mean.
    pub fn around(&mut self, mean: f64) -> Micros {
        self.draws.around(mean, self.jitter)
    }

    /// A cut begins.
    pub fn cut(&mut self, strike: usize, from: Vec<usize>, to: Vec<usize>, answers_only: bool) {
        self.cuts.push(Cut { strike, from, to, answers_only });
    }

    /// Connections begin to be lost.
    pub fn lose(&mut self, strike: usize, share: f64) {
        self.losses.push((strike, share));
    }

    /// Answers begin to be lost.
    pub fn lose_answers(&mut self, strike: usize, share: f64) {
        self.answers.push((strike, share));
    }

    /// Messages between routers begin to be lost.
    pub fn lose_words(&mut self, strike: usize, share: f64) {
        self.peers.push((strike, share));
    }

    /// What a strike brought ends.
    pub fn heal(&mut self, strike: usize) {
        self.cuts.retain(|cut| cut.strike != strike);
        for losses in [&mut self.losses, &mut self.answers, &mut self.peers] {
            losses.retain(|(s, _)| *s != strike);
        }
    }
}

/// Share that is lost where several strikes each take theirs.
fn lost(losses: &[(usize, f64)]) -> f64 {
    1.0 - losses.iter().map(|(_, share)| 1.0 - share).product::<f64>()
}
