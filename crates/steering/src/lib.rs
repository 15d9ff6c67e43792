//! The decision module and its planners (of zones and of routes) as one value without I/O: it takes events
//! and returns actions. It owns the module and the planners and fixes the order in which they handle an
//! event, but makes no decisions of its own. The driver and the emulator both use it.
//!
//! Without planners it passes events through: it returns the same actions as the decision module alone.

use std::net::IpAddr;

use beaconshore::interface::{Action, Event, MemberId, Micros, Outcome, Request, RequestId, Settings};
use beaconshore::sizes::TableSizes;
use beaconshore::Router;
use beaconshore_routes::controller::{
    request_attributes, Admission, RequestEnd, RetryDecision, RouteCounters,
};
use beaconshore_routes::expression::RequestAttributes;
use beaconshore_routes::RouteController;
use beaconshore_zones::planner::ZoneStatus;
use beaconshore_zones::Planner;

/// The policies of the planners, as operators state them. The default has no planners.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerPolicies {
    /// The policy of the zone planner; none: zones are not planned for.
    pub zones: Option<beaconshore_zones::Policy>,
    /// The policy of the routes; none: no request is limited by a route.
    pub routes: Option<beaconshore_routes::Policy>,
    /// Names of the request classes, by index; conditions of routes refer to them.
    pub classes: Vec<String>,
}

/// What is known of the client connection that a request came on. Conditions of routes can refer to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionInfo<'a> {
    /// The address of the client.
    pub client: Option<IpAddr>,
    /// The user name that the client has given.
    pub user: &'a str,
    /// The database that the client has named.
    pub database: &'a str,
}

/// The decision module of one router with its planners.
pub struct Steering {
    router: Router,
    zone_planner: Option<Planner>,
    controller: Option<RouteController>,
    settings: Settings,
    class_names: Vec<String>,
    seed: u64,
}

impl Steering {
    /// Creates a router with these settings, and planners for the policies that are stated. The seed is for
    /// random choices.
    pub fn new(settings: Settings, policies: PlannerPolicies, seed: u64, now: Micros) -> Self {
        let PlannerPolicies { zones, routes, classes: class_names } = policies;
        let zone_planner = zones.map(|policy| Planner::new(policy, &settings, now));
        let controller = routes.map(|policy| RouteController::new(policy, seed, now));
        Steering {
            router: Router::new(settings.clone(), seed, now),
            zone_planner,
            controller,
            settings,
            class_names,
            seed,
        }
    }

    /// Handles an event and appends the actions that follow from it to `out`.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        let Some(controller) = &mut self.controller else { return self.handle_in_module(now, event, out) };
        match event {
            Event::Request(request) => {
                let attributes = request_attributes(request, &self.settings, &self.class_names);
                let admission = controller.on_request(request.id, &attributes, request.budget, now);
                self.apply_admission(now, request, admission, out);
            }
            Event::AttemptEnded(ended) => {
                if ended.outcome != Outcome::Served && !ended.request_finished {
                    let rest = match controller.on_attempt_failed(ended.request, ended.outcome, now) {
                        RetryDecision::At(at) if at <= now => None,
                        RetryDecision::At(at) => Some(Event::RetryNotBefore(ended.request, Some(at))),
                        RetryDecision::Denied => Some(Event::RetryNotBefore(ended.request, None)),
                    };
                    rest.into_iter().for_each(|rest| self.handle_in_module(now, &rest, out));
                } else {
                    let over = if ended.outcome == Outcome::Served {
                        RequestEnd::Served
                    } else {
                        RequestEnd::Unserved
                    };
                    controller.on_request_ended(ended.request, over, now);
                }
                self.handle_in_module(now, event, out);
            }
            Event::ClientDisconnected(request) => {
                controller.on_request_ended(*request, RequestEnd::ClientLeft, now);
                self.handle_in_module(now, event, out);
            }
            _ => self.handle_in_module(now, event, out),
        }
    }

    /// Handles a new request whose connection and statement are known, which an [`Event::Request`] does not
    /// carry, and appends the actions that follow from it to `out`.
    pub fn handle_request(
        &mut self,
        now: Micros,
        request: &Request,
        connection: ConnectionInfo,
        statement: &str,
        out: &mut Vec<Action>,
    ) {
        let Some(controller) = &mut self.controller else {
            return self.handle_in_module(now, &Event::Request(request.clone()), out);
        };
        let ConnectionInfo { client, user, database } = connection;
        let attributes = RequestAttributes {
            client,
            user,
            database,
            statement,
            ..request_attributes(request, &self.settings, &self.class_names)
        };
        let admission = controller.on_request(request.id, &attributes, request.budget, now);
        self.apply_admission(now, request, admission, out);
    }

    /// Whether there are routes. Only then callers need to pass a request's connection and statement.
    pub fn has_routes(&self) -> bool {
        self.controller.is_some()
    }

    /// Passes a request on to the decision module, narrowed by its route, or refuses it.
    fn apply_admission(
        &mut self,
        now: Micros,
        request: &Request,
        admission: Admission,
        out: &mut Vec<Action>,
    ) {
        match admission {
            Admission::Admit(budget, narrow) => {
                let request = Request { budget, ..request.clone() };
                self.handle_in_module(now, &Event::RequestWithLimits(request, narrow), out);
            }
            // The request has not reached the module, so it has not run, and the client may safely send it
            // again.
            Admission::Reject(_, after) => {
                let limits = &self.settings.limits;
                let max_retry_after = if limits.retry_after { limits.max_retry_after } else { 0 };
                out.push(Action::Refuse { request: request.id, retry_after: after.min(max_retry_after) });
            }
        }
    }

    /// Lets the zone planner and the decision module handle an event, and tells the route controller which requests
    /// are over by that.
    fn handle_in_module(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        let first_new = out.len();
        match &mut self.zone_planner {
            None => self.router.handle(now, event, out),
            Some(zone_planner) => {
                zone_planner.on_event(now, event);
                // Advice that follows from the passing of time has to reach the module before it handles the
                // timer. Advice that follows from a list is given after it, still within the same event.
                if matches!(event, Event::Timer) {
                    Self::advise(&mut self.router, zone_planner, now, out);
                }
                let first_of_event = out.len();
                self.router.handle(now, event, out);
                zone_planner.on_actions(now, &out[first_of_event..], |class| {
                    self.router.unloaded_service_time(class)
                });
                if matches!(event, Event::List(..)) {
                    Self::advise(&mut self.router, zone_planner, now, out);
                }
            }
        }
        if let Some(controller) = &mut self.controller {
            for action in &out[first_new..] {
                if let Action::Refuse { request, .. } | Action::Fail(request) = action {
                    controller.on_request_ended(*request, RequestEnd::Unserved, now);
                }
            }
        }
    }

    /// Passes new advice of the zone planner to the decision module, and appends the planner's own actions
    /// and log lines to `out`.
    fn advise(router: &mut Router, zone_planner: &mut Planner, now: Micros, out: &mut Vec<Action>) {
        let (advice, due) = zone_planner.advise(now);
        out.extend(due);
        if let Some(advice) = advice {
            let first_of_advice = out.len();
            router.handle(now, &Event::Advice(&advice), out);
            zone_planner
                .on_actions(now, &out[first_of_advice..], |class| router.unloaded_service_time(class));
        }
        out.extend(zone_planner.take_log_lines().into_iter().map(Action::Log));
    }

    /// Replaces all routes at once. Requests that have already been admitted keep the limits of the old
    /// routes.
    pub fn reload_routes(&mut self, policy: Option<beaconshore_routes::Policy>, now: Micros) {
        match (&mut self.controller, policy) {
            (Some(controller), Some(policy)) => controller.reload(policy, now),
            (controller, policy) => {
                *controller = policy.map(|policy| RouteController::new(policy, self.seed, now))
            }
        }
    }

    /// Returns whether an attempt that had to wait for its connection may still be sent to the member.
    pub fn confirm(&mut self, now: Micros, request: RequestId, to: MemberId) -> bool {
        self.router.confirm(now, request, to)
    }

    /// Returns the status of all zones; empty without a zone planner.
    pub fn zone_status(&mut self, now: Micros) -> Vec<ZoneStatus> {
        self.zone_planner.as_mut().map_or_else(Vec::new, |planner| planner.status(now))
    }

    /// Returns the counters of each route by name; empty without routes.
    pub fn route_counts(&self) -> Vec<(&str, RouteCounters)> {
        self.controller.as_ref().map_or_else(Vec::new, RouteController::counters)
    }

    /// Returns the sizes of the zone planner's tables (members, groups, requests); none without a zone
    /// planner.
    pub fn zone_table_sizes(&self) -> Option<(usize, usize, usize)> {
        self.zone_planner.as_ref().map(Planner::table_sizes)
    }

    /// Returns the number of open requests that belong to a route.
    pub fn routed_requests(&self) -> usize {
        self.controller.as_ref().map_or(0, RouteController::tracked_requests)
    }

    /// Returns the sizes of the decision module's tables.
    pub fn sizes(&self) -> TableSizes {
        self.router.sizes()
    }
}
