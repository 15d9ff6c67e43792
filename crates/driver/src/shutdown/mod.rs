//! Accepting clients until the driver is told to stop, and the way from there to its end.
//!
//! Owns the listener. Which step is next and when is decided by `course`, without I/O.

pub mod course;

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
use crate::clock::until;
use crate::descriptors::Permit;
use crate::Node;

use course::{Course, Step, LAST_ANSWERS};

/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Those that wait to be accepted at the end get a place within this: idle ones have just been asked to go.
const LAST_PLACES: Duration = LAST_ANSWERS.saturating_sub(Duration::from_millis(200));

/// What moves the course on.
enum Wake {
    Signal,
    Accepted(Option<(Async<std::net::TcpStream>, Permit)>),
    Time,
}

/// Accepts clients; once `stop` is ready, has all that was taken answered, and ends.
pub async fn serve(
    node: Rc<Node>,
    listener: Async<TcpListener>,
    clients: Rc<Clients>,
    emptied: Receiver<()>,
    stop: impl Future<Output = ()>,
) {
    let longest = node.site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
    let mut course = Course::new(Duration::from_micros(longest), Instant::now());
    let (mut stop, mut stopping, mut listener) = (pin!(stop), false, Some(listener));
    let mut failing = false;
    loop {
        course.connections(clients.count(), Instant::now());
        match course.step(Instant::now()) {
            None => {}
            Some(Step::Leave(left)) => {
                info!("stopping: no further requests are wanted");
                clients.leave(left);
                continue;
            }
            Some(Step::Close) => {
                clients.close();
                if let Some(listener) = listener.take() {
                    accept_rest(&node, listener, &clients).await;
                }
                continue;
            }
            Some(Step::End) => {
                info!("stopped: all that was taken is answered");
                return;
            }
        }
        let signal = async {
            match stopping {
                true => future::pending().await,
                false => stop.as_mut().await,
            }
            Wake::Signal
        };
        let accepted = async {
            match &listener {
                Some(listener) => Wake::Accepted(accept(&node, listener, &mut failing).await),
                None => future::pending().await,
            }
        };
        let time = async {
            match course.due() {
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
                stopping = true;
                course.signal(Instant::now());
            }
            Wake::Accepted(Some((stream, place))) => clients.welcome(stream, place),
            Wake::Accepted(None) | Wake::Time => {}
        }
    }
}

/// The next client's connection, with its place; none after a failure, and a pause.
async fn accept(
    node: &Node,
    listener: &Async<TcpListener>,
    failing: &mut bool,
) -> Option<(Async<std::net::TcpStream>, Permit)> {
    let place = node.place(&node.descriptors.clients).await;
    match listener.accept().await {
        Ok((stream, _)) => {
            *failing = false;
            Some((stream, place))
        }
        Err(e) => {
            if !std::mem::replace(failing, true) {
                warn!("accepting a client failed: {e}");
            }
            Timer::after(ACCEPT_PAUSE).await;
            None
        }
    }
}

/// Takes what waits to be accepted, then listens no more: who connected to this machine is not to be reset unheard, and
/// who comes later finds nobody and can go elsewhere.
async fn accept_rest(node: &Node, listener: Async<TcpListener>, clients: &Rc<Clients>) {
    let end = Instant::now() + LAST_PLACES;
    while let Some(place) = until(end, node.place(&node.descriptors.clients)).await {
        match future::poll_once(listener.accept()).await {
            Some(Ok((stream, _))) => clients.welcome(stream, place),
            Some(Err(_)) | None => return,
        }
    }
}
