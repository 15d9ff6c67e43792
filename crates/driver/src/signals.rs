//! Signals of the operating system: to stop the program, or to reload its configuration. Only the program uses this module;
//! code that embeds the driver passes its own futures to `run`.

use std::future::Future;

use async_signal::{Signal, Signals};
use futures_lite::{future, stream, Stream, StreamExt};
use log::warn;

use crate::config::Config;

/// Environment variable that makes the process end together with its parent, if set to a non-empty value.
const ENDS_WITH_PARENT: &str = "BEACONSHORE_ENDS_WITH_PARENT";

/// Completes when the process receives SIGTERM or SIGINT. The signals are handled from the call of this function on.
pub fn stop() -> impl Future<Output = ()> {
    let signals = handle(&[Signal::Term, Signal::Int]);
    async move {
        match signals {
            Some(mut signals) => drop(signals.next().await),
            None => future::pending().await,
        }
    }
}

/// Yields the reloaded configuration each time that the process receives SIGHUP. A configuration that cannot be used is
/// logged and skipped. The signal is handled from the call of this function on.
pub fn reloads() -> impl Stream<Item = Config> {
    let signals = handle(&[Signal::Hup]).into_iter();
    stream::iter(signals).flatten().filter_map(|_| {
        let log_error = |message: &String| {
            warn!("the configuration stays as it was, correct the file and send SIGHUP again: {message}")
        };
        Config::reload().inspect_err(log_error).ok()
    })
}

/// Installs handlers for signals; `None` and a warning if that fails.
fn handle(signals: &[Signal]) -> Option<Signals> {
    Signals::new(signals)
        .inspect_err(|e| {
            warn!("installing signal handlers failed, SIGTERM, SIGINT or SIGHUP will not be handled: {e}")
        })
        .ok()
}

/// Has the kernel kill this process when its parent dies, if `BEACONSHORE_ENDS_WITH_PARENT` is set. Test programs set it so
/// that they leave no processes behind if they crash; in production it is not set.
pub fn end_with_parent() {
    if std::env::var_os(ENDS_WITH_PARENT).is_some_and(|value| !value.is_empty()) {
        // On systems without this feature the process keeps running.
        let _ = rustix::process::set_parent_process_death_signal(Some(rustix::process::Signal::KILL));
    }
}
