//! The five rules, checked from outside the routers: from what clients asked and got, what members were sent,
//! and what the list had told. Every breach says when, which request, which member, which rule.

use std::collections::BTreeMap;
use std::fmt;

use beaconshore::interface::{Consistency, Effect, ListedState, Micros, RequestId, Role};

use crate::plan::{Plan, DAWN, SECOND};

/// Breaches that are kept; further ones are counted by nobody, the day is worth nothing anyway.
const MOST: usize = 200;
/// Effects that are remembered, and for how long at least where there are more.
const MOST_RUNS: usize = 100_000;
const RUNS_KEPT: Micros = 60 * SECOND;
/// Slack of every time limit, as on sockets.
const SLACK: Micros = 50_000;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every taken request gets one final answer in time.
    Lost,
    /// No effect happens twice.
    Twice,
    /// Drains are kept.
    Drain,
    /// No cold member is pushed over.
    Cold,
    /// No stale read.
    Stale,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Time since dawn.
    pub at: Micros,
    /// The request, if it is one's.
    pub request: Option<RequestId>,
    /// The member, if there is one.
    pub member: Option<usize>,
    /// Which rule.
    pub rule: Rule,
    /// What happened.
    pub what: &'static str,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3} s rule {:?}: {}", self.at as f64 / SECOND as f64, self.rule, self.what)?;
        if let Some(request) = self.request {
            write!(f, ", request {}", request.0)?;
        }
        match self.member {
            Some(member) => write!(f, ", member {member}"),
            None => Ok(()),
        }
    }
}

/// A request as it was taken.
struct Taken {
    class: usize,
    floor: Micros,
    ends: Micros,
    answers: u32,
    /// First send that may have run.
    risk: Option<Micros>,
    out: Option<u64>,
}

/// When a member told a router that it is no primary: first and last.
#[derive(Clone, Copy)]
struct Denial {
    first: Micros,
    last: Micros,
}

/// The auditor.
pub struct Audit {
    /// Slack of drains and bounds, and of answers.
    slack: Micros,
    late: Micros,
    taken: BTreeMap<RequestId, Taken>,
    /// When each router was told that a member drains or is gone.
    barred: BTreeMap<(usize, usize), Micros>,
    /// What each router was told by a member that is no primary, since it last was one.
    denied: BTreeMap<(usize, usize), Denial>,
    /// When requests with an effect first reached a member: repeats that come within their window are dropped.
    came: BTreeMap<RequestId, Micros>,
    breaches: Vec<Breach>,
}

impl Default for Audit {
    fn default() -> Self {
        Audit::with_slack(SLACK, SLACK)
    }
}

impl Audit {
    /// One that allows this much more for drains and bounds, and for answers.
    pub fn with_slack(slack: Micros, late: Micros) -> Self {
        let (taken, barred, denied, came, breaches) = Default::default();
        Audit { slack, late, taken, barred, denied, came, breaches }
    }

    /// What is allowed on top of the rules' times, for what can't be told apart on a machine's clock.
    pub fn slack(&self) -> Micros {
        self.slack
    }

    /// What was found.
    pub fn breaches(self) -> Vec<Breach> {
        self.breaches
    }

    fn breach(
        &mut self,
        now: Micros,
        request: Option<RequestId>,
        member: Option<usize>,
        rule: Rule,
        what: &'static str,
    ) {
        if self.breaches.len() < MOST {
            self.breaches.push(Breach { at: now - DAWN, request, member, rule, what });
        }
    }

    /// A router took a request.
    pub fn taken(&mut self, request: RequestId, class: usize, floor: Micros, ends: Micros) {
        self.taken.insert(request, Taken { class, floor, ends, answers: 0, risk: None, out: None });
    }

    /// Its router died, or its client left: nothing is owed any more.
    pub fn released(&mut self, request: RequestId) {
        self.taken.remove(&request);
    }

    /// A router was told what the list says of a member.
    pub fn told(&mut self, router: usize, member: usize, listed: ListedState, now: Micros) {
        match listed {
            ListedState::Ready => drop(self.barred.remove(&(router, member))),
            ListedState::Draining | ListedState::Gone => {
                self.barred.entry((router, member)).or_insert(now);
            }
        }
    }

    /// A router that starts anew knows only what it is told then.
    pub fn restarted(&mut self, router: usize) {
        self.barred.retain(|(r, _), _| *r != router);
        self.denied.retain(|(r, _), _| *r != router);
    }

    /// A member told a router its role.
    pub fn role(&mut self, router: usize, member: usize, role: Role, now: Micros) {
        match role {
            Role::Primary => drop(self.denied.remove(&(router, member))),
            Role::Replica => {
                self.denied.entry((router, member)).or_insert(Denial { first: now, last: now }).last = now;
            }
        }
    }

    /// Another router told it what a member had said at a time: that it is primary clears what it said before.
    pub fn heard(&mut self, router: usize, member: usize, role: Option<Role>, at: Micros) {
        let denied = self.denied.get(&(router, member)).copied();
        if role == Some(Role::Primary) && denied.is_some_and(|denied| at > denied.last) {
            self.denied.remove(&(router, member));
        }
    }

    /// An attempt goes out.
    pub fn sent(
        &mut self,
        plan: &Plan,
        request: RequestId,
        token: u64,
        (router, member): (usize, usize),
        now: Micros,
    ) {
        if let Some(&told) = self.barred.get(&(router, member)) {
            if now > told + plan.drain + self.slack {
                self.breach(
                    now,
                    Some(request),
                    Some(member),
                    Rule::Drain,
                    "sent after the news of its drain",
                );
            }
        }
        let Some(taken) = self.taken.get_mut(&request) else {
            return self.breach(now, Some(request), Some(member), Rule::Lost, "sent after its final answer");
        };
        let (out, risk, class) = (taken.out.replace(token), taken.risk, taken.class);
        if out.is_some() {
            self.breach(now, Some(request), Some(member), Rule::Twice, "two attempts out at once");
        }
        let allowed = match (plan.classes[class].class.effect, risk) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Unsafe, Some(_)) => false,
            (Effect::Keyed(_, window), Some(first)) => now <= first + window + self.slack,
        };
        if !allowed {
            self.breach(now, Some(request), Some(member), Rule::Twice, "sent again though it may have run");
        }
    }

    /// An attempt ended for its router.
    pub fn ended(&mut self, request: RequestId, token: u64, sent: Micros, never_ran: bool) {
        let Some(taken) = self.taken.get_mut(&request) else { return };
        if taken.out == Some(token) {
            taken.out = None;
        }
        if !never_ran {
            taken.risk = taken.risk.or(Some(sent));
        }
    }

    /// A member read data up to a position for an attempt, and the answer is served.
    pub fn read(
        &mut self,
        plan: &Plan,
        request: RequestId,
        (router, member): (usize, usize),
        (position, was_primary): (Micros, bool),
        (sent, now): (Micros, Micros),
    ) {
        // What an answer tells counts as known to what is sent afterwards.
        let known = |denied: &Denial| sent > denied.first + self.slack.saturating_sub(SLACK);
        let excused = was_primary && !self.denied.get(&(router, member)).is_some_and(known);
        let Some(taken) = self.taken.get(&request).filter(|_| !excused) else { return };
        let enough = match plan.classes[taken.class].class.consistency {
            Consistency::Bounded(bound) => position + bound + self.slack >= sent,
            Consistency::Session => position >= taken.floor,
            Consistency::Write | Consistency::Fresh | Consistency::Any => true,
        };
        if !enough {
            self.breach(now, Some(request), Some(member), Rule::Stale, "data older than its class allows");
        }
    }

    /// A request that has an effect reached a member. The group remembers its key from its first coming on; what
    /// comes later than the window is not dropped any more, and runs again.
    pub fn came(&mut self, plan: &Plan, request: RequestId, class: usize, member: usize, now: Micros) {
        let window = match plan.classes[class].class.effect {
            Effect::Safe => return,
            Effect::Unsafe => 0,
            Effect::Keyed(_, window) => window,
        };
        let first = *self.came.entry(request).or_insert(now);
        // The keys of members that repeat them late are forgotten here too, some time after.
        // At once is the first one itself.
        if now > first + window + if window > 0 { self.slack } else { 0 } {
            self.breach(now, Some(request), Some(member), Rule::Twice, "its effect happened twice");
        }
        if self.came.len() > MOST_RUNS {
            self.came.retain(|_, at| now <= *at + RUNS_KEPT);
        }
    }

    /// A router gave a final answer.
    pub fn answered(&mut self, plan: &Plan, request: RequestId, refused: bool, now: Micros) {
        let Some(taken) = self.taken.get_mut(&request) else {
            return self.breach(now, Some(request), None, Rule::Lost, "an answer to what is not open");
        };
        taken.answers += 1;
        let (class, late, risk) = (taken.class, now > taken.ends + self.late, taken.risk.is_some());
        let (again, out) = (taken.answers > 1, taken.out.is_some());
        if again {
            self.breach(now, Some(request), None, Rule::Lost, "answered twice");
        }
        if late {
            self.breach(now, Some(request), None, Rule::Lost, "answered after its time");
        }
        if refused && risk && plan.classes[class].class.effect == Effect::Unsafe || refused && out {
            self.breach(now, Some(request), None, Rule::Twice, "refused though it may have run");
        }
        self.taken.remove(&request);
    }

    /// Its router stands still while its time ends: an answer is owed once it goes on, however late.
    pub fn excused(&mut self, request: RequestId) {
        if let Some(taken) = self.taken.get_mut(&request) {
            taken.ends = Micros::MAX - self.late;
        }
    }

    /// Its router has just gone on after it stood still: an answer is owed by then.
    pub fn extended(&mut self, request: RequestId, until: Micros) {
        if let Some(taken) = self.taken.get_mut(&request) {
            taken.ends = until.saturating_sub(self.late);
        }
    }

    /// A request's time is over: its router, which lives, owed an answer.
    pub fn over(&mut self, request: RequestId, now: Micros) {
        if self.taken.remove(&request).is_some() {
            self.breach(now, Some(request), None, Rule::Lost, "no final answer in time");
        }
    }

    /// A router that lives ended a client's connection without an answer.
    pub fn dropped(&mut self, request: RequestId, now: Micros) {
        if self.taken.remove(&request).is_some() {
            self.breach(now, Some(request), None, Rule::Lost, "its connection ended without an answer");
        }
    }

    /// A router's process ended by itself.
    pub fn crashed(&mut self, now: Micros) {
        self.breach(now, None, None, Rule::Lost, "a router's process ended by itself");
    }

    /// A cold member fell over.
    pub fn fell(&mut self, member: usize, now: Micros) {
        self.breach(now, None, Some(member), Rule::Cold, "pushed over while cold");
    }
}
