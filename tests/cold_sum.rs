//! What a whole fleet sends a member that has just started: each router's part follows from the settings, but the rule
//! counts the sum.

mod common;

use std::collections::VecDeque;

use beaconshore::interface::*;
use beaconshore::random::Random;
use common::*;

/// Requests of mean work that a warm member serves in a second.
const WARM: f64 = 60.0;
/// Members of the group: a primary, and replicas of which one (2) is cold.
const MEMBERS: u32 = 10;
const STEP: Micros = 10 * MS;

/// What goes wrong beside the cold member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Day {
    Calm,
    /// Half as much again is asked.
    Burst,
    /// Half of the other replicas can't be reached.
    Cut,
    /// Two of three requests get an error at any member.
    Junk,
}

/// The most that was sent to the cold member within the rule's window, as a share of what makes it fall.
fn nearest_to_a_fall(routers: u32, day: Day, seed: u64) -> f64 {
    let settings = Settings { routers, ..settings() };
    let rules = settings.rules.clone();
    let mut list: Vec<Entry> = (1..=MEMBERS).map(|member| entry(member, 0, member == 1)).collect();
    list[1].started = Some(START);
    let mut random = Random::new(seed);
    let mut fleet: Vec<Stage> =
        (0..routers).map(|_| Stage::seeded(random.draw(u64::MAX), settings.clone(), &list).0).collect();
    for stage in &mut fleet {
        (1..=MEMBERS).for_each(|member| drop(stage.probed(member, START, member == 1)));
    }
    let load = if day == Day::Burst { 1.05 } else { 0.7 } * if day == Day::Junk { 3.0 } else { 1.0 };
    let in_step = load * WARM * f64::from(MEMBERS - 1) * STEP as f64 / 1e6;
    let mut under_way: VecDeque<(Micros, usize, RequestId, u32, Outcome)> = VecDeque::new();
    let (mut at_cold, mut worst) = (VecDeque::<Micros>::new(), 0.0_f64);
    let mut now = START;
    while now < START + 6_000 * MS {
        now += STEP;
        let mut events = Vec::new();
        while under_way.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, router, request, member, outcome) = under_way.pop_front().unwrap();
            fleet[router].now = now;
            events.push((router, fleet[router].ended(request, member, outcome, Note::default())));
        }
        let arrivals = in_step as u64 + u64::from(random.draw(1_000) < (in_step.fract() * 1_000.0) as u64);
        for _ in 0..arrivals {
            let router = random.draw(u64::from(routers)) as usize;
            fleet[router].now = now;
            events.push((router, fleet[router].ask(ANY).1));
        }
        for (router, stage) in fleet.iter_mut().enumerate() {
            stage.now = now;
            events.push((router, stage.event(Event::Timer)));
        }
        for (router, actions) in events {
            for action in actions {
                let Action::Send { request, member, .. } = action else { continue };
                let out_of_reach = day == Day::Cut && (3..=6).contains(&member.0);
                let outcome = match day {
                    _ if out_of_reach => Outcome::Unreachable,
                    Day::Junk if request.0 % 3 > 0 => Outcome::Error,
                    _ => Outcome::Served,
                };
                under_way.push_back((now + 50 * MS, router, request, member.0, outcome));
                if member.0 == 2 {
                    at_cold.push_back(now);
                }
            }
        }
        while at_cold.front().is_some_and(|at| *at + rules.fall_window < now) {
            at_cold.pop_front();
        }
        // What it can do at the window's start is the least that the rule can count.
        let age = now.saturating_sub(START + rules.fall_window) as f64 / rules.warm_within as f64;
        let warmth = rules.cold_share + (1.0 - rules.cold_share) * age;
        let allowed = rules.fall_multiple * warmth * WARM * rules.fall_window as f64 / 1e6;
        worst = worst.max(at_cold.len() as f64 / (allowed + 3.0 * allowed.sqrt() + 3.0));
    }
    worst
}

#[test]
fn no_fleet_of_any_size_pushes_a_cold_member_over() {
    let mut table = Vec::new();
    for day in [Day::Calm, Day::Burst, Day::Cut, Day::Junk] {
        for routers in [3, 30, 300, 1_000] {
            let worst = (1..=3).map(|seed| nearest_to_a_fall(routers, day, seed)).fold(0.0, f64::max);
            table.push(format!("{day:?} {routers} routers: {worst:.2}"));
            assert!(worst > 0.0, "{day:?}, {routers}: it has its turns");
            assert!(worst <= 1.0, "{day:?}, {routers}: {worst:.2} of what makes it fall");
        }
    }
    println!("{}", table.join("\n"));
}
