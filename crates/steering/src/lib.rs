//! The decision module and its planners as one value without I/O: events in, actions out. Owns both, and the
//! order in which they hear of things; decides nothing itself. Driver, emulator and fronts use it alike.
//!
//! Without planners it hands events through: the same actions for the same events as the module alone.

use std::net::IpAddr;

use beaconshore::interface::{Action, Event, MemberId, Micros, Outcome, Request, RequestId, Settings};
use beaconshore::sizes::Sizes;
use beaconshore::Router;
use beaconshore_routes::director::{facts, Again, Counts, Over, Verdict};
use beaconshore_routes::expression::Facts;
use beaconshore_routes::Director;
use beaconshore_zones::planner::ZoneStatus;
use beaconshore_zones::Planner;

/// What operators say; the default plans nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plans {
    /// Of zones.
    pub zones: Option<beaconshore_zones::Policy>,
    /// Of routes.
    pub routes: Option<beaconshore_routes::Policy>,
    /// Names of the classes, by index: routes go by them.
    pub classes: Vec<String>,
}

/// What a front knows of a request's connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connection<'a> {
    /// Its client's address.
    pub client: Option<IpAddr>,
    /// Its user, as its client says.
    pub user: &'a str,
    /// Its database.
    pub database: &'a str,
}

/// A router with its planners.
pub struct Steering {
    router: Router,
    zones: Option<Planner>,
    /// Where operators say something of routes.
    routes: Option<Director>,
    settings: Settings,
    classes: Vec<String>,
    seed: u64,
}

impl Steering {
    /// A router that knows nothing but its settings, and plans as its operators say.
    pub fn new(settings: Settings, plans: Plans, seed: u64, now: Micros) -> Self {
        let Plans { zones, routes, classes } = plans;
        let zones = zones.map(|policy| Planner::new(policy, &settings, now));
        let routes = routes.map(|policy| Director::new(policy, seed, now));
        Steering { router: Router::new(settings.clone(), seed, now), zones, routes, settings, classes, seed }
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        let Some(routes) = &mut self.routes else { return self.plan(now, event, out) };
        match event {
            Event::Request(request) => {
                let facts = facts(request, &self.settings, &self.classes);
                let verdict = routes.on_request(request.id, &facts, request.budget, now);
                self.admit(now, request, verdict, out);
            }
            Event::AttemptEnded(ended) => {
                if ended.outcome != Outcome::Served && !ended.finished {
                    let rest = match routes.on_failed(ended.request, ended.outcome, now) {
                        Again::At(at) if at <= now => None,
                        Again::At(at) => Some(Event::Rest(ended.request, Some(at))),
                        Again::Never => Some(Event::Rest(ended.request, None)),
                    };
                    rest.into_iter().for_each(|rest| self.plan(now, &rest, out));
                } else {
                    let over = if ended.outcome == Outcome::Served { Over::Served } else { Over::Unserved };
                    routes.on_over(ended.request, over, now);
                }
                self.plan(now, event, out);
            }
            Event::HungUp(request) => {
                routes.on_over(*request, Over::Left, now);
                self.plan(now, event, out);
            }
            _ => self.plan(now, event, out),
        }
    }

    /// Takes a request whose front knows more of it than the event holds: its connection and its statement.
    pub fn request(
        &mut self,
        now: Micros,
        request: &Request,
        connection: Connection,
        statement: &str,
        out: &mut Vec<Action>,
    ) {
        let Some(routes) = &mut self.routes else {
            return self.plan(now, &Event::Request(request.clone()), out);
        };
        let Connection { client, user, database } = connection;
        let facts =
            Facts { client, user, database, statement, ..facts(request, &self.settings, &self.classes) };
        let verdict = routes.on_request(request.id, &facts, request.budget, now);
        self.admit(now, request, verdict, out);
    }

    /// Whether routes are in force: only then fronts need to tell what they know.
    pub fn is_routed(&self) -> bool {
        self.routes.is_some()
    }

    fn admit(&mut self, now: Micros, request: &Request, verdict: Verdict, out: &mut Vec<Action>) {
        match verdict {
            Verdict::Admit(budget, narrow) => {
                let request = Request { budget, ..request.clone() };
                self.plan(now, &Event::Narrowed(request, narrow), out);
            }
            // What never reached the module has not run: trying again is harmless.
            Verdict::TurnAway(_, after) => {
                let limits = &self.settings.limits;
                let most = if limits.retry_after { limits.max_retry_after } else { 0 };
                out.push(Action::Refuse { request: request.id, retry_after: after.min(most) });
            }
        }
    }

    /// The planner of zones, and the module.
    fn plan(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        let begun = out.len();
        match &mut self.zones {
            None => self.router.handle(now, event, out),
            Some(zones) => {
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
        }
        if let Some(routes) = &mut self.routes {
            for action in &out[begun..] {
                if let Action::Refuse { request, .. } | Action::Fail(request) = action {
                    routes.on_over(*request, Over::Unserved, now);
                }
            }
        }
    }

    fn advise(router: &mut Router, zones: &mut Planner, now: Micros, out: &mut Vec<Action>) {
        let (advice, due) = zones.advise(now);
        out.extend(due);
        if let Some(advice) = advice {
            let from = out.len();
            router.handle(now, &Event::Advice(&advice), out);
            zones.on_actions(now, &out[from..], |class| router.work(class));
        }
        out.extend(zones.take_log_lines().into_iter().map(Action::Log));
    }

    /// New routes take the place of those in force, as a whole; requests that were taken go on by the old ones.
    pub fn reload_routes(&mut self, policy: Option<beaconshore_routes::Policy>, now: Micros) {
        match (&mut self.routes, policy) {
            (Some(routes), Some(policy)) => routes.reload(policy, now),
            (routes, policy) => *routes = policy.map(|policy| Director::new(policy, self.seed, now)),
        }
    }

    /// Asked where a send had to wait: whether it may still go out.
    pub fn confirm(&mut self, now: Micros, request: RequestId, to: MemberId) -> bool {
        self.router.confirm(now, request, to)
    }

    /// Zones as they stand; empty without planners.
    pub fn zones(&mut self, now: Micros) -> Vec<ZoneStatus> {
        self.zones.as_mut().map_or_else(Vec::new, |zones| zones.status(now))
    }

    /// What each route did, by name; empty without any.
    pub fn routes(&self) -> Vec<(&str, Counts)> {
        self.routes.as_ref().map_or_else(Vec::new, Director::counts)
    }

    /// The sizes of the planners' tables: members, groups, requests.
    pub fn planned(&self) -> Option<(usize, usize, usize)> {
        self.zones.as_ref().map(Planner::table_sizes)
    }

    /// Requests that routes follow.
    pub fn routed(&self) -> usize {
        self.routes.as_ref().map_or(0, Director::held)
    }

    /// The sizes of the router's tables.
    pub fn sizes(&self) -> Sizes {
        self.router.sizes()
    }
}
