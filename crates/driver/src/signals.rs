//! What the system asks of the program: to end, or to read its configuration again. Only programs need this; who
//! embeds the driver has other ways to tell it.

use std::future::Future;

use async_signal::{Signal, Signals};
use futures_lite::{future, stream, Stream, StreamExt};
use log::warn;

use crate::config::Config;

/// Where this is set, the process ends with the one that started it.
const WITH_PARENT: &str = "BEACONSHORE_ENDS_WITH_PARENT";

/// Ready once the process is asked to end. Signals are caught from this call on.
pub fn stop() -> impl Future<Output = ()> {
    let signals = caught(&[Signal::Term, Signal::Int]);
    async move {
        match signals {
            Some(mut signals) => drop(signals.next().await),
            None => future::pending().await,
        }
    }
}

/// The configuration, each time that the process is asked to read it again (SIGHUP). One that can't be used is
/// told in the log and passed over. Signals are caught from this call on.
pub fn reloads() -> impl Stream<Item = Config> {
    let signals = caught(&[Signal::Hup]).into_iter();
    stream::iter(signals).flatten().filter_map(|_| {
        let tell = |message: &String| warn!("the configuration stays as it was: {message}");
        Config::reread().inspect_err(tell).ok()
    })
}

fn caught(signals: &[Signal]) -> Option<Signals> {
    Signals::new(signals).inspect_err(|e| warn!("signals can't be received: {e}")).ok()
}

/// Has the kernel end this process with the one that started it, where `BEACONSHORE_ENDS_WITH_PARENT` is set: a rig that
/// dies by itself is to leave nothing behind. On the platform nobody sets it.
pub fn end_with_parent() {
    if std::env::var_os(WITH_PARENT).is_some_and(|value| !value.is_empty()) {
        // Where the system knows no such signal the process just stays.
        let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    }
}
