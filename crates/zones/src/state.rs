//! The state of one zone: well, lost, cut off, or on its way back; with a bound on how often that may change.

use std::collections::VecDeque;

use beaconshore::interface::Micros;

use crate::evidence::{Assessment, Verdict};
use crate::policy::Policy;
use crate::ramp::{Move, Ramp, Reason};

/// Losses that are remembered: more would not lengthen the way back any further.
const LOSSES: usize = 16;

/// Where a zone stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Phase {
    /// In use by its tier.
    Well,
    /// Its members fail together, as seen from everywhere.
    Lost,
    /// Its members fail together from here only.
    CutOff,
    /// It answers again, and gets a share that grows.
    Returning(Ramp),
}

/// A change that operators see in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Now lost.
    Lost,
    /// Now cut off.
    CutOff,
    /// On its way back, after so many losses of late.
    Returning(u32),
    /// A step up, to this one.
    Up(usize),
    /// A step down, to this one.
    Down(usize, Reason),
    /// Well again.
    Well,
}

/// One zone's state, with what bounds its changes.
#[derive(Clone, Debug)]
pub struct State {
    phase: Phase,
    since: Micros,
    losses: VecDeque<Micros>,
    turned: u64,
}

impl State {
    /// A zone of which nothing bad is known.
    pub fn new(now: Micros) -> Self {
        State { phase: Phase::Well, since: now, losses: VecDeque::new(), turned: 0 }
    }

    /// Where it stands.
    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    /// Since when.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// How often this router turned away from it or back to it.
    pub fn turned(&self) -> u64 {
        self.turned
    }

    /// Whether its members are to count as possibly dead.
    pub fn is_doubted(&self) -> bool {
        matches!(self.phase, Phase::Lost | Phase::CutOff)
    }

    /// Its way back, if it is on that.
    pub fn ramp(&mut self) -> Option<&mut Ramp> {
        match &mut self.phase {
            Phase::Returning(ramp) => Some(ramp),
            _ => None,
        }
    }

    /// Losses within the memory for flapping, without the last.
    fn earlier_losses(&self, policy: &Policy, now: Micros) -> u32 {
        let recent = self.losses.iter().filter(|at| now <= **at + policy.flap_memory).count() as u32;
        recent.saturating_sub(1).min(policy.most_doublings)
    }

    /// Time from a loss until the zone may be turned to again: this bounds the changes of preference to two in
    /// each such time, and each further loss within the memory doubles it.
    pub fn hold(&self, policy: &Policy, now: Micros) -> Micros {
        policy.hold << self.earlier_losses(policy, now)
    }

    /// Goes on by what its members show.
    pub fn look(
        &mut self,
        zone: &Assessment,
        verdict: Verdict,
        policy: &Policy,
        usual: f64,
        now: Micros,
    ) -> Option<Change> {
        match (&mut self.phase, verdict) {
            (Phase::Well | Phase::Returning(_), Verdict::Lost) => {
                if self.losses.len() == LOSSES {
                    self.losses.pop_front();
                }
                self.losses.push_back(now);
                Some(self.enter(Phase::Lost, Change::Lost, now))
            }
            (Phase::Well | Phase::Returning(_), Verdict::CutOff) => {
                Some(self.enter(Phase::CutOff, Change::CutOff, now))
            }
            // What was taken for a loss is known as a cut once peers tell.
            (Phase::Lost, Verdict::CutOff) => {
                self.losses.pop_back();
                self.phase = Phase::CutOff;
                None
            }
            (Phase::Lost | Phase::CutOff, Verdict::Stands) => {
                let cut = self.phase == Phase::CutOff;
                let hold = if cut { policy.hold } else { self.hold(policy, now) };
                let proven = zone.answering >= 2.min(zone.known).max(1);
                if !proven || now < self.since + hold {
                    return None;
                }
                let doublings = self.earlier_losses(policy, now);
                let ramp = Ramp::start(now, cut, doublings);
                Some(self.enter(Phase::Returning(ramp), Change::Returning(doublings), now))
            }
            (Phase::Returning(ramp), Verdict::Stands) => match ramp.look(zone, policy, usual, now) {
                Move::Stay => None,
                Move::Up => Some(Change::Up(ramp.step())),
                Move::Down(reason) => Some(Change::Down(ramp.step(), reason)),
                Move::Done => {
                    (self.phase, self.since) = (Phase::Well, now);
                    Some(Change::Well)
                }
            },
            (Phase::Well, Verdict::Stands)
            | (Phase::Lost, Verdict::Lost)
            | (Phase::CutOff, Verdict::Lost | Verdict::CutOff) => None,
        }
    }

    fn enter(&mut self, phase: Phase, change: Change, now: Micros) -> Change {
        (self.phase, self.since) = (phase, now);
        self.turned += 1;
        change
    }
}
