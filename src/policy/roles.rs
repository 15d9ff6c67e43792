//! Who is the primary of a group, and how far its members have the log: which statements on this are believed.
//!
//! Statements come from members themselves, from other routers and from the membership list, and all may be
//! late. A statement that a member is the primary therefore counts from the earliest time at which it may have
//! been made, a statement that it is not counts up to the latest. Reads rely on the former only while it is
//! the newer of the two.

use crate::interface::*;
use crate::policy::probe_share::PROBE_PERIOD;
use crate::policy::Router;
use crate::records::KnownPrimary;

/// Members state positions in whole milliseconds, and round commits up, in microseconds.
const POSITION_RESOLUTION: Micros = 1_000;

/// What a member stated about itself, with the bounds on when it did.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    /// The member.
    pub(super) member: MemberId,
    /// Replication position that it had reached.
    pub(super) position: Option<Micros>,
    /// Its role.
    pub(super) role: Option<Role>,
    /// Earliest time at which it may have made the statement; `None` if that cannot be told.
    pub(super) not_before: Option<Micros>,
    /// Latest time at which it may have made the statement.
    pub(super) not_after: Micros,
    /// How the statement arrived.
    pub(super) source: RoleSource,
}

impl Router {
    /// Records the role that a list entry names. The list is delayed. It therefore decides on the primary only
    /// where nothing better is known, only when it newly names this member, and not if the member has recently
    /// stated that it is not the primary. Writes may then be sent there, since a replica rejects them.
    pub(super) fn record_listed_role(&mut self, kind: ListKind, entry: &ListEntry, restarted: bool) {
        let Some(member) = self.members.get_mut(&entry.member) else { return };
        let newly_primary = entry.primary && !member.listed_primary;
        member.listed_primary = entry.primary;
        let has_denied = member.denied_primary_at > 0;
        let recently_denied = has_denied && self.now <= member.denied_primary_at + PROBE_PERIOD;
        let (excluded, started_at) = (member.excluded, member.started_at);
        let known = self.groups.entry(entry.group).or_default().primary;
        if newly_primary && known.is_none() && !excluded && !recently_denied {
            // At the start of the router no member has stated anything yet. Later, a member may have denied
            // its role and been forgotten since, so its own word is awaited where it can be asked.
            let at_start = kind == ListKind::Cached || !self.settings.limits.probes;
            let serves_reads = at_start && !has_denied;
            let listed = KnownPrimary { member: entry.member, evidence_at: 0, serves_reads };
            self.accept_primary(entry.group, listed, RoleSource::List);
        }
        let outdated = |primary: KnownPrimary| {
            restarted
                && primary.member == entry.member
                && primary.evidence_at > 0
                && Some(primary.evidence_at) < started_at
        };
        if known.is_some_and(outdated) {
            self.revoke_primary(entry.group, RoleSource::List);
        }
    }

    /// Records what a member stated about itself.
    pub(super) fn record_statement(&mut self, statement: Statement) {
        // A position ahead of the clock cannot be true.
        let position = statement.position.filter(|p| *p <= self.now);
        let is_dated = position.is_some() || statement.position.is_none();
        let role = statement.role;
        if let Some(position) = position {
            self.record_position(statement.member, position, role);
        }
        let not_before = statement.not_before.filter(|at| is_dated && *at <= self.now);
        match role {
            Some(Role::Primary) => self.record_claim(statement.member, not_before, statement.source),
            Some(Role::Replica) => self.record_denial(&statement),
            None => {}
        }
    }

    /// Records a position that a member has reached, and what to tell the other routers of it.
    fn record_position(&mut self, id: MemberId, position: Micros, role: Option<Role>) {
        let Some(member) = self.members.get_mut(&id).filter(|m| position >= m.position) else { return };
        let known = self.groups.get(&member.group).and_then(|group| group.primary);
        let confirmed_primary =
            role == Some(Role::Primary) && known.is_some_and(|p| p.member == id && p.evidence_at > 0);
        (member.position, member.position_learned_at) = (position, self.now);
        // Routers that may exchange messages tell each other what none has told recently, which saves probes.
        if self.broadcast.is_news(position, confirmed_primary, member.shared_at, self.now) {
            member.shared_at = self.now;
            self.broadcast.add(MemberUpdate { member: id, position, role });
        }
    }

    /// Records that a member stated to be the primary, at `not_before` at the earliest.
    fn record_claim(&mut self, id: MemberId, not_before: Option<Micros>, source: RoleSource) {
        let Some(member) = self.members.get(&id) else { return };
        let (group, denied_at) = (member.group, member.denied_primary_at);
        let known = self.groups.entry(group).or_default().primary;
        let (is_known, evidence_at) = known.map_or((false, 0), |p| (p.member == id, p.evidence_at));
        match not_before.filter(|at| *at > denied_at && (is_known || *at > evidence_at)) {
            Some(at) => {
                let evidence_at = at.max(evidence_at);
                self.accept_primary(
                    group,
                    KnownPrimary { member: id, evidence_at, serves_reads: true },
                    source,
                );
            }
            None if is_known => {}
            None => self.report_primary(group, id, PrimaryEventKind::ClaimIgnored, source),
        }
    }

    /// Records that a member stated not to be the primary.
    fn record_denial(&mut self, statement: &Statement) {
        let (id, not_after) = (statement.member, statement.not_after);
        let Some(member) = self.members.get_mut(&id) else { return };
        let known = self.groups.get(&member.group).and_then(|group| group.primary);
        let contradicted = known.filter(|p| p.member == id);
        if contradicted.is_some_and(|p| not_after < p.evidence_at) {
            return;
        }
        member.denied_primary_at = member.denied_primary_at.max(not_after);
        let group = member.group;
        if contradicted.is_some() {
            self.revoke_primary(group, statement.source);
        }
    }

    /// Records what a member stated with its answer to an attempt.
    pub(super) fn record_answer(&mut self, ended: &AttemptResult, sent_at: Micros, is_write: bool) {
        let ReplyStatus { position, role } = ended.status;
        // A served write states its commit, which is no position that the member has reached for sure. The
        // same holds for a write whose answer was lost in part.
        let may_be_commit = is_write
            && matches!(
                ended.outcome,
                Outcome::Served | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
            );
        let stated_from = match position {
            Some(commit) if may_be_commit => commit.saturating_sub(POSITION_RESOLUTION),
            // A primary has reached the present.
            Some(position) => position,
            None => sent_at,
        };
        let report_role = ended.report.role.filter(|_| role.is_none());
        self.record_report(ended.member, &Report { role: report_role, ..ended.report });
        self.record_statement(Statement {
            member: ended.member,
            position: position.filter(|_| !may_be_commit),
            role,
            not_before: Some(stated_from),
            not_after: self.now,
            source: RoleSource::Answer,
        });
    }

    /// Records a member's report. It may be older than the answer that it came with; a primary's applies to
    /// the time of its position.
    pub(super) fn record_report(&mut self, id: MemberId, report: &Report) {
        self.record_statement(Statement {
            member: id,
            position: report.position,
            role: report.role,
            not_before: report.position,
            not_after: self.now,
            source: RoleSource::Report,
        });
    }

    /// Records updates from a peer. How long they were on their way is unknown: an update applies to the time
    /// of its position.
    pub(super) fn on_peer_updates(&mut self, updates: &[MemberUpdate]) {
        self.broadcast.on_peer_message(self.now);
        for update in updates {
            self.members.get_mut(&update.member).into_iter().for_each(|member| member.shared_at = self.now);
            self.record_statement(Statement {
                member: update.member,
                position: Some(update.position),
                role: update.role,
                not_before: Some(update.position),
                not_after: update.position.min(self.now),
                source: RoleSource::Peer,
            });
        }
    }

    /// Converts anew what members stated by their clocks. Times at which this router learned something are its
    /// own and stay.
    pub(super) fn on_clock_adjusted(&mut self, difference: i64) {
        let adjust = |at: &mut Micros| *at = at.saturating_add_signed(difference);
        for member in self.members.values_mut() {
            let states_position = member.position > 0;
            states_position.then(|| adjust(&mut member.position));
            member.started_at.iter_mut().for_each(adjust);
        }
        self.sessions.values_mut().for_each(adjust);
        // They would be converted back by the new difference.
        self.broadcast.discard();
        let known = self.groups.values_mut().filter_map(|group| group.primary.as_mut());
        known.filter(|primary| primary.evidence_at > 0).for_each(|primary| adjust(&mut primary.evidence_at));
    }

    /// Takes a member for the primary of its group.
    fn accept_primary(&mut self, id: GroupId, primary: KnownPrimary, source: RoleSource) {
        let previous = self.groups.entry(id).or_default().primary.replace(primary);
        if previous.is_none_or(|known| known.member != primary.member) {
            self.report_primary(id, primary.member, PrimaryEventKind::Accepted, source);
        }
    }

    /// Takes no member for the primary of the group any more.
    fn revoke_primary(&mut self, id: GroupId, source: RoleSource) {
        let Some(known) = self.groups.get_mut(&id).and_then(|group| group.primary.take()) else { return };
        self.report_primary(id, known.member, PrimaryEventKind::Revoked, source);
    }

    /// Notes an event about a primary, which is reported with the actions of the event that is handled.
    fn report_primary(&mut self, group: GroupId, id: MemberId, kind: PrimaryEventKind, source: RoleSource) {
        let Some(member) = self.members.get(&id) else { return };
        let position_age = Some(self.now.saturating_sub(member.position)).filter(|_| member.position > 0);
        self.primary_events.push(PrimaryEvent { group, member: id, kind, source, position_age });
    }
}
