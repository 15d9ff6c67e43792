//! Plays days side by side: every seed with every kind of router. The order of plays changes no result.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::thread;

use beaconshore_emulator::{play, Brains, Day, Plan};
use indicatif::{ProgressBar, ProgressStyle};

/// Days by who decided, then by seed.
#[derive(Debug, Default)]
pub struct Plays {
    days: BTreeMap<Brains, BTreeMap<u64, Day>>,
}

impl Plays {
    /// Who decided, in the order of tables.
    pub fn brains(&self) -> Vec<Brains> {
        self.days.keys().copied().collect()
    }

    /// Seeds.
    pub fn seeds(&self) -> Vec<u64> {
        self.days.values().next().map(|days| days.keys().copied().collect()).unwrap_or_default()
    }

    /// All days of one kind, by seed.
    pub fn of(&self, brains: Brains) -> impl Iterator<Item = &Day> {
        self.days.get(&brains).into_iter().flat_map(|days| days.values())
    }

    /// One day.
    pub fn day(&self, brains: Brains, seed: u64) -> Option<&Day> {
        self.days.get(&brains)?.get(&seed)
    }
}

/// Plays all, with a progress bar on a terminal.
pub fn play_all(plan: &Plan, brains: &[Brains], seeds: &[u64], jobs: usize) -> Plays {
    let all: Vec<(Brains, u64)> = seeds.iter().flat_map(|s| brains.iter().map(|b| (*b, *s))).collect();
    let cores = thread::available_parallelism().map_or(1, usize::from);
    let jobs = if jobs == 0 { cores } else { jobs }.min(all.len()).max(1);
    let bar = ProgressBar::new(all.len() as u64);
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:40} {pos}/{len} days, {eta} left") {
        bar.set_style(style);
    }
    bar.set_message(plan.name.clone());
    let (next, plays) = (AtomicUsize::new(0), Mutex::new(Plays::default()));
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                while let Some((brains, seed)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let day = play(plan, *brains, *seed);
                    bar.inc(1);
                    // A thread that panicked has poisoned nothing that is read: each day is put in whole.
                    let mut plays = plays.lock().unwrap_or_else(|e| e.into_inner());
                    plays.days.entry(*brains).or_default().insert(*seed, day);
                }
            });
        }
    });
    bar.finish_and_clear();
    plays.into_inner().unwrap_or_else(|e| e.into_inner())
}
