//! Every decision of the routing service, in the order of a request's life: the list, the members' records,
//! arrival, choice of member, guards, sending, outcome, giving up, and the tick that drives what is due.
//! The interface (settings, events, actions) is in `src/interface.rs`. Nothing else decides anything.

use std::collections::BTreeMap;

use crate::interface::*;

/// Pause between rounds of due work, in steps: short against every aim, dear in no site's CPU share.
const TICK_STEPS: u64 = 2;
/// Longest period of ordinary probing (the design's default), in microseconds.
const PROBE_PERIOD: Micros = 1_000_000;
/// Pause between probes of one member while its group's primary is sought, in microseconds.
const SEARCH_PERIOD: Micros = 100_000;
/// That pause is at least this part of the time for which the primary has been silent.
const SEARCH_SPREAD: u64 = 16;
/// A fresh router holds reads at the most this long for the first word of a primary, in microseconds.
const FRESH_HOLD: Micros = 150_000;
/// Consecutive failures after which a member is dropped (the design's default).
const DROP_FAILURES: u32 = 3;
/// Pause between real requests that test a member which answers probes but no work, in microseconds.
const RETEST: Micros = 1_000_000;
/// Times that this pause doubles at the most.
const RETEST_DOUBLINGS: u32 = 5;
/// Open attempts that a member may have from here before anything is known of it.
const FIRST_LIMIT: f64 = 3.0;
/// Share of a member's limit on open attempts that reads may take at a primary; the rest is for writes.
const READ_SHARE: f64 = 0.6;
/// Share of an aim, less three times the work, that waiting may take on average: waits vary as much as work.
const SPARE_SHARE: f64 = 0.35;
/// Share of a member's limit that client repeats may take which hardly earn anything.
const SPENT_SHARE: f64 = 0.5;
/// Share of the way back to the aim that clients' patience is taken to go with each served request.
const PATIENCE_GAIN: f64 = 0.005;
/// Weight of a new sample in running means: about the last ten answers count.
const GAIN: f64 = 0.1;
/// A limit shrinks to this share when answers take longer than the classes can spare.
const CUT: f64 = 0.8;
/// Time after which what was learnt of classes is mostly forgotten, in microseconds: longer than a jam.
const MEMORY: f64 = 50e6;
/// A session whose last commit is older than this needs only a position newer than that, in microseconds.
const SESSION_MEMORY: Micros = 60_000_000;
/// Share of the cold budget that is used: the rest is for what cannot be seen from here.
const COLD_MARGIN: f64 = 0.5;
/// First pause before subscribing anew, in microseconds; it doubles, to a quarter of the time allowed.
const RESUBSCRIBE: Micros = 300_000;

/// How far a member can be trusted with work.
#[derive(Clone, Copy, PartialEq)]
enum Health {
    Good,
    PossiblyDead,
    Dropped,
}

/// An attempt that is out.
struct Open {
    request: RequestId,
    sent: Micros,
    class: usize,
}

/// What is known of a member.
#[derive(Default)]
struct Member {
    id: MemberId,
    group: GroupId,
    zone: ZoneId,
    /// Drains or is gone: nothing new goes there.
    barred: bool,
    started: Option<Micros>,
    /// Position that it has certainly reached, and when that was learnt.
    position: Micros,
    heard: Micros,
    /// Last time at which it said that it is no primary.
    denied: Micros,
    /// The list's word on its role.
    listed_primary: bool,
    /// Consecutive failures of probes and connections; any answer clears them.
    failures: u32,
    /// Consecutive attempts without an answer; only answers to real work clear them.
    stalls: u32,
    last_answer: Micros,
    last_sent: Micros,
    open: Vec<Open>,
    /// Open attempts it may have from here, and how strained its answers are (1: all that aims can spare).
    limit: f64,
    strain: f64,
    cut_at: Micros,
    last_turn: u64,
    probe_sent: Micros,
    probe_out: bool,
    /// Work sent from here of late, forgotten over the window of the cold rule; in microseconds.
    load: f64,
}

/// What is known of a group.
#[derive(Default)]
struct Group {
    /// The last known primary, and the time that the evidence speaks of.
    primary: Option<(MemberId, Micros)>,
    /// Whether a member of it has spoken since start.
    heard: bool,
    /// When a request last named it.
    asked: Micros,
    /// Requests that wait for a member.
    line: Vec<RequestId>,
}

/// A request that awaits its final answer.
#[derive(Default)]
struct Held {
    class: usize,
    group: GroupId,
    session: Option<SessionId>,
    arrived: Micros,
    ends: Micros,
    repeat: bool,
    /// Position that a member must have reached to serve it (sessions).
    floor: Micros,
    /// When its last attempt was sent, and whether that is still out.
    sent: Micros,
    out: bool,
    tried: Vec<MemberId>,
    /// First send that may have run, and where.
    risk: Option<(Micros, MemberId)>,
}

/// Observed service times of a class, in microseconds.
#[derive(Default)]
struct Service {
    mean: f64,
    deviation: f64,
    /// Mean when nothing waits: the least that the mean has been, slowly forgotten.
    base: f64,
    aim: f64,
    /// Worth asked for and worth served in time, of late.
    asked: f64,
    served: f64,
    /// Age at which clients hang up unannounced; the aim where they keep the time they named.
    patience: f64,
}

/// One instance of the decision module.
pub struct Router {
    settings: Settings,
    random: u64,
    now: Micros,
    started: Micros,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    held: BTreeMap<RequestId, Held>,
    services: Vec<Service>,
    /// Commits that sessions must see, where the router remembers them.
    sessions: BTreeMap<SessionId, Micros>,
    turn: u64,
    resubscribe_at: Option<Micros>,
    resubscribe_pause: Micros,
}

impl Router {
    /// A router that knows nothing but its settings; the seed is its only randomness.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Router {
            services: settings.classes.iter().map(|c| Service::new(c.aim as f64)).collect(),
            settings,
            random: seed | 1,
            now,
            started: now,
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            held: BTreeMap::new(),
            sessions: BTreeMap::new(),
            turn: 0,
            resubscribe_at: None,
            resubscribe_pause: RESUBSCRIBE,
        }
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List(kind, entries) => self.on_list(*kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::AttemptEnded(ended) => {
                self.on_answer(ended);
                self.on_outcome(ended, out);
            }
            Event::ProbeEnded { member, outcome, report } => self.on_probe(*member, *outcome, report, out),
            Event::HungUp(request) => self.on_hang_up(*request),
            Event::Timer => self.on_tick(out),
        }
    }

    fn tick(&self) -> Micros {
        self.settings.step * TICK_STEPS
    }

    // ---- The list ----

    fn on_list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            let longest = (self.settings.rules.ask_within / 4).max(1);
            self.resubscribe_pause = (self.resubscribe_pause * 2).min(longest);
            let jitter = self.draw(self.resubscribe_pause);
            self.resubscribe_at = Some(self.now + self.resubscribe_pause / 2 + jitter);
            return;
        }
        (self.resubscribe_pause, self.resubscribe_at) = (RESUBSCRIBE, None);
        if kind != ListKind::Delta {
            let listed: Vec<MemberId> = entries.iter().map(|e| e.member).collect();
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                m.barred |= !self.settings.rules.only_draining_binds;
            }
        }
        entries.iter().for_each(|entry| self.on_entry(entry));
        if kind == ListKind::Cached {
            let all = self.members.keys().map(|id| (*id, 0)).collect();
            self.probe_all(all, out);
            out.push(Action::SetTimer(self.tick()));
            out.extend((self.settings.discovery == Discovery::OnRequest).then_some(Action::Subscribe));
        }
        self.pump_all(out);
    }

    fn on_entry(&mut self, entry: &Entry) {
        let new = Member { id: entry.member, limit: FIRST_LIMIT, ..Member::default() };
        let m = self.members.entry(entry.member).or_insert(new);
        let claims = entry.primary && !m.listed_primary;
        (m.group, m.zone, m.listed_primary) = (entry.group, entry.zone, entry.primary);
        m.barred = match entry.listed {
            Listed::Ready => false,
            Listed::Draining => true,
            Listed::Gone => m.barred || !self.settings.rules.only_draining_binds,
        };
        let restarted = entry.started > m.started;
        if restarted {
            (m.started, m.failures, m.stalls) = (entry.started, 0, 0);
        }
        let group = self.groups.entry(entry.group).or_default();
        // The list is late: it names a primary only where nothing better is known, and never one that has
        // since said that it is none, unless the list has changed to it.
        let denied = m.denied > 0 && self.now <= m.denied + PROBE_PERIOD;
        if claims && group.primary.is_none() && !m.barred && !denied {
            group.primary = Some((entry.member, 0));
        }
        let outdated = |(p, seen)| restarted && p == entry.member && seen > 0 && Some(seen) < m.started;
        group.primary = group.primary.filter(|known| !outdated(*known));
    }

    // ---- The members' records ----

    /// Takes what a member said of its position and role; `at` is the time that the evidence speaks of.
    fn learn(&mut self, id: MemberId, position: Option<Micros>, role: Option<Role>, at: Micros) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let Some(group) = self.groups.get_mut(&m.group) else { return };
        group.heard |= role.is_some();
        // A position ahead of the clock can't be true.
        if let Some(p) = position.filter(|&p| p >= m.position && p <= self.now) {
            (m.position, m.heard) = (p, self.now);
        }
        let (held_by, seen) = group.primary.map_or((None, 0), |(p, seen)| (Some(p), seen));
        let believed = held_by == Some(id);
        if role == Some(Role::Primary) && at > m.denied && (believed || at > seen) {
            group.primary = Some((id, at.max(seen)));
        } else if role == Some(Role::Replica) && (!believed || at >= seen) {
            m.denied = m.denied.max(at);
            group.primary = group.primary.filter(|_| !believed);
        }
    }

    /// A report speaks of the time of its position, which for a primary was the present.
    fn learn_report(&mut self, id: MemberId, report: &Report) {
        if let Some(position) = report.position.filter(|&p| p <= self.now) {
            self.learn(id, report.position, report.role, position);
        }
    }

    /// Reads health and load from the end of an attempt.
    fn on_answer(&mut self, ended: &Ended) {
        let (id, outcome) = (ended.member, ended.outcome);
        self.learn_report(id, &ended.report);
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        let Some(at) = m.open.iter().position(|o| o.request == ended.request) else { return };
        let attempt = m.open.swap_remove(at);
        // What a served write's note tells is its commit, no position to count on.
        let write = self.settings.classes[attempt.class].consistency == Consistency::Write;
        let position = ended.note.position.filter(|_| !write || outcome != Outcome::Served);
        self.learn(id, position, ended.note.role, now);
        let Some(m) = self.members.get_mut(&id) else { return };
        match outcome {
            Outcome::Served | Outcome::Misplaced | Outcome::Full | Outcome::Error => {
                (m.failures, m.stalls, m.last_answer) = (0, 0, now);
            }
            // Silence counts only where nothing else that was sent later has been answered.
            Outcome::TimedOut if m.last_answer < attempt.sent => m.stalls += 1,
            Outcome::Unreachable | Outcome::Reset => m.failures += 1,
            _ => {}
        }
        let service = &mut self.services[attempt.class];
        let spare = service.spare();
        let strain = match outcome {
            Outcome::Served => (ended.took as f64 - service.base) / spare,
            Outcome::TimedOut | Outcome::Full => 3.0,
            _ => return,
        };
        if outcome == Outcome::Served {
            service.add(ended.took as f64);
        }
        m.strain += GAIN * (strain.clamp(-1.0, 4.0) - m.strain);
        let used = (m.open.len() + 1) as f64;
        if m.strain > 1.0 && now > m.cut_at + service.mean as Micros {
            (m.limit, m.cut_at) = ((m.limit.min(used) * CUT).max(1.0), now);
        } else if m.strain < 1.0 && used + 1.0 >= m.limit {
            m.limit += 1.0 / m.limit;
        }
    }

    fn on_probe(&mut self, id: MemberId, outcome: Outcome, report: &Report, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let group = m.group;
        m.probe_out = false;
        if outcome == Outcome::Served {
            // It may have restarted unseen while it was dropped: cold until proven warm.
            let restarted = Some(self.now).filter(|_| m.failures >= DROP_FAILURES);
            (m.started, m.failures) = (m.started.max(restarted), 0);
            self.learn_report(id, report);
        } else {
            m.failures += 1;
        }
        self.pump(group, out);
    }

    fn health(&self, m: &Member) -> Health {
        let silent = m.open.iter().any(|o| {
            m.last_answer < o.sent && self.now > o.sent + 2 * self.services[o.class].tail() as Micros
        });
        match m.failures.max(m.stalls) {
            n if n >= DROP_FAILURES => Health::Dropped,
            0 if !silent => Health::Good,
            _ => Health::PossiblyDead,
        }
    }

    /// The last known primary of a group, unless nothing new may go there.
    fn primary(&self, group: GroupId) -> Option<&Member> {
        let (id, _) = self.groups.get(&group)?.primary?;
        self.members.get(&id).filter(|m| !m.barred)
    }

    fn is_primary(&self, m: &Member) -> bool {
        self.primary(m.group).is_some_and(|p| p.id == m.id)
    }

    fn replicas(&self, group: GroupId) -> impl Iterator<Item = &Member> {
        self.members.values().filter(move |m| m.group == group && !self.is_primary(m))
    }

    // ---- Arrival ----

    fn on_request(&mut self, request: &Request, out: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(request.class) else {
            return out.push(Action::Fail(request.id));
        };
        self.services[request.class].asked += if request.repeat { 0.0 } else { class.worth };
        let told = request.last_write_ago.map(|ago| self.now.saturating_sub(ago));
        let forgotten = self.now.saturating_sub(SESSION_MEMORY);
        let remembered = request.session.and_then(|s| self.sessions.get(&s)).copied();
        let floor = match (class.consistency, self.settings.session_marks) {
            (Consistency::Session, SessionMarks::Client) => told.unwrap_or(0),
            (Consistency::Session, SessionMarks::Router) => remembered.unwrap_or(forgotten),
            _ => 0,
        };
        let (class, group, session, repeat) = (request.class, request.group, request.session, request.repeat);
        let (arrived, ends) = (self.now, self.now + request.budget);
        let held = Held { class, group, session, arrived, ends, repeat, floor, ..Held::default() };
        self.probe_for(&held, out);
        self.held.insert(request.id, held);
        let group = self.groups.entry(request.group).or_default();
        group.line.push(request.id);
        group.asked = self.now;
        self.pump(request.group, out);
    }

    /// Serves a group's line as far as members have room: first what can still be in time, then by worth
    /// for its work, then by age.
    fn pump(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        let mut line = std::mem::take(&mut g.line);
        line.retain(|id| self.held.contains_key(id));
        line.sort_by_cached_key(|id| self.precedence(&self.held[id]));
        line.retain(|id| match self.choose(&self.held[id]) {
            Some(member) => {
                self.send(*id, member, out);
                false
            }
            None => true,
        });
        self.groups.entry(group).or_default().line = line;
    }

    fn pump_all(&mut self, out: &mut Vec<Action>) {
        let groups: Vec<GroupId> = self.groups.keys().copied().collect();
        groups.into_iter().for_each(|g| self.pump(g, out));
    }

    fn precedence(&self, held: &Held) -> (bool, i64, Micros) {
        let class = &self.settings.classes[held.class];
        let service = &self.services[held.class];
        let gain = class.worth * self.need(held.class) / service.base;
        let due = held.arrived + service.patience as Micros;
        let late = self.now + service.mean as Micros > due || self.is_spent(held);
        (late, -(gain * 1e9) as i64, held.arrived)
    }

    /// What the goal adds to a class's worth: the class served worst counts once more, in its own measure.
    fn need(&self, class: usize) -> f64 {
        let share = |s: &Service| s.served / s.asked.max(1.0);
        let (goal, service) = (self.settings.goal, &self.services[class]);
        let worst = self.services.iter().all(|s| share(service) <= share(s));
        let all: f64 = self.services.iter().map(|s| s.asked).sum();
        let extra = goal.worst_class / goal.whole.max(0.01) * all / service.asked.max(1.0);
        1.0 + extra * f64::from(worst)
    }

    /// A client's repeat has mostly used up the aim of its first try: often it earns nothing any more.
    fn is_spent(&self, held: &Held) -> bool {
        held.repeat && self.settings.classes[held.class].late_worth == 0.0
    }

    // ---- Choice of a member ----

    /// Where to send a request now; nowhere: it waits.
    fn choose(&self, held: &Held) -> Option<MemberId> {
        let consistency = self.settings.classes[held.class].consistency;
        let primary = self.primary(held.group).filter(|p| self.may_send(held, p));
        if matches!(consistency, Consistency::Write | Consistency::Fresh) {
            return primary.filter(|p| self.has_room(held, p) || self.is_test(p)).map(|p| p.id);
        }
        let heard = self.groups.get(&held.group).is_some_and(|g| g.heard);
        if !heard && self.now < self.started + FRESH_HOLD {
            return None;
        }
        let untried = self.replicas(held.group).filter(|m| !held.tried.contains(&m.id));
        let eligible: Vec<&Member> = untried.filter(|m| self.may_send(held, m)).collect();
        if let Some(suspect) = eligible.iter().find(|m| self.is_test(m)) {
            return Some(suspect.id);
        }
        let good = |m: &&&Member| self.health(m) == Health::Good;
        let responsive = eligible.iter().any(|m| good(&m)) || primary.is_some_and(|p| good(&&p));
        // No eligible one has room: the primary, as far as writes spare it.
        let spill = || primary.filter(|p| self.has_room(held, p)).map(|p| p.id);
        let suspects = || self.next_turn(held, eligible.iter().filter(|_| !responsive));
        self.next_turn(held, eligible.iter().filter(good)).or_else(spill).or_else(suspects)
    }

    /// Own zone first, then rotation; one at its limit passes its turn. Any reads that take longer than the
    /// tightest bound may hold up for as long what a replica applies: they gather where the lag is longest
    /// already, so that the others stay fresh. May hurt where such reads are most of the traffic.
    fn next_turn<'m>(&self, held: &Held, among: impl Iterator<Item = &'m &'m Member>) -> Option<MemberId> {
        let any = self.settings.classes[held.class].consistency == Consistency::Any;
        let long = any && self.services[held.class].base > self.tightest_bound() as f64;
        let lag = |m: &Member| if long { m.heard.saturating_sub(m.position) } else { 0 };
        let open = among.filter(|m| self.has_room(held, m));
        open.min_by_key(|m| (u64::MAX - lag(m), m.zone != self.settings.zone, m.last_turn)).map(|m| m.id)
    }

    /// Whether a member's limit leaves room: reads take a part of a primary's, spent repeats of any.
    fn has_room(&self, held: &Held, m: &Member) -> bool {
        let write = self.settings.classes[held.class].consistency == Consistency::Write;
        let share = if !write && self.is_primary(m) { READ_SHARE } else { 1.0 };
        let share = if self.is_spent(held) { share * SPENT_SHARE } else { share };
        match self.health(m) {
            Health::Good => (m.open.len() as f64) < (m.limit * share * self.warmth(m)).max(1.0),
            Health::PossiblyDead => m.open.is_empty(),
            Health::Dropped => false,
        }
    }

    /// Whether a request may now test this member, which passes probes but answers no work. Each test that
    /// fails doubles the pause: many routers that test often would feed a dead member much of the load.
    fn is_test(&self, m: &Member) -> bool {
        let pause = RETEST << m.stalls.min(RETEST_DOUBLINGS);
        m.stalls > 0 && m.failures == 0 && m.open.is_empty() && self.now > m.last_sent + pause
    }

    /// Whether a member's known position is enough for this read.
    fn is_fresh(&self, held: &Held, m: &Member) -> bool {
        match self.settings.classes[held.class].consistency {
            Consistency::Bounded(bound) => self.now <= m.position.saturating_add(bound),
            Consistency::Session => m.position >= held.floor,
            Consistency::Any => true,
            Consistency::Write | Consistency::Fresh => false,
        }
    }

    // ---- Guards: every send and every final answer of the module passes these ----

    /// Rules 1 to 5, as far as they bind a send.
    fn may_send(&self, held: &Held, m: &Member) -> bool {
        let in_time = self.now < held.ends && held.tried.len() < self.settings.limits.max_attempts as usize;
        let fresh = self.is_primary(m) || self.is_fresh(held, m);
        let placed = !m.barred && m.group == held.group && self.cold_room(m, held.class);
        placed && fresh && !held.out && in_time && self.may_repeat(held, Some(m))
    }

    /// Rule 2: whether a request may be sent again, to this member if one is given.
    fn may_repeat(&self, held: &Held, to: Option<&Member>) -> bool {
        let Some((sent, first)) = held.risk else { return true };
        let zone = self.members.get(&first).map(|f| f.zone);
        match self.settings.classes[held.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed(_, window) if self.now > sent + window => false,
            // A request goes to members of its own group only, so the group's scope holds by itself.
            Effect::Keyed(scope, _) => scope != DedupScope::Zone || to.is_none_or(|m| Some(m.zone) == zone),
        }
    }

    /// Share of its capacity that a member has at least: it grows evenly from its start.
    fn warmth(&self, m: &Member) -> f64 {
        let rules = &self.settings.rules;
        let Some(age) = m.started.map(|s| self.now.saturating_sub(s)) else { return 1.0 };
        let grown = (age as f64 / rules.warm_within.max(1) as f64).min(1.0);
        rules.cold_share + (1.0 - rules.cold_share) * grown
    }

    /// Rule 4: what a cold member gets within the window stays a part of what this router sends a warm
    /// one in that time; what all routers send a warm one is under its capacity, so the sum keeps the budget.
    fn cold_room(&self, m: &Member, class: usize) -> bool {
        let (warmth, work) = (self.warmth(m), self.services[class].base);
        if warmth >= 1.0 || m.load < work / 2.0 {
            return true;
        }
        let warm = self.members.values().filter(|o| !o.barred && self.warmth(o) >= 1.0);
        let (count, sum) = warm.fold((0.0, 0.0), |(count, sum), o| (count + 1.0, sum + o.load));
        let share = warmth * self.settings.rules.fall_multiple * COLD_MARGIN;
        m.load + work <= sum / f64::max(count, 1.0) * share
    }

    /// Rule 2: a refusal promises that trying again is harmless.
    fn may_refuse(&self, held: &Held) -> bool {
        match self.settings.classes[held.class].effect {
            _ if held.risk.is_none() && !held.out => true,
            Effect::Safe | Effect::Keyed(DedupScope::All, _) => true,
            Effect::Keyed(..) | Effect::Unsafe => false,
        }
    }

    // ---- Sending ----

    fn send(&mut self, id: RequestId, to: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(held), Some(m)) = (self.held.get_mut(&id), self.members.get_mut(&to)) else { return };
        let class = &self.settings.classes[held.class];
        let service = &self.services[held.class];
        // A safe read leaves room for one more try within its aim; what may not be repeated is waited for.
        let tail = service.tail() as Micros;
        let left = (held.arrived + service.patience as Micros).saturating_sub(now);
        let timeout = match left.saturating_sub(tail) {
            spare if class.effect != Effect::Safe || spare <= tail => 0,
            _ if m.stalls > 0 => tail,
            spare => spare,
        };
        (held.sent, held.out) = (now, true);
        held.tried.push(to);
        m.open.push(Open { request: id, sent: now, class: held.class });
        m.load += service.base;
        self.turn += 1;
        (m.last_turn, m.last_sent) = (self.turn, now);
        out.push(Action::Send { request: id, member: to, timeout });
    }

    // ---- Outcome ----

    fn on_outcome(&mut self, ended: &Ended, out: &mut Vec<Action>) {
        let id = ended.request;
        let Some(held) = self.held.get_mut(&id) else { return };
        let write = self.settings.classes[held.class].consistency == Consistency::Write;
        let group = held.group;
        held.out = false;
        if !ended.outcome.never_ran() && held.risk.is_none() {
            held.risk = Some((held.sent, ended.member));
        }
        if ended.finished {
            let service = &mut self.services[held.class];
            let age = (self.now - held.arrived) as f64;
            let in_time = ended.outcome == Outcome::Served && age <= service.aim && !held.repeat;
            service.served += if in_time { self.settings.classes[held.class].worth } else { 0.0 };
            if let (true, Some(session), Some(commit)) = (write, held.session, ended.note.position) {
                let seen = self.sessions.entry(session).or_insert(0);
                *seen = (*seen).max(commit);
            }
            self.held.remove(&id);
        } else if self.held.get(&id).is_none_or(|held| self.is_hopeless(held)) {
            self.give_up(id, out);
        } else {
            self.groups.entry(group).or_default().line.push(id);
        }
        self.pump(group, out);
    }

    // ---- Giving up ----

    /// Clients that hang up before the time they named show how long they really wait, whatever makes them
    /// leave: what takes longer is lost on them. A few that leave at random move little.
    fn on_hang_up(&mut self, id: RequestId) {
        let Some(held) = self.held.remove(&id) else { return };
        let early = self.now + self.tick() < held.ends;
        let (service, age) = (&mut self.services[held.class], (self.now - held.arrived) as f64);
        if early && age < service.patience {
            service.patience += GAIN * (age - service.patience);
        }
    }

    /// Whether another attempt is not allowed, or would hardly end in time to earn anything.
    fn is_hopeless(&self, held: &Held) -> bool {
        let (class, service) = (&self.settings.classes[held.class], &self.services[held.class]);
        let end = held.ends.saturating_sub(2 * self.tick());
        let patient = class.late_worth > 0.0 && service.patience >= service.aim;
        let useful = if patient { held.ends } else { held.arrived + service.patience as Micros };
        let spent = held.tried.len() >= self.settings.limits.max_attempts as usize;
        let end = end.min(useful.saturating_sub(service.mean as Micros));
        spent || !self.may_repeat(held, None) || self.now >= end
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let (class, limits) = (&self.settings.classes[held.class], &self.settings.limits);
        let retry_after = if limits.retry_after { limits.max_retry_after.min(class.aim / 2) } else { 0 };
        let refusal = Action::Refuse { request: id, retry_after };
        out.push(if self.may_refuse(held) { refusal } else { Action::Fail(id) });
        self.held.remove(&id);
    }

    // ---- What is due ----

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        let tick = self.tick();
        out.push(Action::SetTimer(tick));
        if self.resubscribe_at.is_some_and(|at| at <= self.now) {
            self.resubscribe_at = Some(self.now + self.settings.rules.ask_within / 4);
            out.push(Action::Subscribe);
        }
        let waiting = self.held.iter().filter(|(_, h)| !h.out && self.is_hopeless(h));
        let lapsed: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        lapsed.into_iter().for_each(|id| self.give_up(id, out));
        self.probe_due(out);
        self.sessions.retain(|_, commit| *commit + SESSION_MEMORY > self.now);
        let kept = 1.0 - (tick as f64 / self.settings.rules.fall_window.max(tick) as f64);
        self.members.values_mut().for_each(|m| m.load *= kept);
        let fade = tick as f64 / MEMORY;
        for s in &mut self.services {
            s.base += fade * (s.mean - s.base);
            (s.asked, s.served) = (s.asked * (1.0 - fade), s.served * (1.0 - fade));
        }
        self.pump_all(out);
    }

    fn tightest_bound(&self) -> Micros {
        let bound = |c: &Class| if let Consistency::Bounded(b) = c.consistency { b } else { Micros::MAX };
        self.settings.classes.iter().map(bound).min().unwrap_or(Micros::MAX)
    }

    /// A read whose replicas' records have run out has them probed, those of its own zone even while others
    /// are fresh. A record in use is renewed by its answers: probing by the clock would only cost more.
    fn probe_for(&mut self, held: &Held, out: &mut Vec<Action>) {
        let Consistency::Bounded(bound) = self.settings.classes[held.class].consistency else { return };
        let replicas = self.replicas(held.group);
        let (fresh, stale): (Vec<&Member>, Vec<&Member>) = replicas.partition(|m| self.is_fresh(held, m));
        let near = |m: &&Member| m.zone == self.settings.zone;
        let due = stale.iter().filter(|m| fresh.is_empty() || (near(m) && !fresh.iter().any(near)));
        // One that lags far needs time to catch up: it is asked less often.
        let pause = |m: &Member| (bound / 2).max(self.now.saturating_sub(m.position) / 4).min(PROBE_PERIOD);
        let due = due.map(|m| (m.id, pause(m))).collect();
        self.probe_all(due, out);
    }

    /// Members in trouble, and those of a group without a primary, are probed while requests name the group.
    /// A primary in trouble that still speaks as primary has no successor yet; one that is long silent may
    /// never get one, and many routers that look for it would be a load of their own.
    fn probe_due(&mut self, out: &mut Vec<Action>) {
        let pause = |m: &Member| {
            let group = self.groups.get(&m.group).filter(|g| self.now < g.asked + PROBE_PERIOD)?;
            let silent = self.now.saturating_sub(group.primary.map_or(self.now, |(_, seen)| seen));
            match self.primary(m.group).map(|p| self.health(p)) {
                None => Some(SEARCH_PERIOD),
                Some(Health::Good) if self.health(m) == Health::Good => None,
                Some(Health::Good) => Some(PROBE_PERIOD),
                Some(_) if silent < PROBE_PERIOD => Some(PROBE_PERIOD),
                Some(_) => Some((silent / SEARCH_SPREAD).clamp(SEARCH_PERIOD, PROBE_PERIOD)),
            }
        };
        let due = self.members.values().filter_map(|m| Some((m.id, pause(m)?))).collect();
        self.probe_all(due, out);
    }

    /// Probes each member unless it was probed within its pause or a probe is out.
    fn probe_all(&mut self, due: Vec<(MemberId, Micros)>, out: &mut Vec<Action>) {
        for (id, pause) in due.into_iter().filter(|_| self.settings.limits.probes) {
            let Some(m) = self.members.get_mut(&id) else { continue };
            if !m.barred && !m.probe_out && self.now >= m.probe_sent + pause {
                (m.probe_sent, m.probe_out) = (self.now, true);
                out.push(Action::Probe(id));
            }
        }
    }

    /// A number under `below`, from the instance's own seed (xorshift).
    fn draw(&mut self, below: Micros) -> Micros {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below.max(1)
    }
}

impl Service {
    /// Until answers come, a class is taken to need a quarter of its aim.
    fn new(aim: f64) -> Self {
        let mean = aim / 4.0;
        Service { mean, deviation: mean / 2.0, base: mean, aim, patience: aim, ..Service::default() }
    }

    fn add(&mut self, took: f64) {
        self.deviation += GAIN / 2.0 * ((took - self.mean).abs() - self.deviation);
        self.mean += GAIN / 2.0 * (took - self.mean);
        self.base = self.base.min(self.mean);
        self.patience += PATIENCE_GAIN * (self.aim - self.patience);
    }

    /// Nearly all answers come within this.
    fn tail(&self) -> f64 {
        self.mean + 3.0 * self.deviation
    }

    /// Waiting that a member may add on average while the class's aim holds for nearly all.
    fn spare(&self) -> f64 {
        (SPARE_SHARE * (self.patience - 3.0 * self.base).max(self.base)).max(1.0)
    }
}
