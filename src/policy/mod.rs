//! Every decision of the routing service, in the order of a request's life; nothing else decides anything.
//! Settings, events and actions are in `src/interface.rs`, the form of records in `src/records.rs`.

pub mod broadcast;
pub mod probe_share;

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::random::{unit_hash, Random};
use crate::records::{Group, Held, Member, Open};
use broadcast::Broadcast;
use probe_share::{lagging_replica_pause, ProbeShare, PROBE_PERIOD};

/// Pause between rounds of due work, in steps: short against every aim, dear in no site's CPU share.
const TICK_STEPS: u64 = 2;
/// Pause between probes of one member while its group's primary is sought, in microseconds.
const SEARCH_PERIOD: Micros = 100_000;
/// That pause is at least this part of the time for which the primary has been silent.
const SEARCH_SPREAD: u64 = 16;
/// A read without a fresh replica is held at the most this long for probes that are out, in microseconds.
const PROBE_HOLD: Micros = 50_000;
/// Consecutive failures after which a member is dropped (the design's default).
const DROP_FAILURES: u32 = 3;
/// Overdue or unanswered attempts in a row that make a member silent; one may be its connection's fault.
const SILENT: u32 = 2;
/// So many failures tell of a request rather than of members: errors, or misses at members that check.
const BLAMED: u32 = 2;
/// Share of a member's limit on open attempts that reads may take at a primary; the rest is for writes.
const READ_SHARE: f64 = 0.6;
/// Share of an aim, less three times the work, that waiting may take on average.
const SPARE_SHARE: f64 = 0.25;
/// A replica that turned a read away for its lag is not asked on a guess so soon again, in microseconds.
const TURNED: Micros = 250_000;
/// Share of a member's limit that client repeats may take which hardly earn anything.
const SPENT_SHARE: f64 = 0.05;
/// Weight of a new sample in running means: about the last ten answers count.
const GAIN: f64 = 0.1;
/// Answers this far apart each count fully for how strained a member is, in microseconds.
const SPARSE: f64 = 1e6;
/// With this share of attempts refused a connection, members have few: none is then held idle.
const SCARCE: f64 = 0.02;
/// Open attempts: of one router at a member it knows nothing of, of all routers at any, whatever it answers.
const FIRST_LIMIT: f64 = 3.0;
/// Share of these for a member that does not answer: a test now and then, by each router's own traffic.
const SILENT_SHARE: f64 = 0.02;
/// Time in which a limit under one doubles without news, in microseconds.
const RECOVERY: f64 = 2e6;
/// Nearly all answers come within this many times the mean.
const TAIL: f64 = 3.0;
/// Time after which what was learnt of classes is mostly forgotten, in microseconds: longer than a jam.
const MEMORY: f64 = 50e6;
/// A session whose last commit is older than this needs only a position newer than that, in microseconds.
const SESSION_MEMORY: Micros = 60_000_000;
/// Share of the cold budget that is used: the rest is for what cannot be seen from here.
const COLD_MARGIN: f64 = 0.5;

/// Observed service times of a class, in microseconds.
struct Service {
    mean: f64,
    base: f64,      // Mean when nothing waits: the least that the mean has been, slowly forgotten.
    budget: Micros, // The time that clients give most tries, and the lead that it has over others.
    votes: u32,
}

/// One instance of the decision module.
#[derive(Default)]
pub struct Router {
    settings: Settings,
    tick: Micros,
    bound: Micros,
    random: Random,
    probe_share: ProbeShare,
    now: Micros,
    pub(crate) members: BTreeMap<MemberId, Member>,
    pub(crate) groups: BTreeMap<GroupId, Group>,
    pub(crate) held: BTreeMap<RequestId, Held>,
    services: Vec<Service>,
    pub(crate) sessions: BTreeMap<SessionId, Micros>, // Commits that they must see, where it remembers.
    broadcast: Broadcast,                             // What is to be told to other routers.
    refused: f64,                                     // Share of attempts of late that got no connection.
    lost: f64,   // Share of attempts of late that had no answer, while their members answered others.
    useful: f64, // Share of attempts of late that were served.
    zones: BTreeMap<ZoneId, ZoneAdvice>, // What planners say; without a word: own zone first, all others alike.
    homes: BTreeMap<GroupId, u16>, // The tier in which a group's reads are at home, where planners say it.
    busy: BTreeSet<GroupId>,       // Groups that were asked of late or have a line.
    resubscribe_at: Option<Micros>,
}

impl Router {
    /// A router that knows nothing but its settings; the seed is its only randomness.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let bound = |c: &Class| if let Consistency::Bounded(b) = c.consistency { b } else { Micros::MAX };
        let bound = settings.classes.iter().map(bound).min().unwrap_or(Micros::MAX);
        let services = settings.classes.iter().map(|c| Service::new(c.latency_target as f64)).collect();
        let (tick, random) = (settings.step * TICK_STEPS, Random::new(seed));
        let (probe_share, broadcast) = (ProbeShare::new(&settings), Broadcast::new(&settings, bound, now));
        let parts = Router { probe_share, broadcast, now, services, useful: 1.0, ..Router::default() };
        Router { settings, tick, bound, random, ..parts }
    }

    /// Takes one event and adds what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: &Event, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List(kind, entries) => self.on_list(*kind, entries, out),
            Event::Request(request) => self.on_request(request, RouteLimits::default(), out),
            Event::RequestWithLimits(request, narrow) => self.on_request(request, *narrow, out),
            Event::RetryNotBefore(request, until) => self.on_rest(*request, *until),
            Event::AttemptEnded(ended) => self.on_outcome(ended, out),
            Event::ProbeEnded { member, outcome, report } => self.on_probe(*member, *outcome, report, out),
            Event::PeerUpdates(words) => self.on_words(words),
            Event::Advice(advice) => self.on_advice(advice, out),
            Event::ClientDisconnected(request) => drop(self.held.remove(request)),
            Event::SpillLoans(..) => {}
            Event::Timer => self.on_tick(out),
        }
    }

    fn on_list(&mut self, kind: ListKind, entries: &[ListEntry], out: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            // Anywhere within a quarter of the time allowed: a whole fleet may have failed at once.
            self.resubscribe_at =
                Some(self.now + self.random.draw(self.settings.rules.resubscribe_within / 4));
            return;
        }
        self.resubscribe_at = None;
        if kind != ListKind::Delta {
            let binds = !self.settings.rules.only_draining_binds;
            let listed: BTreeSet<MemberId> = entries.iter().map(|e| e.member).collect();
            let missing = self.members.values_mut().filter(|m| !listed.contains(&m.id));
            missing.for_each(|m| (m.gone, m.barred) = (true, m.barred || binds));
        }
        entries.iter().for_each(|entry| self.on_entry(entry));
        if kind == ListKind::Cached {
            let all = self.members.keys().map(|id| (*id, 0)).collect();
            let mine = self.probe_share.share(all, Some(1), 1, &mut self.random);
            self.probe_all(mine, out);
            out.push(Action::SetTimer(self.tick));
            out.extend((self.settings.discovery == DiscoveryMode::OnRequest).then_some(Action::Subscribe));
        }
        self.pump_busy(out);
    }

    fn on_entry(&mut self, entry: &ListEntry) {
        let new = Member { id: entry.member, limit: FIRST_LIMIT, ..Member::default() };
        let m = self.members.entry(entry.member).or_insert(new);
        let claims = entry.primary && !m.listed_primary;
        (m.group, m.zone, m.listed_primary) = (entry.group, entry.zone, entry.primary);
        m.gone = entry.listed == ListedState::Gone;
        m.barred = match entry.listed {
            ListedState::Ready => false,
            ListedState::Draining => true,
            ListedState::Gone => m.barred || !self.settings.rules.only_draining_binds,
        };
        let restarted = entry.started > m.started;
        if restarted {
            (m.started, m.failures, m.unanswered) = (entry.started, 0, 0);
        }
        let group = self.groups.entry(entry.group).or_default();
        group.members.insert(entry.member);
        // The list is late: it names a primary only where nothing better is known, and never one that has
        // since said that it is none, unless the list has changed to it.
        let denied = m.denied > 0 && self.now <= m.denied + PROBE_PERIOD;
        if claims && group.primary.is_none() && !m.barred && !denied {
            group.primary = Some((entry.member, 0));
        }
        let outdated = |(p, seen)| restarted && p == entry.member && seen > 0 && Some(seen) < m.started;
        group.primary = group.primary.filter(|known| !outdated(*known));
    }

    fn on_advice(&mut self, advice: &Advice, out: &mut Vec<Action>) {
        let opens = |w: &ZoneAdvice| self.zones.get(&w.zone).is_none_or(|old| old.suspected && !w.suspected);
        let opened = advice.zones.iter().any(opens);
        self.zones.extend(advice.zones.iter().map(|w| (w.zone, w.clone())));
        self.homes.extend(advice.homes.iter().copied());
        if opened {
            self.pump_busy(out);
        }
    }

    fn tier(&self, zone: ZoneId) -> u16 {
        self.zones.get(&zone).map_or(u16::from(zone != self.settings.zone), |word| word.tier)
    }

    /// Whether a read that is sent there leaves the tier in which its group is at home.
    fn spills(&self, held: &Held, zone: ZoneId) -> bool {
        self.homes.get(&held.group).is_some_and(|home| self.tier(zone) > *home)
    }

    /// Narrows where reads may go: the way back of a zone in steps, and the limit on what spills to others.
    /// Writes and fresh reads have one member only; the rules' other guards see to these.
    fn admits(&self, held: &Held, m: &Member) -> bool {
        let bound = self.settings.classes[held.class].consistency.needs_primary();
        let allowed = bound || held.narrow.zones >> u32::from(m.zone.0).min(63) & 1 == 1;
        let Some(word) = self.zones.get(&m.zone).filter(|_| !bound) else { return allowed };
        let lot = unit_hash(held.lot ^ u64::from(word.zone.0) << 32);
        let work = self.services[held.class].base;
        let fits =
            |s: &SpillLimit| s.credit >= work && s.shares.get(held.class).is_none_or(|share| lot < *share);
        // The lot by which cold and silent members are tried: shares of one request are not multiplied.
        allowed
            && self.lot(held, m) < word.read_share
            && (!self.spills(held, m.zone) || word.spill.as_ref().is_none_or(fits))
    }

    /// Whether planners' words alone keep a read from all members that could serve it: it need not wait then.
    fn is_shut_out(&self, held: &Held) -> bool {
        let fit = |m: &&Member| self.is_good(m) && self.may_go(held, m) && !held.tried.contains(&m.id);
        let (open, shut): (Vec<&Member>, Vec<&Member>) =
            self.group_members(held.group).filter(fit).partition(|m| self.admits(held, m));
        held.out.is_none() && open.is_empty() && !shut.is_empty()
    }

    /// Takes what a member said of itself; `at` is the time that the evidence speaks of.
    fn learn(&mut self, id: MemberId, position: Option<Micros>, role: Option<Role>, at: Micros) {
        // What names a position ahead of the clock can't be true.
        let sane = position.is_none_or(|p| p <= self.now);
        let Some(m) = self.members.get_mut(&id).filter(|_| sane) else { return };
        let group = self.groups.entry(m.group).or_default();
        let known = role == Some(Role::Primary) && group.primary.is_some_and(|(p, seen)| p == id && seen > 0);
        if let Some(p) = position.filter(|&p| p >= m.position) {
            (m.position, m.heard) = (p, self.now);
            // Routers that may talk tell each other what none has told of late: it spares probes.
            if self.broadcast.is_news(p, known, m.shared, self.now) {
                m.shared = self.now;
                self.broadcast.add(MemberUpdate { member: id, position: p, role });
            }
        }
        let (believed, seen) = group.primary.map_or((false, 0), |(p, seen)| (p == id, seen));
        if role == Some(Role::Primary) && at > m.denied && (believed || at > seen) {
            group.primary = Some((id, at.max(seen)));
        } else if role == Some(Role::Replica) && (!believed || at >= seen) {
            m.denied = m.denied.max(at);
            group.primary = group.primary.filter(|_| !believed);
        }
    }

    /// A report speaks of the time of its position, which for a primary was the present.
    fn learn_report(&mut self, id: MemberId, report: &Report) {
        report.position.into_iter().for_each(|at| self.learn(id, Some(at), report.role, at));
    }

    /// A peer's word counts as a report: it speaks of the time of its position.
    fn on_words(&mut self, words: &[MemberUpdate]) {
        self.broadcast.on_heard(self.now);
        for word in words {
            self.members.get_mut(&word.member).into_iter().for_each(|m| m.shared = self.now);
            self.learn(word.member, Some(word.position), word.role, word.position);
        }
    }

    /// Reads health and load from the end of an attempt.
    fn on_answer(&mut self, ended: &AttemptResult, out: &mut Vec<Action>) {
        let (id, outcome) = (ended.member, ended.outcome);
        self.learn_report(id, &ended.report);
        let now = self.now;
        let Some(m) = self.members.get_mut(&id) else { return };
        let Some(at) = m.open.iter().position(|o| o.request == ended.request) else { return };
        let attempt = m.open.swap_remove(at);
        // What a served write's note tells is its commit, no position to count on.
        let position =
            ended.note.position.filter(|_| outcome != Outcome::Served || !self.is_write(attempt.class));
        self.learn(id, position, ended.note.role, now);
        let Some(m) = self.members.get_mut(&id) else { return };
        let (was_silent, tail) = (m.is_silent(), self.services[attempt.class].tail());
        // One that others outran was lost by its connection, and says nothing of its member.
        let lost = outcome == Outcome::TimedOut && m.last_answer >= attempt.sent;
        let bound = self.settings.classes[attempt.class].consistency.needs_primary();
        let lags = outcome == Outcome::Misdirected && !bound;
        m.turned = if lags { now } else { m.turned };
        match outcome {
            Outcome::Served | Outcome::Misdirected | Outcome::Error => {
                (m.failures, m.unanswered, m.last_answer) = (0, 0, now);
            }
            // Silence counts only after the time that nearly all answers take.
            Outcome::TimedOut if !lost => m.unanswered += u32::from(ended.took as f64 >= tail),
            Outcome::Unreachable if self.refused > SCARCE && !m.dark => m.failures = m.failures.max(1),
            Outcome::Unreachable | Outcome::Reset => m.failures += 1,
            _ => {}
        }
        // A member that nobody heard of late is rather dead than out of connections.
        let alive = !m.dark && now < m.heard.max(m.last_answer).saturating_add(PROBE_PERIOD);
        // A full table turns away at once. What takes as long as it may is slow to set up: idle ones help.
        let slow = (1..=2 * ended.took).contains(&self.settings.limits.connect_timeout);
        let refused = outcome == Outcome::Unreachable && alive && !slow;
        self.refused += GAIN * (f64::from(refused) - self.refused);
        self.useful += GAIN * (f64::from(outcome == Outcome::Served) - self.useful);
        self.lost += GAIN / 20.0 * (f64::from(lost) - self.lost);
        // Members that accept few connections are not to have them taken up by idle ones of a whole fleet.
        out.extend((m.open.is_empty() && self.refused > SCARCE).then_some(Action::CloseIdle(id)));
        let service = &mut self.services[attempt.class];
        let latency_target = self.settings.classes[attempt.class].latency_target as f64;
        let least = (FIRST_LIMIT / f64::from(self.settings.routers.max(1))).min(1.0);
        let late = ended.took as f64 - service.base;
        let strain = match outcome {
            Outcome::Served | Outcome::TimedOut if !lost || self.lost < SCARCE => {
                late / service.spare(latency_target)
            }
            Outcome::Rejected => 3.0,
            _ => return,
        };
        (outcome == Outcome::Served).then(|| service.add(ended.took as f64));
        let weight = GAIN.max(1.0 - (-(now.saturating_sub(m.told_at) as f64) / SPARSE).exp());
        let used = (m.open.len() + 1) as f64;
        m.limit = m.present_limit(now).max(if was_silent && !m.is_silent() { least } else { 0.0 });
        if strain > 1.0 {
            m.limit = (m.limit.min(used) * (1.0 - weight * (1.0 - 1.0 / strain))).max(least);
        } else if used + 1.0 >= m.limit {
            m.limit += if m.limit < 1.0 { weight * m.limit } else { 1.0 / m.limit };
        }
        m.limit = if m.is_silent() { m.limit.min(least * SILENT_SHARE) } else { m.limit };
        m.told_at = now;
    }

    fn on_probe(&mut self, id: MemberId, outcome: Outcome, report: &Report, out: &mut Vec<Action>) {
        let Some(m) = self.members.get_mut(&id) else { return };
        let group = m.group;
        m.probe_out = false;
        if outcome == Outcome::Served {
            // It may have restarted unseen while it was dropped: cold until proven warm.
            let restarted = Some(self.now).filter(|_| m.dark && m.failures >= DROP_FAILURES);
            (m.started, m.failures, m.dark) = (m.started.max(restarted), 0, false);
            self.learn_report(id, report);
        } else {
            (m.failures, m.dark) = (m.failures + 1, true);
        }
        self.pump(group, out);
    }

    /// Whether nothing speaks against a member; else it is possibly dead, and dropped after some failures.
    fn is_good(&self, m: &Member) -> bool {
        let suspected = self.zones.get(&m.zone).is_some_and(|word| word.suspected);
        let overdue = |o: &Open| self.now > o.sent + 2 * self.services[o.class].tail() as Micros;
        let doubts = m.open.iter().filter(|o| m.last_answer < o.sent && overdue(o)).count() as u32;
        !suspected && m.failures == 0 && m.unanswered + doubts < SILENT
    }

    /// The last known primary of a group, unless nothing new may go there.
    fn primary(&self, group: GroupId) -> Option<&Member> {
        let (id, _) = self.groups.get(&group)?.primary?;
        self.members.get(&id).filter(|m| !m.barred)
    }

    fn is_primary(&self, m: &Member) -> bool {
        self.primary(m.group).is_some_and(|p| p.id == m.id)
    }

    fn group_members(&self, group: GroupId) -> impl Iterator<Item = &Member> {
        let ids = self.groups.get(&group).into_iter().flat_map(|g| &g.members);
        ids.filter_map(|id| self.members.get(id)).filter(move |m| m.group == group)
    }

    fn on_request(&mut self, request: &Request, narrow: RouteLimits, out: &mut Vec<Action>) {
        if request.class >= self.settings.classes.len() {
            return out.push(Action::Fail(request.id));
        }
        let remembered = request.session.and_then(|s| self.sessions.get(&s)).copied();
        let floor = match self.settings.session_tracking {
            SessionTracking::Client => request.last_write_ago.map_or(0, |ago| self.now.saturating_sub(ago)),
            SessionTracking::Router => remembered.unwrap_or(self.now.saturating_sub(SESSION_MEMORY)),
        };
        let Request { class, group, session, budget, repeat, .. } = *request;
        let (ends, half, lot) = (self.now + budget, self.now + budget / 2, self.random.draw(u64::MAX));
        let usual = self.services[class].vote(budget, self.tick);
        // First tries all get the same time, a last one what is left of the deadline: one of another length
        // tells how long ago the client first asked. Shorter may also mean that a first try came late.
        let deadline = self.settings.classes[class].deadline;
        let age = match budget {
            budget if budget.abs_diff(usual) <= self.tick => 0,
            budget if repeat || budget > usual => deadline.saturating_sub(budget),
            budget => usual - budget,
        };
        let spent = repeat && age == 0 && self.settings.classes[class].late_value_share == 0.0;
        let arrived = self.now.saturating_sub(age);
        let times = Held { arrived, ends, half, ..Held::default() };
        let held = Held { class, group, session, spent, lot, floor, narrow, ..times };
        self.held.insert(request.id, held);
        self.probe_for(request.id, out);
        self.groups.entry(request.group).or_default().asked = self.now;
        self.line_up(request.group, request.id, out);
    }

    /// Its route has another attempt wait, or allows none.
    fn on_rest(&mut self, id: RequestId, until: Option<Micros>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        match until {
            Some(until) => held.rests = until,
            None => held.narrow.attempts = held.tried.len() as u32,
        }
    }

    fn line_up(&mut self, group: GroupId, id: RequestId, out: &mut Vec<Action>) {
        self.groups.entry(group).or_default().line.push(id);
        self.busy.insert(group);
        self.pump(group, out);
    }

    /// Serves a group's line by the worth that a request can still earn for its work, then by age.
    fn pump(&mut self, group: GroupId, out: &mut Vec<Action>) {
        let Some(g) = self.groups.get_mut(&group) else { return };
        let mut line = std::mem::take(&mut g.line);
        line.retain(|id| self.held.contains_key(id));
        line.sort_by_cached_key(|id| self.precedence(&self.held[id]));
        line.retain(|id| {
            let held = &self.held[id];
            let lapsed = held.arrived < self.now && self.is_hopeless(held);
            let chosen = if lapsed || self.now < held.rests { None } else { self.choose(held) };
            let over = chosen.is_none() && (lapsed || held.spent || self.is_shut_out(held));
            chosen.into_iter().for_each(|member| self.send(*id, member, out));
            over.then(|| self.give_up(*id, out));
            chosen.is_none() && !over
        });
        self.groups.entry(group).or_default().line = line;
    }

    /// Looks after the groups that have requests or had one of late; the rest of the fleet costs nothing.
    fn pump_busy(&mut self, out: &mut Vec<Action>) {
        let busy = |g: &Group| !g.line.is_empty() || self.now < g.asked + PROBE_PERIOD;
        self.busy.retain(|id| self.groups.get(id).is_some_and(busy));
        for id in self.busy.iter().copied().collect::<Vec<_>>() {
            self.probe_due(id, out);
            self.probe_for_line(id, out);
            self.pump(id, out);
        }
    }

    fn precedence(&self, held: &Held) -> (i64, Micros) {
        let (class, service) = (&self.settings.classes[held.class], &self.services[held.class]);
        (-(class.value * self.value(held) / service.base * 1e9) as i64, held.arrived)
    }

    /// Share of its worth that a request can still earn, at least a little.
    fn value(&self, held: &Held) -> f64 {
        let class = &self.settings.classes[held.class];
        let late = self.now + self.services[held.class].mean as Micros > held.arrived + class.latency_target;
        [1.0, class.late_value_share.max(SPENT_SHARE)][usize::from(late || held.spent)]
    }

    /// Where to send a request now; nowhere: it waits.
    fn choose(&self, held: &Held) -> Option<MemberId> {
        let consistency = self.settings.classes[held.class].consistency;
        let primary = self.primary(held.group).filter(|p| self.may_send(held, p));
        if consistency.needs_primary() {
            let due = |p: &Member| self.now >= p.last_sent + SEARCH_PERIOD * u64::from(self.settings.routers);
            let fit = |p: &&Member| self.has_room(held, p) || p.is_silent() && due(p);
            return primary.filter(fit).map(|p| p.id);
        }
        let fit = |m: &&Member| !self.is_primary(m) && !held.tried.contains(&m.id) && self.may_send(held, m);
        let eligible: Vec<&Member> = self.group_members(held.group).filter(fit).collect();
        if let Some(suspect) = eligible.iter().find(|m| m.is_silent() && self.has_room(held, m)) {
            return Some(suspect.id);
        }
        let responsive = eligible.iter().copied().chain(primary).any(|m| self.is_good(m));
        if eligible.is_empty() && self.group_members(held.group).any(|m| self.is_awaited(m)) {
            return None;
        }
        // No eligible one has room: the primary, as far as writes spare it.
        let spill = || primary.filter(|p| self.has_room(held, p)).map(|p| p.id);
        let suspects = || self.next_turn(held, eligible.iter().filter(|_| !responsive));
        self.next_turn(held, eligible.iter().filter(|m| self.is_good(m))).or_else(spill).or_else(suspects)
    }

    /// Own zone first, then rotation, then the lot: a fleet begins with one list. One at its limit passes
    /// its turn. Any reads longer than the bound may hold up replicas: they go where it lags most already.
    fn next_turn<'m>(&self, held: &Held, among: impl Iterator<Item = &'m &'m Member>) -> Option<MemberId> {
        let any = self.settings.classes[held.class].consistency == Consistency::Any;
        let long = any && self.services[held.class].base > self.bound as f64;
        let lag = |m: &Member| if long { m.heard.saturating_sub(m.position) } else { 0 };
        let alike = |m: &Member| (self.lot(held, m) * 1e9) as u64;
        let guess = |m: &Member| self.checks() && self.lagged(m);
        let order = |m: &Member| (u64::MAX - lag(m), guess(m), self.tier(m.zone));
        let turn = |m: &Member| (order(m), m.last_sent, m.open.len(), alike(m));
        among.filter(|m| self.has_room(held, m)).min_by_key(|m| turn(m)).map(|m| m.id)
    }

    /// Whether a member's limit leaves room: less for reads at a primary, and for what can earn less there.
    fn has_room(&self, held: &Held, m: &Member) -> bool {
        let share = if !self.is_write(held.class) && self.is_primary(m) { READ_SHARE } else { 1.0 };
        let limit = m.present_limit(self.now) * share * self.value(held);
        let limit = (limit * self.warmth(m)).max(limit.min(1.0));
        if limit >= 1.0 && self.is_good(m) {
            return (m.open.len() as f64) < limit;
        }
        let density = |i: usize| self.settings.classes[i].value / self.services[i].base;
        let here = |i: &usize| self.is_primary(m) || !self.is_write(*i);
        let best = (0..self.services.len()).filter(here).map(density).fold(0.0, f64::max);
        let limit = limit.min(1.0).powf((best / density(held.class)).sqrt());
        m.failures < DROP_FAILURES && m.open.is_empty() && self.lot(held, m) < limit
    }

    /// Whether a member's known position is enough for this read.
    fn is_fresh(&self, held: &Held, m: &Member) -> bool {
        // Members that check are asked on an outdated record too, unless they turned one away of late: late
        // reports make all seem to lag, and few routers hear of a member as often as a session's token needs.
        // A cold one that lags would be worn out by what it turns away.
        let willing = self.now >= m.turned + TURNED && (!self.lagged(m) || self.warmth(m) >= 1.0);
        let checks = self.checks() && m.heard > 0 && willing && held.tried.len() <= BLAMED as usize;
        match self.settings.classes[held.class].consistency {
            Consistency::Bounded(bound) => {
                let oldest = bound.min(held.narrow.staleness);
                checks && oldest == bound || self.now <= m.position.saturating_add(oldest)
            }
            Consistency::Session => checks || m.position >= held.floor,
            Consistency::Any => true,
            Consistency::Write | Consistency::Fresh => false,
        }
    }

    /// Whether members turn away what they lag too far behind for.
    fn checks(&self) -> bool {
        self.settings.lag_check == LagCheck::Member
    }

    /// Whether its last word put it further behind than the tightest bound.
    fn lagged(&self, m: &Member) -> bool {
        m.heard > m.position.saturating_add(self.bound)
    }

    /// The guard that every send passes: rules 1 to 5, as far as they bind one.
    fn may_send(&self, held: &Held, m: &Member) -> bool {
        let room = self.warmth(m) >= 1.0 || self.cold_room(held, m);
        held.out.is_none() && room && self.admits(held, m) && self.may_go(held, m)
    }

    /// The same for a send that is under way, as far as time and news may have changed it.
    fn may_go(&self, held: &Held, m: &Member) -> bool {
        let fresh = self.is_primary(m) || self.is_fresh(held, m);
        !m.barred && m.group == held.group && fresh && self.now < held.ends && self.may_repeat(held, Some(m))
    }

    /// Asked where a send had to wait (for a connection, for room to write): whether it may still go out. By
    /// then its member may drain or be no primary, or its replica's known position be too old.
    pub fn confirm(&mut self, now: Micros, request: RequestId, to: MemberId) -> bool {
        self.now = now;
        self.held.get(&request).zip(self.members.get(&to)).is_some_and(|(held, m)| self.may_go(held, m))
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
        let grown = (age as f64 / rules.warm_up_time.max(1) as f64).min(1.0);
        rules.cold_share + (1.0 - rules.cold_share) * grown
    }

    /// Rule 4: in the window a cold member gets a part of what this router sends a warm one, known where
    /// it sends enough; else by lot that part of one member's worth of its requests, one at a time: any fleet
    /// keeps the budget, and no burst spends it. Where one write of each router is little, each sends one.
    fn cold_room(&self, held: &Held, m: &Member) -> bool {
        let share = self.warmth(m) * self.settings.rules.overload_multiple * COLD_MARGIN * self.useful;
        let others = || self.group_members(m.group).filter(|o| !o.barred);
        // What failed elsewhere is no reason for more here: reads come on their first attempt only.
        let first = held.tried.is_empty() || self.is_primary(m);
        let work = self.services[held.class].base;
        let load = |m| load_left(m, self.now, self.settings.rules.overload_window);
        let warm = others().filter(|o| self.warmth(o) >= 1.0);
        let (count, sum) = warm.fold((0.0, 0.0), |(count, sum), o| (count + 1.0, sum + load(o)));
        let part = sum / f64::max(count, 1.0) * share;
        let all =
            f64::from(self.settings.routers) * work <= share * self.settings.rules.overload_window as f64;
        // One that is not asked stays next in turn: the lot alone says how many of a fleet's requests come.
        let worth = if self.is_write(held.class) { 1.0 } else { 1.0 / others().count().max(1) as f64 };
        let by_lot = load(m) < work / 2.0 && self.lot(held, m) < share * worth;
        let in_window = if part < work { by_lot } else { load(m) + work <= part };
        self.is_write(held.class) && all && m.open.is_empty() || in_window && first
    }

    /// What a request of a class takes when nothing waits, as far as its answers tell, in microseconds.
    pub fn work(&self, class: usize) -> f64 {
        self.services.get(class).map_or(0.0, |service| service.base)
    }

    fn is_write(&self, class: usize) -> bool {
        self.settings.classes[class].consistency == Consistency::Write
    }

    /// A number from 0 to 1 for this request at this member, the same whenever it is asked for.
    fn lot(&self, held: &Held, m: &Member) -> f64 {
        unit_hash(held.lot ^ u64::from(m.id.0))
    }

    /// Rule 2: a refusal promises that trying again is harmless.
    fn may_refuse(&self, held: &Held) -> bool {
        let effect = self.settings.classes[held.class].effect;
        let harmless = matches!(effect, Effect::Safe | Effect::Keyed(DedupScope::All, _));
        harmless || held.risk.is_none() && held.out.is_none()
    }

    fn send(&mut self, id: RequestId, to: MemberId, out: &mut Vec<Action>) {
        let now = self.now;
        let spills = |zone| self.held.get(&id).is_some_and(|held| self.spills(held, zone));
        let spilled = self.members.get(&to).map(|m| m.zone).filter(|zone| spills(*zone));
        let (Some(held), Some(m)) = (self.held.get_mut(&id), self.members.get_mut(&to)) else { return };
        let service = &self.services[held.class];
        let spill = spilled.and_then(|zone| self.zones.get_mut(&zone)?.spill.as_mut());
        spill.into_iter().for_each(|spill| spill.credit -= service.base);
        let class = &self.settings.classes[held.class];
        let patience = (service.tail() as Micros).max(class.latency_target / 2) << held.tried.len();
        let useful = class.late_value_share > 0.0 && class.effect != Effect::Unsafe;
        let wait = if useful && self.lost > SCARCE { patience } else { 0 };
        let wait = [wait, held.narrow.attempt].into_iter().filter(|w| *w > 0).min().unwrap_or(0);
        held.out = Some(now);
        held.tried.push(to);
        m.open.push(Open { request: id, sent: now, class: held.class });
        m.load = load_left(m, now, self.settings.rules.overload_window) + service.base;
        m.last_sent = now;
        out.push(Action::Send { request: id, member: to, wait });
    }

    fn on_outcome(&mut self, ended: &AttemptResult, out: &mut Vec<Action>) {
        self.on_answer(ended, out);
        let id = ended.request;
        let Some(held) = self.held.get_mut(&id) else { return };
        let (class, group) = (held.class, held.group);
        let ran = held.out.take().filter(|_| !ended.outcome.never_ran());
        let once = held.tried.iter().filter(|m| **m == ended.member).count() == 1;
        held.errors += u32::from(once && ended.outcome == Outcome::Error);
        held.risk = held.risk.or(ran.map(|sent| (sent, ended.member)));
        if ended.finished {
            let marks = (held.session, ended.note.position);
            if let (true, (Some(session), Some(commit))) = (self.is_write(class), marks) {
                self.sessions.entry(session).and_modify(|seen| *seen = commit.max(*seen)).or_insert(commit);
            }
            self.held.remove(&id);
        } else if self.held.get(&id).is_none_or(|held| self.is_hopeless(held)) {
            self.give_up(id, out);
        } else {
            return self.line_up(group, id, out);
        }
        self.pump(group, out);
    }

    /// Whether another attempt is not allowed, or would hardly end in time to earn anything.
    fn is_hopeless(&self, held: &Held) -> bool {
        let (class, service) = (&self.settings.classes[held.class], &self.services[held.class]);
        let lost = self.primary(held.group).is_none_or(|p| !self.is_good(p));
        let end = if lost && held.tried.is_empty() { held.half } else { held.ends };
        let useful =
            if class.late_value_share > 0.0 { held.ends } else { held.arrived + class.latency_target };
        let end = end.saturating_sub(2 * self.tick).min(useful.saturating_sub(service.mean as Micros));
        let spent = held.tried.len() >= self.settings.limits.max_attempts.min(held.narrow.attempts) as usize;
        spent || held.errors >= BLAMED || !self.may_repeat(held, None) || self.now >= end
    }

    fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let (class, limits) = (&self.settings.classes[held.class], &self.settings.limits);
        let retry_after =
            if limits.retry_after { limits.max_retry_after.min(class.latency_target / 2) } else { 0 };
        out.push(if self.may_refuse(held) {
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail(id)
        });
        self.held.remove(&id);
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer(self.tick));
        out.extend(self.broadcast.due(self.now).map(Action::SendPeerUpdates));
        if self.resubscribe_at.is_some_and(|at| at <= self.now) {
            self.resubscribe_at = Some(self.now + self.settings.rules.resubscribe_within / 4);
            out.push(Action::Subscribe);
        }
        if self.now % PROBE_PERIOD < self.tick {
            self.sessions.retain(|_, commit| *commit + SESSION_MEMORY > self.now);
            self.forget(out);
        }
        self.services.iter_mut().for_each(|s| s.base += self.tick as f64 / MEMORY * (s.mean - s.base));
        self.pump_busy(out);
    }

    /// A member off the list is forgotten once nothing is under way there and, where it may still be used, it
    /// has not answered for long; so is a group that only requests have named.
    fn forget(&mut self, out: &mut Vec<Action>) {
        let idle = |m: &Member| m.barred || self.now > m.last_answer + SESSION_MEMORY;
        let over = |m: &&Member| m.gone && m.open.is_empty() && !m.probe_out && idle(m);
        for id in self.members.values().filter(over).map(|m| m.id).collect::<Vec<_>>() {
            self.members.remove(&id);
            out.push(Action::Forget(id));
        }
        self.groups.values_mut().for_each(|g| g.members.retain(|id| self.members.contains_key(id)));
        self.groups.retain(|_, g| !g.members.is_empty() || !g.line.is_empty());
        self.homes.retain(|id, _| self.groups.contains_key(id));
    }

    /// A read whose replicas' records have run out has them probed, those of its own zone even while others
    /// are fresh. A record in use is renewed by its answers: probing by the clock would only cost more.
    fn probe_for(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let Consistency::Bounded(bound) = self.settings.classes[held.class].consistency else { return };
        let replicas = self.group_members(held.group).filter(|m| !m.barred && !self.is_primary(m));
        let (fresh, stale): (Vec<&Member>, Vec<&Member>) = replicas.partition(|m| self.is_fresh(held, m));
        // The nearest that went stale are asked while others are fresh too: nobody else brings them back.
        let nearest = fresh.iter().chain(&stale).map(|m| self.tier(m.zone)).min();
        let near = |m: &&&Member| Some(self.tier(m.zone)) == nearest;
        let least = if fresh.iter().any(|m| near(&m)) { PROBE_PERIOD } else { bound / 2 };
        let lag = |m: &Member| self.now.saturating_sub(m.position);
        let pause = |m: &Member| least.max(lagging_replica_pause(lag(m))).min(PROBE_PERIOD);
        let due = stale.iter().filter(|m| m.heard == 0 || fresh.is_empty() || near(m));
        // Each of a fleet takes its part of those that may be asked: new ones, then the nearest; or by lot.
        let ripe = |m: &&&Member| !m.probe_out && self.now >= m.heard.max(m.probe_sent) + pause(m);
        let mut due: Vec<&&Member> = due.filter(ripe).collect();
        due.sort_by_key(|m| (m.heard > 0, self.lagged(m), self.tier(m.zone), m.probe_sent));
        let needs = fresh.is_empty() || due.first().is_some_and(|m| m.heard == 0);
        let part = self.probe_share.part(due.len());
        let asked = part < due.len() && self.group_members(held.group).any(|m| self.is_awaited(m));
        let gap =
            self.groups.get(&held.group).filter(|g| g.asked > 0).map(|g| self.now.saturating_sub(g.asked));
        let due: Vec<(MemberId, Micros)> = due.into_iter().map(|m| (m.id, pause(m))).collect();
        let due = match needs {
            true if asked => return,
            true => due.into_iter().take(part).collect(),
            false => self.probe_share.share(due, gap, bound.max(PROBE_PERIOD) / 2, &mut self.random),
        };
        self.probe_all(due, out);
    }

    /// A read in line has replicas probed again: what was asked when it came may have told nothing.
    fn probe_for_line(&mut self, id: GroupId, out: &mut Vec<Action>) {
        let class = |h: &Held| self.settings.classes[h.class].consistency;
        let bounded = |h: &Held| matches!(class(h), Consistency::Bounded(_));
        let read = |id: &&RequestId| self.held.get(id).is_some_and(bounded);
        let first = self.groups.get(&id).and_then(|g| g.line.iter().find(read)).copied();
        first.into_iter().for_each(|id| self.probe_for(id, out));
    }

    /// Whether it is about to say how fresh it is, and was not known to lag: reads wait for the first.
    fn is_awaited(&self, m: &Member) -> bool {
        m.probe_out && self.now < m.probe_sent + PROBE_HOLD && !self.lagged(m)
    }

    /// Members in trouble are probed while requests name the group, rarely where that tells no more; all of a
    /// group without a primary or with one long silent, often while a request waits, the rarer the longer.
    fn probe_due(&mut self, id: GroupId, out: &mut Vec<Action>) {
        let Some(group) = self.groups.get(&id) else { return };
        let silent = group.primary.map_or(0, |(_, seen)| self.now.saturating_sub(seen));
        let lost = self.primary(id).is_none_or(|p| silent > PROBE_PERIOD && !self.is_good(p));
        let search = (lost && !group.line.is_empty()).then_some(silent / SEARCH_SPREAD);
        let doublings = |m: &Member| m.failures.max(u32::from(m.is_silent() && !m.dark) * DROP_FAILURES);
        let rare = |m| PROBE_PERIOD << doublings(m).min(DROP_FAILURES);
        let pause =
            |m| search.map_or(rare(m), |p| self.probe_share.pause(p.max(SEARCH_PERIOD), PROBE_PERIOD));
        let due = self.group_members(id).filter(|m| lost || !self.is_good(m));
        self.probe_all(due.map(|m| (m.id, pause(m))).collect(), out);
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
}

/// What is left of the work sent to a member, forgotten over this time.
fn load_left(m: &Member, now: Micros, over: Micros) -> f64 {
    m.load * (-(now.saturating_sub(m.last_sent) as f64) / over.max(1) as f64).exp()
}

impl Member {
    fn is_silent(&self) -> bool {
        self.unanswered >= SILENT
    }

    /// A limit under one is the share of requests that may come here; without news it doubles now and then.
    fn present_limit(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.told_at) as f64;
        (self.limit * (age / RECOVERY).exp2()).min(self.limit.max(1.0))
    }
}

impl Service {
    /// Until answers come, a class is taken to need a quarter of its aim.
    fn new(latency_target: f64) -> Self {
        Service { mean: latency_target / 4.0, base: latency_target / 4.0, budget: 0, votes: 0 }
    }

    fn vote(&mut self, budget: Micros, slack: Micros) -> Micros {
        match budget.abs_diff(self.budget) <= slack {
            true => self.votes += 1,
            false if self.votes == 0 => self.budget = budget,
            false => self.votes -= 1,
        }
        self.budget
    }

    fn add(&mut self, took: f64) {
        self.mean += GAIN / 2.0 * (took - self.mean);
        self.base = self.base.min(self.mean);
    }

    fn tail(&self) -> f64 {
        TAIL * self.mean
    }

    /// Waiting that a member may add on average while the class's aim holds for nearly all.
    fn spare(&self, latency_target: f64) -> f64 {
        (SPARE_SHARE * (latency_target - 3.0 * self.base).max(self.base)).max(1.0)
    }
}
