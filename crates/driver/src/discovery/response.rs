//! Reads one HTTP response of discovery: its head, then its body, either as one full list or as the updates of a watch.
//!
//! Owns the connection, which carries no other call. Every wait has a deadline, and the size of a list is bounded.

use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use futures_lite::{future, AsyncWriteExt};

use super::call_timing::{MAX_CALL_TIME, WATCH_TIMEOUT};
use super::update_decoder::UpdateDecoder;
use super::CallError;
use crate::buffer::Buffer;
use crate::clock::with_deadline;
use crate::http;
use crate::membership::MembershipUpdate;
use crate::meter::Work;
use crate::stats::Counter;
use crate::Node;

/// Least number of bytes that a read has space for.
const MIN_READ_BYTES: usize = 4 * 1024;
/// Longest JSON text of one list or update, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// An HTTP response of discovery whose head has been read.
pub struct DiscoveryResponse {
    node: Rc<Node>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    response: http::Response,
    decoder: UpdateDecoder,
    /// Deadline for a body that is read as one full list.
    body_deadline: Instant,
    /// When the last complete update arrived, or the last message that nothing has changed.
    last_message_at: Instant,
}

impl DiscoveryResponse {
    /// Calls discovery, and returns once the head of the response has arrived. The whole call, up to the last byte of a full
    /// list, may take [`MAX_CALL_TIME`].
    pub async fn open(
        node: &Rc<Node>,
        address: SocketAddr,
        target: &str,
    ) -> Result<DiscoveryResponse, CallError> {
        let body_deadline = Instant::now() + MAX_CALL_TIME;
        let call = async {
            let mut stream = Async::<TcpStream>::connect(address).await.map_err(CallError::Io)?;
            let request = http::get_request(target, &address.to_string());
            stream.write_all(request.as_bytes()).await.map_err(CallError::Io)?;
            node.stats.add(Counter::ListBytesSent, request.len());
            let mut buffer = Buffer::default();
            loop {
                if let Some((response, length)) =
                    http::parse_head(buffer.filled()).map_err(CallError::Http)?
                {
                    drop(buffer.consume(length));
                    if response.status != 200 {
                        return Err(CallError::Status(response.status));
                    }
                    let (decoder, last_message_at) = (UpdateDecoder::default(), Instant::now());
                    let node = node.clone();
                    return Ok(DiscoveryResponse {
                        node,
                        stream,
                        buffer,
                        response,
                        decoder,
                        body_deadline,
                        last_message_at,
                    });
                }
                let count = buffer
                    .fill(buffer.filled().len() + MIN_READ_BYTES, &mut stream)
                    .await
                    .map_err(CallError::Io)?;
                if count == 0 {
                    return Err(CallError::Closed);
                }
                node.stats.add(Counter::ListBytesReceived, count);
            }
        };
        with_call_deadline(body_deadline, call).await
    }

    /// Reads the whole body. The call fails if the body is not complete by its deadline, however steadily it arrives.
    pub async fn read_body(mut self) -> Result<Vec<u8>, CallError> {
        while !self.receive()? {
            if self.read(self.body_deadline).await? == 0 {
                let complete = self.response.ends_with_connection();
                return if complete {
                    Ok(std::mem::take(self.decoder.input()))
                } else {
                    Err(CallError::Closed)
                };
            }
        }
        Ok(std::mem::take(self.decoder.input()))
    }

    /// Reads the next message of a watch: an update, or `None` for a message that nothing has changed. An update that has
    /// begun must be complete within the same time in which a watch has to send something.
    pub async fn next_update(&mut self) -> Result<Option<MembershipUpdate>, CallError> {
        loop {
            let done = self.receive()?;
            let was_pending = self.decoder.pending_bytes() > 0;
            let DiscoveryResponse { node, decoder, .. } = self;
            let update = node.meter.measure(Work::List, || decoder.next_update()).map_err(CallError::Json)?;
            if update.is_some() || was_pending && self.decoder.pending_bytes() == 0 {
                self.last_message_at = Instant::now();
                return Ok(update);
            }
            if done || self.read(self.last_message_at + WATCH_TIMEOUT).await? == 0 {
                return Err(CallError::Closed);
            }
        }
    }

    /// Moves the received part of the body into the decoder. Returns whether the body is complete.
    fn receive(&mut self) -> Result<bool, CallError> {
        let consumed =
            self.response.read_body(self.buffer.filled(), self.decoder.input()).map_err(CallError::Http)?;
        drop(self.buffer.consume(consumed));
        if self.decoder.pending_bytes() > MAX_LIST_BYTES {
            return Err(CallError::TooLong);
        }
        Ok(self.response.is_complete())
    }

    /// Reads once. The longer an incomplete list already is, the more is read at a time, because the list is parsed from
    /// its start after each read.
    async fn read(&mut self, deadline: Instant) -> Result<usize, CallError> {
        future::yield_now().await;
        let length = self.buffer.filled().len() + MIN_READ_BYTES.max(self.decoder.pending_bytes());
        let read = async { self.buffer.fill(length, &mut self.stream).await.map_err(CallError::Io) };
        let count = with_call_deadline(deadline, read).await?;
        self.node.stats.add(Counter::ListBytesReceived, count);
        Ok(count)
    }
}

async fn with_call_deadline<T>(
    deadline: Instant,
    future: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    with_deadline(deadline, future).await.unwrap_or(Err(CallError::Silent))
}
