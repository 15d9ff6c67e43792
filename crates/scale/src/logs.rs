//! Costs of a process of the program, read from its log.

use std::fmt;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use crate::sample::Costs;

/// Why a log tells no costs.
#[derive(Debug)]
pub enum LogError {
    /// It can't be read.
    Unreadable(PathBuf, io::Error),
    /// It holds fewer than two reports of counters: the run was too short.
    TooShort(PathBuf),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::Unreadable(path, e) => write!(f, "{}: {e}", path.display()),
            LogError::TooShort(path) => {
                write!(f, "{}: under two reports of counters, one each 10 s; play longer", path.display())
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Pause between two reports, in seconds.
const PERIOD: f64 = 10.0;

/// Costs a second between the first and the last report of counters.
pub fn process_sample(log: &Path) -> Result<Costs, LogError> {
    let text = fs::read_to_string(log).map_err(|e| LogError::Unreadable(log.into(), e))?;
    let (counts, spent) = (reports(&text, "counts: "), reports(&text, "spent: "));
    let reports = counts.len().min(spent.len());
    if reports < 2 {
        return Err(LogError::TooShort(log.into()));
    }
    let costs = |at: usize| {
        let line = format!("{} {}", counts[at], spent[at]);
        Costs::from_names(|name| value(&line, name))
    };
    let (first, last) = (costs(0), costs(reports - 1));
    let seconds = PERIOD * (reports - 1) as f64;
    Ok(last.combine(&first, |last, first| (last - first) / seconds))
}

/// What follows a label, in each line that has it.
fn reports<'t>(text: &'t str, label: &str) -> Vec<&'t str> {
    text.lines().filter_map(|line| Some(line.split_once(label)?.1)).collect()
}

/// The value of a name in `name=value ...`; what is not there was not counted yet.
fn value(line: &str, name: &str) -> f64 {
    let pair = line.split_whitespace().filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name);
    pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(0.0)
}
