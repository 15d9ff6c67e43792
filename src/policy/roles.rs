//! Who is the primary of a group, and how far its members have the log: which statements on this count.
//!
//! Statements come from members themselves, from other routers and from the membership list, and all may
//! be late. A member's position never goes back, and a primary's is the present. So of two statements of a
//! member the one with the lower position is the older. Where a position is missing, a statement that the
//! member is the primary counts from the earliest time at which it may have been made, and one that it is
//! not up to the latest. Reads rely on the former only while it is the newer of the two.

use crate::interface::*;
use crate::policy::probe_share::PROBE_PERIOD;
use crate::policy::Router;
use crate::records::KnownPrimary;

/// Members state positions in whole milliseconds, and round commits up, in microseconds.
const POSITION_RESOLUTION: Micros = 1_000;
/// Greatest age of a member's report when it arrives, in microseconds.
const MAX_REPORT_AGE: Micros = 500_000;

/// When a member stated its role.
#[derive(Clone, Copy, Debug)]
pub(super) enum StatedAt {
    /// When it had reached this position.
    Position(Micros),
    /// Not before this time.
    NotBefore(Micros),
    /// That cannot be told.
    Unknown,
}

/// What a member stated about itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    /// The member.
    pub(super) member: MemberId,
    /// Replication position that it had reached.
    pub(super) position: Option<Micros>,
    /// Its role.
    pub(super) role: Option<Role>,
    /// When it made the statement.
    pub(super) stated_at: StatedAt,
    /// How the statement arrived.
    pub(super) source: RoleSource,
}

impl Router {
    /// Records the role that a list entry names. The list is delayed. It therefore decides on the primary
    /// only where nothing better is known, only when it newly names this member, and not if the member has
    /// recently stated that it is not the primary. Writes may then be sent there: a replica rejects them.
    pub(super) fn record_listed_role(&mut self, kind: ListKind, entry: &ListEntry, restarted: bool) {
        let Some(member) = self.members.get_mut(&entry.member) else { return };
        let newly_primary = entry.primary && !member.listed_primary;
        member.listed_primary = entry.primary;
        let has_denied = member.denial_heard_at > 0;
        let recently_denied = has_denied && self.now <= member.denial_heard_at + PROBE_PERIOD;
        let (excluded, started_at) = (member.excluded, member.started_at);
        let known = self.groups.entry(entry.group).or_default().primary;
        if newly_primary && known.is_none() && !excluded && !recently_denied {
            // At the start of the router no member has stated anything yet. Later, a member may have denied
            // its role and been forgotten since, so its own word is awaited where it can be asked.
            let at_start = kind == ListKind::Cached || !self.settings.limits.probes;
            let serves_reads = at_start && !has_denied;
            let listed =
                KnownPrimary { member: entry.member, evidence_at: 0, position_heard_at: None, serves_reads };
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
        if let Some(position) = position {
            self.record_position(statement.member, position, statement.role);
        }
        let stated_at = match statement.stated_at {
            StatedAt::Position(at) | StatedAt::NotBefore(at) if at > self.now => StatedAt::Unknown,
            stated_at => stated_at,
        };
        let statement = Statement { position, stated_at, ..statement };
        match statement.role {
            Some(Role::Primary) => self.record_claim(&statement),
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

    /// Records that a member stated to be the primary.
    fn record_claim(&mut self, statement: &Statement) {
        let id = statement.member;
        let Some(member) = self.members.get(&id) else { return };
        let group = member.group;
        let is_newer_than_denial = match statement.stated_at {
            StatedAt::Position(at) => {
                member.denial_heard_at == 0 || at >= member.denial_position + POSITION_RESOLUTION
            }
            StatedAt::NotBefore(at) => at > member.denial_heard_at,
            StatedAt::Unknown => false,
        };
        let (at, position_heard_at) = match statement.stated_at {
            StatedAt::Position(at) => (at, Some(self.now)),
            StatedAt::NotBefore(at) => (at, None),
            StatedAt::Unknown => (0, None),
        };
        let known = self.groups.entry(group).or_default().primary;
        let of_member = known.filter(|primary| primary.member == id);
        let is_newest = of_member.is_some() || at > known.map_or(0, |primary| primary.evidence_at);
        if is_newer_than_denial && is_newest {
            let older = of_member.filter(|primary| primary.serves_reads && primary.evidence_at >= at);
            let claimed = KnownPrimary { member: id, evidence_at: at, position_heard_at, serves_reads: true };
            self.accept_primary(group, older.unwrap_or(claimed), statement.source);
        } else if of_member.is_none() {
            self.report_primary(group, id, PrimaryEventKind::ClaimIgnored, statement.source);
        }
    }

    /// Records that a member stated not to be the primary.
    fn record_denial(&mut self, statement: &Statement) {
        let (id, now) = (statement.member, self.now);
        let Some(member) = self.members.get_mut(&id) else { return };
        let group = member.group;
        let known = self.groups.get(&group).and_then(|group| group.primary);
        let contradicted = known.filter(|primary| primary.member == id);
        if contradicted.is_some_and(|primary| is_refuted(statement, &primary, now)) {
            return;
        }
        // An answer is heard as it is given: whatever was claimed up to now is older.
        let position = match statement.stated_at {
            StatedAt::Position(position) if statement.source != RoleSource::Answer => position,
            _ => now,
        };
        member.denial_position = member.denial_position.max(position);
        // How long a peer's word was on its way is unknown.
        let heard_at = if statement.source == RoleSource::Peer { position } else { now };
        member.denial_heard_at = member.denial_heard_at.max(heard_at);
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
        let stated_at = match position {
            Some(commit) if may_be_commit => StatedAt::Position(commit.saturating_sub(POSITION_RESOLUTION)),
            Some(position) => StatedAt::Position(position),
            None => StatedAt::NotBefore(sent_at),
        };
        let report_role = ended.report.role.filter(|_| role.is_none());
        self.record_report(ended.member, &Report { role: report_role, ..ended.report });
        self.record_statement(Statement {
            member: ended.member,
            position: position.filter(|_| !may_be_commit),
            role,
            stated_at,
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
            stated_at: report.position.map_or(StatedAt::Unknown, StatedAt::Position),
            source: RoleSource::Report,
        });
    }

    /// Records the role that a member stated in answer to a probe, and serves the member's group.
    pub(super) fn on_probe_answered(&mut self, id: MemberId, role: Option<Role>, actions: &mut Vec<Action>) {
        let Some(group) = self.members.get(&id).map(|member| member.group) else { return };
        self.record_report(id, &Report { role, ..Report::default() });
        self.serve_queue(group, actions);
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
                stated_at: StatedAt::Position(update.position),
                source: RoleSource::Peer,
            });
        }
    }

    /// Converts anew what members stated by their clocks. Times at which this router learned something are
    /// its own and stay. A clock may have been set to another time before the difference was known: nothing
    /// becomes later than now by that, and positions that would become younger are forgotten.
    pub(super) fn on_clock_adjusted(&mut self, difference: i64) {
        let now = self.now;
        let adjust = |at: &mut Micros| *at = at.saturating_add_signed(difference).min(now);
        if difference > 0 {
            self.forget_positions();
        }
        for member in self.members.values_mut() {
            let states_position = member.position > 0;
            states_position.then(|| adjust(&mut member.position));
            (member.denial_heard_at > 0).then(|| adjust(&mut member.denial_position));
            member.started_at.iter_mut().for_each(adjust);
        }
        // Some commits are times of this router's own.
        let adjust_commit = |at: &mut Micros| *at = at.saturating_add_signed(difference.max(0)).min(now);
        self.sessions.values_mut().for_each(adjust_commit);
        // They would be converted back by the new difference.
        self.broadcast.discard();
        let known = self.groups.values_mut().filter_map(|group| group.primary.as_mut());
        known.filter(|primary| primary.evidence_at > 0).for_each(|primary| adjust(&mut primary.evidence_at));
    }

    /// Forgets what may have been converted by a difference of the clocks that no longer held.
    pub(super) fn on_clock_stepped(&mut self) {
        self.forget_positions();
        self.broadcast.discard();
    }

    /// Forgets the positions of all members, until they state them again.
    fn forget_positions(&mut self) {
        for member in self.members.values_mut() {
            (member.position, member.position_learned_at) = (0, 0);
        }
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

/// Returns whether a denial is older than the claim by which its member is taken for the primary. An answer
/// is heard as it is given; a report may be older than a claim that was heard right before it, a peer's word
/// than any.
fn is_refuted(denial: &Statement, primary: &KnownPrimary, now: Micros) -> bool {
    let StatedAt::Position(position) = denial.stated_at else { return false };
    let Some(heard_at) = primary.position_heard_at else { return false };
    let may_be_older = match denial.source {
        RoleSource::Answer | RoleSource::List => false,
        RoleSource::Report => now <= heard_at + MAX_REPORT_AGE,
        RoleSource::Peer => true,
    };
    may_be_older && position + POSITION_RESOLUTION <= primary.evidence_at
}
