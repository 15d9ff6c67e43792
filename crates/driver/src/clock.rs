//! The driver's clock: monotonic, anchored once to Unix time, so that it reads what all machines' clocks read
//! and never goes back.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use beaconshore::interface::Micros;
use futures_lite::future;

/// Microseconds of Unix time, counted on a monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: Micros,
}

impl Clock {
    /// Anchors a clock to the present.
    pub fn start() -> Self {
        let anchor = Instant::now();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { anchor, unix: unix.as_micros() as Micros }
    }

    /// The present.
    pub fn now(&self) -> Micros {
        self.unix + self.anchor.elapsed().as_micros() as Micros
    }

    /// The same point for timers.
    pub fn instant(&self, at: Micros) -> Instant {
        self.anchor + Duration::from_micros(at.saturating_sub(self.unix))
    }
}

/// The future's value, or none once the time has come.
pub async fn until<T>(at: Instant, future: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::at(at).await;
        None
    };
    future::or(async { Some(future.await) }, late).await
}

/// The future's value, or none after so long.
pub async fn within<T>(length: Duration, future: impl Future<Output = T>) -> Option<T> {
    until(Instant::now() + length, future).await
}
