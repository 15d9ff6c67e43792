//! The clock of the driver: Unix time at the start of the driver, continued by a monotonic clock. It agrees with the clocks of
//! other machines and never goes backwards.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use beaconshore::interface::Micros;
use futures_lite::future;

/// Microseconds of Unix time, counted on a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Unix time at `started_at`.
    unix_start: Micros,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Self {
        let started_at = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at, unix_start: unix.as_micros() as Micros }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix_start + self.uptime()
    }

    /// The time since the clock was started, in microseconds.
    pub fn uptime(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock for use with timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + Duration::from_micros(at.saturating_sub(self.unix_start))
    }
}

/// Awaits a future until a deadline; `None` if the deadline comes first.
pub async fn with_deadline<T>(deadline: Instant, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::at(deadline).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}

/// Awaits a future for at most this long; `None` if it takes longer.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    with_deadline(Instant::now() + limit, future).await
}
