//! A planner on made-up events: what makes a zone count as lost, as cut off, or as neither.

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

struct Stage {
    planner: Planner,
    now: Micros,
    next: u64,
    words: Vec<ZoneAdvice>,
    homes: Vec<(GroupId, u16)>,
    probes: usize,
}

/// Twelve members: four groups with a member in each of three zones.
fn stage(policy: Policy) -> Stage {
    let settings = settings();
    let mut stage = Stage {
        planner: Planner::new(policy, &settings, START),
        now: START,
        next: 0,
        words: Vec::new(),
        homes: Vec::new(),
        probes: 0,
    };
    let entries: Vec<ListEntry> = (0..12).map(|m| entry(m, ListedState::Ready)).collect();
    stage.planner.on_event(START, &Event::List(ListKind::Cached, &entries));
    stage.advise();
    (0..12).for_each(|m| stage.attempt(m, Outcome::Served));
    stage
}

fn entry(member: u32, listed: ListedState) -> ListEntry {
    ListEntry {
        member: MemberId(member),
        group: GroupId(member / 3),
        zone: ZoneId((member % 3) as u16),
        listed,
        started: None,
        primary: member % 3 == 1,
    }
}

impl Stage {
    /// An attempt that ends at once.
    fn attempt(&mut self, member: u32, outcome: Outcome) {
        self.next += 1;
        let (id, now) = (RequestId(self.next), self.now);
        let request = Request {
            id,
            class: 0,
            group: GroupId(member / 3),
            session: None,
            budget: 1_000 * MS,
            repeat: false,
            last_write_ago: None,
        };
        self.planner.on_event(now, &Event::Request(request));
        let send = Action::Send { request: id, member: MemberId(member), wait: 0 };
        self.planner.on_actions(now, &[send], |_| 40_000.0);
        self.planner.on_event(
            now,
            &Event::AttemptEnded(AttemptResult {
                request: id,
                member: MemberId(member),
                outcome,
                note: ReplyStatus { position: Some(now), role: None },
                took: 50 * MS,
                finished: true,
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
        for word in advice.zones {
            self.words.retain(|w| w.zone != word.zone);
            self.words.push(word);
        }
        self.homes.extend(advice.homes);
    }

    /// Every 50 ms for a time, members answer, fail, or are not asked.
    fn pass(&mut self, time: Micros, fate: impl Fn(u32) -> Option<Outcome>) {
        let end = self.now + time;
        while self.now < end {
            self.now += 50 * MS;
            (0..12).for_each(|m| fate(m).into_iter().for_each(|outcome| self.attempt(m, outcome)));
            self.advise();
        }
    }

    fn doubted(&self) -> Vec<u16> {
        let mut zones: Vec<u16> = self.words.iter().filter(|w| w.suspected).map(|w| w.zone.0).collect();
        zones.sort_unstable();
        zones
    }
}

/// All answer but those of a zone, of which so many members are reset.
fn failing(zone: u32, count: u32) -> impl Fn(u32) -> Option<Outcome> {
    move |m| Some(if m % 3 == zone && m / 3 < count { Outcome::Reset } else { Outcome::Served })
}

#[test]
fn a_zone_is_lost_when_its_members_fail_together_and_none_answers() {
    let mut s = stage(Policy::default());
    s.pass(600 * MS, failing(2, 4));
    assert_eq!(s.doubted(), [], "not within the time of silence");
    s.pass(300 * MS, failing(2, 4));
    assert_eq!(s.doubted(), [2]);
    assert!(s.planner.changes()[0].starts_with("zone 2 lost: 4 of 4 members fail"));
    assert!(s.probes > 0 && s.probes <= 4, "{} probes", s.probes);
}

#[test]
fn a_part_of_a_zone_and_a_single_member_are_left_to_the_decision_module() {
    for count in 1..4 {
        let mut s = stage(Policy::default());
        s.pass(3_000 * MS, failing(2, count));
        assert_eq!(s.doubted(), [], "{count} of 4 fail, the rest answer");
    }
    // One alone that anybody asks: no zone can be told from it.
    let mut s = stage(Policy::default());
    s.pass(3_000 * MS, |m| match m {
        2 => Some(Outcome::Reset),
        m if m % 3 == 2 => None,
        _ => Some(Outcome::Served),
    });
    assert_eq!(s.doubted(), []);
}

#[test]
fn attempts_that_nobody_answers_count_before_their_time_is_over() {
    let mut s = stage(Policy::default());
    s.now += MS;
    for m in [2, 5, 8] {
        s.next += 1;
        let send = Action::Send { request: RequestId(s.next), member: MemberId(m), wait: 0 };
        s.planner.on_actions(s.now, &[send], |_| 40_000.0);
    }
    s.pass(1_000 * MS, |m| (m % 3 != 2).then_some(Outcome::Served));
    assert_eq!(s.doubted(), [2], "no attempt has ended yet");
}

#[test]
fn a_router_that_reaches_nobody_doubts_itself() {
    let mut s = stage(Policy::default());
    s.pass(3_000 * MS, |_| Some(Outcome::Unreachable));
    assert_eq!(s.doubted(), []);
    s.pass(3_000 * MS, |m| Some(if m % 3 == 0 { Outcome::Served } else { Outcome::Unreachable }));
    assert_eq!(s.doubted(), [1, 2], "its own zone answers: the others are out of reach");
}

#[test]
fn what_peers_hear_tells_a_cut_from_a_loss() {
    let mut s = stage(Policy::default());
    s.pass(1_000 * MS, failing(2, 4));
    assert_eq!(s.doubted(), [2]);
    for _ in 0..6 {
        s.pass(300 * MS, failing(2, 4));
        let word = |m| MemberUpdate { member: MemberId(m), position: s.now - 20 * MS, role: None };
        let words: Vec<MemberUpdate> = [2, 5, 8, 11].map(word).into();
        s.planner.on_event(s.now, &Event::PeerUpdates(words));
    }
    assert_eq!(s.planner.status(s.now).iter().find(|z| z.zone == ZoneId(2)).unwrap().phase, "cut-off");
    // Its members answer again: a large share at once, for they are warm.
    s.pass(2_000 * MS, |_| Some(Outcome::Served));
    let word = s.words.iter().find(|w| w.zone == ZoneId(2)).unwrap();
    assert!(!word.suspected && word.read_share >= 0.35, "{word:?}");
}

#[test]
fn the_spill_limit_is_each_routers_part_and_worth_decides() {
    let zone = |id: u16| ZonePolicy {
        zone: ZoneId(id),
        name: String::new(),
        prefer: Vec::new(),
        capacity: 8.0,
        routers: 1,
    };
    let mut s = stage(Policy { zones: vec![zone(0), zone(1), zone(2)], ..Policy::default() });
    let credit = |s: &Stage, z: u16| s.words.iter().find(|w| w.zone == ZoneId(z)).unwrap().spill.clone();
    assert!(credit(&s, 0).is_none(), "nothing spills into its own zone");
    // Half of 8 s of work a second, for two routers outside; the planner counts a seventh more than a mean.
    let full = credit(&s, 1).unwrap().credit;
    assert!((1_700_000.0..1_750_000.0).contains(&full), "{full}");
    s.pass(2_000 * MS, |_| None);
    // The replica of group 0 at home is lost to it; its reads go to the primary in zone 1.
    s.pass(500 * MS, |m| (m == 1).then_some(Outcome::Served));
    let left = credit(&s, 1).unwrap().credit;
    assert!((full - left - 10.0 * 40_000.0).abs() < 1_000.0, "{left} of {full} left after ten reads");
    s.pass(2_000 * MS, |_| None);
    assert_eq!(credit(&s, 1).unwrap().credit, full, "a second later all of it is there again");
}

#[test]
fn groups_are_at_home_with_their_replicas_even_when_those_left_the_list() {
    let mut s = stage(Policy::default());
    assert_eq!(s.homes.len(), 4);
    assert!(s.homes.iter().all(|(_, tier)| *tier == 0));
    s.homes.clear();
    let gone: Vec<ListEntry> = (0..4).map(|g| entry(3 * g, ListedState::Gone)).collect();
    s.planner.on_event(s.now, &Event::List(ListKind::Delta, &gone));
    s.advise();
    assert!(s.homes.iter().all(|(_, tier)| *tier == 0), "{:?}", s.homes);
    // Long after, their home is where they are.
    s.now += 700_000 * MS;
    let there: Vec<ListEntry> =
        (0..12).filter(|m| m % 3 != 0).map(|m| entry(m, ListedState::Ready)).collect();
    s.planner.on_event(s.now, &Event::List(ListKind::Full, &there));
    s.homes.clear();
    s.advise();
    assert!(s.homes.iter().all(|(_, tier)| *tier > 0) && s.homes.len() == 4, "{:?}", s.homes);
}
