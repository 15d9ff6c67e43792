//! The course from the signal to the program's end, without I/O: the signal, the number of connections and time come
//! in; the steps come out, each once and in order.
//!
//! Owns which step is next and when. Never accepts, answers or closes anything itself.

use std::time::{Duration, Instant};

/// New connections still come for so long after the signal: they are taken.
pub const TURNING: Duration = Duration::from_millis(500);
/// No connection left for so long, and the driver ends.
pub const QUIET: Duration = Duration::from_millis(200);
/// The signal leaves the time of the longest request, at most this much...
const LONGEST: Duration = Duration::from_secs(3);
/// ...and so long for what comes after it, of which the last part is for the last answers.
const GRACE: Duration = Duration::from_millis(700);
/// Time for the last answers: from the step that closes all to the end, but for a third of it that stays free.
pub const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// A step on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Idle connections may go; what is taken has to be answered within so long.
    Leave(Duration),
    /// Take what waits to be accepted, listen no more, answer all that is open, and end every connection.
    Close,
    /// End the program.
    End,
}

/// How far it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// The signal came.
    Signalled,
    /// Who still asks is served: it may have nowhere else to go yet.
    Leaving,
    /// Only what was taken is answered.
    Closing,
    Ended,
}

/// The course.
#[derive(Debug)]
pub struct Course {
    stage: Stage,
    /// Longest time that a request may take.
    longest: Duration,
    signalled: Instant,
    /// When all was closed: later than it should be, where the driver stood still.
    closed: Instant,
    /// Since when there has been no connection.
    empty_since: Option<Instant>,
}

impl Course {
    /// A driver that serves, whose requests take so long at the longest.
    pub fn new(longest: Duration, now: Instant) -> Self {
        let longest = longest.min(LONGEST);
        Course { stage: Stage::Serving, longest, signalled: now, closed: now, empty_since: Some(now) }
    }

    /// It is asked to end; a second time changes nothing.
    pub fn signal(&mut self, now: Instant) {
        if self.stage == Stage::Serving {
            (self.stage, self.signalled) = (Stage::Signalled, now);
            self.empty_since = self.empty_since.map(|_| now);
        }
    }

    /// There are so many connections now.
    pub fn connections(&mut self, count: usize, now: Instant) {
        self.empty_since = if count == 0 { self.empty_since.or(Some(now)) } else { None };
    }

    /// Whether it listens no more.
    pub fn is_closing(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Ended)
    }

    /// When the next step is due if nothing changes; none: it waits for the signal.
    pub fn due(&self) -> Option<Instant> {
        let quiet = self.empty_since.map(|since| since + QUIET);
        match self.stage {
            Stage::Signalled => Some(self.signalled),
            Stage::Serving | Stage::Ended => None,
            Stage::Leaving => {
                let quiet = quiet.map(|at| at.max(self.signalled + TURNING));
                Some(quiet.unwrap_or(self.closes()).min(self.closes()))
            }
            // Nobody is left: nothing can come any more.
            Stage::Closing => Some(self.empty_since.unwrap_or(self.ends()).min(self.ends())),
        }
    }

    /// The next step, if it is due.
    pub fn step(&mut self, now: Instant) -> Option<Step> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        match self.stage {
            Stage::Signalled => {
                self.stage = Stage::Leaving;
                Some(Step::Leave(self.closes().saturating_duration_since(now)))
            }
            Stage::Leaving => {
                (self.stage, self.closed) = (Stage::Closing, now);
                Some(Step::Close)
            }
            Stage::Closing => {
                self.stage = Stage::Ended;
                Some(Step::End)
            }
            Stage::Serving | Stage::Ended => None,
        }
    }

    /// When all that is open is answered, whoever still asks.
    fn closes(&self) -> Instant {
        self.signalled + self.longest + GRACE - LAST_ANSWERS
    }

    /// When it ends, whatever is left: half a request, or an answer that nobody reads.
    fn ends(&self) -> Instant {
        self.closed + LAST_ANSWERS * 2 / 3
    }
}
