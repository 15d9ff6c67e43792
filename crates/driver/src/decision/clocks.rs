//! Times of the members' clocks in terms of this machine's: positions and starts, and what happens when the difference of
//! the clocks changes.

use beaconshore::interface::{Event, MemberId, Micros, Role};
use log::warn;

use super::DecisionActor;
use crate::skew::{Exchange, SkewChange};

/// When a member last started.
#[derive(Clone, Copy)]
pub(super) struct MemberStart {
    /// By the members' clocks, in milliseconds.
    stated_ms: u64,
    /// By this machine's clock.
    local: Micros,
}

impl DecisionActor {
    /// Compares this machine's clock with the time that a primary just reported as its position. What was
    /// converted by another difference before is converted anew, unless a clock was set since.
    pub(super) fn compare_clocks(&mut self, exchange: &Exchange) {
        let skew = &self.node.clock_skew;
        let Some(change) = skew.add_exchange(exchange) else { return };
        let difference_ms = skew.difference() / 1000;
        match change {
            SkewChange::Refined(by) => {
                warn!(
                    "this machine's clock is {difference_ms} ms ahead of the members' clocks; check its time \
                     synchronization"
                );
                self.adjust_starts(by);
                self.handle(&Event::ClockAdjusted(by));
            }
            SkewChange::Stepped(by) => {
                warn!(
                    "a clock was set to another time: this machine's clock is {difference_ms} ms ahead of the \
                     members' clocks, {} ms more than before",
                    by / 1000
                );
                self.handle(&Event::ClockStepped);
            }
        }
    }

    /// Converts the starts of members anew, by a difference of the clocks that is so much greater.
    fn adjust_starts(&mut self, by: i64) {
        for start in self.members.values_mut().filter_map(|known| known.start.as_mut()) {
            start.local = start.local.saturating_add_signed(by);
        }
    }

    /// When a member started, by this machine's clock, given the start that the membership list states. One
    /// that was stated before a clock was set to another time stays where it was.
    pub(super) fn local_start(&mut self, member: MemberId, stated_ms: u64) -> Option<Micros> {
        let known = self.members.get_mut(&member)?;
        if stated_ms == 0 {
            known.start = None;
        } else if known.start.is_none_or(|start| start.stated_ms != stated_ms) {
            let local = self.node.clock_skew.to_local(stated_ms.saturating_mul(1000));
            known.start = Some(MemberStart { stated_ms, local });
        }
        known.start.map(|start| start.local)
    }

    /// Converts a position that a member stated, with its role, to this machine's clock. None while it is not
    /// certain that this clock is not behind, since old positions would then look fresh.
    pub(super) fn to_local_position(&self, position: Option<Micros>, role: Option<Role>) -> Option<Micros> {
        let (position, skew, clock) = (position?, &self.node.clock_skew, &self.node.clock);
        if role == Some(Role::Primary) {
            skew.compare(position, clock.now());
        }
        Some(skew.to_local(position)).filter(|_| skew.may_trust_positions(clock.uptime()))
    }
}
