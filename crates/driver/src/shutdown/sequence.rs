//! State machine of a graceful shutdown, without I/O: its inputs are the stop signal, the number of open connections
//! and the time; its outputs are the steps of the shutdown, each exactly once and in order.
//!
//! It decides which step is next and when it is due. Accepting, answering and closing are done by the caller.

use std::time::{Duration, Instant};

/// Shortest time between the signal and the closing of the listener: clients that have not yet noticed the shutdown
/// keep connecting, and are accepted.
pub const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(500);
/// Once no connection has been open for this long, the driver shuts down without using the rest of its time.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);
/// Upper bound on the longest request's time that a shutdown allows for.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(3);
/// Time that a shutdown may take in addition to the longest request's time. It includes [`FINAL_ANSWERS_TIME`].
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(700);
/// Time reserved for the final answers after [`Step::Close`]. The driver exits after two thirds of it; the last third
/// is a reserve.
pub const FINAL_ANSWERS_TIME: Duration = Duration::from_millis(300);

/// A step of the shutdown, carried out by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Close connections as they become idle. Requests accepted from now on have to be answered within this time.
    Drain(Duration),
    /// Accept the connections that are still queued, close the listener, answer all open requests and end every
    /// connection.
    Close,
    /// Exit the program.
    Exit,
}

/// Progress of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Serving,
    /// The signal was received; no step has been taken yet.
    Signalled,
    /// New requests are still served: their clients may not have another router to go to yet.
    Draining,
    /// Only requests that were already accepted are answered.
    Closing,
    Ended,
}

/// Progress of one driver from serving to its exit.
#[derive(Debug)]
pub struct ShutdownSequence {
    stage: Stage,
    /// Longest time that a request may take, at most [`MAX_REQUEST_TIME`].
    max_request_time: Duration,
    signalled_at: Instant,
    /// When [`Step::Close`] was taken. Later than scheduled if the process was stalled.
    closed_at: Instant,
    /// Since when no connection has been open; `None` while there is one.
    empty_since: Option<Instant>,
}

impl ShutdownSequence {
    /// Creates the state of a driver that serves requests of at most this duration.
    pub fn new(max_request_time: Duration, now: Instant) -> Self {
        let max_request_time = max_request_time.min(MAX_REQUEST_TIME);
        ShutdownSequence {
            stage: Stage::Serving,
            max_request_time,
            signalled_at: now,
            closed_at: now,
            empty_since: Some(now),
        }
    }

    /// Records the stop signal. Further signals have no effect.
    pub fn on_stop_signal(&mut self, now: Instant) {
        if self.stage == Stage::Serving {
            (self.stage, self.signalled_at) = (Stage::Signalled, now);
            self.empty_since = self.empty_since.map(|_| now);
        }
    }

    /// Records the number of open connections.
    pub fn set_connections(&mut self, count: usize, now: Instant) {
        self.empty_since = if count == 0 { self.empty_since.or(Some(now)) } else { None };
    }

    /// Whether the listener has been closed.
    pub fn is_closing(&self) -> bool {
        matches!(self.stage, Stage::Closing | Stage::Ended)
    }

    /// When the next step is due if nothing changes; `None` while serving and after the last step.
    pub fn due(&self) -> Option<Instant> {
        let quiet = self.empty_since.map(|since| since + QUIET_PERIOD);
        match self.stage {
            Stage::Signalled => Some(self.signalled_at),
            Stage::Serving | Stage::Ended => None,
            Stage::Draining => {
                let quiet = quiet.map(|at| at.max(self.signalled_at + ACCEPT_AFTER_SIGNAL));
                Some(quiet.unwrap_or(self.close_deadline()).min(self.close_deadline()))
            }
            // Without connections nothing more can arrive, so the exit is due at once.
            Stage::Closing => {
                Some(self.empty_since.unwrap_or(self.exit_deadline()).min(self.exit_deadline()))
            }
        }
    }

    /// Takes and returns the next step, if it is due.
    pub fn next_step(&mut self, now: Instant) -> Option<Step> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        match self.stage {
            Stage::Signalled => {
                self.stage = Stage::Draining;
                Some(Step::Drain(self.close_deadline().saturating_duration_since(now)))
            }
            Stage::Draining => {
                (self.stage, self.closed_at) = (Stage::Closing, now);
                Some(Step::Close)
            }
            Stage::Closing => {
                self.stage = Stage::Ended;
                Some(Step::Exit)
            }
            Stage::Serving | Stage::Ended => None,
        }
    }

    /// Latest time of [`Step::Close`], even if clients still send requests.
    fn close_deadline(&self) -> Instant {
        self.signalled_at + self.max_request_time + SHUTDOWN_MARGIN - FINAL_ANSWERS_TIME
    }

    /// Latest time of [`Step::Exit`], even if an incomplete request or an unread answer is left.
    fn exit_deadline(&self) -> Instant {
        self.closed_at + FINAL_ANSWERS_TIME * 2 / 3
    }
}
