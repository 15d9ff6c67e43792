//! Answers to probes whose positions can't be judged yet, since this machine's clock has not been compared with the
//! members'.
//!
//! Only the position waits, and with it the end of the probe, since reads wait for that. The role that a member
//! stated needs no clock and is known at once.

use beaconshore::interface::{MemberId, Outcome, Report, Role};

/// An answer to a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeAnswer {
    /// The member that was probed.
    pub member: MemberId,
    /// The outcome of the probe.
    pub outcome: Outcome,
    /// What the member reported.
    pub report: Report,
}

impl ProbeAnswer {
    /// Whether the answer states the present time of a primary, with which the clocks can be compared.
    fn is_comparison(&self) -> bool {
        self.report.role == Some(Role::Primary) && self.report.position.is_some()
    }
}

/// What counts of an answer at once.
#[derive(Clone, Copy, Debug)]
pub enum Usable {
    /// All of it.
    Whole(ProbeAnswer),
    /// That the member answered, and its role if it stated one. The rest is held.
    Role(Option<Role>),
}

/// The answers that are held, at most one of each member: no other probe of it begins before that.
#[derive(Debug, Default)]
pub struct HeldProbes(Vec<ProbeAnswer>);

impl HeldProbes {
    /// Takes an answer, and holds it back if its position can't be judged yet. `awaits_comparison`: the clocks have
    /// not been compared, but soon will be.
    pub fn take(&mut self, answer: ProbeAnswer, awaits_comparison: bool) -> Usable {
        if !awaits_comparison || answer.report.position.is_none() || answer.is_comparison() {
            return Usable::Whole(answer);
        }
        // The role counts from now on, and is not stated once more later.
        let role = answer.report.role;
        self.0.push(ProbeAnswer { report: Report { role: None, ..answer.report }, ..answer });
        Usable::Role(role)
    }

    /// Whether no answer is held.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all held answers, which are not held any more.
    pub fn release(&mut self) -> Vec<ProbeAnswer> {
        std::mem::take(&mut self.0)
    }
}
