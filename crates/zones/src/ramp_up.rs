//! The ramp-up of a zone that has recovered: its share of reads grows in steps, and each step has to get
//! enough good answers before the next one begins.

use beaconshore::interface::{Micros, RuleParameters};

use crate::health::ZoneHealth;
use crate::policy::Policy;

/// Share of the reads that would normally go to the zone, by step. The first step is a few requests per
/// router.
pub const STEP_SHARES: [f64; 8] = [0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0];
/// Step at which the ramp-up begins after the zone was only cut off: its members kept running, so their
/// caches are warm.
const FIRST_STEP_AFTER_CUT_OFF: usize = 4;
/// Largest share of a zone whose replicas lag: they need their cores for catching up first.
const MAX_SHARE_WHILE_LAGGING: f64 = 0.1;
/// A zone lags if less than this share of its answering members is within the staleness bound.
const MIN_FRESH_SHARE: f64 = 0.5;
/// A zone with a member above this utilization has no room for a further step.
const MAX_UTILIZATION: f64 = 0.9;
/// Part of the policy's required answers that a step with a share near 0 needs; it grows with the share up to
/// all of them. A small share puts little at risk.
const MIN_ANSWERS_PART: f64 = 0.25;
/// A router that gets too few answers goes on after this many stays, if it has at least one answer (of a
/// probe, too) and no failure. What such a router sends is too little to matter, and other routers watch the
/// zone as well.
const LOW_TRAFFIC_STAYS: u32 = 4;

/// What was seen since the current step began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct StepStats {
    probe_answers: u32,
    answers: u32,
    failures: u32,
    /// Sum over the answers to attempts, in microseconds.
    total_latency: f64,
}

/// What follows from a look at the current step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RampDecision {
    /// The step goes on.
    Stay,
    /// The step went well: the next one begins.
    StepUp,
    /// The step was too much: an earlier one begins.
    StepDown(StepDownReason),
    /// The last step went well: the zone is fully in use again.
    Complete,
}

/// Why a step was too much. The names of the variants appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepDownReason {
    /// Too many attempts failed.
    Failures,
    /// Answers took much longer than usual.
    Slow,
    /// The zone's replicas lag, and did not catch up during the step.
    FallingBehind,
}

/// What the zone recovers from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outage {
    /// The zone was lost: its members may be cold, whatever start the list names.
    Loss,
    /// Only the network path was cut: the members kept running, unless the list names a start.
    CutOff,
}

/// The progress of one zone's ramp-up.
#[derive(Clone, Debug, PartialEq)]
pub struct RampUp {
    outage: Outage,
    step: usize,
    step_since: Micros,
    started_at: Micros,
    /// How often the stay at each step is doubled because of other losses shortly before.
    loss_doublings: u32,
    /// How often the stay at a step is doubled because of earlier steps that were too much.
    step_down_doublings: u32,
    stats: StepStats,
    /// Mean lag of the zone when the step began, in microseconds.
    lag_at_step_start: f64,
}

impl RampUp {
    /// Begins a ramp-up. After a loss it begins at the first step, with stays doubled as often as given;
    /// after a mere cut-off it begins further on, with plain stays.
    pub fn start(now: Micros, is_cut_off: bool, loss_doublings: u32) -> Self {
        let step = if is_cut_off { FIRST_STEP_AFTER_CUT_OFF } else { 0 };
        let loss_doublings = if is_cut_off { 0 } else { loss_doublings };
        let outage = if is_cut_off { Outage::CutOff } else { Outage::Loss };
        RampUp {
            outage,
            step,
            step_since: now,
            started_at: now,
            loss_doublings,
            step_down_doublings: 0,
            stats: StepStats::default(),
            lag_at_step_start: f64::MAX,
        }
    }

    /// Returns the current step, an index into [`STEP_SHARES`].
    pub fn step(&self) -> usize {
        self.step
    }

    /// Records the end of an attempt in the zone.
    pub fn on_attempt_ended(&mut self, is_answered: bool, duration: Micros) {
        if is_answered {
            self.stats.answers += 1;
            self.stats.total_latency += duration as f64;
        } else {
            self.stats.failures += 1;
        }
    }

    /// Records that a probe in the zone was answered.
    pub fn on_probe_answered(&mut self) {
        self.stats.probe_answers += 1;
    }

    /// Whether this step has had no answer so far, so that a probe may be needed to get one.
    pub fn needs_answer(&self) -> bool {
        self.stats.answers + self.stats.probe_answers == 0
    }

    /// Returns the share of reads that may go to the zone now: the step's share, or less while its members
    /// are cold or lag. Each router applies the share to its own traffic, so all routers together, however
    /// many, send this share of the zone's usual load.
    pub fn share(&self, zone: &ZoneHealth, rules: &RuleParameters, now: Micros) -> f64 {
        let assumed_start = match self.outage {
            Outage::Loss => Some(self.started_at),
            Outage::CutOff => None,
        };
        let warm_share = zone.latest_start.max(assumed_start).map_or(1.0, |start| {
            let warmth = now.saturating_sub(start) as f64 / rules.warm_up_time.max(1) as f64;
            rules.cold_share + (1.0 - rules.cold_share) * warmth.min(1.0)
        });
        let lag_share = if zone.fresh_share < MIN_FRESH_SHARE { MAX_SHARE_WHILE_LAGGING } else { 1.0 };
        STEP_SHARES[self.step].min(warm_share).min(lag_share)
    }

    /// Decides by what the current step has shown whether to stay, or which step comes next, and enters that.
    pub fn decide(
        &mut self,
        zone: &ZoneHealth,
        policy: &Policy,
        usual_latency: f64,
        now: Micros,
    ) -> RampDecision {
        let stay = policy.dwell << (self.loss_doublings + self.step_down_doublings).min(policy.max_doublings);
        let StepStats { probe_answers, answers, failures, total_latency } = self.stats;
        let attempts = answers + failures;
        let answers_part = MIN_ANSWERS_PART + (1.0 - MIN_ANSWERS_PART) * STEP_SHARES[self.step];
        let has_enough_answers = f64::from(answers) >= answers_part * f64::from(policy.min_answers);
        if attempts >= policy.min_answers.max(2)
            && f64::from(failures) > policy.max_failure_share * f64::from(attempts)
        {
            return self.step_down(StepDownReason::Failures, zone, policy, now);
        }
        if answers >= policy.min_answers
            && usual_latency > 0.0
            && total_latency / f64::from(answers) > policy.max_slowdown * usual_latency
        {
            return self.step_down(StepDownReason::Slow, zone, policy, now);
        }
        if now < self.step_since + stay {
            return RampDecision::Stay;
        }
        if zone.fresh_share < MIN_FRESH_SHARE {
            // Lagging replicas keep the step for as long as they catch up, and lose it when they do not.
            return match zone.mean_lag >= self.lag_at_step_start && self.step > 0 {
                true => self.step_down(StepDownReason::FallingBehind, zone, policy, now),
                false => {
                    self.enter_step(self.step, zone, now);
                    RampDecision::Stay
                }
            };
        }
        let passes_on_low_traffic = now >= self.step_since + stay * Micros::from(LOW_TRAFFIC_STAYS)
            && answers + probe_answers > 0
            && failures == 0;
        if zone.max_utilization > MAX_UTILIZATION || !(has_enough_answers || passes_on_low_traffic) {
            return RampDecision::Stay;
        }
        self.step_down_doublings = 0;
        if self.step + 1 == STEP_SHARES.len() {
            return RampDecision::Complete;
        }
        self.enter_step(self.step + 1, zone, now);
        RampDecision::StepUp
    }

    fn step_down(
        &mut self,
        reason: StepDownReason,
        zone: &ZoneHealth,
        policy: &Policy,
        now: Micros,
    ) -> RampDecision {
        self.step_down_doublings = (self.step_down_doublings + 1).min(policy.max_doublings);
        self.enter_step(self.step.saturating_sub(2), zone, now);
        RampDecision::StepDown(reason)
    }

    fn enter_step(&mut self, step: usize, zone: &ZoneHealth, now: Micros) {
        (self.step, self.step_since, self.stats, self.lag_at_step_start) =
            (step, now, StepStats::default(), zone.mean_lag);
    }
}
