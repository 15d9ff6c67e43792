//! Who is the primary of a group, and how far its members have the log: what statements on this are believed.
//! Statements come from members themselves, from other routers and from the membership list; all may be late.

use crate::interface::*;
use crate::policy::probe_share::PROBE_PERIOD;
use crate::policy::Router;

impl Router {
    /// Records the role that a list entry names. The list is delayed. It therefore decides on the primary only
    /// where nothing better is known, only when it newly names this member, and not if the member has recently
    /// stated that it is not the primary.
    pub(super) fn record_listed_role(&mut self, entry: &ListEntry, restarted: bool) {
        let Some(member) = self.members.get_mut(&entry.member) else { return };
        let newly_primary = entry.primary && !member.listed_primary;
        member.listed_primary = entry.primary;
        let recently_denied =
            member.denied_primary_at > 0 && self.now <= member.denied_primary_at + PROBE_PERIOD;
        let (excluded, started_at) = (member.excluded, member.started_at);
        let known = self.groups.entry(entry.group).or_default().primary;
        if newly_primary && known.is_none() && !excluded && !recently_denied {
            self.accept_primary(entry.group, entry.member, 0, RoleSource::List);
        }
        let outdated = |(id, evidence_at)| {
            restarted && id == entry.member && evidence_at > 0 && Some(evidence_at) < started_at
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
        let confirmed_primary = role == Some(Role::Primary)
            && group.primary.is_some_and(|(p, evidence_at)| p == id && evidence_at > 0);
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
            group.primary.map_or((false, 0), |(p, evidence_at)| (p == id, evidence_at));
        match role {
            Some(Role::Primary)
                if evidence_from > denied_at && (believed_primary || evidence_from > evidence_at) =>
            {
                self.accept_primary(group_id, id, evidence_from.max(evidence_at), source);
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

    /// Takes a member for the primary of its group, on evidence that holds for `evidence_at`; 0 if only the
    /// list names it.
    fn accept_primary(&mut self, id: GroupId, member: MemberId, evidence_at: Micros, source: RoleSource) {
        let group = self.groups.entry(id).or_default();
        let previous = group.primary.replace((member, evidence_at));
        if previous.is_none_or(|(known, _)| known != member) {
            self.report_primary(id, member, PrimaryEventKind::Accepted, source);
        }
    }

    /// Takes no member for the primary of the group any more.
    fn revoke_primary(&mut self, id: GroupId, source: RoleSource) {
        let Some((member, _)) = self.groups.get_mut(&id).and_then(|group| group.primary.take()) else {
            return;
        };
        self.report_primary(id, member, PrimaryEventKind::Revoked, source);
    }

    /// Notes an event about a primary, which is reported with the actions of the event that is handled.
    fn report_primary(&mut self, group: GroupId, id: MemberId, kind: PrimaryEventKind, source: RoleSource) {
        let Some(member) = self.members.get(&id) else { return };
        let position_age = Some(self.now.saturating_sub(member.position)).filter(|_| member.position > 0);
        self.primary_events.push(PrimaryEvent { group, member: id, kind, source, position_age });
    }
}
