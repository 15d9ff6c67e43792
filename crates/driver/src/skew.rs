//! Estimates the difference between this machine's clock and the clocks of the members. All machines are meant to have
//! synchronized clocks. If this one is set wrong, every replica looks too stale or, worse, fresher than it is.
//!
//! A primary states its current time with each answer. That was after this driver sent the request and before the answer
//! arrived, so each such exchange bounds the difference of the clocks from both sides, however slow the way and the primary
//! were. Bounds that no difference can meet show that one of the statements was no current time, or that a clock was set.
//!
//! A primary that hands over or hangs states a time that stands still. One such statement may agree with others that have loose
//! bounds, but not with the next one of the same primary. So each primary's exchanges are compared among themselves, and a
//! difference counts only if enough of them, each by itself, rule out that there is none.
//!
//! Of all differences that are possible the least is used: by that one, no position looks fresher than it is.
//!
//! Until a primary has shown that this machine's clock is not behind, a replica's position may look fresh though it is not.
//! Such positions are then not used.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use beaconshore::interface::{MemberId, Micros};

/// Number of exchanges in a row that must agree before a difference is accepted.
const REQUIRED_EXCHANGES: u32 = 3;
/// Differences that count as none, in microseconds.
const NO_DIFFERENCE_US: std::ops::RangeInclusive<i64> = -2_000..=20_000;
/// Greater differences, in microseconds, are ignored: they are not the effect of a wrong clock.
const MAX_DIFFERENCE_US: i64 = 2 * 24 * 3_600 * 1_000_000;
/// Members state times in whole milliseconds, rounded either way, in microseconds.
const RESOLUTION_US: i64 = 1_000;
/// Exchanges that count must be at least this time apart, in microseconds. A time that stands still would otherwise agree
/// with itself, within its resolution.
const MIN_PAUSE_US: Micros = 20_000;
/// How long a comparison with a primary's time is waited for, in microseconds: members of some sites state no roles.
const COMPARISON_WAIT_US: Micros = 1_000_000;

/// A request that a primary served, and its answer, which stated the primary's time. All other times are of this machine's
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// The primary.
    pub member: MemberId,
    /// When the request was sent, or earlier.
    pub sent_at: Micros,
    /// The earliest time at which the statement can have been made: that of the send, or earlier if the answer may be the one
    /// to an earlier copy of the request.
    pub stated_after: Micros,
    /// The time that the primary stated.
    pub stated: Micros,
    /// When the answer arrived, or later.
    pub received_at: Micros,
}

/// How the difference of the clocks changed, by so many microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkewChange {
    /// The clocks run as before, and their difference is known better.
    Refined(i64),
    /// A clock was set to another time.
    Stepped(i64),
}

/// The differences of the clocks that are possible, in microseconds.
#[derive(Clone, Copy, Debug)]
struct PossibleRange {
    least: i64,
    greatest: i64,
}

impl PossibleRange {
    /// The differences that an exchange leaves possible. None if it makes no sense.
    fn of(exchange: &Exchange) -> Option<Self> {
        let difference = |at: Micros| {
            at.checked_signed_diff(exchange.stated).filter(|difference| difference.abs() <= MAX_DIFFERENCE_US)
        };
        let least = difference(exchange.stated_after)? - RESOLUTION_US;
        let greatest = difference(exchange.received_at)? + RESOLUTION_US;
        Some(PossibleRange { least, greatest })
    }

    /// The differences that both leave possible; None if there are none.
    fn intersection(self, other: Self) -> Option<Self> {
        let both =
            PossibleRange { least: self.least.max(other.least), greatest: self.greatest.min(other.greatest) };
        (both.least <= both.greatest).then_some(both)
    }

    /// Whether this difference may still be used; 0 also if it is close to a possible one.
    fn allows(self, difference: i64) -> bool {
        match difference {
            0 => self.least <= *NO_DIFFERENCE_US.end() && self.greatest >= *NO_DIFFERENCE_US.start(),
            _ => (self.least..=self.greatest).contains(&difference),
        }
    }
}

/// Exchanges in a row with one primary that agree.
#[derive(Clone, Copy, Debug)]
struct Agreement {
    /// The differences that all of them leave possible.
    possible: PossibleRange,
    exchanges: u32,
    /// How many of them, each by itself, rule out that there is no difference.
    ruling_out_none: u32,
    /// When the answer of the last one arrived.
    last_received_at: Micros,
    /// Whether they contradict earlier exchanges, and no difference was accepted by them yet.
    is_contradiction: bool,
}

impl Agreement {
    /// The agreement of a single exchange.
    fn first(exchange: &Exchange, possible: PossibleRange, is_contradiction: bool) -> Self {
        Agreement {
            possible,
            exchanges: 1,
            ruling_out_none: u32::from(!possible.allows(0)),
            last_received_at: exchange.received_at,
            is_contradiction,
        }
    }

    /// The agreement together with one more exchange; None if that contradicts it.
    fn extended(self, exchange: &Exchange, possible: PossibleRange) -> Option<Self> {
        let added = Agreement::first(exchange, possible, self.is_contradiction);
        Some(Agreement {
            possible: self.possible.intersection(possible)?,
            exchanges: self.exchanges.saturating_add(1),
            ruling_out_none: self.ruling_out_none.saturating_add(added.ruling_out_none),
            ..added
        })
    }
}

/// Whether this machine's clock may be behind the members' clocks, by the last time that a primary stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Comparison {
    /// No primary has stated its time yet.
    #[default]
    Pending,
    /// The primary's time was not ahead of this machine's.
    NotBehind,
    /// The primary's time was ahead of this machine's.
    Behind,
}

/// The estimated difference of the clocks. It is positive if this machine's clock is ahead of the members' clocks.
#[derive(Debug, Default)]
pub struct ClockSkew {
    /// The last exchanges with each primary, as far as they agree.
    agreements: RefCell<HashMap<MemberId, Agreement>>,
    /// What enough exchanges with one primary left possible when they last agreed, whether or not a difference was accepted by
    /// them. A difference that contradicts it is a step.
    agreed_range: Cell<Option<PossibleRange>>,
    /// The accepted difference, in microseconds.
    difference: Cell<i64>,
    /// The last comparison with a primary's time.
    comparison: Cell<Comparison>,
}

impl ClockSkew {
    /// Adds an exchange with a primary. Returns how the accepted difference changed, if it did.
    pub fn add_exchange(&self, exchange: &Exchange) -> Option<SkewChange> {
        let possible = PossibleRange::of(exchange)?;
        let earlier = self.agreements.borrow().get(&exchange.member).copied();
        if earlier.is_some_and(|earlier| exchange.sent_at < earlier.last_received_at + MIN_PAUSE_US) {
            return None;
        }
        let agreement = match earlier.and_then(|earlier| earlier.extended(exchange, possible)) {
            Some(extended) => extended,
            None => Agreement::first(exchange, possible, earlier.is_some()),
        };
        self.agreements.borrow_mut().insert(exchange.member, agreement);
        if agreement.exchanges < REQUIRED_EXCHANGES {
            return None;
        }
        self.accept(exchange.member, agreement)
    }

    /// Forgets the exchanges with a member that has left for good.
    pub fn forget(&self, member: MemberId) {
        self.agreements.borrow_mut().remove(&member);
    }

    /// Accepts what enough exchanges agree on. Returns how the difference changed, if it did.
    fn accept(&self, member: MemberId, agreement: Agreement) -> Option<SkewChange> {
        let (before, possible) = (self.difference.get(), agreement.possible);
        let contradicts =
            |earlier: PossibleRange| agreement.is_contradiction || earlier.intersection(possible).is_none();
        let is_step = self.agreed_range.replace(Some(possible)).is_some_and(contradicts);
        self.agreements.borrow_mut().insert(member, Agreement { is_contradiction: false, ..agreement });
        if before == 0 && agreement.ruling_out_none < REQUIRED_EXCHANGES {
            return None;
        }
        let accepted = [before, 0].into_iter().find(|difference| possible.allows(*difference));
        let change = accepted.unwrap_or(possible.least) - before;
        // Every exchange that was a little faster would otherwise refine it once more.
        if change == 0 || change.abs() < RESOLUTION_US {
            return None;
        }
        self.difference.set(before + change);
        Some(if is_step { SkewChange::Stepped(change) } else { SkewChange::Refined(change) })
    }

    /// Compares this machine's clock with the time that a primary stated, which arrived at `now`.
    pub fn compare(&self, primary_time: Micros, now: Micros) {
        let is_behind = self.to_local(primary_time) > now.saturating_add_signed(-NO_DIFFERENCE_US.start());
        self.comparison.set(if is_behind { Comparison::Behind } else { Comparison::NotBehind });
    }

    /// Whether a comparison with a primary's time is still waited for, after this machine's clock has run for `uptime`.
    pub fn awaits_comparison(&self, uptime: Micros) -> bool {
        self.comparison.get() == Comparison::Pending && uptime <= COMPARISON_WAIT_US
    }

    /// Whether the positions of replicas can be compared with this machine's clock, which has run for `uptime`.
    pub fn may_trust_positions(&self, uptime: Micros) -> bool {
        match self.comparison.get() {
            Comparison::NotBehind => true,
            Comparison::Pending => uptime > COMPARISON_WAIT_US,
            Comparison::Behind => false,
        }
    }

    /// Converts a time of the members' clocks to this machine's clock.
    pub fn to_local(&self, member_time: Micros) -> Micros {
        member_time.saturating_add_signed(self.difference.get())
    }

    /// Converts a time of this machine's clock to the members' clocks.
    pub fn to_members(&self, local_time: Micros) -> Micros {
        local_time.saturating_add_signed(-self.difference.get())
    }

    /// The difference in microseconds; positive if this machine's clock is ahead.
    pub fn difference(&self) -> i64 {
        self.difference.get()
    }
}
