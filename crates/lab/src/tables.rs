//! Tables: CSV files, and the few lines that are said at the end of a run.

use std::fmt::Write;
use std::io;
use std::path::Path;

use beaconshore_emulator::{Brains, Plan};

use crate::measures::{by_second, judged_from, of_oracle, spread, times};
use crate::plays::Plays;

/// Breaches that the summary names.
const NAMED: usize = 5;

/// Writes all tables into a folder.
pub fn write(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    days(plan, plays, folder)?;
    seconds(plan, plays, folder)?;
    spill(plan, plays, folder)?;
    load(plan, plays, folder)?;
    latencies(plan, plays, folder)?;
    breaches(plays, folder)
}

fn days(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("days.csv"))?;
    table.write_record([
        "brains",
        "seed",
        "score",
        "score_judged",
        "of_oracle",
        "breaches",
        "fallen",
        "over_limit",
        "turns",
        "taken",
        "refused",
        "failed",
        "probes",
        "told",
        "attempts",
    ])?;
    for brains in plays.brains() {
        for seed in plays.seeds() {
            let Some(day) = plays.day(brains, seed) else { continue };
            let sum = |count: fn(&beaconshore_emulator::tally::Second) -> u32| {
                day.seconds.iter().map(|s| u64::from(count(s))).sum::<u64>().to_string()
            };
            let judged = day.score_between(judged_from(plan), plan.seconds());
            let of = of_oracle(plan, plays, brains, seed).map_or(String::new(), |s| format!("{s:.4}"));
            table.write_record([
                brains.name().to_owned(),
                seed.to_string(),
                format!("{:.4}", day.score()),
                format!("{judged:.4}"),
                of,
                day.breaches.len().to_string(),
                day.fallen.to_string(),
                day.over_limit.to_string(),
                day.turns.to_string(),
                day.taken.to_string(),
                sum(|s| s.refused),
                sum(|s| s.failed),
                sum(|s| s.probes),
                sum(|s| s.told),
                sum(|s| s.attempts),
            ])?;
        }
    }
    table.flush()
}

fn seconds(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("seconds.csv"))?;
    table.write_record([
        "brains",
        "second",
        "score_least",
        "score_mean",
        "score_most",
        "stories",
        "in_time",
        "late",
        "lost",
        "refused",
        "failed",
        "attempts",
    ])?;
    for brains in plays.brains() {
        for (second, score) in by_second(plan, plays, brains).into_iter().enumerate() {
            let mean = |count: fn(&beaconshore_emulator::tally::Second) -> u32| {
                let all = spread(plays.of(brains).map(|day| f64::from(count(&day.seconds[second]))));
                all.map_or(String::new(), |s| format!("{:.1}", s.mean))
            };
            let score = |part: fn(crate::measures::Spread) -> f64| {
                score.map_or(String::new(), |s| format!("{:.4}", part(s)))
            };
            table.write_record([
                brains.name().to_owned(),
                second.to_string(),
                score(|s| s.least),
                score(|s| s.mean),
                score(|s| s.most),
                mean(|s| s.stories),
                mean(|s| s.in_time),
                mean(|s| s.late),
                mean(|s| s.lost),
                mean(|s| s.refused),
                mean(|s| s.failed),
                mean(|s| s.attempts),
            ])?;
        }
    }
    table.flush()
}

fn spill(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("spill.csv"))?;
    table.write_record(["brains", "zone", "second", "work_ms_mean", "work_ms_most", "limit_ms"])?;
    for brains in plays.brains() {
        for (zone, name) in plan.zones.iter().enumerate() {
            let limit = plan.spill_limit(zone).map_or(String::new(), |l| format!("{:.0}", l / 1e3));
            for second in 0..plan.seconds() {
                let work = plays.of(brains).map(|day| day.seconds[second].spilled[zone] / 1e3);
                let Some(work) = spread(work) else { continue };
                table.write_record([
                    brains.name(),
                    name,
                    &second.to_string(),
                    &format!("{:.0}", work.mean),
                    &format!("{:.0}", work.most),
                    &limit,
                ])?;
            }
        }
    }
    table.flush()
}

fn load(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("load.csv"))?;
    table.write_record(["brains", "second", "member", "zone", "busy_mean"])?;
    let zones: Vec<usize> = plan.groups.members.iter().flatten().copied().collect();
    for brains in plays.brains() {
        for second in 0..plan.seconds() {
            for (member, zone) in zones.iter().enumerate() {
                let busy = |day: &beaconshore_emulator::Day| {
                    day.seconds[second].load.get(member).map(|l| f64::from(*l))
                };
                let Some(busy) = spread(plays.of(brains).filter_map(busy)) else { continue };
                table.write_record([
                    brains.name(),
                    &second.to_string(),
                    &member.to_string(),
                    &plan.zones[*zone],
                    &format!("{:.3}", busy.mean),
                ])?;
            }
        }
    }
    table.flush()
}

fn latencies(plan: &Plan, plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("latencies.csv"))?;
    table.write_record(["brains", "class", "served", "p50_ms", "p90_ms", "p99_ms", "p999_ms", "most_ms"])?;
    for brains in plays.brains() {
        for (class, named) in plan.classes.iter().enumerate() {
            let times = times(plays.of(brains), Some(class), None);
            let at = |quantile: f64| format!("{:.1}", times.value_at_quantile(quantile) as f64 / 1e3);
            table.write_record([
                brains.name(),
                &named.name,
                &times.len().to_string(),
                &at(0.5),
                &at(0.9),
                &at(0.99),
                &at(0.999),
                &at(1.0),
            ])?;
        }
    }
    table.flush()
}

fn breaches(plays: &Plays, folder: &Path) -> io::Result<()> {
    let mut table = csv::Writer::from_path(folder.join("breaches.csv"))?;
    table.write_record(["brains", "seed", "breach"])?;
    for brains in plays.brains() {
        for seed in plays.seeds() {
            for breach in plays.day(brains, seed).into_iter().flat_map(|day| &day.breaches) {
                table.write_record([brains.name(), &seed.to_string(), &breach.to_string()])?;
            }
        }
    }
    table.flush()
}

/// A few lines on all plays.
pub fn summary(plan: &Plan, plays: &Plays) -> String {
    let mut text = String::new();
    let seeds = plays.seeds().len();
    let _ =
        writeln!(text, "{} (emulated, {seeds} seeds, judged from second {})", plan.name, judged_from(plan));
    let _ = writeln!(
        text,
        "{:10} {:>20} {:>20} {:>8} {:>7} {:>10} {:>6}",
        "", "score least/mean/most", "of the oracle", "breaches", "fallen", "over limit", "turns"
    );
    for brains in plays.brains() {
        let show = |s: Option<crate::measures::Spread>| {
            s.map_or(String::new(), |s| format!("{:.3} {:.3} {:.3}", s.least, s.mean, s.most))
        };
        let scores = spread(plays.of(brains).map(|day| day.score()));
        let of = spread(plays.seeds().iter().filter_map(|s| of_oracle(plan, plays, brains, *s)));
        let sum = |count: fn(&beaconshore_emulator::Day) -> u64| plays.of(brains).map(count).sum::<u64>();
        let _ = writeln!(
            text,
            "{:10} {:>20} {:>20} {:>8} {:>7} {:>10} {:>6}",
            brains.name(),
            show(scores),
            show(of),
            sum(|d| d.breaches.len() as u64),
            sum(|d| u64::from(d.fallen)),
            sum(|d| d.over_limit),
            sum(|d| d.turns)
        );
    }
    let under_test = plays.brains().into_iter().find(|b| matches!(b, Brains::Planned | Brains::Plain));
    let breaches = under_test.into_iter().flat_map(|b| plays.of(b)).flat_map(|d| &d.breaches);
    for breach in breaches.take(NAMED) {
        let _ = writeln!(text, "  {breach}");
    }
    text
}
