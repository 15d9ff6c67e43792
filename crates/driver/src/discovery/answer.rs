//! One answer of discovery that is being read: its head, then its body whole or as news.
//!
//! Owns its connection, which carries no other call. Every wait has an end, and what has come is bounded.

use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::{future, AsyncWriteExt};

use super::pace::SILENCE;
use super::values::Values;
use super::End;
use crate::buffer::Buffer;
use crate::clock::until;
use crate::http;
use crate::listing::Listing;
use crate::meter::Work;
use crate::stats::Counter;
use crate::Node;

/// Room for each read, at least.
const ROOM: usize = 4 * 1024;
/// Bound on a list.
const MAX_LISTING: usize = 4 * 1024 * 1024;

pub struct Answer {
    node: Rc<Node>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    response: http::Response,
    values: Values,
    /// When a body that is wanted whole has to be there.
    whole_by: Instant,
    /// When the last value was whole, or the last word came that nothing has changed.
    spoke: Instant,
}

impl Answer {
    /// Calls discovery; yields once the answer's head is there, within this time.
    pub async fn open(
        node: &Rc<Node>,
        address: SocketAddr,
        target: &str,
        call: Duration,
    ) -> Result<Answer, End> {
        let whole_by = Instant::now() + call;
        let open = async {
            let mut stream = Async::<TcpStream>::connect(address).await.map_err(End::Io)?;
            let request = http::get(target, &address.to_string());
            stream.write_all(request.as_bytes()).await.map_err(End::Io)?;
            node.stats.add(Counter::ListBytesSent, request.len());
            let mut buffer = Buffer::default();
            loop {
                if let Some((response, length)) = http::head(buffer.filled()).map_err(End::Http)? {
                    drop(buffer.consume(length));
                    if response.status != 200 {
                        return Err(End::Status(response.status));
                    }
                    let (values, spoke) = (Values::default(), Instant::now());
                    let node = node.clone();
                    return Ok(Answer { node, stream, buffer, response, values, whole_by, spoke });
                }
                let count = buffer.fill(buffer.filled().len() + ROOM, &mut stream).await.map_err(End::Io)?;
                if count == 0 {
                    return Err(End::Closed);
                }
                node.stats.add(Counter::ListBytesReceived, count);
            }
        };
        in_time(whole_by, open).await
    }

    /// The whole body, within the call's time: one that trickles is not waited for.
    pub async fn whole(mut self) -> Result<Vec<u8>, End> {
        while !self.take()? {
            if self.read(self.whole_by).await? == 0 {
                let whole = self.response.ends_with_connection();
                return if whole { Ok(std::mem::take(self.values.end())) } else { Err(End::Closed) };
            }
        }
        Ok(std::mem::take(self.values.end()))
    }

    /// What a watch says next: a list, or that nothing has changed. A list that has begun has to be whole as soon as a
    /// watch has to speak.
    pub async fn news(&mut self) -> Result<Option<Listing>, End> {
        loop {
            let done = self.take()?;
            let came = self.values.begun() > 0;
            let Answer { node, values, .. } = self;
            let listing = node.meter.measure(Work::List, || values.listing()).map_err(End::Json)?;
            if listing.is_some() || came && self.values.begun() == 0 {
                self.spoke = Instant::now();
                return Ok(listing);
            }
            if done || self.read(self.spoke + SILENCE).await? == 0 {
                return Err(End::Closed);
            }
        }
    }

    /// Moves what has come of the body to the values; whether it is all.
    fn take(&mut self) -> Result<bool, End> {
        let taken = self.response.body(self.buffer.filled(), self.values.end()).map_err(End::Http)?;
        drop(self.buffer.consume(taken));
        if self.values.begun() > MAX_LISTING {
            return Err(End::TooLong);
        }
        Ok(self.response.is_done())
    }

    /// Reads once, the more at a time the longer a list has grown: each read has the list looked at from its start.
    async fn read(&mut self, end: Instant) -> Result<usize, End> {
        future::yield_now().await;
        let wanted = self.buffer.filled().len() + ROOM.max(self.values.begun());
        let read = async { self.buffer.fill(wanted, &mut self.stream).await.map_err(End::Io) };
        let count = in_time(end, read).await?;
        self.node.stats.add(Counter::ListBytesReceived, count);
        Ok(count)
    }
}

async fn in_time<T>(end: Instant, future: impl Future<Output = Result<T, End>>) -> Result<T, End> {
    until(end, future).await.unwrap_or(Err(End::Silent))
}
