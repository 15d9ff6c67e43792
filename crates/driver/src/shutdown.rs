//! Accepting clients until the driver is told to stop, and the way from there to its end.

use std::future::Future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use log::{info, warn};

use crate::client::Clients;
use crate::Node;

/// New connections still come for so long after the signal: they are taken.
const TURNING: Duration = Duration::from_millis(500);
/// No connection left for so long, and the driver ends.
const QUIET: Duration = Duration::from_millis(200);
/// The signal leaves the time of the longest request, at most this much...
const LONGEST: Duration = Duration::from_secs(3);
/// ...and so long for what comes after it, of which the last part is for the last answers.
const GRACE: Duration = Duration::from_millis(700);
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts clients; once `stop` is ready, has all that was taken answered, and ends.
pub async fn serve(
    node: Rc<Node>,
    listener: Async<TcpListener>,
    clients: Rc<Clients>,
    stop: impl Future<Output = ()>,
) {
    let accept = accept(&node, &listener, &clients);
    let end = async {
        stop.await;
        info!("stopping: no further requests are wanted");
        let longest = node.site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let (start, left) = (Instant::now(), Duration::from_micros(longest).min(LONGEST) + GRACE);
        // Clients may have nowhere else to go yet: who still asks is served for as long as there is time.
        clients.leave(left - LAST_ANSWERS);
        all_gone(&clients, start + TURNING, start + left - LAST_ANSWERS).await;
        clients.close();
        // What is left by then has sent half a request, or reads no answer.
        all_gone(&clients, start + TURNING, start + left - LAST_ANSWERS / 3).await;
        info!("stopped: all that was taken is answered");
    };
    future::or(end, accept).await;
}

/// Waits until no client was left for a while, not before one time and not beyond another.
async fn all_gone(clients: &Rc<Clients>, earliest: Instant, latest: Instant) {
    let mut quiet_since = Instant::now();
    while Instant::now() < latest && (quiet_since.elapsed() < QUIET || Instant::now() < earliest) {
        if !clients.is_empty() {
            quiet_since = Instant::now();
        }
        Timer::after(QUIET / 20).await;
    }
}

async fn accept(node: &Rc<Node>, listener: &Async<TcpListener>, clients: &Rc<Clients>) {
    let mut failing = false;
    loop {
        let place = node.place(&node.descriptors.clients).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                failing = false;
                clients.welcome(stream, place);
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    warn!("accepting a client failed: {e}");
                }
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}
