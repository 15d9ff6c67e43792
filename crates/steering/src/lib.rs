//! The decision module and its planners as one value without I/O: events in, actions out. Owns both, and the
//! order in which they hear of things; decides nothing itself. Driver, emulator and fronts use it alike.
//!
//! Without planners it hands events through: the same actions for the same events as the module alone.

use beaconshore::interface::{Action, Event, MemberId, Micros, RequestId, Settings};
use beaconshore::sizes::Sizes;
use beaconshore::Router;
use beaconshore_zones::planner::ZoneStatus;
use beaconshore_zones::{Planner, Policy};

/// A router with its planners.
pub struct Steering {
    router: Router,
    zones: Option<Planner>,
}

impl Steering {
    /// A router that knows nothing but its settings; with a policy on zones, one that plans for them.
    pub fn new(settings: Settings, zones: Option<Policy>, seed: u64, now: Micros) -> Self {
        let zones = zones.map(|policy| Planner::new(policy, &settings, now));
        Steering { router: Router::new(settings, seed, now), zones }
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        let Some(zones) = &mut self.zones else { return self.router.handle(now, event, out) };
        zones.on_event(now, event);
        // What the list or the clock changes for zones holds for this event already.
        if matches!(event, Event::Timer) {
            Self::advise(&mut self.router, zones, now, out);
        }
        let from = out.len();
        self.router.handle(now, event, out);
        zones.on_actions(now, &out[from..], |class| self.router.work(class));
        if matches!(event, Event::List(..)) {
            Self::advise(&mut self.router, zones, now, out);
        }
    }

    fn advise(router: &mut Router, zones: &mut Planner, now: Micros, out: &mut Vec<Action>) {
        let (advice, probes) = zones.advise(now);
        out.extend(probes);
        if let Some(advice) = advice {
            let from = out.len();
            router.handle(now, &Event::Advice(&advice), out);
            zones.on_actions(now, &out[from..], |class| router.work(class));
        }
        out.extend(zones.changes().into_iter().map(Action::Log));
    }

    /// Asked where a send had to wait: whether it may still go out.
    pub fn confirm(&mut self, now: Micros, request: RequestId, to: MemberId) -> bool {
        self.router.confirm(now, request, to)
    }

    /// Zones as they stand; empty without planners.
    pub fn zones(&mut self, now: Micros) -> Vec<ZoneStatus> {
        self.zones.as_mut().map_or_else(Vec::new, |zones| zones.status(now))
    }

    /// The sizes of the planners' tables: members, groups, requests.
    pub fn planned(&self) -> Option<(usize, usize, usize)> {
        self.zones.as_ref().map(Planner::sizes)
    }

    /// The sizes of the router's tables.
    pub fn sizes(&self) -> Sizes {
        self.router.sizes()
    }
}
