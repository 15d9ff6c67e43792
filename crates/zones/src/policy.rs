//! What operators say of zones, checked.

use std::fmt;

use beaconshore::interface::{Micros, ZoneId};

/// Most zones that a policy may name.
pub const MOST_ZONES: usize = 64;

/// A zone as its operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonePolicy {
    /// Which zone.
    pub zone: ZoneId,
    /// What log lines call it.
    pub name: String,
    /// Zones in order of preference for routers in this one, itself first. Empty: told from round trips.
    pub prefer: Vec<ZoneId>,
    /// What it usually can do: seconds of work in each second. 0: not stated, and nothing limits what spills there.
    pub capacity: f64,
    /// Routers that run there: only the others can spill into it, and each gets an equal part of the limit.
    pub routers: u32,
}

/// All that operators say of zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// This router's number among those that it may talk to, from 0; none: limits are not lent.
    pub number: Option<u32>,
    /// Zones; one that is not named has no limit, and is preferred by its round trips.
    pub zones: Vec<ZonePolicy>,
    /// Share of a zone's capacity that reads from other zones may take, over all routers.
    pub spill_share: f64,
    /// Share of a zone's members that must fail together for it to count as lost.
    pub quorum: f64,
    /// They fail together if no one of them answered for this long, in microseconds.
    pub silence: Micros,
    /// Least stay at each step of the way back, in microseconds.
    pub dwell: Micros,
    /// Answers that a step must bring before the next, of this router.
    pub proof: u32,
    /// Share of a step's attempts that may fail.
    pub failures: f64,
    /// A step is too much if answers take this multiple of what they usually do there.
    pub slowdown: f64,
    /// A further loss within this time lengthens the way back, in microseconds.
    pub flap_memory: Micros,
    /// It is lengthened at most so many times (doubled each time).
    pub most_doublings: u32,
    /// Least time from one change of preference that turns to a zone to the next, in microseconds.
    pub hold: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            number: None,
            zones: Vec::new(),
            spill_share: 0.5,
            quorum: 0.75,
            silence: 700_000,
            dwell: 500_000,
            proof: 8,
            failures: 0.2,
            slowdown: 3.0,
            flap_memory: 120_000_000,
            most_doublings: 4,
            hold: 1_000_000,
        }
    }
}

/// What is wrong with a policy, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field, as in the operator's file: `zones[1].prefer`.
    pub field: String,
    /// What is wrong, and what would be right.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl Policy {
    /// Finds the first thing that can't be meant.
    pub fn check(&self) -> Result<(), Fault> {
        let fault = |field: String, reason: String| Err(Fault { field, reason });
        if self.zones.len() > MOST_ZONES {
            return fault("zones".into(), format!("{} zones, {MOST_ZONES} at most", self.zones.len()));
        }
        for (i, zone) in self.zones.iter().enumerate() {
            if self.zones[..i].iter().any(|z| z.zone == zone.zone) {
                return fault(format!("zones[{i}]"), "the zone stands here twice; keep one entry".into());
            }
            if !(zone.capacity.is_finite() && zone.capacity >= 0.0) {
                return fault(format!("zones[{i}].capacity"), "must be 0 or more".into());
            }
            let field = format!("zones[{i}].prefer");
            if zone.prefer.first().is_some_and(|first| *first != zone.zone) {
                return fault(
                    field,
                    "the zone itself comes first: the design keeps reads in their zone".into(),
                );
            }
            let twice = |(n, z): (usize, &ZoneId)| zone.prefer[..n].contains(z);
            if zone.prefer.iter().enumerate().any(twice) {
                return fault(field, "a zone stands there twice".into());
            }
        }
        let shares = [
            ("spill_share", self.spill_share, 0.0, 1.0),
            ("quorum", self.quorum, 0.5, 1.0),
            ("failures", self.failures, 0.0, 0.9),
            ("slowdown", self.slowdown, 1.1, 100.0),
        ];
        for (name, value, least, most) in shares {
            if !(value >= least && value <= most) {
                return fault(name.into(), format!("is {value}, must be from {least} to {most}"));
            }
        }
        let times = [
            ("silence_ms", self.silence, 50_000, 60_000_000),
            ("dwell_ms", self.dwell, 10_000, 600_000_000),
            ("flap_memory_ms", self.flap_memory, 1_000_000, 86_400_000_000),
            ("hold_ms", self.hold, 10_000, 600_000_000),
        ];
        for (name, value, least, most) in times {
            if !(least..=most).contains(&value) {
                let ms = |t: Micros| t / 1000;
                let reason = format!("is {} ms, must be from {} to {}", ms(value), ms(least), ms(most));
                return fault(name.into(), reason);
            }
        }
        if self.most_doublings > 10 {
            return fault("most_doublings".into(), format!("is {}, 10 at most", self.most_doublings));
        }
        Ok(())
    }

    /// What is said of a zone.
    pub fn of(&self, zone: ZoneId) -> Option<&ZonePolicy> {
        self.zones.iter().find(|z| z.zone == zone)
    }
}
