//! What the system asks of the program: to end, or to read its configuration again. Only programs need this; who
//! embeds the driver has other ways to tell it.

use std::future::Future;

use async_signal::{Signal, Signals};
use futures_lite::{future, stream, Stream, StreamExt};
use log::warn;

use crate::config::Config;

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
