//! Parts of a limit that routers lend each other, so that all of them together hold it and one that needs it can
//! use what others don't. Messages may be lost, late or doubled: a loan that does not arrive is not used, and
//! what was lent is not used by its lender until long after its end.

use std::collections::BTreeMap;

use beaconshore::interface::Micros;

use crate::window::WINDOW;

/// A loan lasts so long; it is renewed while it is needed.
pub const TERM: Micros = 2_000_000;
/// Clocks may differ by this much: a loan is used up to its end less this, and kept back until its end and this.
const SKEW: Micros = 100_000;
/// What a router uses itself may grow by this before it lends.
const GROWTH: f64 = 1.5;
/// Part of its own that a router never lends.
const KEPT: f64 = 0.1;
/// Of what is left it lends this part to one that asks: others may ask too.
const PART: f64 = 0.5;
/// Loans are not worth a message under this part of a router's own.
const LEAST: f64 = 0.02;

/// A router's part of one limit: what is its own, lent and borrowed. All in work in any second, in microseconds.
#[derive(Clone, Debug)]
pub struct Part {
    own: f64,
    /// By borrower: loans that may still be used.
    lent: BTreeMap<u32, Vec<(f64, Micros)>>,
    /// By lender: the loan that ends last.
    borrowed: BTreeMap<u32, (f64, Micros)>,
}

impl Part {
    /// Its own part.
    pub fn new(own: f64) -> Self {
        Part { own, lent: BTreeMap::new(), borrowed: BTreeMap::new() }
    }

    /// What this router may use now.
    pub fn limit(&self, now: Micros) -> f64 {
        let borrowed: f64 =
            self.borrowed.values().filter(|(_, until)| now + SKEW < *until).map(|(work, _)| work).sum();
        self.own(now) + borrowed
    }

    /// The same without what is borrowed.
    pub fn own(&self, now: Micros) -> f64 {
        (self.own - self.kept_back(now)).max(0.0)
    }

    /// What borrowers may use. Each uses its last loan only; which that is, its lender does not know.
    fn kept_back(&self, now: Micros) -> f64 {
        let open = |loans: &Vec<(f64, Micros)>| {
            let open = loans.iter().filter(|(_, until)| now <= until + SKEW + WINDOW);
            open.map(|(work, _)| *work).fold(0.0, f64::max)
        };
        self.lent.values().map(open).sum()
    }

    /// Lends to a router that asks for so much, beside what is used here; says how much and until when.
    pub fn lend(&mut self, to: u32, need: f64, used: f64, now: Micros) -> Option<(f64, Micros)> {
        self.lent.retain(|_, loans| {
            loans.retain(|(_, until)| now <= until + SKEW + WINDOW);
            !loans.is_empty()
        });
        let before = self.lent.get(&to).map_or(0.0, |l| l.iter().map(|(work, _)| *work).fold(0.0, f64::max));
        let spare = self.own * (1.0 - KEPT) - self.kept_back(now) - GROWTH * used;
        // What it has of this router may be renewed even where nothing more is to be had.
        let work = need.min(before + PART * spare.max(0.0));
        let work = if spare < 0.0 { work.min((before + spare).max(0.0)) } else { work };
        if work < LEAST * self.own {
            return None;
        }
        let until = now + TERM;
        let loans = self.lent.entry(to).or_default();
        // Within a term the loans of one borrower are few: it asks at a pace.
        loans.retain(|(w, u)| *w > work || *u > until);
        loans.push((work, until));
        Some((work, until))
    }

    /// Takes a loan, unless a later one of the same lender is known.
    pub fn borrow(&mut self, from: u32, work: f64, until: Micros, now: Micros) {
        self.borrowed.retain(|_, (_, until)| now < *until);
        // What can't be a loan of this design is not used.
        if !(work.is_finite() && work >= 0.0) || until > now + TERM + SKEW {
            return;
        }
        if self.borrowed.get(&from).is_none_or(|(_, known)| *known < until) {
            self.borrowed.insert(from, (work, until));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::spill::Account;

    struct Dice(u64);

    impl Dice {
        fn roll(&mut self, below: u64) -> u64 {
            self.0 ^= self.0 << 13;
            self.0 ^= self.0 >> 7;
            self.0 ^= self.0 << 17;
            self.0 % below
        }
    }

    /// Five routers, messages lost, late and out of order, clocks apart; yields the share of the limit that the
    /// one in need got at the end.
    fn play(seed: u64) -> f64 {
        const OWN: f64 = 1_000.0;
        const COUNT: usize = 5;
        let mut dice = Dice(seed * 2 + 1);
        let mut accounts: Vec<Account> = (0..COUNT).map(|_| Account::new(OWN)).collect();
        let clocks: Vec<Micros> = (0..COUNT).map(|_| dice.roll(90_000)).collect();
        // Due time, to, from, talk: a need, or a loan.
        let mut mail: Vec<(Micros, usize, usize, f64, Option<Micros>)> = Vec::new();
        let mut sends: std::collections::VecDeque<(Micros, f64)> = Default::default();
        let (mut sum, mut late) = (0.0, 0.0);
        for step in 0..20_000_u64 {
            let now = 10_000_000 + step * 2_000;
            let needy = (step / 5_000) as usize % COUNT;
            for i in 0..COUNT {
                let mine = now + clocks[i];
                let eager = if i == needy { 100 } else { 4 };
                if dice.roll(100) < eager && accounts[i].credit(mine) >= 10.0 {
                    accounts[i].spend(mine, 10.0);
                    sends.push_back((now, 10.0));
                    sum += 10.0;
                    late += if step % 5_000 > 4_000 && i == needy { 10.0 } else { 0.0 };
                }
            }
            while sends.front().is_some_and(|(at, _)| at + WINDOW <= now) {
                sum -= sends.pop_front().unwrap().1;
            }
            assert!(sum <= OWN * COUNT as f64 + 1e-6, "seed {seed}: {sum} within a second");
            if step % 125 == 0 {
                for to in (0..COUNT).filter(|to| *to != needy) {
                    mail.push((now + dice.roll(60_000), to, needy, 4.0 * OWN, None));
                }
            }
            let (due, rest): (Vec<_>, Vec<_>) = mail.into_iter().partition(|m| m.0 <= now);
            mail = rest;
            for (_, to, from, work, until) in due {
                let mine = now + clocks[to];
                match until {
                    _ if dice.roll(10) == 0 => {}
                    Some(until) => accounts[to].borrow(from as u32, work, until, mine),
                    None => {
                        if let Some((work, until)) = accounts[to].lend(from as u32, work, mine) {
                            mail.push((now + dice.roll(60_000), from, to, work, Some(until)));
                            mail.push((now + dice.roll(300_000), from, to, work, Some(until)));
                        }
                    }
                }
            }
        }
        // Two seconds of each of four turns were looked at.
        late / 8.0 / (OWN * COUNT as f64)
    }

    #[test]
    fn all_together_hold_the_limit_and_one_in_need_gets_most_of_it() {
        for seed in 1..=20 {
            let share = play(seed);
            assert!(share > 0.5, "seed {seed}: {share} of the limit for the one in need");
        }
    }

    #[test]
    fn what_is_lent_comes_back_after_its_end() {
        let (mut part, now) = (Part::new(100.0), 10_000_000);
        let (work, until) = part.lend(1, 1_000.0, 0.0, now).unwrap();
        assert_eq!((work, until), (45.0, now + TERM));
        assert_eq!(part.limit(now), 55.0);
        assert_eq!(part.limit(until + WINDOW), 55.0, "the borrower's last second is not over");
        assert_eq!(part.limit(until + 2 * WINDOW), 100.0);
        part.borrow(2, f64::NAN, now + TERM, now);
        part.borrow(3, 1e9, now + 60 * TERM, now);
        assert_eq!(part.limit(until + 2 * WINDOW), 100.0, "what can't be a loan is not used");
    }
}
