//! What operators state about zones, and its validation.

use std::fmt;

use beaconshore::interface::{Micros, ZoneId};

/// Number of zones that a policy may list at most.
pub const MAX_ZONES: usize = 64;

/// A zone as its operators describe it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZonePolicy {
    /// The zone that this entry describes.
    pub zone: ZoneId,
    /// The name of the zone in log lines.
    pub name: String,
    /// Zones in order of preference for routers in this one, itself first. Empty: the order follows measured
    /// round trips.
    pub prefer: Vec<ZoneId>,
    /// Work that the zone's members can do, in seconds of work per second. 0: not stated, and nothing limits
    /// the reads that spill over into the zone.
    pub capacity: f64,
    /// Number of routers that run in the zone. Only routers outside it can spill into it, and each of those
    /// gets an equal part of the limit.
    pub routers: u32,
}

/// All that operators state about zones.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// This router's number among the routers that exchange messages, from 0. None: routers lend each other
    /// no parts of their spill limits.
    pub router_number: Option<u32>,
    /// The described zones. A zone without an entry has no spill limit, and its preference follows its round
    /// trips.
    pub zones: Vec<ZonePolicy>,
    /// Share of a zone's capacity that reads from other zones may take, over all routers.
    pub spill_share: f64,
    /// Share of a zone's members that must fail together for the zone to count as lost.
    pub quorum: f64,
    /// Members fail together if none of them has answered for this long, in microseconds.
    pub silence: Micros,
    /// Shortest stay at each step of a zone's ramp-up, in microseconds.
    pub dwell: Micros,
    /// Answers that this router must get at the last step of a ramp-up before the zone is fully in use;
    /// earlier steps need a part of that.
    pub min_answers: u32,
    /// Share of a step's attempts that may fail.
    pub max_failure_share: f64,
    /// A step is given up if its answers take longer than this multiple of the zone's usual latency.
    pub max_slowdown: f64,
    /// A further loss of the same zone within this time makes its ramp-up slower, in microseconds.
    pub flap_memory: Micros,
    /// How often the stay at a step may be doubled at most.
    pub max_doublings: u32,
    /// Shortest time from a loss or cut-off until the zone may be used again, in microseconds. It limits how
    /// often routers change their preference.
    pub hold: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            router_number: None,
            zones: Vec::new(),
            spill_share: 0.5,
            quorum: 0.75,
            silence: 700_000,
            dwell: 500_000,
            min_answers: 8,
            max_failure_share: 0.2,
            max_slowdown: 3.0,
            flap_memory: 120_000_000,
            max_doublings: 4,
            hold: 1_000_000,
        }
    }
}

/// An invalid value in a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    /// The field as the operator's file names it, for example `zones[1].prefer`.
    pub field: String,
    /// What is wrong with the value, and which values are valid.
    pub reason: String,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.reason)
    }
}

impl Policy {
    /// Validates the policy, and returns the first invalid value as an error.
    pub fn check(&self) -> Result<(), PolicyError> {
        let invalid = |field: String, reason: String| Err(PolicyError { field, reason });
        if self.zones.len() > MAX_ZONES {
            return invalid("zones".into(), format!("{} zones, {MAX_ZONES} at most", self.zones.len()));
        }
        for (i, zone) in self.zones.iter().enumerate() {
            if self.zones[..i].iter().any(|z| z.zone == zone.zone) {
                return invalid(format!("zones[{i}]"), "the zone is listed twice; keep one entry".into());
            }
            if !(zone.capacity.is_finite() && zone.capacity >= 0.0) {
                return invalid(
                    format!("zones[{i}].capacity"),
                    "must be a finite number, 0 or greater".into(),
                );
            }
            let field = format!("zones[{i}].prefer");
            if zone.prefer.first().is_some_and(|first| *first != zone.zone) {
                return invalid(
                    field,
                    "the zone itself must come first, because its reads stay in it while they can".into(),
                );
            }
            let is_duplicate = |(n, z): (usize, &ZoneId)| zone.prefer[..n].contains(z);
            if zone.prefer.iter().enumerate().any(is_duplicate) {
                return invalid(field, "a zone is listed twice; keep one".into());
            }
        }
        let ratios = [
            ("spill_share", self.spill_share, 0.0, 1.0),
            ("quorum", self.quorum, 0.5, 1.0),
            ("failures", self.max_failure_share, 0.0, 0.9),
            ("slowdown", self.max_slowdown, 1.1, 100.0),
        ];
        for (name, value, min, max) in ratios {
            if !(value >= min && value <= max) {
                return invalid(name.into(), format!("is {value}, must be from {min} to {max}"));
            }
        }
        let durations = [
            ("silence_ms", self.silence, 50_000, 60_000_000),
            ("dwell_ms", self.dwell, 10_000, 600_000_000),
            ("flap_memory_ms", self.flap_memory, 1_000_000, 86_400_000_000),
            ("hold_ms", self.hold, 10_000, 600_000_000),
        ];
        for (name, value, min, max) in durations {
            if !(min..=max).contains(&value) {
                let ms = |t: Micros| t / 1000;
                let reason = format!("is {} ms, must be from {} to {}", ms(value), ms(min), ms(max));
                return invalid(name.into(), reason);
            }
        }
        if self.max_doublings > 10 {
            return invalid(
                "most_doublings".into(),
                format!("is {}, must be at most 10", self.max_doublings),
            );
        }
        Ok(())
    }

    /// Returns the entry of a zone, if it has one.
    pub fn zone(&self, zone: ZoneId) -> Option<&ZonePolicy> {
        self.zones.iter().find(|z| z.zone == zone)
    }
}
