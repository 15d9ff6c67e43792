//! When a request that can't be sent is refused, and what its client is advised.

use crate::interface::{Micros, Settings};

/// Returns how long a request may wait for what it needs before its first attempt, a primary or memory, given
/// the time that its client waits. After that it is refused, while its client has time to repeat it.
pub fn longest_wait(budget: Micros) -> Micros {
    budget / 2
}

/// Returns how long the client of a refused request of this class is advised to wait before it repeats it; 0
/// where no advice is given.
pub fn retry_advice(settings: &Settings, class: usize) -> Micros {
    let latency_target = settings.classes.get(class).map_or(0, |class| class.latency_target);
    if settings.limits.retry_after {
        settings.limits.max_retry_after.min(latency_target / 2)
    } else {
        0
    }
}
