//! The zone planner of one router: it takes the router's events and actions, keeps the state of every zone,
//! and advises the decision module on changes.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use beaconshore::interface::{
    Action, Advice, Consistency, Event, GroupId, ListEntry, ListKind, ListedState, MemberId, Micros, Outcome,
    RequestId, Role, Settings, SpillLimit, SpillLoan, ZoneAdvice, ZoneId,
};

use crate::health::{HealthTracker, MemberHealth, ZoneHealth, ZoneVerdict};
use crate::policy::Policy;
use crate::ramp_up::STEP_SHARES;
use crate::sliding_window::WINDOW_MICROS;
use crate::spill_limit::{allocate, ClassDemand, SpillDemand, SpillLimiter, ROUND_MICROS};
use crate::zone_order::ZoneOrder;
use crate::zone_state::{ZoneChange, ZonePhase, ZoneState};

/// A group still counts as having a member in a zone for this long after the list last named it there, in
/// microseconds, because the members of a lost zone leave the list.
const HOME_MEMORY_MICROS: Micros = 600_000_000;
/// Shortest time between two probes of the same member in a zone that is not healthy, in microseconds.
const PROBE_INTERVAL_MICROS: Micros = 500_000;
/// The probe interval is multiplied by the number of routers divided by this (rounded down, at least 1), so
/// that members of a store with many routers do not get busy with answers to probes.
const ROUTERS_PER_PROBE_INTERVAL: u32 = 16;
/// Number of members of a zone that are probed in a round at most, however large the zone is.
const MAX_PROBES_PER_ROUND: usize = 4;
/// Ratio of a request's mean work to the router's figure, which is the lowest that the mean has been.
const MEAN_WORK_RATIO: f64 = 1.15;
/// Shortest time between two requests for loans from other routers, in microseconds.
const LOAN_REQUEST_INTERVAL_MICROS: Micros = 250_000;
/// Loans are asked for as if demand were this multiple of its average, because demand comes unevenly.
const LOAN_DEMAND_FACTOR: f64 = 1.4;
/// With more routers than this there are no loans, because the number of messages grows with the square of
/// the number of routers.
const MAX_LENDING_ROUTERS: u32 = 32;
/// Number of loan messages that may wait to be sent. Further ones are dropped, and the borrowers ask again.
const MAX_QUEUED_LOAN_MESSAGES: usize = 64;
/// Time between two adjustments of the windows to the work that requests take, in microseconds.
const WINDOW_FIT_INTERVAL_MICROS: Micros = 1_000_000;
/// Number of open requests that are tracked at most. The spill demand of further ones is not measured.
const MAX_TRACKED_REQUESTS: usize = 65_536;

/// The status of one zone as this router sees it, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneId,
    /// The name of the zone, or its number if operators gave none.
    pub name: String,
    /// The zone's place in this router's order of preference, from 0.
    pub tier: u16,
    /// The zone's phase: `well`, `lost`, `cut-off` or `returning`.
    pub phase: &'static str,
    /// When the phase began, on the caller's clock.
    pub phase_since: Micros,
    /// The step of the zone's ramp-up, from 0, while it recovers.
    pub step: Option<usize>,
    /// Share of reads that may go to the zone.
    pub share: f64,
    /// Work of reads from other zones that this router sent to the zone within the last second, in
    /// microseconds.
    pub spilled_work: f64,
    /// This router's limit on that work, in microseconds; none if operators stated no capacity for the zone.
    pub spill_limit: Option<f64>,
    /// How often this router has stopped using the zone or started to use it again.
    pub preference_changes: u64,
}

impl fmt::Display for ZoneStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "zone={} tier={} phase={} share={:.2}", self.name, self.tier, self.phase, self.share)?;
        if let Some(step) = self.step {
            write!(f, " step={}/{}", step + 1, STEP_SHARES.len())?;
        }
        if let Some(limit) = self.spill_limit {
            write!(f, " spilled_ms={:.0} limit_ms={:.0}", self.spilled_work / 1e3, limit / 1e3)?;
        }
        write!(f, " turned={}", self.preference_changes)
    }
}

struct Zone {
    state: ZoneState,
    /// None if nothing limits what spills into the zone.
    limiter: Option<SpillLimiter>,
    /// Health as of the last round.
    health: ZoneHealth,
}

/// Plans the use of zones for one router.
pub struct Planner {
    policy: Policy,
    settings: Settings,
    /// The strictest staleness bound of any class, 1 s without such a class. Positions within it count as
    /// fresh.
    staleness_bound: Micros,
    health: HealthTracker,
    zone_order: ZoneOrder,
    zones: BTreeMap<ZoneId, Zone>,
    /// By group: its members, each with its zone and the time until which that counts.
    placements: BTreeMap<GroupId, BTreeMap<MemberId, (ZoneId, Micros)>>,
    /// By group: the member that was last known as its primary. It does not count for the group's home tier,
    /// because reads are meant for replicas, to offload the primary.
    primaries: BTreeMap<GroupId, MemberId>,
    /// By group: the home tier that the router was last advised of.
    advised_homes: BTreeMap<GroupId, u16>,
    /// By zone: the last advice to the router.
    advised_zones: BTreeMap<ZoneId, ZoneAdvice>,
    /// Open requests, each with its class and group.
    requests: BTreeMap<RequestId, (usize, GroupId)>,
    demand: SpillDemand,
    /// When this planner last probed a member.
    last_probes: BTreeMap<MemberId, Micros>,
    next_round_at: Micros,
    last_loan_request_at: Micros,
    last_window_fit_at: Micros,
    /// Messages to other routers that wait to be sent.
    loan_messages: Vec<SpillLoan>,
    /// Changes that are not logged yet.
    changes: Vec<(ZoneId, ZoneChange)>,
}

impl Planner {
    /// Creates a planner without any knowledge of zones. The policy has to be valid.
    pub fn new(policy: Policy, settings: &Settings, now: Micros) -> Self {
        let staleness_bound = |c: &beaconshore::interface::Class| match c.consistency {
            Consistency::Bounded(bound) => Some(bound),
            _ => None,
        };
        Planner {
            policy: Policy {
                router_number: policy.router_number.filter(|_| settings.routers <= MAX_LENDING_ROUTERS),
                ..policy
            },
            staleness_bound: settings.classes.iter().filter_map(staleness_bound).min().unwrap_or(1_000_000),
            settings: settings.clone(),
            health: HealthTracker::default(),
            zone_order: ZoneOrder::default(),
            zones: BTreeMap::new(),
            placements: BTreeMap::new(),
            primaries: BTreeMap::new(),
            advised_homes: BTreeMap::new(),
            advised_zones: BTreeMap::new(),
            requests: BTreeMap::new(),
            demand: SpillDemand::default(),
            last_probes: BTreeMap::new(),
            next_round_at: now,
            last_loan_request_at: 0,
            last_window_fit_at: 0,
            loan_messages: Vec::new(),
            changes: Vec::new(),
        }
    }

    // ---- Events of the router ----

    /// Takes an event. It has to be called before the decision module handles the same event.
    pub fn on_event(&mut self, now: Micros, event: &Event) {
        match event {
            Event::List(kind, entries) => self.on_list(*kind, entries, now),
            Event::Request(request) | Event::RequestWithLimits(request, _)
                if self.requests.len() < MAX_TRACKED_REQUESTS =>
            {
                self.requests.insert(request.id, (request.class, request.group));
            }
            Event::AttemptEnded(ended) => {
                let zone = self.health.member(ended.member).map(|m| m.zone);
                let state = zone.and_then(|z| self.zones.get_mut(&z)).map(|z| &mut z.state);
                let ramp_up = state.and_then(ZoneState::ramp_up);
                let learn = ramp_up.is_none();
                match (ramp_up, ended.outcome) {
                    (Some(ramp_up), Outcome::Served) => ramp_up.on_attempt_ended(true, ended.duration),
                    (Some(ramp_up), Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable) => {
                        ramp_up.on_attempt_ended(false, ended.duration);
                    }
                    _ => {}
                }
                let end = (ended.outcome, ended.duration);
                self.health.on_attempt_ended(ended.request, ended.member, end, learn, now);
                let utilization = ended.report.utilization;
                self.health.on_member_report(ended.member, ended.report.position, utilization, now);
                let is_commit = ended.outcome == Outcome::Served && self.is_write(ended.request);
                let position = ended.status.position.filter(|_| !is_commit);
                self.record_role(ended.member, ended.status.role);
                self.health.on_member_report(ended.member, position, None, now);
                if ended.request_finished {
                    self.requests.remove(&ended.request);
                }
            }
            Event::ProbeAnswered { member, role } => {
                self.record_probe_end(*member, Outcome::Served, now);
                self.record_role(*member, *role);
            }
            Event::ProbeEnded { member, outcome, report } => {
                self.record_probe_end(*member, *outcome, now);
                if *outcome == Outcome::Served {
                    let zone = self.health.member(*member).and_then(|m| self.zones.get_mut(&m.zone));
                    zone.and_then(|z| z.state.ramp_up())
                        .into_iter()
                        .for_each(|ramp_up| ramp_up.on_probe_answered());
                    self.record_role(*member, report.role);
                    self.health.on_member_report(*member, report.position, report.utilization, now);
                }
            }
            Event::PeerUpdates(updates) => {
                updates.iter().for_each(|u| self.health.on_peer_update(u.member, u.position, now));
            }
            Event::ClientDisconnected(request) => drop(self.requests.remove(request)),
            Event::SpillLoans(from, loans) => self.on_loan_messages(*from, loans, now),
            Event::ClockAdjusted(_) | Event::ClockStepped => self.health.forget_positions(),
            Event::Request(_)
            | Event::RequestWithLimits(..)
            | Event::RetryNotBefore(..)
            | Event::Advice(_)
            | Event::Timer => {}
        }
    }

    fn record_probe_end(&mut self, id: MemberId, outcome: Outcome, now: Micros) {
        if let Some((zone, duration)) = self.health.on_probe_ended(id, outcome, now) {
            self.zone_order.record_round_trip(zone, duration);
        }
    }

    fn record_role(&mut self, id: MemberId, role: Option<Role>) {
        if let Some(member) = self.health.member(id).filter(|_| role == Some(Role::Primary)) {
            self.primaries.insert(member.group, id);
        }
    }

    /// Takes loan messages of another router: requests for loans, and loans to this or a third router.
    fn on_loan_messages(&mut self, from: u32, messages: &[SpillLoan], now: Micros) {
        let Some(number) = self.policy.router_number.filter(|number| *number != from) else { return };
        for message in messages {
            let limiter = self.zones.get_mut(&message.zone).and_then(|z| z.limiter.as_mut());
            let Some(limiter) = limiter else { continue };
            match message.to {
                Some(to) if to == number => limiter.borrow(from, message.work, message.until, now),
                Some(_) => {}
                None => {
                    let lent = limiter.lend(from, message.work, now);
                    let loan = |(work, until)| SpillLoan { zone: message.zone, to: Some(from), work, until };
                    self.loan_messages.extend(lent.map(loan));
                }
            }
        }
        self.loan_messages.truncate(MAX_QUEUED_LOAN_MESSAGES);
    }

    /// Asks the other routers for loans if more work wants to spill over than this router's own limits allow.
    fn request_loans(&mut self, now: Micros) {
        if self.policy.router_number.is_none()
            || now < self.last_loan_request_at + LOAN_REQUEST_INTERVAL_MICROS
        {
            return;
        }
        self.last_loan_request_at = now;
        let wanted = LOAN_DEMAND_FACTOR * self.demand.total();
        let is_open = |z: &Zone| !z.state.is_failed() && z.limiter.is_some();
        let limiters = self.zones.values().filter(|z| is_open(z)).filter_map(|z| z.limiter.as_ref());
        // Borrowed work is left out, because loans have to be asked for again while they are needed.
        let (count, own) = limiters.fold((0.0, 0.0), |(n, sum), l| (n + 1.0, sum + l.own_limit(now)));
        if count == 0.0 || wanted <= own {
            return;
        }
        let work = (wanted - own) / count;
        let open_zones = self.zones.iter().filter(|(_, z)| is_open(z));
        let message = |zone: ZoneId| SpillLoan { zone, to: None, work, until: now };
        self.loan_messages.extend(open_zones.map(|(zone, _)| message(*zone)));
    }

    fn is_write(&self, request: RequestId) -> bool {
        let class = self.requests.get(&request).and_then(|(class, _)| self.settings.classes.get(*class));
        class.is_some_and(|c| c.consistency == Consistency::Write)
    }

    fn on_list(&mut self, kind: ListKind, entries: &[ListEntry], now: Micros) {
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            self.health.mark_unlisted_gone(&|id| listed.contains(&id));
        }
        for entry in entries {
            self.health.on_list_entry(entry);
            if entry.listed != ListedState::Gone {
                let placement = (entry.zone, now + HOME_MEMORY_MICROS);
                self.placements.entry(entry.group).or_default().insert(entry.member, placement);
            }
            if entry.primary {
                self.primaries.entry(entry.group).or_insert(entry.member);
            }
            // The router may have forgotten the group in the meantime, so it is advised of the home again.
            self.advised_homes.remove(&entry.group);
            if !self.zones.contains_key(&entry.zone) {
                let limiter = self.spill_limit(entry.zone).map(SpillLimiter::new);
                let zone = Zone { state: ZoneState::new(now), limiter, health: ZoneHealth::default() };
                self.zones.insert(entry.zone, zone);
            }
        }
        self.next_round_at = now;
    }

    /// Returns this router's part of the limit on work that spills into a zone, in microseconds within any
    /// second.
    fn spill_limit(&self, zone: ZoneId) -> Option<f64> {
        let stated = self.policy.zone(zone).filter(|z| z.capacity > 0.0 && zone != self.settings.zone)?;
        let outside = self.settings.routers.saturating_sub(stated.routers).max(1);
        Some(self.policy.spill_share * stated.capacity * WINDOW_MICROS as f64 / f64::from(outside))
    }

    // ---- Actions of the router ----

    /// Takes the actions that the decision module returned for an event. `work` gives the work of a request
    /// by its class, in microseconds.
    pub fn on_actions(&mut self, now: Micros, actions: &[Action], work: impl Fn(usize) -> f64) {
        self.fit_windows(now, &work);
        for action in actions {
            match action {
                Action::Send { request, member, .. } => self.on_send(*request, *member, now, &work),
                Action::Refuse { request, .. } | Action::Fail(request) => {
                    let Some((class, group)) = self.requests.remove(request) else { continue };
                    // If the group's home is not healthy, the request would have spilled over with more room.
                    if self.is_spillable_read(class) && !self.is_home_healthy(group) {
                        self.demand.record(class, MEAN_WORK_RATIO * work(class));
                    }
                }
                Action::Probe(member) => self.health.on_probe_sent(*member, now),
                Action::Forget(member) => {
                    self.health.forget(*member);
                    self.last_probes.remove(member);
                }
                _ => {}
            }
        }
    }

    /// Makes the windows long enough for a few requests of the read class that takes the most work.
    fn fit_windows(&mut self, now: Micros, work: &impl Fn(usize) -> f64) {
        if now < self.last_window_fit_at + WINDOW_FIT_INTERVAL_MICROS {
            return;
        }
        self.last_window_fit_at = now;
        let reads = (0..self.settings.classes.len()).filter(|class| self.is_spillable_read(*class));
        let max_work = reads.map(work).fold(0.0, f64::max);
        let limiters = self.zones.values_mut().filter_map(|z| z.limiter.as_mut());
        limiters.for_each(|limiter| limiter.fit_window(now, MEAN_WORK_RATIO * max_work));
    }

    fn on_send(&mut self, request: RequestId, member: MemberId, now: Micros, work: &impl Fn(usize) -> f64) {
        self.health.on_attempt_sent(request, member, now);
        let Some((class, group)) = self.requests.get(&request).copied() else { return };
        let Some(to) = self.health.member(member).map(|m| m.zone) else { return };
        let home = self.advised_homes.get(&group).copied();
        let tier = self.advised_zones.get(&to).map(|w| w.tier);
        if !self.is_spillable_read(class) || home.zip(tier).is_none_or(|(home, tier)| tier <= home) {
            return;
        }
        self.demand.record(class, MEAN_WORK_RATIO * work(class));
        if let Some(limiter) = self.zones.get_mut(&to).and_then(|z| z.limiter.as_mut()) {
            limiter.spend(now, MEAN_WORK_RATIO * work(class));
        }
    }

    /// Whether requests of a class are reads that replicas may serve, so that they can spill over to another
    /// zone.
    fn is_spillable_read(&self, class: usize) -> bool {
        let consistency = self.settings.classes.get(class).map(|c| c.consistency);
        !matches!(consistency, None | Some(Consistency::Write | Consistency::Fresh))
    }

    fn is_home_healthy(&self, group: GroupId) -> bool {
        let Some(home) = self.advised_homes.get(&group) else { return true };
        let zones = self.advised_zones.values().filter(|w| w.tier == *home);
        zones
            .into_iter()
            .all(|w| self.zones.get(&w.zone).is_none_or(|z| *z.state.phase() == ZonePhase::Healthy))
    }

    // ---- Advice to the router ----

    /// Returns what has changed for the router since the last advice, and the actions that are due: probes
    /// and messages to other routers. Zones are looked at in rounds of 50 ms, while the limits are brought up
    /// to date at each call.
    pub fn advise(&mut self, now: Micros) -> (Option<Advice>, Vec<Action>) {
        let mut due = Vec::new();
        if now >= self.next_round_at {
            self.next_round_at = now + ROUND_MICROS;
            self.update_zones(now);
            self.request_loans(now);
            due = self.due_probes(now);
        }
        if !self.loan_messages.is_empty() {
            due.push(Action::SpillLoans(std::mem::take(&mut self.loan_messages)));
        }
        let order: Vec<ZoneId> =
            self.zone_order.order(self.settings.zone, self.zones.keys().copied(), &self.policy).to_vec();
        let mut advice = Advice { zones: self.zone_advice(&order, now), home_tiers: Vec::new() };
        advice.zones.retain(|zone| self.advised_zones.get(&zone.zone) != Some(zone));
        self.advised_zones.extend(advice.zones.iter().map(|w| (w.zone, w.clone())));
        self.placements.retain(|_, members| {
            members.retain(|_, (_, until)| *until > now);
            !members.is_empty()
        });
        self.primaries.retain(|group, _| self.placements.contains_key(group));
        for (group, members) in &self.placements {
            let tier = |zone: &ZoneId| order.iter().position(|z| z == zone).map(|tier| tier as u16);
            let best_tier = |with_primary: bool| {
                let primary = self.primaries.get(group).filter(|_| !with_primary);
                let candidates = members.iter().filter(|(member, _)| primary != Some(*member));
                candidates.filter_map(|(_, (zone, _))| tier(zone)).min()
            };
            let home = best_tier(false).or_else(|| best_tier(true));
            if let Some(home) = home.filter(|home| self.advised_homes.get(group) != Some(home)) {
                advice.home_tiers.push((*group, home));
            }
        }
        self.advised_homes.extend(advice.home_tiers.iter().copied());
        self.advised_homes.retain(|group, _| self.placements.contains_key(group));
        let is_empty = advice.zones.is_empty() && advice.home_tiers.is_empty();
        ((!is_empty).then_some(advice), due)
    }

    /// Updates the health and the state of every zone, once per round.
    fn update_zones(&mut self, now: Micros) {
        self.demand.end_round();
        let health = self.health.assess_zones(self.policy.silence, self.staleness_bound, now);
        let verdict = |h: &ZoneHealth| h.verdict(self.policy.quorum, self.policy.silence, now);
        // If all zones fail at once, it is this router that is cut off, and no zone is worse than another.
        let judged = || health.values().filter(|h| h.known > 0);
        let is_isolated = judged().count() > 1 && judged().all(|h| verdict(h) != ZoneVerdict::Operational);
        for (id, zone) in &mut self.zones {
            zone.health = health.get(id).copied().unwrap_or_default();
            let verdict = if is_isolated { ZoneVerdict::Operational } else { verdict(&zone.health) };
            let usual_latency = self.health.usual_latency(*id);
            let change = zone.state.update(&zone.health, verdict, &self.policy, usual_latency, now);
            self.changes.extend(change.map(|change| (*id, change)));
        }
    }

    /// Returns the probes that are due in zones that are not healthy, because the decision module itself
    /// rarely probes members that it no longer uses. In a failed zone all ready members are candidates; in a
    /// recovering one those that have not answered since it recovers, or all while the current step lacks an
    /// answer.
    fn due_probes(&mut self, now: Micros) -> Vec<Action> {
        if !self.settings.limits.probes {
            return Vec::new();
        }
        let long_interval =
            PROBE_INTERVAL_MICROS * Micros::from((self.settings.routers / ROUTERS_PER_PROBE_INTERVAL).max(1));
        let mut due = Vec::new();
        for (id, zone) in &mut self.zones {
            if *zone.state.phase() == ZonePhase::Healthy {
                continue;
            }
            let (since, is_failed) = (zone.state.phase_since(), zone.state.is_failed());
            let needs_answer = zone.state.ramp_up().is_some_and(|ramp_up| ramp_up.needs_answer());
            let last_probe = |id: &MemberId| self.last_probes.get(id).copied().unwrap_or(0);
            let is_due = |member_id: &MemberId, member: &MemberHealth| {
                let is_candidate = member.zone == *id
                    && member.listed == ListedState::Ready
                    && (is_failed || needs_answer || member.last_answer_at < since);
                // A member that a peer has heard from since then is probed at the short interval.
                is_candidate
                    && now
                        >= last_probe(member_id)
                            + if member.alive_at_peers > since {
                                PROBE_INTERVAL_MICROS
                            } else {
                                long_interval
                            }
            };
            let mut members: Vec<MemberId> =
                self.health.members().filter(|(id, m)| is_due(id, m)).map(|(id, _)| id).collect();
            members.sort_by_key(last_probe);
            due.extend(members.into_iter().take(MAX_PROBES_PER_ROUND));
        }
        self.last_probes.extend(due.iter().map(|id| (*id, now)));
        due.iter().for_each(|id| self.health.on_probe_sent(*id, now));
        due.into_iter().map(Action::Probe).collect()
    }

    /// Returns the advice on all zones, in order of preference: demand that one zone has no room for is
    /// offered to the next.
    fn zone_advice(&mut self, order: &[ZoneId], now: Micros) -> Vec<ZoneAdvice> {
        let classes = &self.settings.classes;
        let mut demands: Vec<ClassDemand> = (0..classes.len())
            .map(|i| ClassDemand {
                work: self.demand.of_class(i),
                value_per_work: classes[i].value / classes[i].latency_target.max(1) as f64,
            })
            .collect();
        let mut advice = Vec::with_capacity(order.len());
        for (tier, id) in order.iter().enumerate() {
            let Some(zone) = self.zones.get_mut(id) else { continue };
            let suspected = zone.state.is_failed();
            let rules = &self.settings.rules;
            let read_share =
                zone.state.ramp_up().map_or(1.0, |ramp_up| ramp_up.share(&zone.health, rules, now));
            let spill_limit = zone.limiter.as_mut().map(|limiter| {
                let credit = limiter.remaining(now) / MEAN_WORK_RATIO;
                if suspected {
                    return SpillLimit { credit, class_shares: vec![1.0; demands.len()] };
                }
                // The shares only decide which classes come first. They may add up to a little more than the
                // limit, because the window enforces it.
                let (class_shares, _) = allocate(limiter.limit(now), &demands);
                demands.iter_mut().zip(&class_shares).for_each(|(demand, share)| demand.work *= 1.0 - share);
                // Rounded up to steps of 0.02, so that the router is not advised of every small change.
                let class_shares = class_shares.into_iter().map(|s| (s * 50.0).ceil() / 50.0).collect();
                SpillLimit { credit, class_shares }
            });
            advice.push(ZoneAdvice { zone: *id, tier: tier as u16, suspected, read_share, spill_limit });
        }
        advice
    }

    // ---- Log lines and status ----

    /// Returns a log line for each change since the last call.
    pub fn take_log_lines(&mut self) -> Vec<String> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_iter().map(|(zone, change)| self.log_line(zone, change)).collect()
    }

    fn log_line(&self, zone: ZoneId, change: ZoneChange) -> String {
        let health = self.zones.get(&zone).map(|z| z.health).unwrap_or_default();
        let (name, failing, known) = (self.zone_name(zone), health.failing, health.known);
        match change {
            ZoneChange::Lost => format!(
                "zone {name} lost: {failing} of {known} members fail and none answers; reads go elsewhere"
            ),
            ZoneChange::CutOff => {
                let heard = health.heard_by_peers;
                format!(
                    "zone {name} cut off from this router: {failing} of {known} members fail here, but peers \
                     heard from {heard} of them; check the network path to the zone"
                )
            }
            ZoneChange::RecoveryStarted(losses) => {
                format!(
                    "zone {name} answers again: its share of reads grows in steps, {losses} earlier losses \
                     are remembered"
                )
            }
            ZoneChange::SteppedUp(step) => {
                format!("zone {name} takes share {:.2} of its usual reads", STEP_SHARES[step])
            }
            ZoneChange::SteppedDown(step, reason) => {
                format!(
                    "zone {name} reduced to share {:.2} of its usual reads: {reason:?}",
                    STEP_SHARES[step]
                )
            }
            ZoneChange::Recovered => format!("zone {name} is back: it takes all of its usual reads"),
        }
    }

    fn zone_name(&self, zone: ZoneId) -> String {
        let stated = self.policy.zone(zone).map(|z| z.name.clone()).filter(|name| !name.is_empty());
        stated.unwrap_or_else(|| zone.0.to_string())
    }

    /// Returns the status of all zones, in order of preference.
    pub fn status(&mut self, now: Micros) -> Vec<ZoneStatus> {
        let names: BTreeMap<ZoneId, String> = self.zones.keys().map(|z| (*z, self.zone_name(*z))).collect();
        let mut statuses: Vec<ZoneStatus> = Vec::new();
        for (id, zone) in &mut self.zones {
            let advised = self.advised_zones.get(id);
            let phase = match zone.state.phase() {
                ZonePhase::Healthy => "well",
                ZonePhase::Lost => "lost",
                ZonePhase::CutOff => "cut-off",
                ZonePhase::Recovering(_) => "returning",
            };
            statuses.push(ZoneStatus {
                zone: *id,
                name: names[id].clone(),
                tier: advised.map_or(u16::MAX, |w| w.tier),
                phase,
                phase_since: zone.state.phase_since(),
                step: zone.state.ramp_up().map(|ramp_up| ramp_up.step()),
                share: advised.map_or(1.0, |w| w.read_share),
                spilled_work: zone.limiter.as_mut().map_or(0.0, |l| l.used(now)),
                spill_limit: zone.limiter.as_ref().map(|l| l.limit(now)),
                preference_changes: zone.state.preference_changes(),
            });
        }
        statuses.sort_by_key(|z| z.tier);
        statuses
    }

    /// Returns the number of entries in the tables of members, groups and requests, so that callers can check
    /// their bounds.
    pub fn table_sizes(&self) -> (usize, usize, usize) {
        (self.health.members().count(), self.placements.len(), self.requests.len())
    }
}
