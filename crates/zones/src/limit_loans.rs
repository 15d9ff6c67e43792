//! Loans of spill limit between routers. Together the routers hold a zone's limit, and a router that needs
//! more than its own part uses what others do not need. Messages may be lost, delayed or duplicated: a loan
//! that does not arrive is not used by anybody, and the lender uses what it lent only well after the loan has
//! ended.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;

use crate::sliding_window::WINDOW_MICROS;

/// Duration of a loan, in microseconds; the borrower asks again while it needs more.
pub const LOAN_MICROS: Micros = 2_000_000;
/// Largest assumed difference between two routers' clocks, in microseconds. A borrower stops using a loan
/// this much before its end, and the lender waits this much longer.
const MAX_CLOCK_SKEW_MICROS: Micros = 100_000;
/// A router keeps this multiple of its own present use before it lends, so that its use can grow.
const OWN_USE_HEADROOM: f64 = 1.5;
/// Share of its own part that a router never lends.
const UNLENDABLE_SHARE: f64 = 0.1;
/// Share of the spare limit that one request for a loan may get, because other routers may ask too.
const SPARE_SHARE_PER_LOAN: f64 = 0.5;
/// A loan below this share of the lender's own part is not worth a message.
const MIN_LOAN_SHARE: f64 = 0.02;

/// One router's part of one zone's spill limit, with what it has lent and borrowed. All amounts are
/// microseconds of work within any second.
#[derive(Clone, Debug)]
pub struct LimitPart {
    /// The router's part before any loans.
    assigned: f64,
    /// By borrower: loans that may still be in use, each with its end.
    lent: BTreeMap<u32, Vec<(f64, Micros)>>,
    /// By lender: the loan with the latest end, and that end.
    borrowed: BTreeMap<u32, (f64, Micros)>,
}

impl LimitPart {
    /// Creates a part of this size without any loans.
    pub fn new(assigned: f64) -> Self {
        LimitPart { assigned, lent: BTreeMap::new(), borrowed: BTreeMap::new() }
    }

    /// Returns the limit that this router may use now, with what it has borrowed.
    pub fn limit(&self, now: Micros) -> f64 {
        let borrowed: f64 = self
            .borrowed
            .values()
            .filter(|(_, until)| now + MAX_CLOCK_SKEW_MICROS < *until)
            .map(|(work, _)| work)
            .sum();
        self.own_limit(now) + borrowed
    }

    /// Returns the limit that this router may use now without what it has borrowed.
    pub fn own_limit(&self, now: Micros) -> f64 {
        (self.assigned - self.lent_out(now)).max(0.0)
    }

    /// Returns what borrowers may be using now. A borrower uses only the latest loan that has reached it. The
    /// lender cannot know which one that is, so it counts the largest.
    fn lent_out(&self, now: Micros) -> f64 {
        let largest = |loans: &Vec<(f64, Micros)>| {
            let open = loans.iter().filter(|(_, until)| now <= until + MAX_CLOCK_SKEW_MICROS + WINDOW_MICROS);
            open.map(|(work, _)| *work).fold(0.0, f64::max)
        };
        self.lent.values().map(largest).sum()
    }

    /// Lends to a router that asks for `need`, while this router uses `used` itself. Returns the amount and
    /// the end of the loan, or nothing if there is too little to lend.
    pub fn lend(&mut self, to: u32, need: f64, used: f64, now: Micros) -> Option<(f64, Micros)> {
        self.lent.retain(|_, loans| {
            loans.retain(|(_, until)| now <= until + MAX_CLOCK_SKEW_MICROS + WINDOW_MICROS);
            !loans.is_empty()
        });
        let already_lent =
            self.lent.get(&to).map_or(0.0, |loans| loans.iter().map(|(work, _)| *work).fold(0.0, f64::max));
        let spare = self.assigned * (1.0 - UNLENDABLE_SHARE) - self.lent_out(now) - OWN_USE_HEADROOM * used;
        // A present loan may be renewed even if there is nothing more to lend.
        let work = need.min(already_lent + SPARE_SHARE_PER_LOAN * spare.max(0.0));
        let work = if spare < 0.0 { work.min((already_lent + spare).max(0.0)) } else { work };
        if work < MIN_LOAN_SHARE * self.assigned {
            return None;
        }
        let until = now + LOAN_MICROS;
        let loans = self.lent.entry(to).or_default();
        // The list stays short: a borrower asks at a limited rate, and loans end soon.
        loans.retain(|(w, u)| *w > work || *u > until);
        loans.push((work, until));
        Some((work, until))
    }

    /// Takes a loan from another router, unless a later one from the same router is known.
    pub fn borrow(&mut self, from: u32, work: f64, until: Micros, now: Micros) {
        self.borrowed.retain(|_, (_, until)| now < *until);
        // Amounts and ends that no lender gives are ignored.
        if !(work.is_finite() && work >= 0.0) || until > now + LOAN_MICROS + MAX_CLOCK_SKEW_MICROS {
            return;
        }
        if self.borrowed.get(&from).is_none_or(|(_, known_until)| *known_until < until) {
            self.borrowed.insert(from, (work, until));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spill_limit::SpillLimiter;

    /// An xorshift generator: the same seed gives the same numbers.
    struct TestRandom(u64);

    impl TestRandom {
        fn below(&mut self, bound: u64) -> u64 {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            self.0 % bound
        }
    }

    /// Simulates five routers that lend to each other with messages lost, late and out of order, and with
    /// clocks apart. Checks in every step that they hold the limit together, and returns the share of the
    /// whole limit that the router in need got at the end of its turn.
    fn simulate_lending(seed: u64) -> f64 {
        const OWN: f64 = 1_000.0;
        const ROUTERS: usize = 5;
        let mut random = TestRandom(seed * 2 + 1);
        let mut limiters: Vec<SpillLimiter> = (0..ROUTERS).map(|_| SpillLimiter::new(OWN)).collect();
        let clocks: Vec<Micros> = (0..ROUTERS).map(|_| random.below(90_000)).collect();
        // Due time, receiver, sender, work, and the loan's end; without an end it is a request for a loan.
        let mut messages: Vec<(Micros, usize, usize, f64, Option<Micros>)> = Vec::new();
        let mut sends: std::collections::VecDeque<(Micros, f64)> = Default::default();
        let (mut sum, mut late) = (0.0, 0.0);
        for step in 0..20_000_u64 {
            let now = 10_000_000 + step * 2_000;
            let in_need = (step / 5_000) as usize % ROUTERS;
            for i in 0..ROUTERS {
                let local_now = now + clocks[i];
                let send_percent = if i == in_need { 100 } else { 4 };
                if random.below(100) < send_percent && limiters[i].remaining(local_now) >= 10.0 {
                    limiters[i].spend(local_now, 10.0);
                    sends.push_back((now, 10.0));
                    sum += 10.0;
                    late += if step % 5_000 > 4_000 && i == in_need { 10.0 } else { 0.0 };
                }
            }
            while sends.front().is_some_and(|(at, _)| at + WINDOW_MICROS <= now) {
                sum -= sends.pop_front().unwrap().1;
            }
            assert!(sum <= OWN * ROUTERS as f64 + 1e-6, "seed {seed}: {sum} within a second");
            if step % 125 == 0 {
                for to in (0..ROUTERS).filter(|to| *to != in_need) {
                    messages.push((now + random.below(60_000), to, in_need, 4.0 * OWN, None));
                }
            }
            let (due, rest): (Vec<_>, Vec<_>) = messages.into_iter().partition(|m| m.0 <= now);
            messages = rest;
            for (_, to, from, work, until) in due {
                let local_now = now + clocks[to];
                match until {
                    _ if random.below(10) == 0 => {}
                    Some(until) => limiters[to].borrow(from as u32, work, until, local_now),
                    None => {
                        if let Some((work, until)) = limiters[to].lend(from as u32, work, local_now) {
                            messages.push((now + random.below(60_000), from, to, work, Some(until)));
                            messages.push((now + random.below(300_000), from, to, work, Some(until)));
                        }
                    }
                }
            }
        }
        // `late` covers two seconds of each of four turns.
        late / 8.0 / (OWN * ROUTERS as f64)
    }

    /// Guards against loans that are used twice, by lender and borrower or by two borrowers, and against
    /// lending too little to be of use.
    #[test]
    fn routers_hold_the_limit_together_and_the_one_in_need_gets_most_of_it() {
        for seed in 1..=20 {
            let share = simulate_lending(seed);
            assert!(share > 0.5, "seed {seed}: {share} of the limit for the router in need");
        }
    }

    /// Guards against a lender that uses a lent part before the borrower's last second is over, or never
    /// again, and against the use of messages that cannot be loans.
    #[test]
    fn lent_part_comes_back_after_the_loan_and_invalid_loans_are_ignored() {
        let (mut part, now) = (LimitPart::new(100.0), 10_000_000);
        let (work, until) = part.lend(1, 1_000.0, 0.0, now).unwrap();
        assert_eq!((work, until), (45.0, now + LOAN_MICROS));
        assert_eq!(part.limit(now), 55.0);
        assert_eq!(part.limit(until + WINDOW_MICROS), 55.0, "the borrower's last second is not over");
        assert_eq!(part.limit(until + 2 * WINDOW_MICROS), 100.0);
        part.borrow(2, f64::NAN, now + LOAN_MICROS, now);
        part.borrow(3, 1e9, now + 60 * LOAN_MICROS, now);
        assert_eq!(part.limit(until + 2 * WINDOW_MICROS), 100.0, "an invalid loan is not used");
    }
}
