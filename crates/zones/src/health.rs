//! What members and peers showed of each member's health, with times, and what that says about a zone as a
//! whole.

use std::collections::BTreeMap;

use beaconshore::interface::{GroupId, ListEntry, ListedState, MemberId, Micros, Outcome, RequestId, ZoneId};

/// An attempt is overdue after this multiple of its zone's usual latency, or after [`MIN_OVERDUE_MICROS`] if
/// that is longer.
const OVERDUE_LATENCY_MULTIPLE: f64 = 4.0;
/// Shortest time after which an attempt is overdue, in microseconds.
const MIN_OVERDUE_MICROS: Micros = 200_000;
/// Weight of a new sample in the moving average of a zone's latency.
const LATENCY_SMOOTHING: f64 = 0.05;
/// A zone whose members fail here counts as cut off rather than lost if peers have heard from at least this
/// share of the failing members.
const CUT_OFF_PEER_SHARE: f64 = 0.5;

/// What this router knows of one member's health.
#[derive(Clone, Debug)]
pub struct MemberHealth {
    /// The zone in which the member runs.
    pub zone: ZoneId,
    /// The group that the member belongs to.
    pub group: GroupId,
    /// The member's state on the membership list.
    pub listed: ListedState,
    /// When the member last started, if the list names a recent start.
    pub started_at: Option<Micros>,
    /// When the member last answered this router, with any kind of answer. 0: never.
    pub last_answer_at: Micros,
    /// When the first failed attempt or probe since the last answer was sent.
    pub first_failure_at: Option<Micros>,
    /// The highest position that the member reported.
    pub position: Micros,
    /// When the member reported that position. 0: never.
    pub position_heard_at: Micros,
    /// When the member was last known to be alive by what peers heard from it. 0: never.
    pub alive_at_peers: Micros,
    /// Busy share of the member's cores, where it reports that.
    pub utilization: Option<f64>,
    /// Attempts without an end so far, each with the time when it was sent.
    in_flight: Vec<(RequestId, Micros)>,
    probe_sent_at: Option<Micros>,
}

impl MemberHealth {
    fn new(entry: &ListEntry) -> Self {
        MemberHealth {
            zone: entry.zone,
            group: entry.group,
            listed: entry.listed,
            started_at: entry.started_at,
            last_answer_at: 0,
            first_failure_at: None,
            position: 0,
            position_heard_at: 0,
            alive_at_peers: 0,
            utilization: None,
            in_flight: Vec::new(),
            probe_sent_at: None,
        }
    }

    /// Returns since when the member fails, by attempts that ended in failure or by one that is overdue.
    fn failing_since(&self, overdue_after: Micros, now: Micros) -> Option<Micros> {
        let oldest = self.in_flight.iter().map(|(_, sent)| *sent).min();
        let overdue = oldest.filter(|sent| now > sent + overdue_after && self.last_answer_at < *sent);
        match (self.first_failure_at, overdue) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }
}

/// What the members of a zone show at one moment. Each member counts once, however many attempts at it fail,
/// because each is reached by a network path of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneHealth {
    /// Members with a record (listed now or until recently) that have answered this router at least once.
    pub known: usize,
    /// Known members that fail.
    pub failing: usize,
    /// Known members that do not fail and have answered recently: within the policy's silence, or the overdue
    /// time where that is longer.
    pub answering: usize,
    /// Failing members that peers have heard from later than the policy's silence after the failure began.
    pub heard_by_peers: usize,
    /// When any known member last answered.
    pub last_answer_at: Micros,
    /// Share of the answering members with a known position whose position is within the staleness bound.
    pub fresh_share: f64,
    /// Mean lag of the answering members with a known position, in microseconds.
    pub mean_lag: f64,
    /// The highest utilization that an answering member reported.
    pub max_utilization: f64,
    /// The latest start of an answering member.
    pub latest_start: Option<Micros>,
}

/// Whether a zone fails as a whole, as seen from this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneVerdict {
    /// The zone does not fail as a whole: members answer, or fail individually.
    Operational,
    /// The members fail together, and peers have not heard from them since either.
    Lost,
    /// The members fail together, but peers have heard from them: only the network path to the zone is cut.
    CutOff,
}

impl ZoneHealth {
    /// Returns whether the zone's members fail together. That takes at least two failing members: a single
    /// one is no evidence about a zone, and the decision module judges it by itself.
    pub fn verdict(&self, quorum: f64, silence: Micros, now: Micros) -> ZoneVerdict {
        let judged = self.failing + self.answering;
        let is_quorum = self.failing >= 2 && self.failing as f64 >= quorum * judged as f64;
        if !is_quorum || now <= self.last_answer_at + silence {
            return ZoneVerdict::Operational;
        }
        match self.heard_by_peers as f64 >= CUT_OFF_PEER_SHARE * self.failing as f64 {
            true => ZoneVerdict::CutOff,
            false => ZoneVerdict::Lost,
        }
    }
}

/// Health of all members, and the usual latency of each zone.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    members: BTreeMap<MemberId, MemberHealth>,
    /// Moving average of the time that answers take, in microseconds.
    usual_latency: BTreeMap<ZoneId, f64>,
}

impl HealthTracker {
    /// Takes a member's entry on the membership list.
    pub fn on_list_entry(&mut self, entry: &ListEntry) {
        let member = self.members.entry(entry.member).or_insert_with(|| MemberHealth::new(entry));
        member.listed = entry.listed;
        (member.zone, member.group) = (entry.zone, entry.group);
        member.started_at = member.started_at.max(entry.started_at);
    }

    /// Marks the members that a complete list does not contain as gone.
    pub fn mark_unlisted_gone(&mut self, is_listed: &dyn Fn(MemberId) -> bool) {
        let unlisted = self.members.iter_mut().filter(|(id, _)| !is_listed(**id));
        unlisted.for_each(|(_, member)| member.listed = ListedState::Gone);
    }

    /// Drops a member that the decision module has forgotten.
    pub fn forget(&mut self, member: MemberId) {
        self.members.remove(&member);
    }

    /// Records that an attempt is sent.
    pub fn on_attempt_sent(&mut self, request: RequestId, id: MemberId, now: Micros) {
        if let Some(member) = self.members.get_mut(&id) {
            member.in_flight.push((request, now));
        }
    }

    /// Records the end of an attempt. Any answer, also an error, shows that the member is alive; a cancelled
    /// or unsent attempt shows nothing. The usual latency takes the attempt in only if `learn` is set, which
    /// callers clear while the zone's traffic is not as usual.
    pub fn on_attempt_ended(
        &mut self,
        request: RequestId,
        id: MemberId,
        (outcome, duration): (Outcome, Micros),
        learn: bool,
        now: Micros,
    ) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.in_flight.retain(|(r, _)| *r != request);
        match outcome {
            Outcome::Served | Outcome::Error | Outcome::Rejected | Outcome::Misdirected => {
                (member.last_answer_at, member.first_failure_at) = (now, None);
            }
            // If the member has answered something since this attempt was sent, only a connection has failed.
            Outcome::TimedOut | Outcome::Reset | Outcome::Unreachable => {
                if member.last_answer_at + duration <= now {
                    member.first_failure_at = member.first_failure_at.or(Some(now.saturating_sub(duration)));
                }
            }
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
        if outcome == Outcome::Served && learn {
            let usual = self.usual_latency.entry(member.zone).or_insert(duration as f64);
            *usual += LATENCY_SMOOTHING * (duration as f64 - *usual);
        }
    }

    /// Records that a probe is sent.
    pub fn on_probe_sent(&mut self, id: MemberId, now: Micros) {
        if let Some(member) = self.members.get_mut(&id) {
            member.probe_sent_at = Some(now);
        }
    }

    /// Records the end of a probe. Returns the member's zone and the round trip if the probe was answered.
    pub fn on_probe_ended(
        &mut self,
        id: MemberId,
        outcome: Outcome,
        now: Micros,
    ) -> Option<(ZoneId, Micros)> {
        let member = self.members.get_mut(&id)?;
        let sent = member.probe_sent_at.take();
        if outcome == Outcome::Served {
            (member.last_answer_at, member.first_failure_at) = (now, None);
            return sent.map(|sent| (member.zone, now.saturating_sub(sent)));
        }
        member.first_failure_at = member.first_failure_at.or(sent).or(Some(now));
        None
    }

    /// Records what a member reported of itself.
    pub fn on_member_report(
        &mut self,
        id: MemberId,
        position: Option<Micros>,
        utilization: Option<f64>,
        now: Micros,
    ) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if let Some(p) = position.filter(|p| *p >= member.position && *p <= now) {
            (member.position, member.position_heard_at) = (p, now);
        }
        member.utilization = utilization.or(member.utilization);
    }

    /// Forgets the positions of all members, until they report them again: the difference of the clocks by which they
    /// were converted has changed.
    pub fn forget_positions(&mut self) {
        for member in self.members.values_mut() {
            (member.position, member.position_heard_at) = (0, 0);
        }
    }

    /// Records that a peer heard of a member having reached a position. Positions are times, so the member
    /// was alive then.
    pub fn on_peer_update(&mut self, id: MemberId, position: Micros, now: Micros) {
        if let Some(member) = self.members.get_mut(&id).filter(|_| position <= now) {
            member.alive_at_peers = member.alive_at_peers.max(position);
        }
    }

    /// Returns the time that answers of a zone usually take, in microseconds; 0 before the first answer.
    pub fn usual_latency(&self, zone: ZoneId) -> f64 {
        self.usual_latency.get(&zone).copied().unwrap_or(0.0)
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = (MemberId, &MemberHealth)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns one member.
    pub fn member(&self, id: MemberId) -> Option<&MemberHealth> {
        self.members.get(&id)
    }

    /// Assesses all zones as of now, in one pass over the members.
    pub fn assess_zones(
        &self,
        silence: Micros,
        staleness_bound: Micros,
        now: Micros,
    ) -> BTreeMap<ZoneId, ZoneHealth> {
        let mut zones: BTreeMap<ZoneId, (ZoneHealth, usize, usize)> = BTreeMap::new();
        for member in self.members.values() {
            let (zone, positioned, fresh) = zones.entry(member.zone).or_default();
            if member.last_answer_at == 0 {
                continue;
            }
            zone.known += 1;
            zone.last_answer_at = zone.last_answer_at.max(member.last_answer_at);
            let overdue_after = MIN_OVERDUE_MICROS
                .max((OVERDUE_LATENCY_MULTIPLE * self.usual_latency(member.zone)) as Micros);
            if let Some(since) = member.failing_since(overdue_after, now) {
                zone.failing += 1;
                // A report that was already on its way when the failure began proves nothing.
                zone.heard_by_peers += usize::from(member.alive_at_peers > since + silence);
            } else if now <= member.last_answer_at + silence.max(overdue_after) {
                zone.answering += 1;
                zone.latest_start = zone.latest_start.max(member.started_at);
                zone.max_utilization = zone.max_utilization.max(member.utilization.unwrap_or(0.0));
                if member.position_heard_at > 0 {
                    let lag = member.position_heard_at.saturating_sub(member.position);
                    *positioned += 1;
                    *fresh += usize::from(lag <= staleness_bound);
                    zone.mean_lag += lag as f64;
                }
            }
        }
        let finish = |(id, (mut zone, positioned, fresh)): (ZoneId, (ZoneHealth, usize, usize))| {
            zone.fresh_share = if positioned == 0 { 1.0 } else { fresh as f64 / positioned as f64 };
            zone.mean_lag /= positioned.max(1) as f64;
            (id, zone)
        };
        zones.into_iter().map(finish).collect()
    }
}
