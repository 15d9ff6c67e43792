//! Accepts clients until the driver is told to stop, then shuts it down gracefully.
//!
//! Owns the listener. The steps of the shutdown and their times are decided by [`sequence`], without I/O.

pub mod sequence;

use std::future::Future;
use std::net::TcpListener;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use log::{info, warn};

use crate::client::Clients;
use crate::clock::with_deadline;
use crate::permit_pool::Permit;
use crate::Node;

use sequence::{ShutdownSequence, Step, FINAL_ANSWERS_TIME};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// How long queued connections may wait for a descriptor during the shutdown. Idle connections have just been asked to
/// close, so descriptors become free.
const FINAL_ACCEPT_TIME: Duration = FINAL_ANSWERS_TIME.saturating_sub(Duration::from_millis(200));

/// What ends a wait of the accept loop.
enum Wake {
    Signal,
    Accepted(Option<(Async<std::net::TcpStream>, Permit)>),
    Time,
}

/// Accepts clients until `stop` completes, then has every accepted request answered and returns.
pub async fn serve(
    node: Rc<Node>,
    listener: Async<TcpListener>,
    clients: Rc<Clients>,
    emptied: Receiver<()>,
    stop: impl Future<Output = ()>,
) {
    let max_deadline = node.settings.module.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let mut shutdown = ShutdownSequence::new(Duration::from_micros(max_deadline), Instant::now());
    let (mut stop, mut stop_received, mut listener) = (pin!(stop), false, Some(listener));
    let mut accept_failed = false;
    loop {
        shutdown.set_connections(clients.count(), Instant::now());
        match shutdown.next_step(Instant::now()) {
            None => {}
            Some(Step::Drain(left)) => {
                info!("stopping: idle connections are closed, open requests are answered");
                clients.start_shutdown(left);
                continue;
            }
            Some(Step::Close) => {
                clients.close_all();
                if let Some(listener) = listener.take() {
                    accept_queued(&node, listener, &clients).await;
                }
                continue;
            }
            Some(Step::Exit) => {
                info!("stopped: shutdown complete");
                return;
            }
        }
        let signal = async {
            match stop_received {
                true => future::pending().await,
                false => stop.as_mut().await,
            }
            Wake::Signal
        };
        let accepted = async {
            match &listener {
                Some(listener) => Wake::Accepted(accept(&node, listener, &mut accept_failed).await),
                None => future::pending().await,
            }
        };
        let time = async {
            match shutdown.due() {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Wake::Time
        };
        let empty = async {
            let _ = emptied.recv().await;
            Wake::Time
        };
        match future::or(signal, future::or(time, future::or(empty, accepted))).await {
            Wake::Signal => {
                stop_received = true;
                shutdown.on_stop_signal(Instant::now());
            }
            Wake::Accepted(Some((stream, permit))) => clients.accept(stream, permit),
            Wake::Accepted(None) | Wake::Time => {}
        }
    }
}

/// Accepts the next client, with a permit for its descriptor. After a failure it pauses and returns `None`.
async fn accept(
    node: &Node,
    listener: &Async<TcpListener>,
    accept_failed: &mut bool,
) -> Option<(Async<std::net::TcpStream>, Permit)> {
    let permit = node.acquire_permit(&node.descriptors.clients).await;
    match listener.accept().await {
        Ok((stream, _)) => {
            *accept_failed = false;
            Some((stream, permit))
        }
        Err(e) => {
            if !std::mem::replace(accept_failed, true) {
                warn!("accepting a client connection failed: {e}; further failures in a row are not logged");
            }
            Timer::after(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Accepts all queued connections, then closes the listener. A client that is already connected at TCP level is not
/// reset without an answer, and one that connects later is refused and can use another router.
async fn accept_queued(node: &Node, listener: Async<TcpListener>, clients: &Rc<Clients>) {
    let deadline = Instant::now() + FINAL_ACCEPT_TIME;
    while let Some(permit) = with_deadline(deadline, node.acquire_permit(&node.descriptors.clients)).await {
        match future::poll_once(listener.accept()).await {
            Some(Ok((stream, _))) => clients.accept(stream, permit),
            Some(Err(_)) | None => return,
        }
    }
}
