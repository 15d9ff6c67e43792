//! The state of one zone (healthy, lost, cut off or recovering), with a bound on how often it may change.

use std::collections::VecDeque;

use beaconshore::interface::Micros;

use crate::health::{ZoneHealth, ZoneVerdict};
use crate::policy::Policy;
use crate::ramp_up::{RampDecision, RampUp, StepDownReason};

/// Number of losses that are remembered. More would not lengthen a ramp-up any further, because a policy
/// allows 10 doublings at most.
const MAX_REMEMBERED_LOSSES: usize = 16;

/// Whether and how a zone may be used.
#[derive(Clone, Debug, PartialEq)]
pub enum ZonePhase {
    /// The zone is used according to its tier.
    Healthy,
    /// The zone's members fail together, and no peer hears from them either.
    Lost,
    /// The zone's members fail together as seen from this router, while peers hear from them.
    CutOff,
    /// The zone answers again, and its share of reads grows.
    Recovering(RampUp),
}

/// A change of a zone's state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone is now lost.
    Lost,
    /// The zone is now cut off from this router.
    CutOff,
    /// The zone answers again, and its ramp-up begins; with the number of earlier losses that slow it down.
    RecoveryStarted(u32),
    /// The ramp-up has gone up to this step.
    SteppedUp(usize),
    /// The ramp-up has gone down to this step.
    SteppedDown(usize, StepDownReason),
    /// The zone is fully in use again.
    Recovered,
}

/// One zone's phase, and the history that limits how often the phase may change.
#[derive(Clone, Debug)]
pub struct ZoneState {
    phase: ZonePhase,
    phase_since: Micros,
    /// Times of the latest losses, the oldest first.
    losses: VecDeque<Micros>,
    preference_changes: u64,
}

impl ZoneState {
    /// Creates the state of a zone without known failures.
    pub fn new(now: Micros) -> Self {
        ZoneState {
            phase: ZonePhase::Healthy,
            phase_since: now,
            losses: VecDeque::new(),
            preference_changes: 0,
        }
    }

    /// Returns the phase of the zone.
    pub fn phase(&self) -> &ZonePhase {
        &self.phase
    }

    /// Returns when the phase began.
    pub fn phase_since(&self) -> Micros {
        self.phase_since
    }

    /// Returns how often this router has stopped using the zone or started to use it again.
    pub fn preference_changes(&self) -> u64 {
        self.preference_changes
    }

    /// Whether the zone fails as a whole, so that all its members have to be treated as possibly dead.
    pub fn is_failed(&self) -> bool {
        matches!(self.phase, ZonePhase::Lost | ZonePhase::CutOff)
    }

    /// Returns the zone's ramp-up while it recovers.
    pub fn ramp_up(&mut self) -> Option<&mut RampUp> {
        match &mut self.phase {
            ZonePhase::Recovering(ramp_up) => Some(ramp_up),
            _ => None,
        }
    }

    /// Returns the number of losses within the policy's `flap_memory` besides the latest one.
    fn earlier_losses(&self, policy: &Policy, now: Micros) -> u32 {
        let recent = self.losses.iter().filter(|at| now <= **at + policy.flap_memory).count() as u32;
        recent.saturating_sub(1).min(policy.max_doublings)
    }

    /// Returns the time from a loss until the zone may be used again. This allows two changes of preference
    /// in each such time, and each further loss within the policy's `flap_memory` doubles it.
    pub fn hold(&self, policy: &Policy, now: Micros) -> Micros {
        policy.hold << self.earlier_losses(policy, now)
    }

    /// Updates the phase by what the zone's members show now. Returns the change, if there is one to log.
    pub fn update(
        &mut self,
        zone: &ZoneHealth,
        verdict: ZoneVerdict,
        policy: &Policy,
        usual_latency: f64,
        now: Micros,
    ) -> Option<ZoneChange> {
        match (&mut self.phase, verdict) {
            (ZonePhase::Healthy | ZonePhase::Recovering(_), ZoneVerdict::Lost) => {
                if self.losses.len() == MAX_REMEMBERED_LOSSES {
                    self.losses.pop_front();
                }
                self.losses.push_back(now);
                Some(self.enter_phase(ZonePhase::Lost, ZoneChange::Lost, now))
            }
            (ZonePhase::Healthy | ZonePhase::Recovering(_), ZoneVerdict::CutOff) => {
                Some(self.enter_phase(ZonePhase::CutOff, ZoneChange::CutOff, now))
            }
            // Peers' updates show after the fact that the supposed loss is a cut-off, which counts as no
            // loss.
            (ZonePhase::Lost, ZoneVerdict::CutOff) => {
                self.losses.pop_back();
                self.phase = ZonePhase::CutOff;
                None
            }
            (ZonePhase::Lost | ZonePhase::CutOff, ZoneVerdict::Operational) => {
                let is_cut_off = self.phase == ZonePhase::CutOff;
                let hold = if is_cut_off { policy.hold } else { self.hold(policy, now) };
                let has_answers = zone.answering >= 2.min(zone.known).max(1);
                if !has_answers || now < self.phase_since + hold {
                    return None;
                }
                let earlier_losses = self.earlier_losses(policy, now);
                let ramp_up = RampUp::start(now, is_cut_off, earlier_losses);
                Some(self.enter_phase(
                    ZonePhase::Recovering(ramp_up),
                    ZoneChange::RecoveryStarted(earlier_losses),
                    now,
                ))
            }
            (ZonePhase::Recovering(ramp_up), ZoneVerdict::Operational) => {
                match ramp_up.decide(zone, policy, usual_latency, now) {
                    RampDecision::Stay => None,
                    RampDecision::StepUp => Some(ZoneChange::SteppedUp(ramp_up.step())),
                    RampDecision::StepDown(reason) => Some(ZoneChange::SteppedDown(ramp_up.step(), reason)),
                    RampDecision::Complete => {
                        (self.phase, self.phase_since) = (ZonePhase::Healthy, now);
                        Some(ZoneChange::Recovered)
                    }
                }
            }
            (ZonePhase::Healthy, ZoneVerdict::Operational)
            | (ZonePhase::Lost, ZoneVerdict::Lost)
            | (ZonePhase::CutOff, ZoneVerdict::Lost | ZoneVerdict::CutOff) => None,
        }
    }

    fn enter_phase(&mut self, phase: ZonePhase, change: ZoneChange, now: Micros) -> ZoneChange {
        (self.phase, self.phase_since) = (phase, now);
        self.preference_changes += 1;
        change
    }
}
