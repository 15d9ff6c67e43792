//! Discovery: the whole list now and then, and the watch from its version; a broken one is taken up again after a pause.
//!
//! Owns the calls to discovery. What it learns goes to the module whole; it decides nothing about members. What is called
//! when, and which list counts, is decided by `follower`, without I/O.

mod answer;
pub mod follower;
pub mod pace;
pub mod values;

use std::fmt;
use std::future::Future;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use log::{info, warn};

use crate::http;
use crate::listing::Listing;
use crate::meter::Work;
use crate::module::ModuleHandle;
use crate::stats::Counter;
use crate::Node;

use answer::Answer;
use follower::{Action, Follower, Verdict};
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
async fn moved(node: &Rc<Node>, addresses: &Receiver<SocketAddr>) -> (SocketAddr, Listing) {
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
async fn whole(node: &Rc<Node>, address: SocketAddr) -> Listing {
    let mut calls = Calls::new(node, address);
    loop {
        match list(node, address, calls.pace.call).await {
            Ok((listing, _)) => return listing,
            Err(end) => {
                calls.failed(&end);
                Timer::after(calls.pace.pause()).await;
            }
        }
    }
}

/// Follows the list at one address without end.
async fn follow_one(
    node: &Rc<Node>,
    address: SocketAddr,
    version: Option<u64>,
    module: &ModuleHandle,
) -> (SocketAddr, Listing) {
    let mut calls = Calls::new(node, address);
    let mut follower = Follower::new(calls.pace, version, Instant::now());
    let (mut whole, mut watch) = (None, Watch::Closed);
    loop {
        while let Some(action) = follower.next(Instant::now()) {
            match action {
                Action::AskWhole => whole = Some(Box::pin(list(node, address, calls.pace.call))),
                Action::Watch(from) => {
                    watch = Watch::Opening(Box::pin(open(node, address, from, calls.pace.call)))
                }
                Action::DropWatch => watch = Watch::Closed,
            }
        }
        let listing = async {
            match &mut whole {
                Some(call) => Came::Whole(call.as_mut().await),
                None => future::pending().await,
            }
        };
        let due = async {
            match follower.due() {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Came::Time
        };
        // Losing what waits here loses no bytes.
        match future::or(listing, future::or(watch.news(), due)).await {
            Came::Time => {}
            Came::Whole(Ok((listing, digest))) => {
                whole = None;
                calls.answered();
                if follower.whole_came(listing.generation, digest, Instant::now()) == Verdict::Applies {
                    module.list(listing).await;
                }
            }
            Came::Whole(Err(end)) => {
                whole = None;
                calls.failed(&end);
                follower.whole_failed(Instant::now());
            }
            Came::Opened(answer) => watch = Watch::Open(answer),
            Came::News(None) => calls.answered(),
            Came::News(Some(listing)) => {
                calls.answered();
                follower.changed(listing.generation);
                module.list(listing).await;
            }
            Came::Ended(end) => {
                watch = Watch::Closed;
                calls.failed(&end);
                follower.watch_ended(Instant::now());
            }
        }
    }
}

/// What came of the calls that are open.
enum Came {
    Whole(Result<(Listing, u64), End>),
    Opened(Box<Answer>),
    News(Option<Listing>),
    Ended(End),
    Time,
}

/// The call that watches.
enum Watch<F> {
    Closed,
    Opening(Pin<Box<F>>),
    Open(Box<Answer>),
}

impl<F: Future<Output = Result<Answer, End>>> Watch<F> {
    async fn news(&mut self) -> Came {
        match self {
            Watch::Closed => future::pending().await,
            Watch::Opening(call) => match call.as_mut().await {
                Ok(answer) => Came::Opened(Box::new(answer)),
                Err(end) => Came::Ended(end),
            },
            Watch::Open(answer) => match answer.news().await {
                Ok(news) => Came::News(news),
                Err(end) => Came::Ended(end),
            },
        }
    }
}

/// Fetches the whole list, with a digest of its text.
async fn list(node: &Rc<Node>, address: SocketAddr, call: Duration) -> Result<(Listing, u64), End> {
    let answer = Answer::open(node, address, "/v1/endpoints", call).await?;
    node.stats.count(Counter::Watches);
    let text = answer.whole().await?;
    let mut digest = DefaultHasher::new();
    text.hash(&mut digest);
    let listing = node.meter.measure(Work::List, || serde_json::from_slice(&text)).map_err(End::Json)?;
    Ok((listing, digest.finish()))
}

/// Opens a watch of the changes after a version.
async fn open(node: &Rc<Node>, address: SocketAddr, from: u64, call: Duration) -> Result<Answer, End> {
    let answer = Answer::open(node, address, &format!("/v1/endpoints?watch=1&from={from}"), call).await?;
    node.stats.count(Counter::Watches);
    Ok(answer)
}

/// The calls of one address: their pace, and whether it answers.
struct Calls<'n> {
    node: &'n Rc<Node>,
    address: SocketAddr,
    pace: Pace,
    down: bool,
}

impl<'n> Calls<'n> {
    fn new(node: &'n Rc<Node>, address: SocketAddr) -> Self {
        Calls { node, address, pace: Pace::within(node.site.dialect.drain_grace), down: false }
    }

    /// It told something that can be read.
    fn answered(&mut self) {
        if std::mem::take(&mut self.down) {
            info!("discovery at {} is back", self.address);
        }
    }

    /// A call ended without that.
    fn failed(&mut self, end: &End) {
        self.node.stats.count(Counter::CallsFailed);
        if !std::mem::replace(&mut self.down, true) {
            warn!("discovery at {} is lost: {end}", self.address);
        }
    }
}
