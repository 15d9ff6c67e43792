//! A day whose router is a script outside: what it does wrong on purpose is found from what members and clients saw.

use beaconshore::interface::{Micros, Outcome, RequestId};
use beaconshore_emulator::audit::Rule;
use beaconshore_emulator::client::Answer;
use beaconshore_emulator::live::{Ask, Live, Order, Said, Welcome};
use beaconshore_emulator::plan::DAWN;
use beaconshore_emulator::{experiment, Plan};

const MS: Micros = 1_000;

fn plan(faults: &str) -> Plan {
    let text = format!(
        "seconds: 20 zone {{ name: 'a' }} zone {{ name: 'b' }} groups {{ count: 1 members: 3 detect_ms: 60000 }}
        clients {{ rate: 100 retries: 0 }} routers {{ per_zone: 1 }} discovery {{ least_ms: 50 most_ms: 60 }}
        rules {{ warm_ms: 8000 }}
        class {{ name: 'view' read: BOUNDED bound_ms: 200 share: 1 work_ms: 20 aim_ms: 250 deadline_ms: 1000 worth: 1 }}
        class {{ name: 'record' read: WRITE effect: KEYED window_ms: 500 share: 1 work_ms: 20 aim_ms: 250
                deadline_ms: 3000 worth: 1 }} {faults}"
    );
    experiment::read("live", &text).unwrap_or_else(|e| panic!("{e}"))
}

/// A router's script: it sees what the day orders, and acts on the day.
struct Script<'p> {
    live: Live<'p>,
    now: Micros,
    token: u64,
}

impl<'p> Script<'p> {
    fn new(plan: &'p Plan) -> Self {
        let mut live = Live::new(plan, 3);
        live.begin();
        (0..live.routers()).for_each(|router| live.ready(router));
        live.advance(DAWN);
        Script { live, now: DAWN, token: 0 }
    }

    /// Time passes; what was ordered meanwhile.
    fn pass(&mut self, time: Micros) -> Vec<Order> {
        self.now += time;
        self.live.advance(self.now);
        self.live.orders()
    }

    /// A millisecond passes, and all who ask in it are refused; what else was ordered.
    fn pass_refusing(&mut self) -> Vec<Order> {
        let (asks, others): (Vec<_>, Vec<_>) =
            self.pass(MS).into_iter().partition(|order| matches!(order, Order::Ask(_)));
        for order in asks {
            if let Order::Ask(ask) = order {
                self.live.answered(ask.id, ask.router, Answer::Refused(0));
            }
        }
        others
    }

    /// The next request of a class.
    fn asked(&mut self, class: usize) -> Box<Ask> {
        for _ in 0..1_000 {
            for order in self.pass(MS) {
                match order {
                    Order::Ask(ask) if ask.class == class => return ask,
                    // The others are given up at once: they are not what is tested.
                    Order::Ask(ask) => self.live.answered(ask.id, ask.router, Answer::Refused(0)),
                    _ => {}
                }
            }
        }
        panic!("nobody asks");
    }

    fn send(&mut self, ask: &Ask, member: usize) -> u64 {
        self.token += 1;
        let epoch = match self.live.connects(ask.router, member) {
            Welcome::After(_, epoch) => epoch,
            other => panic!("{other:?}"),
        };
        self.live.came(ask.id, self.token, (ask.router, member), epoch, true);
        self.token
    }

    /// The answer to an attempt; requests that come meanwhile are refused.
    fn said(&mut self, token: u64) -> Box<Said> {
        for _ in 0..3_000 {
            for order in self.pass_refusing() {
                match order {
                    Order::Say(to, said) if to == token => return said,
                    _ => {}
                }
            }
        }
        panic!("no answer");
    }

    fn answer(&mut self, ask: &Ask) {
        self.live.answered(ask.id, ask.router, Answer::Served(None));
    }

    /// Broken rules, but for requests that the script never answered.
    fn found(self, of: RequestId) -> Vec<Rule> {
        let breaches = self.live.finish().breaches;
        breaches.into_iter().filter(|b| b.request.is_none_or(|id| id == of)).map(|b| b.rule).collect()
    }
}

#[test]
fn a_router_that_does_all_right_is_found_guilty_of_nothing() {
    let plan = plan("");
    let mut script = Script::new(&plan);
    let ask = script.asked(1);
    let token = script.send(&ask, 0);
    assert_eq!(script.said(token).outcome, Outcome::Served);
    script.answer(&ask);
    assert_eq!(script.found(ask.id), []);
}

#[test]
fn two_attempts_at_once_are_found_and_one_after_the_other_is_gone_is_none() {
    let plan = plan("");
    let mut script = Script::new(&plan);
    let ask = script.asked(0);
    let first = script.send(&ask, 1);
    script.live.left(ask.id, first, ask.router);
    let second = script.send(&ask, 2);
    script.said(second);
    script.answer(&ask);
    assert_eq!(script.found(ask.id), []);
    let mut script = Script::new(&plan);
    let ask = script.asked(0);
    script.send(&ask, 1);
    script.send(&ask, 2);
    assert_eq!(script.found(ask.id), [Rule::Twice]);
}

#[test]
fn a_keyed_write_that_is_sent_again_after_its_window_is_found() {
    let plan = plan("");
    let mut script = Script::new(&plan);
    let ask = script.asked(1);
    let first = script.send(&ask, 0);
    script.live.left(ask.id, first, ask.router);
    for _ in 0..900 {
        script.pass_refusing();
    }
    script.send(&ask, 0);
    script.pass(5 * MS);
    let found = script.found(ask.id);
    assert!(!found.is_empty() && found.iter().all(|rule| *rule == Rule::Twice), "{found:?}");
}

#[test]
fn a_request_that_is_dropped_or_never_answered_is_found_and_one_whose_router_was_killed_is_not() {
    let plan = plan("fault { at_s: 1 for_s: 1 router_loss {} }");
    let mut script = Script::new(&plan);
    let ask = script.asked(0);
    script.live.dropped(ask.id, ask.router, true);
    assert_eq!(script.found(ask.id), [Rule::Lost]);
    let mut script = Script::new(&plan);
    let ask = script.asked(0);
    script.live.dropped(ask.id, ask.router, false);
    assert_eq!(script.found(ask.id), [], "what no process had taken is not lost");
    let mut script = Script::new(&plan);
    script.pass(980 * MS);
    let ask = script.asked(0);
    let killed =
        (0..60).any(|_| script.pass(MS).iter().any(|o| matches!(o, Order::Kill(r) if *r == ask.router)));
    assert!(killed);
    script.live.dropped(ask.id, ask.router, true);
    assert_eq!(script.found(ask.id), []);
}

#[test]
fn a_stale_read_and_a_send_to_a_drained_member_are_found() {
    let plan = plan("fault { at_s: 1 lag { times: 1000 } } fault { at_s: 1.5 drain { zone: 'b' } }");
    let mut script = Script::new(&plan);
    script.pass(900 * MS);
    // Some commits for the replicas to fall behind by.
    for _ in 0..10 {
        let ask = script.asked(1);
        let token = script.send(&ask, 0);
        script.said(token);
        script.answer(&ask);
    }
    script.pass(400 * MS);
    let ask = script.asked(0);
    let token = script.send(&ask, 2);
    if script.said(token).outcome == Outcome::Served {
        script.answer(&ask);
    }
    // The second member lies in zone b.
    script.pass(2_000 * MS);
    let late = script.asked(0);
    script.send(&late, 1);
    let breaches = script.live.finish().breaches;
    let of =
        |id: RequestId| breaches.iter().filter(|b| b.request == Some(id)).map(|b| b.rule).collect::<Vec<_>>();
    assert_eq!(of(ask.id), [Rule::Stale]);
    assert_eq!(of(late.id), [Rule::Drain]);
}

#[test]
fn a_process_that_ends_by_itself_and_a_cold_member_pushed_over_are_found() {
    let plan =
        plan("fault { at_s: 1 for_s: 1 zone_loss { zone: 'b' } } fault { at_s: 2 burst { times: 8 } }");
    let mut script = Script::new(&plan);
    script.live.ended(0, false);
    assert_eq!(script.found(RequestId(0)), [Rule::Lost]);
    let mut script = Script::new(&plan);
    script.live.ended(0, true);
    assert_eq!(script.found(RequestId(0)), []);
    let mut script = Script::new(&plan);
    script.pass(2_050 * MS);
    // All reads go to the one that has just come back.
    for _ in 0..300 {
        let ask = script.asked(0);
        if let Welcome::After(_, epoch) = script.live.connects(ask.router, 1) {
            script.token += 1;
            script.live.came(ask.id, script.token, (ask.router, 1), epoch, true);
        }
    }
    let fell = script.live.finish().breaches.iter().any(|b| b.rule == Rule::Cold);
    assert!(fell);
}

/// Broken rules of requests that came during a standstill of 2 s and were due right after it, answered so long after it.
fn found_after_a_standstill(answered_after: Micros) -> Vec<Rule> {
    let plan = plan("fault { at_s: 3 for_s: 2 standstill {} }");
    let mut script = Script::new(&plan);
    let mut due = Vec::new();
    while script.now < DAWN + 5_000 * MS + answered_after {
        for order in script.pass(MS) {
            let Order::Ask(ask) = order else { continue };
            // A deadline of 1 s and half a second of grace end up to 100 ms after the standstill.
            let since = script.now - DAWN;
            match ask.class == 0 && (3_501 * MS..3_600 * MS).contains(&since) {
                true => due.push(ask),
                false => script.live.answered(ask.id, ask.router, Answer::Refused(0)),
            }
        }
    }
    assert!(due.len() > 2, "{} requests came in that time", due.len());
    due.iter().for_each(|ask| script.live.answered(ask.id, ask.router, Answer::Failed));
    script.pass(2_000 * MS);
    let breaches = script.live.finish().breaches;
    let is_due = |id: Option<RequestId>| due.iter().any(|ask| Some(ask.id) == id);
    breaches.into_iter().filter(|b| is_due(b.request)).map(|b| b.rule).collect()
}

#[test]
fn a_router_that_just_woke_up_has_the_slack_to_answer_and_no_more() {
    assert_eq!(found_after_a_standstill(100 * MS), []);
    assert!(found_after_a_standstill(200 * MS).contains(&Rule::Lost));
}
