//! Discovery: the whole list, then the watch from its version; a broken one is taken up again after a pause.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use log::{info, warn};

use crate::buffer::Buffer;
use crate::clock::within;
use crate::http;
use crate::listing::Listing;
use crate::module::ModuleHandle;
use crate::stats::Counter;
use crate::Node;

/// A watch tells something at least every 2 s; one that was silent for so long is dead.
const SILENCE: Duration = Duration::from_secs(3);
/// Discovery answers at once; a call that has no answer by then is given up.
const CALL_WAIT: Duration = Duration::from_secs(1);
/// Pauses between attempts to reach discovery: doubled from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Room for each read.
const ROOM: usize = 4 * 1024;
/// Bound on a list or a line of changes.
const MAX_LISTING: usize = 4 * 1024 * 1024;

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
    let mut calls = Calls::new(address);
    loop {
        match list(node, address).await {
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
    let mut calls = Calls::new(address);
    loop {
        let end = match version {
            None => match list(node, address).await {
                Ok(listing) => {
                    calls.answered();
                    version = Some(listing.generation);
                    module.list(listing).await;
                    continue;
                }
                Err(end) => end,
            },
            Some(from) => watch(node, address, from, module, &mut version, &mut calls).await,
        };
        // Garbled changes may have been missed: the whole list tells.
        if matches!(end, End::Json(_) | End::Http(_) | End::TooLong | End::Status(_)) {
            version = None;
        }
        calls.failed(&end).await;
    }
}

/// Fetches the whole list.
async fn list(node: &Node, address: SocketAddr) -> Result<Listing, End> {
    let mut answer = Answer::open(address, "/v1/endpoints").await?;
    node.stats.count(Counter::Watches);
    serde_json::from_slice(&answer.part(Part::Whole).await?).map_err(End::Json)
}

/// Follows the changes after a version, until the watch ends.
async fn watch(
    node: &Node,
    address: SocketAddr,
    from: u64,
    module: &ModuleHandle,
    version: &mut Option<u64>,
    calls: &mut Calls,
) -> End {
    let changes = async {
        let mut answer = Answer::open(address, &format!("/v1/endpoints?watch=1&from={from}")).await?;
        node.stats.count(Counter::Watches);
        loop {
            let line = answer.part(Part::Line).await?;
            if line.trim_ascii().is_empty() {
                calls.answered();
                continue;
            }
            let listing: Listing = serde_json::from_slice(&line).map_err(End::Json)?;
            calls.answered();
            calls.pause = FIRST_PAUSE;
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
    pause: Duration,
    down: bool,
}

impl Calls {
    fn new(address: SocketAddr) -> Self {
        Calls { address, pause: FIRST_PAUSE, down: false }
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
        Timer::after(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

/// What is wanted of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// The next line of a watch.
    Line,
    /// The whole body of another answer.
    Whole,
}

/// An answer of discovery that is being read.
struct Answer {
    stream: Async<TcpStream>,
    buffer: Buffer,
    response: http::Response,
    /// The body's bytes that no line has taken yet.
    body: Vec<u8>,
}

impl Answer {
    async fn open(address: SocketAddr, target: &str) -> Result<Answer, End> {
        let open = async {
            let mut stream = Async::<TcpStream>::connect(address).await.map_err(End::Io)?;
            stream.write_all(http::get(target, &address.to_string()).as_bytes()).await.map_err(End::Io)?;
            let mut buffer = Buffer::default();
            loop {
                if let Some((response, length)) = http::head(buffer.filled()).map_err(End::Http)? {
                    drop(buffer.consume(length));
                    if response.status != 200 {
                        return Err(End::Status(response.status));
                    }
                    return Ok(Answer { stream, buffer, response, body: Vec::new() });
                }
                if buffer.fill(buffer.filled().len() + ROOM, &mut stream).await.map_err(End::Io)? == 0 {
                    return Err(End::Closed);
                }
            }
        };
        in_time(CALL_WAIT, open).await
    }

    /// The next part of the body.
    async fn part(&mut self, part: Part) -> Result<Vec<u8>, End> {
        let is_watch = part == Part::Line;
        loop {
            let taken = self.response.body(self.buffer.filled(), &mut self.body).map_err(End::Http)?;
            drop(self.buffer.consume(taken));
            if let Some(end) = self.body.iter().position(|&b| b == b'\n').filter(|_| is_watch) {
                let rest = self.body.split_off(end + 1);
                return Ok(std::mem::replace(&mut self.body, rest));
            }
            if self.response.is_done() {
                return if is_watch { Err(End::Closed) } else { Ok(std::mem::take(&mut self.body)) };
            }
            if self.body.len() > MAX_LISTING {
                return Err(End::TooLong);
            }
            future::yield_now().await;
            let wanted = self.buffer.filled().len() + ROOM;
            let read = async { self.buffer.fill(wanted, &mut self.stream).await.map_err(End::Io) };
            let limit = if is_watch { SILENCE } else { CALL_WAIT };
            if in_time(limit, read).await? == 0 {
                let whole = self.response.ends_with_connection() && !is_watch;
                return if whole { Ok(std::mem::take(&mut self.body)) } else { Err(End::Closed) };
            }
        }
    }
}

async fn in_time<T>(limit: Duration, future: impl Future<Output = Result<T, End>>) -> Result<T, End> {
    within(limit, future).await.unwrap_or(Err(End::Silent))
}
