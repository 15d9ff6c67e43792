//! Clients: one actor for each connection, which carries bytes between the socket and the connection's state.
//!
//! Owns the sockets and read buffers. What a connection accepts, owes and waits for is decided by
//! `connection`, which does no I/O.

pub mod connection;
mod large_message;
pub mod message;
mod request_memory;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, DefaultHasher, Hash, Hasher, RandomState};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use beaconshore::interface::{Consistency, Effect, Micros, RequestId, SessionId};
use futures_lite::future;
use log::debug;
use rustix::event::{poll, PollFd, PollFlags, Timespec};

use crate::budget::MessageMemory;
use crate::buffer::Buffer;
use crate::decision::{ClientIdentity, ClientRequest, DecisionHandle, DecisionMessage, Statement};
use crate::permit_pool::{IdleRank, IdleRegistration, Permit};
use crate::pg::{self, sqlstate, BadRequest, ParsedRequest};
use crate::stats::Counter;
use crate::Node;

use connection::{
    AbandonedRequest, CloseCause, ConnectionState, Eviction, Input, NextStep, Phase, ReadMode, Wait,
    DISCONNECT_CHECK_INTERVAL,
};
use large_message::MemoryWait;
pub use message::{Answer, CancelFlag, ClientMessage, MemberAnswer};
use request_memory::RequestMemory;

/// Messages of one connection that are processed before other actors get their turn.
const MAX_MESSAGES_PER_TURN: usize = 16;

/// The connections of all clients.
pub struct Clients {
    node: Rc<Node>,
    decision: DecisionHandle,
    phase: Cell<Phase>,
    /// The latest deadline of a request, which is set when the driver begins to shut down: by then everything
    /// that it still accepts has to be answered.
    latest_deadline: Cell<Micros>,
    /// Senders of the connections' mailboxes, by the key that a cancel request names.
    connections: RefCell<HashMap<u64, Sender<ClientMessage>>>,
    /// Gets a message when the last connection has ended.
    emptied: Sender<()>,
    /// Derives cancel keys from a random seed, so that nobody can guess them.
    key_hasher: RandomState,
}

impl Clients {
    /// A table without connections, and a receiver that gets a message when the last connection has ended.
    pub fn new(node: Rc<Node>, decision: DecisionHandle) -> (Rc<Self>, Receiver<()>) {
        let (emptied, on_emptied) = async_channel::bounded(1);
        let (phase, latest_deadline, connections) =
            (Cell::new(Phase::Serving), Cell::new(Micros::MAX), RefCell::default());
        let key_hasher = RandomState::new();
        (
            Rc::new(Clients { node, decision, phase, latest_deadline, connections, emptied, key_hasher }),
            on_emptied,
        )
    }

    /// Starts the actor of a connection.
    pub fn accept(self: &Rc<Self>, stream: Async<TcpStream>, permit: Permit) {
        self.node.stats.count(Counter::ConnectionsAccepted);
        // Data is sent at once. What the kernel held back would be lost if the connection is reset.
        let _ = stream.get_ref().set_nodelay(true);
        // The mailbox has no capacity of its own. It gets one answer for each open request, one request to
        // close for each time that the connection was idle, and one message for each cancel request.
        let (sender, mailbox) = async_channel::unbounded();
        let key = self.key_hasher.hash_one(self.node.stats.get(Counter::ConnectionsAccepted));
        self.connections.borrow_mut().insert(key, sender.clone());
        let mut actor = ConnectionActor {
            clients: self.clone(),
            stream,
            buffer: Buffer::default(),
            received_at: 0,
            unread_since: None,
            memory_wait: None,
            granted_memory: None,
            memory_granted_at: Instant::now(),
            sender,
            mailbox,
            connection: ConnectionState::new(key, Instant::now()),
            identity: Rc::default(),
        };
        self.node.spawn(async move {
            if let Err(error) = actor.serve().await {
                debug!("a client's connection ended: {error}");
            }
            actor.abandon_requests();
            actor.count_end();
            let clients = actor.clients.clone();
            drop((actor, permit));
            clients.remove(key);
        });
    }

    /// Removes a connection that has ended.
    fn remove(&self, key: u64) {
        let mut connections = self.connections.borrow_mut();
        connections.remove(&key);
        if connections.is_empty() {
            let _ = self.emptied.try_send(());
        }
    }

    /// Closes connections as they become idle. Requests that are still accepted have to be answered within
    /// the given time.
    pub fn start_shutdown(&self, time_left: Duration) {
        self.phase.set(Phase::ShuttingDown);
        self.latest_deadline.set(self.node.clock.now() + time_left.as_micros() as Micros);
        self.node.descriptors.clients.ask_all_idle();
    }

    /// Has every open request answered, and closes every connection.
    pub fn close_all(&self) {
        self.phase.set(Phase::Closing);
        self.decision.send(DecisionMessage::FailOpenRequests);
        self.node.descriptors.clients.ask_all_idle();
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }
}

/// What wakes the actor of a connection.
enum WakeReason {
    Input(io::Result<usize>),
    /// More of a large message has arrived than can be read without a permit.
    MemoryNeeded(io::Result<()>),
    MemoryGranted(MessageMemory),
    Output(io::Result<()>),
    Message(ClientMessage),
    Deadline,
}

/// The actor of a connection.
struct ConnectionActor {
    clients: Rc<Clients>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// The earliest time at which the newest bytes may have arrived.
    received_at: Micros,
    /// Since when input may have been left in the socket for want of memory. None once all was read.
    unread_since: Option<Micros>,
    /// The wait for memory for the message that the buffer begins with.
    memory_wait: Option<MemoryWait>,
    /// Memory that was granted to the small request that the buffer begins with.
    granted_memory: Option<MessageMemory>,
    /// When the buffer was last granted memory for a large message.
    memory_granted_at: Instant,
    sender: Sender<ClientMessage>,
    mailbox: Receiver<ClientMessage>,
    connection: ConnectionState,
    /// What the client said of itself in its startup message.
    identity: Rc<ClientIdentity>,
}

impl ConnectionActor {
    /// Serves the connection to its end. An error ends it without an orderly shutdown.
    async fn serve(&mut self) -> io::Result<()> {
        loop {
            if self.has_left_unnoticed() {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let turn_ended = self.process_messages();
            let wrote = self.flush()?;
            let (phase, begun) = (self.clients.phase.get(), self.has_begun_message());
            // Output that was written may have made room for the next message in the buffer.
            if turn_ended || wrote && begun {
                // Yields, so that a client that sends without pause does not hold up the other actors.
                future::yield_now().await;
                continue;
            }
            match self.connection.next_step(phase, begun, Instant::now()) {
                NextStep::Close => return Ok(()),
                NextStep::Write => {}
                NextStep::ShutdownWrite => {
                    self.stream.get_ref().shutdown(Shutdown::Write)?;
                    self.connection.on_write_shutdown(Instant::now());
                }
                NextStep::CheckInput => self.check_for_input().await?,
                NextStep::Wait(wait) => {
                    let wake = self.wait(wait).await;
                    self.handle_wake(wake, wait)?;
                }
            }
        }
    }

    /// Processes the messages in the buffer. True if the turn ended before all were processed.
    fn process_messages(&mut self) -> bool {
        for _ in 0..MAX_MESSAGES_PER_TURN {
            let now = Instant::now();
            match self.connection.next_input(self.buffer.filled(), now) {
                Input::NotReady => return false,
                Input::Consume(length) => drop(self.buffer.consume(length)),
                Input::Startup(startup) => {
                    let (user, database) = pg::startup_parameters(startup);
                    let address = self.stream.get_ref().peer_addr().ok().map(|peer| peer.ip());
                    self.identity =
                        Rc::new(ClientIdentity { address, user: user.into(), database: database.into() });
                    let length = startup.len();
                    drop(self.buffer.consume(length));
                }
                Input::Cancel(key, length) => {
                    drop(self.buffer.consume(length));
                    self.clients.connections.borrow().get(&key).into_iter().for_each(|connection| {
                        let _ = connection.try_send(ClientMessage::CancelRequests);
                    });
                }
                Input::Request(_, length) => {
                    let Some(memory) = self.take_request_memory(length) else { return false };
                    self.process_request(length, memory, now);
                }
            }
        }
        true
    }

    /// Accepts or rejects the request whose message, of this length, the buffer begins with.
    fn process_request(&mut self, length: usize, memory: RequestMemory, now: Instant) {
        match self.read_request(pg::query_text(&self.buffer.filled()[..length])) {
            Ok(client_request) => {
                let large_permit = self.buffer.consume(length);
                let memory = memory.for_accepted_request(large_permit);
                let (id, client_id, cancel_flag) =
                    (client_request.id, client_request.client_id.clone(), client_request.cancel_flag.clone());
                self.connection.request_accepted(id, client_id, cancel_flag, memory, now);
                self.clients.node.stats.count(Counter::Requests);
                self.clients.decision.send(DecisionMessage::Request(Box::new(client_request)));
            }
            Err(refusal) => {
                drop(self.buffer.consume(length));
                self.clients.node.stats.count(Counter::BadRequests);
                self.connection.request_rejected(refusal, now);
            }
        }
    }

    /// Writes the output that is ready, as far as the socket takes it. True if anything was written.
    fn flush(&mut self) -> io::Result<bool> {
        let mut wrote = false;
        while let Some(bytes) = self.connection.pending_output(Instant::now()) {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.connection.on_written(count, Instant::now());
                    wrote = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(wrote)
    }

    /// Builds the request for the decision module. The statement is copied, since it outlives the buffer.
    fn read_request(&self, query: &[u8]) -> Result<ClientRequest, pg::BadRequest> {
        let node = &self.clients.node;
        let request = pg::parse_request(query)?;
        let class_index = self.find_class(&request)?;
        let class_settings = &node.settings.module.classes[class_index];
        if matches!(class_settings.effect, Effect::Keyed(..)) && !request.has_idempotency_key {
            return Err((sqlstate::INVALID_PARAMETER_VALUE, "a request of this class needs a key"));
        }
        let in_session = matches!(class_settings.consistency, Consistency::Write | Consistency::Session);
        let client_id: Rc<[u8]> = request.id.as_bytes().into();
        let now = node.clock.now();
        if !node.request_ids.reserve(&client_id, now) {
            return Err((sqlstate::DUPLICATE_OBJECT, "another request has this id"));
        }
        let id = node.last_request_id.get() + 1;
        node.last_request_id.set(id);
        let waits_since = if self.connection.starts_request_now() { now } else { self.received_at };
        let wait = self.waiting_time(&request, class_index);
        Ok(ClientRequest {
            id: RequestId(id),
            client_id,
            class_index,
            group: request.group,
            session: in_session.then(|| session_id(request.key)),
            deadline: (waits_since + wait).min(self.clients.latest_deadline.get()),
            is_repeat: request.is_repeat,
            min_position_ms: request.min_position_ms,
            statement: Rc::new(Statement {
                text: query.into(),
                wait_range: request.wait_range,
                repeats_dropped_for: match class_settings.effect {
                    Effect::Keyed(_, window) => window,
                    Effect::Safe | Effect::Unsafe => 0,
                },
            }),
            cancel_flag: CancelFlag::default(),
            client: self.sender.clone(),
            identity: self.identity.clone(),
        })
    }

    /// The index of a request's class.
    fn find_class(&self, request: &ParsedRequest) -> Result<usize, BadRequest> {
        let names = &self.clients.node.settings.protocol.class_names;
        let class_index = names.iter().position(|name| name == request.class);
        class_index.ok_or((sqlstate::UNDEFINED_OBJECT, "the request's class is not known"))
    }

    /// How long a request's client waits. A class limits that over all retries.
    fn waiting_time(&self, request: &ParsedRequest, class_index: usize) -> Micros {
        let class_settings = &self.clients.node.settings.module.classes[class_index];
        (u64::from(request.wait_ms) * 1000).min(class_settings.deadline)
    }

    /// Whether part of a message has been read.
    fn has_begun_message(&self) -> bool {
        !self.buffer.filled().is_empty() || self.connection.is_skipping()
    }

    /// Whether the client's leaving is looked for: it waits for an answer, or has sent a whole message that waits for memory.
    fn watches_disconnect(&self, wait: Wait) -> bool {
        wait.watches_disconnect || self.is_whole_message_waiting()
    }

    /// Waits for one of the given conditions.
    async fn wait(&mut self, wait: Wait) -> WakeReason {
        let length = self.connection.message_length(self.buffer.filled());
        let discards = wait.read_mode == ReadMode::Discard;
        if discards {
            self.buffer = Buffer::default();
            (self.memory_wait, self.granted_memory) = (None, None);
        }
        let is_whole = self.is_whole_message_waiting();
        let lacks_room = !discards && (is_whole || self.buffer.needs_permit(length));
        let reads = match wait.read_mode {
            _ if is_whole => true,
            ReadMode::Messages | ReadMode::Discard => true,
            // Enough to notice that the client has closed, if it does so before it sends anything.
            ReadMode::Ahead => self.buffer.has_room() && !lacks_room,
            ReadMode::Paused => false,
        };
        if !(reads && lacks_room) {
            self.memory_wait = None;
        }
        let now = Instant::now();
        let (eviction_start, registration) = match wait.idle_since {
            Some((from, _)) if now < from => (Some(from), None),
            idle_since => (None, idle_since.map(|(_, rank)| self.register_idle(rank))),
        };
        // Where input may stay unread, the socket is polled for a disconnection behind it.
        let checks_disconnect = self.watches_disconnect(wait) && (!reads || lacks_room);
        let disconnect_check = checks_disconnect.then(|| now + DISCONNECT_CHECK_INTERVAL);
        let (reclaimable_at, memory_registration) = self.register_memory(now);
        let refuse_at = self.memory_wait.as_ref().and_then(|wait| wait.gives_up_at);
        let wake_at = [wait.deadline, eviction_start, disconnect_check, reclaimable_at, refuse_at];
        let wake_at = wake_at.into_iter().flatten().min();
        let message = async {
            match self.mailbox.recv().await {
                Ok(message) => WakeReason::Message(message),
                Err(_) => future::pending().await,
            }
        };
        let input = async {
            if !reads {
                return future::pending().await;
            }
            // No memory is taken until there is something to read.
            if self.buffer.filled().is_empty() {
                if let Err(e) = self.stream.readable().await {
                    return WakeReason::Input(Err(e));
                }
            }
            match &mut self.memory_wait {
                Some(wait) if lacks_room => return WakeReason::MemoryGranted(wait.memory.as_mut().await),
                None if lacks_room => return WakeReason::MemoryNeeded(self.stream.readable().await),
                _ => {}
            }
            let unread = future::poll_once(self.buffer.fill(length, &mut &self.stream)).await;
            if let Some(count) = unread {
                return WakeReason::Input(count);
            }
            // All that had arrived was read.
            self.unread_since = None;
            WakeReason::Input(self.buffer.fill(length, &mut &self.stream).await)
        };
        let output = async {
            match wait.wants_write {
                true => WakeReason::Output(self.stream.writable().await),
                false => future::pending().await,
            }
        };
        let time = async {
            match wake_at {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            WakeReason::Deadline
        };
        let wake = future::or(message, future::or(input, future::or(output, time))).await;
        drop((registration, memory_registration));
        wake
    }

    /// Handles what the actor was woken for.
    fn handle_wake(&mut self, wake: WakeReason, wait: Wait) -> io::Result<()> {
        let now = Instant::now();
        match wake {
            WakeReason::Input(count) => self.input_received(count?, wait.read_mode == ReadMode::Discard)?,
            WakeReason::MemoryNeeded(ready) => {
                ready?;
                self.request_memory();
            }
            WakeReason::MemoryGranted(memory) => self.grant_memory(memory),
            WakeReason::Output(ready) => ready?,
            WakeReason::Deadline if self.watches_disconnect(wait) && self.has_disconnected() => {
                return Err(io::ErrorKind::ConnectionAborted.into())
            }
            WakeReason::Deadline => self.end_overdue_memory_wait(now),
            WakeReason::Message(ClientMessage::Answer(id, answer)) => {
                let node = &self.clients.node;
                let (is_served, is_refused) =
                    (matches!(answer, Answer::Served(_)), matches!(answer, Answer::Refused(_)));
                match self.connection.queue_answer(id, answer) {
                    Some(client_id) if is_refused => node.request_ids.forget(&client_id),
                    Some(client_id) if is_served => node.request_ids.release(client_id, node.clock.now()),
                    Some(client_id) => node.request_ids.release_unresolved(client_id, node.clock.now()),
                    None => node.stats.check_invariant(
                        self.connection.has_cancelled_requests(),
                        "an answer belongs to a request of the connection that it reaches",
                    ),
                }
            }
            WakeReason::Message(ClientMessage::CloseIfIdle) => {
                let begun = self.has_begun_message();
                if self.connection.evict(self.clients.phase.get(), begun, now) == Eviction::InUse {
                    self.clients.node.descriptors.clients.on_declined();
                }
            }
            WakeReason::Message(ClientMessage::ReleaseMemory) => self.release_memory(),
            WakeReason::Message(ClientMessage::CancelRequests) => {
                let abandoned = self.connection.cancel_requests();
                self.report_abandoned(abandoned);
            }
        }
        Ok(())
    }

    /// Notes how many bytes were read. None at all mean that the client has closed the connection.
    fn input_received(&mut self, count: usize, discards: bool) -> io::Result<()> {
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let node = &self.clients.node;
        let earliest_arrival = node.stall_detector.earliest_arrival(node.clock.now());
        self.received_at = self.unread_since.unwrap_or(earliest_arrival);
        let was_empty = self.buffer.filled().len() == count && !self.connection.is_skipping();
        if discards {
            self.buffer = Buffer::default();
        }
        self.connection.on_read(count, was_empty, Instant::now());
        Ok(())
    }

    /// Checks once for input that arrived meanwhile, which is served before the connection ends.
    async fn check_for_input(&mut self) -> io::Result<()> {
        // Room for at least one more byte: part of a message may fill the buffer.
        let wanted = self.buffer.filled().len() + 1;
        match future::poll_once(self.buffer.fill(wanted, &mut &self.stream)).await {
            Some(count) => {
                self.input_received(count?, false)?;
                self.clients.node.descriptors.clients.on_declined();
            }
            None => self.connection.on_no_input(),
        }
        Ok(())
    }

    /// Whether the client has closed the connection or it broke, even though input before that is unread.
    fn has_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let ready = poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        let disconnected = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        ready.is_ok_and(|count| count > 0) && polled[0].revents().intersects(disconnected)
    }

    /// Whether the client has gone since it sent what is in the buffer. The end of its connection is still behind that,
    /// and perhaps behind much that has not been read.
    fn has_left_unnoticed(&self) -> bool {
        !self.buffer.filled().is_empty() && self.has_disconnected()
    }

    /// Abandons the open requests, since the client is gone.
    fn abandon_requests(&mut self) {
        let abandoned = self.connection.disconnected();
        self.report_abandoned(abandoned);
    }

    /// Reports requests that their client has left to the decision module, and releases their ids.
    fn report_abandoned(&self, abandoned: Vec<AbandonedRequest>) {
        let node = &self.clients.node;
        for AbandonedRequest { id, client_id } in abandoned {
            self.clients.decision.send(DecisionMessage::RequestAbandoned(id));
            node.request_ids.release_unresolved(client_id, node.clock.now());
        }
    }

    /// Counts how the connection ended.
    fn count_end(&self) {
        let stats = &self.clients.node.stats;
        match self.connection.close_cause() {
            Some(CloseCause::ProtocolViolation) => stats.count(Counter::ProtocolViolations),
            Some(CloseCause::NoCapacity) => stats.count(Counter::ConnectionsRejected),
            Some(CloseCause::Shutdown) => stats.count(Counter::ConnectionsCutByShutdown),
            None if self.connection.is_unanswered() => stats.count(Counter::ConnectionsUnanswered),
            None => {}
        }
    }

    /// Registers the connection as idle, so that it may be asked to close when descriptors run short.
    /// Dropping the result withdraws that.
    fn register_idle(&self, rank: IdleRank) -> IdleRegistration {
        let sender = self.sender.clone();
        self.clients
            .node
            .descriptors
            .clients
            .register_idle(rank, move || drop(sender.try_send(ClientMessage::CloseIfIdle)))
    }
}

/// The session that a key stands for.
fn session_id(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}
