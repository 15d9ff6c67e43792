//! What operators say of routes, and every way in which that can't be meant. All findings are told at once.

use std::fmt;
use std::num::NonZeroU32;

use beaconshore::interface::{Consistency, Effect, Limits, Micros, Settings, ZoneId};

use crate::expression::Match;

/// Most routes.
pub const MOST_ROUTES: usize = 500;
/// Longest time of any kind, in microseconds.
const LONGEST: Micros = 600_000_000;

/// Pauses between attempts: drawn between the least and three times the one before, up to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// Least, in microseconds.
    pub least: Micros,
    /// Most, in microseconds.
    pub most: Micros,
}

/// A limit on first tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// In a second.
    pub per_second: NonZeroU32,
    /// At once.
    pub burst: NonZeroU32,
}

/// Bounds of the adaptive limit on open requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OpenLimit {
    /// At least.
    pub least: u32,
    /// At most.
    pub most: u32,
    /// Answers that take this multiple of the least usual time lower it.
    pub tolerance: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, by which counters and budgets go on over reloads.
    pub name: String,
    /// Which requests take it.
    pub matches: Match,
    /// Time for a request, all attempts included; none: its client's.
    pub budget: Option<Micros>,
    /// Time for an attempt; none: what is left.
    pub attempt: Option<Micros>,
    /// Attempts; none: the site's.
    pub attempts: Option<u32>,
    /// Pauses between them; none: none.
    pub pause: Option<Pause>,
    /// Repeats as a share of first tries, and at least so many a second; none: no budget.
    pub repeats: Option<(f64, f64)>,
    /// Limit on the rate of first tries.
    pub rate: Option<RateLimit>,
    /// Limit on open requests.
    pub open: Option<OpenLimit>,
    /// Weight at the common limit.
    pub weight: f64,
    /// Oldest data of its bounded reads; none: their class's bound.
    pub staleness: Option<Micros>,
    /// Zones that it may use; empty: all.
    pub zones: Vec<ZoneId>,
}

impl Route {
    /// One that narrows nothing.
    pub fn new(name: &str, matches: Match) -> Self {
        Route {
            name: name.to_owned(),
            matches,
            budget: None,
            attempt: None,
            attempts: None,
            pause: None,
            repeats: None,
            rate: None,
            open: None,
            weight: 1.0,
            staleness: None,
            zones: Vec::new(),
        }
    }

    /// When the last attempt may begin at the latest, after the first: with every attempt and every pause as long as
    /// they can be. None if nothing bounds it.
    pub fn last_attempt_after(&self, limits: &Limits) -> Option<Micros> {
        let again = Micros::from(self.attempts.unwrap_or(limits.max_attempts).saturating_sub(1));
        if again == 0 {
            return Some(0);
        }
        let pause = self.pause.map_or(0, |p| p.most);
        self.attempt.map(|attempt| again.saturating_mul(attempt.saturating_add(pause)))
    }
}

/// All routes; the first that matches is taken. A request that none matches is not narrowed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// In order.
    pub routes: Vec<Route>,
    /// Open requests over all routes; none: no common limit.
    pub open: Option<u32>,
}

/// What is wrong, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The field, as in the operator's file: `route[1].budget_ms`.
    pub field: String,
    /// Reason and remedy.
    pub reason: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

fn ms(time: Micros) -> String {
    format!("{} ms", time / 1000)
}

impl Policy {
    /// Everything that can't be meant at a site of these settings, whose classes have these names.
    pub fn findings(&self, settings: &Settings, classes: &[String]) -> Vec<Finding> {
        let mut found = Vec::new();
        if self.routes.len() > MOST_ROUTES {
            let reason = format!("{} routes, {MOST_ROUTES} at most", self.routes.len());
            return vec![Finding { field: "route".into(), reason }];
        }
        if self.open == Some(0) {
            found.push(Finding { field: "open".into(), reason: "is 0: no request would be admitted".into() });
        }
        for (i, route) in self.routes.iter().enumerate() {
            let mut say = |field: &str, reason: String| {
                found.push(Finding { field: format!("route[{i}].{field}"), reason });
            };
            let earlier = &self.routes[..i];
            if route.name.is_empty() {
                say("name", "a name is needed".into());
            } else if let Some(other) = earlier.iter().position(|r| r.name == route.name) {
                say("name", format!("route[{other}] has the same name; counters go on by name"));
            }
            if let Some(other) = earlier.iter().find(|r| r.matches.covers(&route.matches)) {
                say("match", format!("is never reached: {:?} before it takes all of these", other.name));
            }
            route.findings(settings, classes, &mut say);
        }
        found
    }
}

impl Route {
    /// The classes, by index, whose requests may take it.
    fn classes(&self, names: &[String]) -> Vec<usize> {
        let named = self.matches.classes();
        let may = |name: &String| named.as_ref().is_none_or(|named| named.contains(&name.as_str()));
        names.iter().enumerate().filter(|(_, name)| may(name)).map(|(i, _)| i).collect()
    }

    fn findings(&self, settings: &Settings, names: &[String], say: &mut dyn FnMut(&str, String)) {
        for unknown in self.matches.classes().into_iter().flatten().filter(|c| !names.iter().any(|n| n == c))
        {
            say("match", format!("no class {unknown:?}; there are {}", names.join(", ")));
        }
        let times =
            [("budget_ms", self.budget), ("attempt_ms", self.attempt), ("staleness_ms", self.staleness)];
        for (field, time) in times {
            if let Some(time) = time.filter(|time| *time == 0 || *time > LONGEST) {
                say(field, format!("is {}, must be from 1 to {}", ms(time), ms(LONGEST)));
            }
        }
        if self.budget.zip(self.attempt).is_some_and(|(budget, attempt)| attempt > budget) {
            say("attempt_ms", "an attempt would outlast the budget; make it shorter, or leave it out".into());
        }
        if let Some(attempts) = self.attempts.filter(|n| *n == 0 || *n > settings.limits.max_attempts) {
            say("attempts", format!("is {attempts}, must be from 1 to {}", settings.limits.max_attempts));
        }
        if let Some(pause) = self.pause.filter(|p| p.least == 0 || p.most < p.least || p.most > LONGEST) {
            say("pause", format!("from {} to {}: must grow, from 1 ms on", ms(pause.least), ms(pause.most)));
        }
        if let Some((share, floor)) = self.repeats {
            if !(0.0..=1.0).contains(&share) {
                say("repeats.share", format!("is {share}, must be from 0 to 1"));
            }
            if !(0.0..=1e6).contains(&floor) {
                say("repeats.floor", format!("is {floor}, must be from 0 to 1000000"));
            }
        }
        if let Some(open) = self.open.filter(|o| o.least == 0 || o.most < o.least) {
            say("open", format!("from {} to {}: must grow, from 1 on", open.least, open.most));
        }
        if self.open.is_some_and(|o| !(o.tolerance > 1.0 && o.tolerance <= 100.0)) {
            say("open.tolerance", "must be over 1, and 100 at most".into());
        }
        if !(self.weight > 0.0 && self.weight <= 1e6) {
            say("weight", format!("is {}, must be over 0, and 1000000 at most", self.weight));
        }
        for class in self.classes(names) {
            self.class_findings(settings, class, &names[class], say);
        }
    }

    /// What would break a rule for requests of one class, or can't come about.
    fn class_findings(
        &self,
        settings: &Settings,
        class: usize,
        name: &str,
        say: &mut dyn FnMut(&str, String),
    ) {
        let Some(class) = settings.classes.get(class) else { return };
        if let Some(budget) = self.budget.filter(|budget| *budget > class.deadline) {
            let reason =
                format!("is {}, clients of {name:?} wait {} at most", ms(budget), ms(class.deadline));
            say("budget_ms", reason);
        }
        match class.effect {
            Effect::Safe => {}
            Effect::Unsafe => {
                if self.attempts.is_some_and(|attempts| attempts > 1) {
                    say(
                        "attempts",
                        format!("{name:?} must never run twice: 1, or a match that leaves it out"),
                    );
                }
            }
            Effect::Keyed(_, window) => {
                let last = self.last_attempt_after(&settings.limits);
                if let Some(last) = last.filter(|last| self.attempts.is_some() && *last > window) {
                    let reason = format!(
                        "the last one may begin {} after the first, repeats of {name:?} are dropped for {} only; \
                         fewer or shorter attempts, or shorter pauses",
                        ms(last),
                        ms(window)
                    );
                    say("attempts", reason);
                }
            }
        }
        match (self.staleness, class.consistency) {
            (Some(staleness), Consistency::Bounded(bound)) if staleness > bound => {
                let reason = format!("is {}, looser than the {} of {name:?}", ms(staleness), ms(bound));
                say("staleness_ms", reason);
            }
            _ => {}
        }
    }
}
