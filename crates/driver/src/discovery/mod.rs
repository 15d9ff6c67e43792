//! Discovery: the whole list, then the watch from its version; a broken one is taken up again after a pause.
//!
//! Owns the call to discovery. What it learns goes to the module whole; it decides nothing about members.

mod answer;
pub mod pace;
pub mod values;

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use log::{info, warn};

use crate::http;
use crate::listing::Listing;
use crate::module::ModuleHandle;
use crate::stats::Counter;
use crate::Node;

use answer::Answer;
use pace::Pace;

/// Why a list or a watch ended.
#[derive(Debug)]
enum End {
    Io(std::io::Error),
    Silent,
    Closed,
    Status(u16),
    Http(http::Broken),
    Json(serde_json::Error),
    TooLong,
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            End::Io(e) => write!(f, "{e}"),
            End::Silent => f.write_str("nothing came for too long"),
            End::Closed => f.write_str("the connection was closed"),
            End::Status(status) => write!(f, "status {status}"),
            End::Http(broken) => write!(f, "{broken}"),
            End::Json(e) => write!(f, "a list can't be read: {e}"),
            End::TooLong => f.write_str("a list is over its bound"),
        }
    }
}

/// Follows the list for as long as the driver runs: at this address, and later at each that `addresses` names, from
/// the time at which that one has given its whole list. Until then the one before is still heeded.
pub async fn follow(
    node: Rc<Node>,
    address: SocketAddr,
    addresses: Receiver<SocketAddr>,
    module: ModuleHandle,
) {
    let (mut address, mut version) = (address, None);
    loop {
        // The first of both is looked at first: once the new list is in, the old watch says nothing any more.
        let moved = moved(&node, &addresses);
        let (next, listing) = future::or(moved, follow_one(&node, address, version, &module)).await;
        info!("the list is now followed at {next}");
        (address, version) = (next, Some(listing.generation));
        module.list(listing).await;
    }
}

/// The newest address that is to be followed, once it has given its whole list, with that list.
async fn moved(node: &Node, addresses: &Receiver<SocketAddr>) -> (SocketAddr, Listing) {
    let named = || async {
        match addresses.recv().await {
            Ok(address) => address,
            Err(_) => future::pending().await,
        }
    };
    let mut address = named().await;
    loop {
        let newer = async { Err(named().await) };
        let listing = async { Ok(whole(node, address).await) };
        match future::or(newer, listing).await {
            Ok(listing) => return (address, listing),
            Err(newer) => address = newer,
        }
    }
}

/// The whole list at an address, asked for until it is given.
async fn whole(node: &Node, address: SocketAddr) -> Listing {
    let mut calls = Calls::new(node, address);
    loop {
        match list(node, &calls).await {
            Ok(listing) => return listing,
            Err(end) => calls.failed(&end).await,
        }
    }
}

/// Follows the list at one address without end.
async fn follow_one(
    node: &Node,
    address: SocketAddr,
    mut version: Option<u64>,
    module: &ModuleHandle,
) -> (SocketAddr, Listing) {
    let mut calls = Calls::new(node, address);
    loop {
        let end = match version {
            None => match list(node, &calls).await {
                Ok(listing) => {
                    calls.answered();
                    version = Some(listing.generation);
                    module.list(listing).await;
                    continue;
                }
                Err(end) => end,
            },
            Some(from) => watch(node, from, module, &mut version, &mut calls).await,
        };
        // Garbled changes may have been missed, and one watch that fell silent may be followed by another that does: the
        // whole list tells, and it comes at once or not at all.
        if !matches!(end, End::Io(_) | End::Closed) {
            version = None;
        }
        calls.failed(&end).await;
    }
}

/// Fetches the whole list.
async fn list(node: &Node, calls: &Calls) -> Result<Listing, End> {
    let answer = Answer::open(calls.address, "/v1/endpoints", calls.pace.call).await?;
    node.stats.count(Counter::Watches);
    serde_json::from_slice(&answer.whole().await?).map_err(End::Json)
}

/// Follows the changes after a version, until the watch ends.
async fn watch(
    node: &Node,
    from: u64,
    module: &ModuleHandle,
    version: &mut Option<u64>,
    calls: &mut Calls,
) -> End {
    let changes = async {
        let target = format!("/v1/endpoints?watch=1&from={from}");
        let mut answer = Answer::open(calls.address, &target, calls.pace.call).await?;
        node.stats.count(Counter::Watches);
        loop {
            let news = answer.news().await?;
            calls.answered();
            let Some(listing) = news else { continue };
            calls.pace.answered();
            *version = Some(listing.generation);
            module.list(listing).await;
        }
    };
    let ended: Result<Infallible, End> = changes.await;
    match ended {
        Err(end) => end,
        Ok(never) => match never {},
    }
}

/// The calls of one address: their pauses, and whether it answers.
struct Calls {
    address: SocketAddr,
    pace: Pace,
    down: bool,
}

impl Calls {
    fn new(node: &Node, address: SocketAddr) -> Self {
        Calls { address, pace: Pace::within(node.site.dialect.drain_grace), down: false }
    }

    /// It told something that can be read.
    fn answered(&mut self) {
        if std::mem::take(&mut self.down) {
            info!("discovery at {} is back", self.address);
        }
    }

    /// A call ended: pauses before the next one, longer each time.
    async fn failed(&mut self, end: &End) {
        if !std::mem::replace(&mut self.down, true) {
            warn!("discovery at {} is lost: {end}", self.address);
        }
        Timer::after(self.pace.pause()).await;
    }
}
