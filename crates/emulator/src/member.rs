//! A member: cores and a queue, cold starts, falling over, connections, reports.

use std::collections::VecDeque;

use beaconshore::interface::{Micros, RequestId, RuleParameters};

use crate::log::Applied;
use crate::plan::MemberPlan;

/// How a member stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// In service.
    Up,
    /// Its process is gone: connections are refused.
    Refusing,
    /// Its machine is gone: nothing comes back.
    Silent,
    /// It takes requests and answers none.
    Hung,
}

/// A request at a member.
#[derive(Clone, Debug)]
pub struct Job {
    /// Which request.
    pub request: RequestId,
    /// The attempt.
    pub token: u64,
    /// Whose.
    pub router: usize,
    /// Start of that router's process.
    pub epoch: u32,
    /// Class.
    pub class: usize,
    /// Work, in microseconds of a core.
    pub work: f64,
    /// When the router sent it.
    pub sent: Micros,
}

/// What becomes of a request that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Received {
    /// It runs in this slot and ends then.
    Runs(usize, Micros),
    /// It waits.
    Waits,
    /// Turned away.
    Full,
}

/// A member.
pub struct Member {
    /// Its group.
    pub group: usize,
    /// Its zone.
    pub zone: usize,
    /// How it stands.
    pub health: Health,
    /// It has fallen over, and stays down.
    pub fallen: bool,
    /// Draining.
    pub draining: bool,
    /// Counts its starts: what belongs to an earlier one is gone.
    pub epoch: u32,
    /// Its last start, if that was after dawn.
    pub started: Option<Micros>,
    /// How far it has the log.
    pub applied: Applied,
    /// Whether it was primary in this process or before.
    pub was_primary: bool,
    /// Times slower than usual.
    pub slow: f64,
    /// Connections that are open.
    pub connections: usize,
    cores: usize,
    queue: usize,
    speed: f64,
    running: Vec<Option<Job>>,
    waiting: VecDeque<Job>,
    /// Work that came within the window of the cold rule.
    came: VecDeque<(Micros, f64)>,
    came_sum: f64,
    busy: f64,
    busy_since: Micros,
    report: (Micros, f64, Micros),
}

impl Member {
    /// A warm member.
    pub fn new(
        group: usize,
        zone: usize,
        speed: f64,
        plan: &MemberPlan,
        applied: Applied,
        now: Micros,
    ) -> Self {
        Member {
            group,
            zone,
            health: Health::Up,
            fallen: false,
            draining: false,
            epoch: 0,
            started: None,
            applied,
            was_primary: false,
            slow: 1.0,
            connections: 0,
            cores: plan.cores,
            queue: plan.queue,
            speed,
            running: vec![None; plan.cores],
            waiting: VecDeque::new(),
            came: VecDeque::new(),
            came_sum: 0.0,
            busy: 0.0,
            busy_since: now,
            report: (0, 0.0, 0),
        }
    }

    /// Share of its capacity that it has now.
    pub fn warmth(&self, rules: &RuleParameters, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
        rules.cold_share + (1.0 - rules.cold_share) * age.min(1.0)
    }

    /// Work that it can do in a microsecond now, with all cores.
    pub fn capacity(&self, rules: &RuleParameters, now: Micros) -> f64 {
        self.cores as f64 * self.speed * self.warmth(rules, now) / self.slow
    }

    /// Cores in use.
    pub fn busy_cores(&self) -> usize {
        self.running.iter().flatten().count()
    }

    /// How much busy cores slow the thread that applies the log.
    pub fn strain(&self) -> f64 {
        1.0 + self.busy_cores() as f64 / self.cores as f64
    }

    /// Work that is waiting or running.
    pub fn work_ahead(&self) -> f64 {
        let waiting: f64 = self.waiting.iter().map(|j| j.work).sum();
        let running: f64 = self.running.iter().flatten().map(|j| j.work / 2.0).sum();
        waiting + running
    }

    /// A request comes in.
    pub fn receive(&mut self, job: Job, rules: &RuleParameters, now: Micros) -> Received {
        self.came.push_back((now, job.work));
        self.came_sum += job.work;
        match self.running.iter().position(Option::is_none) {
            Some(slot) => Received::Runs(slot, self.run(slot, job, rules, now)),
            None if self.waiting.len() < self.queue => {
                self.waiting.push_back(job);
                Received::Waits
            }
            None => Received::Full,
        }
    }

    fn run(&mut self, slot: usize, job: Job, rules: &RuleParameters, now: Micros) -> Micros {
        self.count_busy(now);
        let rate = self.speed * self.warmth(rules, now) / self.slow;
        let ends = now + (job.work / rate).max(1.0) as Micros;
        self.running[slot] = Some(job);
        ends
    }

    /// A slot's request ends; the next in line begins, with its end.
    pub fn finish(
        &mut self,
        slot: usize,
        rules: &RuleParameters,
        now: Micros,
    ) -> (Option<Job>, Option<Micros>) {
        self.count_busy(now);
        let done = self.running.get_mut(slot).and_then(Option::take);
        let next = self.waiting.pop_front();
        let ends = next.map(|job| self.run(slot, job, rules, now));
        (done, ends)
    }

    /// An attempt was given up: it leaves the line.
    pub fn cancel(&mut self, token: u64) {
        self.waiting.retain(|job| job.token != token);
    }

    /// Whether it is cold and has had more than half of what it bears within the window.
    pub fn is_full_while_cold(&mut self, rules: &RuleParameters, now: Micros) -> bool {
        self.is_pushed_over(rules, now); // Forgets what is older than the window.
        let bound = rules.overload_multiple * self.capacity(rules, now) * rules.overload_window as f64;
        self.started.is_some() && self.warmth(rules, now) < 1.0 && self.came_sum > bound / 2.0
    }

    /// Whether it has just been pushed over: cold, and sent more than it may for the whole window.
    pub fn is_pushed_over(&mut self, rules: &RuleParameters, now: Micros) -> bool {
        let window = rules.overload_window.max(1);
        while self.came.front().is_some_and(|(at, _)| at + window <= now) {
            self.came_sum -= self.came.pop_front().map_or(0.0, |(_, work)| work);
        }
        let bound = rules.overload_multiple * self.capacity(rules, now) * window as f64;
        if self.started.is_none() || self.warmth(rules, now) >= 1.0 || self.came_sum <= bound {
            return false;
        }
        true
    }

    fn count_busy(&mut self, now: Micros) {
        self.busy += self.busy_cores() as f64 * now.saturating_sub(self.busy_since) as f64;
        self.busy_since = now;
    }

    /// Busy time of its cores so far, in microseconds.
    pub fn busy_time(&mut self, now: Micros) -> f64 {
        self.count_busy(now);
        self.busy
    }

    /// What it reports: the busy share of its cores since the last report, renewed now and then.
    pub fn utilization(&mut self, every: Micros, now: Micros) -> f64 {
        let busy = self.busy_time(now);
        let (at, before, _) = self.report;
        if now >= at + every {
            let share = (busy - before) / (now - at).max(1) as f64 / self.cores as f64;
            self.report = (now, busy, (share.min(1.0) * 1e6) as Micros);
        }
        self.report.2 as f64 / 1e6
    }

    /// It goes down: all that it held is lost.
    pub fn stop(&mut self, health: Health, now: Micros) {
        self.count_busy(now);
        self.health = health;
        self.epoch += 1;
        self.connections = 0;
        self.running.fill(None);
        self.waiting.clear();
        self.came.clear();
        self.came_sum = 0.0;
    }

    /// It starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.count_busy(now);
        self.health = Health::Up;
        self.epoch += 1;
        self.started = Some(now);
        (self.draining, self.connections) = (false, 0);
    }

    /// Whether it answers.
    pub fn is_up(&self) -> bool {
        self.health == Health::Up && !self.fallen
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::log::Log;
    use crate::plan::SECOND;

    const RULES: RuleParameters = RuleParameters {
        resubscribe_within: 0,
        only_draining_binds: false,
        cold_share: 0.2,
        warm_up_time: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
    };

    fn member() -> Member {
        let plan = MemberPlan {
            cores: 2,
            queue: 100,
            speed_spread: 0.0,
            connections: 10,
            idle: SECOND,
            handshake: 0.0,
            probe: 0.0,
            drops_cancelled: true,
            report: SECOND,
        };
        Member::new(0, 0, 1.0, &plan, Applied::all(&Log::default(), 0), 0)
    }

    fn job(work: f64) -> Job {
        Job { request: RequestId(1), token: 1, router: 0, epoch: 1, class: 0, work, sent: 0 }
    }

    /// Whether it falls over while it gets some work every 100 ms for 3 s after a start.
    fn falls(member: &mut Member, start: Micros, work: f64) -> bool {
        (0..30).any(|i| {
            let now = start + i * SECOND / 10;
            member.receive(job(work), &RULES, now);
            member.is_pushed_over(&RULES, now)
        })
    }

    #[test]
    fn a_cold_member_bears_twice_what_it_can_do_and_a_warm_one_anything() {
        // Two cores at a fifth: 0.4 s of work in a second, twice that is borne.
        let mut warm = member();
        assert!(!falls(&mut warm, SECOND, 500_000.0));
        warm.stop(Health::Refusing, 5 * SECOND);
        warm.start(6 * SECOND);
        assert!(!falls(&mut warm, 6 * SECOND, 75_000.0), "what came before it stopped is not counted");
        warm.start(20 * SECOND);
        assert!(falls(&mut warm, 20 * SECOND, 150_000.0));
    }

    #[test]
    fn cold_work_takes_longer_and_the_line_goes_on() {
        let mut member = member();
        member.start(0);
        assert_eq!(member.receive(job(1_000.0), &RULES, 0), Received::Runs(0, 5_000));
        assert_eq!(member.receive(job(1_000.0), &RULES, 0), Received::Runs(1, 5_000));
        assert_eq!(member.receive(job(2_000.0), &RULES, 0), Received::Waits);
        let (done, next) = member.finish(0, &RULES, 5_000);
        assert!(done.is_some() && next.is_some_and(|ends| ends > 14_000));
        member.cancel(1);
        assert_eq!(member.finish(1, &RULES, 5_000).1, None, "what waited was given up");
    }
}
