//! Tests the planner on synthetic events: when it treats a zone as lost, as cut off, or as neither, and what
//! it advises on spill limits and home tiers.

use beaconshore::interface::*;
use beaconshore_zones::policy::ZonePolicy;
use beaconshore_zones::{Planner, Policy};

const MS: Micros = 1_000;
const START: Micros = 1_000_000_000;

fn settings() -> Settings {
    let class = Class {
        consistency: Consistency::Bounded(200 * MS),
        effect: Effect::Safe,
        latency_target: 250 * MS,
        deadline: 1_000 * MS,
        value: 1.0,
        late_value_share: 0.0,
    };
    let limits = Limits { max_attempts: 8, probes: true, peer_messages: true, ..Limits::default() };
    let rules = RuleParameters {
        cold_share: 0.2,
        warm_up_time: 10_000 * MS,
        overload_multiple: 2.0,
        ..Default::default()
    };
    Settings {
        zone: ZoneId(0),
        routers: 3,
        step: 5 * MS,
        classes: vec![class],
        limits,
        rules,
        ..Default::default()
    }
}

/// A planner under test, and what it has advised so far.
struct Fixture {
    planner: Planner,
    now: Micros,
    last_request_id: u64,
    /// The latest advice on each zone.
    zone_advice: Vec<ZoneAdvice>,
    home_tiers: Vec<(GroupId, u16)>,
    /// Number of probes that the planner asked for.
    probes: usize,
}

/// Creates a planner with twelve healthy members: four groups with a member in each of three zones. The
/// planner's router is in zone 0, and the primaries are in zone 1.
fn new_fixture(policy: Policy) -> Fixture {
    let settings = settings();
    let mut fixture = Fixture {
        planner: Planner::new(policy, &settings, START),
        now: START,
        last_request_id: 0,
        zone_advice: Vec::new(),
        home_tiers: Vec::new(),
        probes: 0,
    };
    let entries: Vec<ListEntry> = (0..12).map(|m| entry(m, ListedState::Ready)).collect();
    fixture.planner.on_event(START, &Event::List(ListKind::Cached, &entries));
    fixture.advise();
    (0..12).for_each(|m| fixture.attempt(m, Outcome::Served));
    fixture
}

fn entry(member: u32, listed: ListedState) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        group: GroupId(member / 3),
        zone: ZoneId((member % 3) as u16),
        listed,
        started_at: None,
        primary: member % 3 == 1,
    }
}

impl Fixture {
    /// Sends a request's attempt to a member and ends it at once with this outcome.
    fn attempt(&mut self, member: u32, outcome: Outcome) {
        self.last_request_id += 1;
        let (id, now) = (RequestId(self.last_request_id), self.now);
        let request = Request {
            id,
            class: 0,
            group: GroupId(member / 3),
            session: None,
            budget: 1_000 * MS,
            is_repeat: false,
            last_write_ago: None,
        };
        self.planner.on_event(now, &Event::Request(request));
        let send = Action::Send { request: id, member: MemberId(member), timeout: 0 };
        self.planner.on_actions(now, &[send], |_| 40_000.0);
        self.planner.on_event(
            now,
            &Event::AttemptEnded(AttemptResult {
                request: id,
                member: MemberId(member),
                outcome,
                status: ReplyStatus { position: Some(now), role: None },
                duration: 50 * MS,
                request_finished: true,
                report: Report::default(),
            }),
        );
    }

    fn advise(&mut self) {
        let (advice, actions) = self.planner.advise(self.now);
        for action in actions {
            self.probes += usize::from(matches!(action, Action::Probe(_)));
        }
        let Some(advice) = advice else { return };
        for zone in advice.zones {
            self.zone_advice.retain(|z| z.zone != zone.zone);
            self.zone_advice.push(zone);
        }
        self.home_tiers.extend(advice.home_tiers);
    }

    /// Lets time pass. Every 50 ms each member gets an attempt with the outcome that `outcome_of` gives, or
    /// none.
    fn advance(&mut self, time: Micros, outcome_of: impl Fn(u32) -> Option<Outcome>) {
        let end = self.now + time;
        while self.now < end {
            self.now += 50 * MS;
            (0..12).for_each(|m| outcome_of(m).into_iter().for_each(|outcome| self.attempt(m, outcome)));
            self.advise();
        }
    }

    fn failed_zones(&self) -> Vec<u16> {
        let mut zones: Vec<u16> = self.zone_advice.iter().filter(|w| w.suspected).map(|w| w.zone.0).collect();
        zones.sort_unstable();
        zones
    }
}

/// Outcomes with which the first `count` members of a zone reset their connections and all other members
/// answer.
fn failing(zone: u32, count: u32) -> impl Fn(u32) -> Option<Outcome> {
    move |member| {
        Some(if member % 3 == zone && member / 3 < count { Outcome::Reset } else { Outcome::Served })
    }
}

/// Guards against a lost zone that goes unnoticed, one that is reported before the policy's silence is over,
/// and a flood of probes to it.
#[test]
fn zone_is_lost_when_its_members_fail_together_and_none_answers() {
    let mut fixture = new_fixture(Policy::default());
    fixture.advance(600 * MS, failing(2, 4));
    assert_eq!(fixture.failed_zones(), [], "the policy's silence is not over yet");
    fixture.advance(300 * MS, failing(2, 4));
    assert_eq!(fixture.failed_zones(), [2]);
    assert!(fixture.planner.take_log_lines()[0].starts_with("zone 2 lost: 4 of 4 members fail"));
    assert!(fixture.probes > 0 && fixture.probes <= 4, "{} probes", fixture.probes);
}

/// Guards against giving up a whole zone because some of its members fail. The decision module handles these
/// individually.
#[test]
fn zone_is_not_lost_when_only_some_members_or_a_single_one_fail() {
    for count in 1..4 {
        let mut fixture = new_fixture(Policy::default());
        fixture.advance(3_000 * MS, failing(2, count));
        assert_eq!(fixture.failed_zones(), [], "{count} of 4 fail, the rest answer");
    }
    // Only one member of the zone gets requests: a single member is no evidence about the zone.
    let mut fixture = new_fixture(Policy::default());
    fixture.advance(3_000 * MS, |m| match m {
        2 => Some(Outcome::Reset),
        m if m % 3 == 2 => None,
        _ => Some(Outcome::Served),
    });
    assert_eq!(fixture.failed_zones(), []);
}

/// Guards against late detection of a zone whose members accept attempts and never answer: overdue attempts
/// have to count before their timeouts end them.
#[test]
fn overdue_attempts_count_as_failures_before_they_end() {
    let mut fixture = new_fixture(Policy::default());
    fixture.now += MS;
    for m in [2, 5, 8] {
        fixture.last_request_id += 1;
        let send =
            Action::Send { request: RequestId(fixture.last_request_id), member: MemberId(m), timeout: 0 };
        fixture.planner.on_actions(fixture.now, &[send], |_| 40_000.0);
    }
    fixture.advance(1_000 * MS, |m| (m % 3 != 2).then_some(Outcome::Served));
    assert_eq!(fixture.failed_zones(), [2], "the attempts are overdue, though none has ended");
}

/// Guards against a router that loses its own network and gives up all zones, though none of them has failed.
#[test]
fn router_that_reaches_no_zone_does_not_treat_zones_as_lost() {
    let mut fixture = new_fixture(Policy::default());
    fixture.advance(3_000 * MS, |_| Some(Outcome::Unreachable));
    assert_eq!(fixture.failed_zones(), []);
    fixture.advance(3_000 * MS, |m| Some(if m % 3 == 0 { Outcome::Served } else { Outcome::Unreachable }));
    assert_eq!(fixture.failed_zones(), [1, 2], "the router's own zone answers, so the others have failed");
}

/// Guards against a full ramp-up from a cold start for a zone that this router merely could not reach.
#[test]
fn peer_updates_turn_a_loss_into_a_cut_off() {
    let mut fixture = new_fixture(Policy::default());
    fixture.advance(1_000 * MS, failing(2, 4));
    assert_eq!(fixture.failed_zones(), [2]);
    for _ in 0..6 {
        fixture.advance(300 * MS, failing(2, 4));
        let update = |m| MemberUpdate { member: MemberId(m), position: fixture.now - 20 * MS, role: None };
        let updates: Vec<MemberUpdate> = [2, 5, 8, 11].map(update).into();
        fixture.planner.on_event(fixture.now, &Event::PeerUpdates(updates));
    }
    assert_eq!(
        fixture.planner.status(fixture.now).iter().find(|z| z.zone == ZoneId(2)).unwrap().phase,
        "cut-off"
    );
    // Once its members answer again the zone gets a large share at once, because they are warm.
    fixture.advance(2_000 * MS, |_| Some(Outcome::Served));
    let advice = fixture.zone_advice.iter().find(|w| w.zone == ZoneId(2)).unwrap();
    assert!(!advice.suspected && advice.read_share >= 0.35, "{advice:?}");
}

/// Guards against a spill limit that ignores the number of routers, and against a window that counts too much
/// or never frees what was spent.
#[test]
fn spill_credit_is_this_routers_part_and_comes_back_after_a_second() {
    let zone = |id: u16| ZonePolicy {
        zone: ZoneId(id),
        name: String::new(),
        prefer: Vec::new(),
        capacity: 8.0,
        routers: 1,
    };
    let mut fixture = new_fixture(Policy { zones: vec![zone(0), zone(1), zone(2)], ..Policy::default() });
    let credit = |fixture: &Fixture, z: u16| {
        fixture.zone_advice.iter().find(|w| w.zone == ZoneId(z)).unwrap().spill_limit.clone()
    };
    assert!(credit(&fixture, 0).is_none(), "nothing spills into its own zone");
    // Half of 8 s of work per second is shared by two routers outside the zone, and divided by the 1.15 by
    // which the planner takes a request's mean work to exceed the router's figure.
    let full = credit(&fixture, 1).unwrap().credit;
    assert!((1_700_000.0..1_750_000.0).contains(&full), "{full}");
    fixture.advance(2_000 * MS, |_| None);
    // Ten reads of group 0, which is at home in zone 0, go to its primary in zone 1.
    fixture.advance(500 * MS, |m| (m == 1).then_some(Outcome::Served));
    let left = credit(&fixture, 1).unwrap().credit;
    assert!((full - left - 10.0 * 40_000.0).abs() < 1_000.0, "{left} of {full} left after ten reads");
    fixture.advance(2_000 * MS, |_| None);
    assert_eq!(credit(&fixture, 1).unwrap().credit, full, "the whole credit is back a second later");
}

/// Guards against unlimited traffic to other zones after a loss: if groups lost their home with the members
/// that leave the list, reads elsewhere would no longer count as spilled.
#[test]
fn groups_keep_their_home_tier_for_a_while_after_members_leave_the_list() {
    let mut fixture = new_fixture(Policy::default());
    assert_eq!(fixture.home_tiers.len(), 4);
    assert!(fixture.home_tiers.iter().all(|(_, tier)| *tier == 0));
    fixture.home_tiers.clear();
    let gone: Vec<ListEntry> = (0..4).map(|g| entry(3 * g, ListedState::Gone)).collect();
    fixture.planner.on_event(fixture.now, &Event::List(ListKind::Delta, &gone));
    fixture.advise();
    assert!(fixture.home_tiers.iter().all(|(_, tier)| *tier == 0), "{:?}", fixture.home_tiers);
    // Once the memory of 600 s is over, a group's home is where its members are now.
    fixture.now += 700_000 * MS;
    let present: Vec<ListEntry> =
        (0..12).filter(|m| m % 3 != 0).map(|m| entry(m, ListedState::Ready)).collect();
    fixture.planner.on_event(fixture.now, &Event::List(ListKind::Full, &present));
    fixture.home_tiers.clear();
    fixture.advise();
    assert!(
        fixture.home_tiers.iter().all(|(_, tier)| *tier > 0) && fixture.home_tiers.len() == 4,
        "{:?}",
        fixture.home_tiers
    );
}
