//! How a fleet's costs rise after an event, and when they are as before: pure.

use std::fmt;

use beaconshore_emulator::plan::{Fault, Strike, SECOND};
use serde::Serialize;

use crate::scale::{earned, Run};

/// Seconds before an event that say what is ordinary: some rounds of the whole list, which comes every 2 s.
const BEFORE: usize = 6;
/// Settled is what stays in the mean of so many seconds, two rounds of the list, ...
const STAYS: usize = 4;
/// ...under this multiple of the ordinary cost, ...
const COST_FACTOR: f64 = 1.25;
/// ...and within this of the ordinary share of what was asked for.
const EARNED_SLACK: f64 = 0.03;

/// What an event did to the fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settled {
    /// The event.
    pub event: &'static str,
    /// Second of the day in which it began.
    pub at: usize,
    /// How long it lasted, in seconds.
    pub lasts: usize,
    /// Bytes of messages and the list a second and driver: ordinary.
    pub bytes_before: f64,
    /// In the worst second.
    pub bytes_worst: f64,
    /// Messages a second and driver, both ways: ordinary.
    pub messages_before: f64,
    /// In the worst second.
    pub messages_worst: f64,
    /// Control time in microseconds a second and driver: ordinary.
    pub control_us_before: f64,
    /// In the worst second.
    pub control_us_worst: f64,
    /// Least share of what was asked for that was earned in any second.
    pub earned_worst: f64,
    /// Seconds from its end until all is as before; none: not within the time until the next event.
    pub settled_after: Option<usize>,
}

impl fmt::Display for Settled {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {} s for {} s: bytes {:.0} to {:.0}, messages {:.1} to {:.1}, control {:.0} to {:.0} us, earned {:.3} at \
             worst, ",
            self.event,
            self.at,
            self.lasts,
            self.bytes_before,
            self.bytes_worst,
            self.messages_before,
            self.messages_worst,
            self.control_us_before,
            self.control_us_worst,
            self.earned_worst
        )?;
        match self.settled_after {
            Some(seconds) => write!(f, "settled {seconds} s after its end"),
            None => f.write_str("not settled before the next event"),
        }
    }
}

/// Figures of one second that an event may raise.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Bytes of messages and the list.
    pub bytes: f64,
    /// Messages, both ways.
    pub messages: f64,
    /// Control time in microseconds.
    pub control_us: f64,
    /// Share of what was asked for that was earned.
    pub earned: f64,
}

/// What each of a run's events did.
pub fn all(run: &Run) -> Vec<Settled> {
    let plan = &run.outcome.plan;
    let figures: Vec<Figures> = (0..plan.seconds())
        .map(|second| {
            let costs = run.hollow[second].mean;
            Figures {
                bytes: costs.peer_bytes() + costs.list_bytes(),
                messages: costs.datagrams_sent + costs.datagrams_received,
                control_us: costs.control_time() / 1e3,
                earned: earned(&run.outcome.day, second),
            }
        })
        .collect();
    // Two cuts at the same time are one event.
    let mut strikes: Vec<&Strike> = Vec::new();
    for strike in &plan.strikes {
        if strikes.last().is_none_or(|last| last.at != strike.at) {
            strikes.push(strike);
        }
    }
    let begins: Vec<usize> = strikes.iter().map(|s| (s.at / SECOND) as usize).collect();
    let until = |index: usize| begins.get(index + 1).copied().unwrap_or(plan.seconds());
    let event = |(index, strike): (usize, &&Strike)| {
        let lasts = strike.lasts.map_or(0, |lasts| (lasts / SECOND) as usize);
        settle(name(&strike.fault), &figures, begins[index], lasts, until(index))
    };
    strikes.iter().enumerate().map(event).collect()
}

/// What an event did that began at a second, lasted so long, and was followed by the next one.
pub fn settle(event: &'static str, figures: &[Figures], at: usize, lasts: usize, until: usize) -> Settled {
    let until = until.min(figures.len());
    let before = &figures[at.saturating_sub(BEFORE)..at];
    let worst = |of: fn(&Figures) -> f64| figures[at..until].iter().map(of).fold(0.0, f64::max);
    let ordinary = mean(before);
    let is_ordinary = |window: &[Figures]| {
        let f = mean(window);
        f.bytes <= ordinary.bytes * COST_FACTOR
            && f.messages <= ordinary.messages * COST_FACTOR
            && f.earned >= ordinary.earned - EARNED_SLACK
    };
    let end = (at + lasts).min(until);
    let settled_after = figures[end..until].windows(STAYS).position(is_ordinary);
    Settled {
        event,
        at,
        lasts,
        bytes_before: ordinary.bytes,
        bytes_worst: worst(|f| f.bytes),
        messages_before: ordinary.messages,
        messages_worst: worst(|f| f.messages),
        control_us_before: ordinary.control_us,
        control_us_worst: worst(|f| f.control_us),
        earned_worst: figures[at..until].iter().map(|f| f.earned).fold(1.0, f64::min),
        settled_after,
    }
}

/// The mean of some seconds.
fn mean(seconds: &[Figures]) -> Figures {
    let of =
        |figure: fn(&Figures) -> f64| seconds.iter().map(figure).sum::<f64>() / seconds.len().max(1) as f64;
    Figures {
        bytes: of(|f| f.bytes),
        messages: of(|f| f.messages),
        control_us: of(|f| f.control_us),
        earned: of(|f| f.earned),
    }
}

fn name(fault: &Fault) -> &'static str {
    match fault {
        Fault::ZoneLoss { .. } => "zone lost",
        Fault::RouterLoss(..) => "drivers killed",
        Fault::Cut { answers_only: true, .. } => "one way cut",
        Fault::Cut { .. } => "fleet cut in two",
        Fault::Standstill(..) => "standstill",
        Fault::Silence => "discovery silent",
        Fault::PeerLoss(..) => "datagrams lost",
        Fault::Drain(..) => "drain",
        _ => "other fault",
    }
}
