//! Discovery: the whole list, then the watch from its version; a broken one is taken up again after a pause.

use std::fmt;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

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
const SILENCE: Duration = Duration::from_secs(5);
/// Pauses between attempts to reach discovery: doubled from the first to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
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

/// Follows the list for as long as the driver runs.
pub async fn follow(node: Rc<Node>, address: SocketAddr, module: ModuleHandle) {
    let mut version = None;
    let mut pause = FIRST_PAUSE;
    let mut down = false;
    loop {
        let before = version;
        let end = match watch(&node, address, &module, &mut version, &mut down).await {
            Ok(()) => continue,
            Err(end) => end,
        };
        let progressed = version != before;
        // Garbled changes may have been missed: the whole list tells.
        if matches!(end, End::Json(_) | End::Http(_) | End::TooLong | End::Status(_)) {
            version = None;
        }
        if !down {
            warn!("discovery at {address} is lost: {end}");
            down = true;
        }
        pause = if progressed { FIRST_PAUSE } else { (pause * 2).min(LONGEST_PAUSE) };
        Timer::after(pause).await;
    }
}

/// Fetches the whole list where no version is known, else follows the changes until the watch ends.
async fn watch(
    node: &Node,
    address: SocketAddr,
    module: &ModuleHandle,
    version: &mut Option<u64>,
    down: &mut bool,
) -> Result<(), End> {
    let target = match version {
        None => "/v1/endpoints".to_string(),
        Some(version) => format!("/v1/endpoints?watch=1&from={version}"),
    };
    let mut answer = Answer::open(address, &target).await?;
    let is_watch = version.is_some();
    node.stats.count(Counter::Watches);
    loop {
        let line = answer.line(is_watch).await?;
        if std::mem::take(down) {
            info!("discovery at {address} is back");
        }
        if line.trim_ascii().is_empty() {
            continue;
        }
        let listing: Listing = serde_json::from_slice(&line).map_err(End::Json)?;
        *version = Some(listing.generation);
        module.list(listing).await;
        if !is_watch {
            return Ok(());
        }
    }
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
                    buffer.consume(length);
                    if response.status != 200 {
                        return Err(End::Status(response.status));
                    }
                    return Ok(Answer { stream, buffer, response, body: Vec::new() });
                }
                if buffer.fill(&mut stream).await.map_err(End::Io)? == 0 {
                    return Err(End::Closed);
                }
            }
        };
        in_time(open).await
    }

    /// The next line of a watch, or the whole body of another answer.
    async fn line(&mut self, is_watch: bool) -> Result<Vec<u8>, End> {
        loop {
            let taken = self.response.body(self.buffer.filled(), &mut self.body).map_err(End::Http)?;
            self.buffer.consume(taken);
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
            let read = async { self.buffer.fill(&mut self.stream).await.map_err(End::Io) };
            if in_time(read).await? == 0 {
                let whole = self.response.ends_with_connection() && !is_watch;
                return if whole { Ok(std::mem::take(&mut self.body)) } else { Err(End::Closed) };
            }
        }
    }
}

async fn in_time<T>(future: impl Future<Output = Result<T, End>>) -> Result<T, End> {
    within(SILENCE, future).await.unwrap_or(Err(End::Silent))
}
