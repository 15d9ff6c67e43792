//! What is compared: today's router, the one that plans for zones, and baselines on the same arrivals. The oracle
//! sees the true state of every member; it keeps the rules, and says what could be had.

use beaconshore::interface::Consistency;

use crate::draws::Draws;

/// Who decides in every router of a day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Brains {
    /// The decision module with planners as the experiment's file says.
    Planned,
    /// The decision module alone.
    Plain,
    /// All to the true primary.
    Primaries,
    /// Reads to any member that lives, by lot.
    Random,
    /// Where it will be answered first, by the true state.
    Oracle,
}

impl Brains {
    /// All of them.
    pub const ALL: [Brains; 5] =
        [Brains::Planned, Brains::Plain, Brains::Primaries, Brains::Random, Brains::Oracle];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Brains::Planned => "planned",
            Brains::Plain => "plain",
            Brains::Primaries => "primaries",
            Brains::Random => "random",
            Brains::Oracle => "oracle",
        }
    }
}

/// A member as a baseline sees it.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// Which.
    pub member: usize,
    /// The true primary.
    pub primary: bool,
    /// In the router's zone.
    pub near: bool,
    /// Can be reached and answers, and does not drain.
    pub usable: bool,
    /// Has all that the class asks for.
    pub fresh: bool,
    /// Time until an answer to this request would be here, in microseconds.
    pub takes: f64,
    /// Whether it is cold and has got what it can do.
    pub full: bool,
}

/// What a baseline does with a request; none: refuse.
pub fn choose(
    brains: Brains,
    consistency: Consistency,
    sights: &[Sight],
    wait: f64,
    draws: &mut Draws,
) -> Option<usize> {
    let primary = || sights.iter().find(|s| s.primary && s.usable);
    let bound = matches!(consistency, Consistency::Write | Consistency::Fresh);
    let chosen = match brains {
        Brains::Random if !bound => {
            let usable: Vec<&Sight> = sights.iter().filter(|s| s.usable && s.fresh).collect();
            usable.get(draws.below(usable.len())).copied()
        }
        Brains::Oracle => {
            let fit = |s: &&Sight| {
                s.usable && !s.full && s.takes <= wait && if bound { s.primary } else { s.fresh }
            };
            // Its own zone where that costs nothing: the same preference as the routers'.
            let cost = |s: &Sight| s.takes * if s.near { 1.0 } else { 1.02 };
            sights.iter().filter(fit).min_by(|a, b| cost(a).total_cmp(&cost(b)))
        }
        _ => primary(),
    };
    chosen.map(|s| s.member)
}
