//! Who is taken for the primary, and by whose word. Each test sends a read of bounded age where a member that
//! states it is no primary stands still, and every replica is too far behind.

mod common;

use beaconshore::interface::*;
use common::*;

/// How long positions have stood still by the time of the read: far beyond the bound.
const STOOD_STILL: Micros = 4_000 * MS;

/// A group whose primary (1) has been deposed: it answered as a replica, and all positions stand still since.
struct Deposed {
    fixture: Fixture,
    /// The position at which all members stand.
    stands_at: Micros,
}

impl Deposed {
    /// Ends a read at member 1 by an answer as a replica.
    fn by_answer() -> Deposed {
        let mut deposed = Deposed::not_told();
        deposed.answer_as(Role::Replica);
        deposed
    }

    /// The same group before anybody told the router.
    fn not_told() -> Deposed {
        let mut fixture = Fixture::new();
        let stands_at = fixture.now;
        let (id, actions) = fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1));
        fixture.now += 10 * MS;
        let status = ReplyStatus { position: Some(stands_at), role: Some(Role::Primary) };
        fixture.end_attempt(id, 1, Outcome::Served, status);
        fixture.now += STOOD_STILL;
        Deposed { fixture, stands_at }
    }

    /// An attempt at member 1 that is answered in this role, with the position at which it stands. Its client
    /// has left, so that it is not repeated.
    fn answer_as(&mut self, role: Role) {
        let (id, actions) = self.fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1));
        self.fixture.event(Event::ClientDisconnected(id));
        self.fixture.now += 10 * MS;
        let status = ReplyStatus { position: Some(self.stands_at), role: Some(role) };
        self.fixture.end_attempt(id, 1, Outcome::Error, status);
    }

    /// Takes a read of bounded age, and answers the probes that it waits for. Returns where it is sent.
    fn read(&mut self, budget: Micros) -> (RequestId, Option<u32>) {
        let (id, mut actions) = self.fixture.request_with(READ, budget, |_| {});
        for member in [2, 3] {
            let lagging = self.stands_at.min(self.fixture.now - STOOD_STILL);
            actions.extend(self.fixture.answer_probe(member, lagging, false));
        }
        (id, sent_to(&actions, id))
    }

    /// Asserts that a read of bounded age is sent to nobody.
    fn assert_no_read_is_sent(&mut self) {
        let (id, mut actions) = self.fixture.request_with(READ, 1_000 * MS, |_| {});
        for _ in 0..10 {
            actions.extend(self.fixture.advance(100 * MS));
            (1..=3).for_each(|m| actions.extend(self.fixture.answer_probe(m, self.stands_at, false)));
        }
        assert_eq!(sent_to(&actions, id), None, "no member's data is known to be fresh enough");
    }
}

#[test]
fn a_list_that_names_a_former_primary_late_sends_it_no_read() {
    let mut deposed = Deposed::by_answer();
    for _ in 0..20 {
        deposed.fixture.advance(500 * MS);
        deposed.fixture.update_list(ListKind::Delta, &[entry(1, 0, false)]);
        deposed.fixture.update_list(ListKind::Delta, &[entry(1, 0, true)]);
        deposed.assert_no_read_is_sent();
    }
}

#[test]
fn a_whole_list_that_still_names_a_former_primary_sends_it_no_read() {
    let mut deposed = Deposed::by_answer();
    deposed.fixture.update_list(ListKind::Full, &[entry(2, 0, false), entry(3, 1, false)]);
    deposed.fixture.advance(2_000 * MS);
    deposed.fixture.update_list(ListKind::Full, &entries());
    deposed.assert_no_read_is_sent();
}

#[test]
fn a_probe_that_denies_the_role_ends_the_reads_at_a_former_primary() {
    let mut deposed = Deposed::not_told();
    let at = deposed.stands_at;
    deposed.fixture.answer_probe(1, at, false);
    deposed.assert_no_read_is_sent();
}

#[test]
fn a_denial_counts_whatever_position_comes_with_it() {
    for ahead in [-500, -1, 0, 1, 500] {
        let mut deposed = Deposed::not_told();
        let position = deposed.fixture.now.saturating_add_signed(ahead * MS as i64);
        deposed.fixture.answer_probe(1, position, false);
        let (id, actions) = deposed.fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), None, "{ahead} ms ahead: it is no primary any more");
    }
}

#[test]
fn an_answer_that_arrives_late_does_not_bring_back_a_former_primary() {
    let mut deposed = Deposed::not_told();
    let (late, member) = deposed.read(2_000 * MS);
    assert_eq!(member, Some(1));
    deposed.answer_as(Role::Replica);
    deposed.fixture.now += 300 * MS;
    let claim = ReplyStatus { position: Some(deposed.stands_at + 20 * MS), role: Some(Role::Primary) };
    deposed.fixture.end_attempt(late, 1, Outcome::Served, claim);
    deposed.assert_no_read_is_sent();
}

#[test]
fn an_answer_without_a_position_counts_from_its_request_only() {
    let mut deposed = Deposed::not_told();
    let (late, member) = deposed.read(2_000 * MS);
    assert_eq!(member, Some(1));
    deposed.answer_as(Role::Replica);
    deposed.fixture.now += 300 * MS;
    let claim = ReplyStatus { position: None, role: Some(Role::Primary) };
    deposed.fixture.end_attempt(late, 1, Outcome::Served, claim);
    deposed.assert_no_read_is_sent();
}

#[test]
fn a_peers_old_word_does_not_bring_back_a_former_primary() {
    let mut deposed = Deposed::by_answer();
    for age in [0, 5, 20] {
        let position = deposed.stands_at + age * MS;
        let update = MemberUpdate { member: MemberId(1), position, role: Some(Role::Primary) };
        deposed.fixture.event(Event::PeerUpdates(vec![update]));
        deposed.assert_no_read_is_sent();
    }
}

#[test]
fn a_former_primary_that_is_elected_again_gets_reads_and_writes_again() {
    let mut deposed = Deposed::by_answer();
    deposed.fixture.now += 10 * MS;
    deposed.stands_at = deposed.fixture.now;
    deposed.fixture.answer_probe(1, deposed.stands_at, true);
    deposed.answer_as(Role::Primary);
    assert_eq!(deposed.read(1_000 * MS).1, Some(1));
}

#[test]
fn a_report_older_than_the_answer_it_comes_with_says_nothing_about_the_role() {
    let mut fixture = Fixture::new();
    fixture.now += 100 * MS;
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(1));
    fixture.now += 10 * MS;
    let now = fixture.now;
    let report = Report { position: Some(now - 80 * MS), role: Some(Role::Replica), ..Report::default() };
    fixture.event(Event::AttemptEnded(AttemptResult {
        request: id,
        member: MemberId(1),
        outcome: Outcome::Served,
        status: ReplyStatus { position: Some(now - MS), role: Some(Role::Primary) },
        duration: 10 * MS,
        request_finished: true,
        report,
    }));
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(1), "it was elected after that report");
}

#[test]
fn a_commit_of_a_write_without_an_answer_is_no_position() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut deposed = Deposed::not_told();
        let (id, actions) = deposed.fixture.request(WRITE);
        assert_eq!(sent_to(&actions, id), Some(1));
        deposed.fixture.now += 10 * MS;
        let now = deposed.fixture.now;
        let status = ReplyStatus { position: Some(now), role: None };
        deposed.fixture.end_attempt(id, 1, outcome, status);
        deposed.fixture.answer_probe(1, deposed.stands_at, false);
        deposed.assert_no_read_is_sent();
    }
}

#[test]
fn what_members_stated_is_converted_anew_when_the_difference_of_the_clocks_is_known() {
    const AHEAD: Micros = 5_000 * MS;
    let settings = Settings { session_tracking: SessionTracking::Router, ..settings() };
    // This machine's clock is ahead: all that members state looks older than it is.
    let (mut fixture, _) = Fixture::unprobed(settings, &entries());
    let stated = fixture.now - AHEAD - 10 * MS;
    (1..=3).for_each(|m| drop(fixture.answer_probe(m, stated, m == 1)));
    let (id, actions) = fixture.request_with(WRITE, 2_000 * MS, |r| r.session = Some(SessionId(1)));
    assert_eq!(sent_to(&actions, id), Some(1));
    let commit = fixture.now - AHEAD;
    fixture.end_attempt(id, 1, Outcome::Served, ReplyStatus { position: Some(commit), role: None });
    fixture.event(Event::ClockAdjusted(AHEAD as i64));
    fixture.now += MS;
    // A replica that had the log up to just before the commit, by the new difference.
    let before_commit = commit + AHEAD - 2 * MS;
    (2..=3).for_each(|m| drop(fixture.answer_probe(m, before_commit, false)));
    let (id, actions) = fixture.request_with(SESSION, 2_000 * MS, |r| r.session = Some(SessionId(1)));
    assert_eq!(sent_to(&actions, id), Some(1), "no replica has the session's write");
}

#[test]
fn a_start_is_converted_anew_when_the_difference_of_the_clocks_is_known() {
    const AHEAD: Micros = 900_000 * MS;
    let mut fixture = Fixture::new();
    let started_at = Some(fixture.now - AHEAD);
    fixture.update_list(ListKind::Delta, &[ListEntry { started_at, ..entry(2, 0, false) }]);
    fixture.event(Event::ClockAdjusted(AHEAD as i64));
    fixture.answer_probe(2, fixture.now - MS, false);
    fixture.answer_probe(3, fixture.now - MS, false);
    let sent = (0..10).filter(|_| {
        let (id, actions) = fixture.request(READ);
        sent_to(&actions, id) == Some(2)
    });
    assert!(sent.count() <= 1, "it has just started");
}

/// Guards against: a denial counts only when the rest of the answer to its probe does.
#[test]
fn a_role_counts_before_the_probe_has_ended() {
    let (mut fixture, _) = Fixture::unprobed(settings(), &entries());
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(1), "the list names it");
    let answered = |member, role| Event::ProbeAnswered { member: MemberId(member), role: Some(role) };
    fixture.event(answered(1, Role::Replica));
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), None, "it is not the primary any more");
    // The rest follows, without a role, and changes nothing about that.
    let report = Report { position: Some(fixture.now - STOOD_STILL), ..Report::default() };
    let ended = Event::ProbeEnded { member: MemberId(1), outcome: Outcome::Served, report };
    let actions = fixture.event(ended);
    assert_eq!(sent_to(&actions, id), None);
}

/// Guards against: positions from before a clock was set count as positions of the new time.
#[test]
fn positions_are_forgotten_when_a_clock_was_set() {
    for event in [Event::ClockStepped, Event::ClockAdjusted(3_600_000 * MS as i64)] {
        let mut fixture = Fixture::new();
        (2..=3).for_each(|m| drop(fixture.answer_probe(m, fixture.now - MS, false)));
        let (id, actions) = fixture.request(READ);
        assert_ne!(sent_to(&actions, id), Some(1), "replicas are fresh");
        fixture.event(event);
        fixture.now += STOOD_STILL;
        let (id, mut actions) = fixture.request(READ);
        (2..=3).for_each(|m| actions.extend(fixture.answer_probe(m, fixture.now - STOOD_STILL, false)));
        assert_eq!(sent_to(&actions, id), Some(1), "what they state from now on counts");
    }
}

/// Guards against: a claim is dated later than now by a new difference of the clocks, so that no later one is believed.
#[test]
fn a_new_difference_of_the_clocks_keeps_no_new_primary_out() {
    let mut fixture = Fixture::new();
    fixture.event(Event::ClockAdjusted(3_600_000 * MS as i64));
    fixture.now += 100 * MS;
    fixture.answer_probe(2, fixture.now - MS, true);
    let (id, actions) = fixture.request(WRITE);
    assert_eq!(sent_to(&actions, id), Some(2));
}

#[test]
fn what_was_converted_by_another_difference_is_not_told_to_peers() {
    let mut settings = settings();
    settings.limits.peer_messages = true;
    for adjusts in [false, true] {
        let mut fixture = Fixture::ready(settings.clone(), &entries());
        fixture.advance(1_000 * MS);
        fixture.answer_probe(2, fixture.now - MS, false);
        adjusts.then(|| fixture.event(Event::ClockAdjusted(-5_000)));
        let actions = fixture.advance(20 * MS);
        let told = actions.iter().any(|a| matches!(a, Action::SendPeerUpdates(_)));
        assert_eq!(told, !adjusts);
    }
}
