//! Who is the primary of a group, and how far its members have the log: what statements on this are believed.
//! Statements come from members themselves, from other routers and from the membership list; all may be late.

use crate::interface::*;
use crate::policy::probe_share::PROBE_PERIOD;
use crate::policy::Router;
use crate::records::KnownPrimary;

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

    /// Records what a member stated about itself; `evidence_from` is the time to which the statement applies.
    pub(super) fn record_evidence(
        &mut self,
        id: MemberId,
        position: Option<Micros>,
        role: Option<Role>,
        evidence_from: Micros,
        source: RoleSource,
    ) {
        // A position ahead of the clock cannot be true.
        let plausible = position.is_none_or(|p| p <= self.now);
        let Some(member) = self.members.get_mut(&id).filter(|_| plausible) else { return };
        let (group_id, denied_at) = (member.group, member.denied_primary_at);
        let group = self.groups.entry(group_id).or_default();
        let confirmed_primary =
            role == Some(Role::Primary) && group.primary.is_some_and(|p| p.member == id && p.evidence_at > 0);
        if let Some(p) = position.filter(|&p| p >= member.position) {
            (member.position, member.position_learned_at) = (p, self.now);
            // Routers that may exchange messages tell each other what none has told recently, which saves
            // probes.
            if self.broadcast.is_news(p, confirmed_primary, member.shared_at, self.now) {
                member.shared_at = self.now;
                self.broadcast.add(MemberUpdate { member: id, position: p, role });
            }
        }
        let (believed_primary, evidence_at) =
            group.primary.map_or((false, 0), |p| (p.member == id, p.evidence_at));
        match role {
            Some(Role::Primary)
                if evidence_from > denied_at && (believed_primary || evidence_from > evidence_at) =>
            {
                let evidence_at = evidence_from.max(evidence_at);
                let stated = KnownPrimary { member: id, evidence_at, serves_reads: true };
                self.accept_primary(group_id, stated, source);
            }
            Some(Role::Primary) => self.report_primary(group_id, id, PrimaryEventKind::ClaimIgnored, source),
            Some(Role::Replica) if !believed_primary || evidence_from >= evidence_at => {
                member.denied_primary_at = denied_at.max(evidence_from);
                if believed_primary {
                    self.revoke_primary(group_id, source);
                }
            }
            _ => {}
        }
    }

    /// Records a member's report. It applies to the time of its position, which for a primary was the
    /// present.
    pub(super) fn record_report(&mut self, id: MemberId, report: &Report) {
        let Some(at) = report.position else { return };
        self.record_evidence(id, Some(at), report.role, at, RoleSource::Report);
    }

    /// Records updates from a peer. Like a report, an update applies to the time of its position.
    pub(super) fn on_peer_updates(&mut self, updates: &[MemberUpdate]) {
        self.broadcast.on_peer_message(self.now);
        for update in updates {
            self.members.get_mut(&update.member).into_iter().for_each(|member| member.shared_at = self.now);
            let at = update.position;
            self.record_evidence(update.member, Some(at), update.role, at, RoleSource::Peer);
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
