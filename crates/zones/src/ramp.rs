//! The way back of one zone: steps of growing share, each of which must prove itself before the next.

use beaconshore::interface::{Micros, RuleParameters};

use crate::evidence::Assessment;
use crate::policy::Policy;

/// Shares of the reads that would go there, by step. The first is a few requests of each router.
pub const STEPS: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0];
/// Step at which a way that was only cut is taken up: its members did not get cold.
const WARM_STEP: usize = 4;
/// While its replicas are behind, a zone gets no more than this share: catching up comes first.
const BEHIND_SHARE: f64 = 0.1;
/// Part of the replicas that must be fresh for the zone not to be behind.
const FRESH: f64 = 0.5;
/// A zone this busy has no room for a further step.
const BUSY: f64 = 0.9;
/// A step of next to no share needs this part of the proof that the last one needs: little is at stake there.
const LEAST_PROOF: f64 = 0.25;
/// A router with little traffic goes on after so many stays, with one answer (a probe's will do) and no failure:
/// what it may send is too little to matter by itself, and others look as well.
const SPARSE_STAYS: u32 = 4;

/// What a step showed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Proof {
    probes: u32,
    answers: u32,
    failures: u32,
    took: f64,
}

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    /// Not yet.
    Stay,
    /// It proved itself: the next one.
    Up,
    /// It was too much.
    Down(Reason),
    /// The last step proved itself: the zone is back.
    Done,
}

/// Why a step was too much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Too many attempts failed.
    Failures,
    /// Answers took far longer than usual.
    Slow,
    /// Its replicas fall further behind.
    FallingBehind,
}

/// What a zone comes back from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum From {
    /// Its members were gone: they may be cold, whatever the list says of their start.
    Loss,
    /// Only the way there was cut: its members went on, unless the list names a start.
    Cut,
}

/// A zone's way back.
#[derive(Clone, Debug, PartialEq)]
pub struct Ramp {
    from: From,
    step: usize,
    since: Micros,
    began: Micros,
    /// Each stay is so many times the usual: doubled by losses shortly before, and by steps that were too much.
    doublings: u32,
    fallen: u32,
    proof: Proof,
    /// Mean lag when the step began.
    lag: f64,
}

impl Ramp {
    /// The way back from a loss, lengthened by so many doublings; from a cut it starts further on.
    pub fn start(now: Micros, cut: bool, doublings: u32) -> Self {
        let step = if cut { WARM_STEP } else { 0 };
        let doublings = if cut { 0 } else { doublings };
        let from = if cut { From::Cut } else { From::Loss };
        Ramp {
            from,
            step,
            since: now,
            began: now,
            doublings,
            fallen: 0,
            proof: Proof::default(),
            lag: f64::MAX,
        }
    }

    /// The step, from 0.
    pub fn step(&self) -> usize {
        self.step
    }

    /// Takes the end of an attempt there.
    pub fn on_end(&mut self, answered: bool, took: Micros) {
        if answered {
            self.proof.answers += 1;
            self.proof.took += took as f64;
        } else {
            self.proof.failures += 1;
        }
    }

    /// Takes the answer to a probe there.
    pub fn on_probe(&mut self) {
        self.proof.probes += 1;
    }

    /// Whether this step has had no answer so far: a probe may have to do.
    pub fn is_unproven(&self) -> bool {
        self.proof.answers + self.proof.probes == 0
    }

    /// The share of reads that may go there now: the step's, as far as the age of its members allows. All
    /// routers draw from their own traffic, so the sum over any fleet is this share of the zone's usual load.
    pub fn share(&self, zone: &Assessment, rules: &RuleParameters, now: Micros) -> f64 {
        let began = match self.from {
            From::Loss => Some(self.began),
            From::Cut => None,
        };
        let cold = zone.youngest.max(began).map_or(1.0, |started| {
            let age = now.saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
            rules.cold_share + (1.0 - rules.cold_share) * age.min(1.0)
        });
        let behind = if zone.fresh < FRESH { BEHIND_SHARE } else { 1.0 };
        STEPS[self.step].min(cold).min(behind)
    }

    /// Looks at what the step showed.
    pub fn look(&mut self, zone: &Assessment, policy: &Policy, usual: f64, now: Micros) -> Move {
        let stay = policy.dwell << (self.doublings + self.fallen).min(policy.most_doublings);
        let Proof { probes, answers, failures, took } = self.proof;
        let all = answers + failures;
        let stake = LEAST_PROOF + (1.0 - LEAST_PROOF) * STEPS[self.step];
        let proven = f64::from(answers) >= stake * f64::from(policy.proof);
        if all >= policy.proof.max(2) && f64::from(failures) > policy.failures * f64::from(all) {
            return self.fall(Reason::Failures, zone, policy, now);
        }
        if answers >= policy.proof && usual > 0.0 && took / f64::from(answers) > policy.slowdown * usual {
            return self.fall(Reason::Slow, zone, policy, now);
        }
        if now < self.since + stay {
            return Move::Stay;
        }
        if zone.fresh < FRESH {
            // Behind: it stays for as long as it catches up, and gets less when it does not.
            return match zone.lag >= self.lag && self.step > 0 {
                true => self.fall(Reason::FallingBehind, zone, policy, now),
                false => {
                    self.enter(self.step, zone, now);
                    Move::Stay
                }
            };
        }
        let sparse =
            now >= self.since + stay * Micros::from(SPARSE_STAYS) && answers + probes > 0 && failures == 0;
        if zone.utilization > BUSY || !(proven || sparse) {
            return Move::Stay;
        }
        self.fallen = 0;
        if self.step + 1 == STEPS.len() {
            return Move::Done;
        }
        self.enter(self.step + 1, zone, now);
        Move::Up
    }

    fn fall(&mut self, reason: Reason, zone: &Assessment, policy: &Policy, now: Micros) -> Move {
        self.fallen = (self.fallen + 1).min(policy.most_doublings);
        self.enter(self.step.saturating_sub(2), zone, now);
        Move::Down(reason)
    }

    fn enter(&mut self, step: usize, zone: &Assessment, now: Micros) {
        (self.step, self.since, self.proof, self.lag) = (step, now, Proof::default(), zone.lag);
    }
}
