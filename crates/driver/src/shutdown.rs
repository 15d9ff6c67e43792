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

/// New connections still come for so long after the signal: they are taken, and old ones are kept.
const TURNING: Duration = Duration::from_millis(500);
/// No new connection for so long, with none left open, and the driver ends.
const QUIET: Duration = Duration::from_millis(200);
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
        let end = Instant::now() + TURNING + Duration::from_micros(longest);
        Timer::after(TURNING).await;
        clients.close();
        let mut quiet_since = Instant::now();
        // By the end the time of all that was taken is over; what is left has sent half a request.
        while quiet_since.elapsed() < QUIET && Instant::now() < end {
            if !clients.is_empty() {
                quiet_since = Instant::now();
            }
            Timer::after(QUIET / 20).await;
        }
        info!("stopped: all that was taken is answered");
    };
    future::or(end, accept).await;
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
