//! Clients: accepting them, and one actor for each connection, which reads a request, waits for its answer, and
//! notices when its client has gone.

use std::cell::Cell;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Async;
use beaconshore::interface::{Consistency, Effect, Micros, RequestId, SessionId};
use futures_lite::{future, AsyncWriteExt};
use log::debug;

use crate::budget::Share;
use crate::buffer::Buffer;
use crate::clock::{until, within};
use crate::descriptors::{Permit, Rank, Rest};
use crate::module::{Arrival, Login, Mail, ModuleHandle, Statement};
use crate::pg::{self, sqlstate, Frontend, Opening, Severity};
use crate::stats::Counter;
use crate::Node;

/// A client that doesn't read its answer for so long is gone.
const WRITE_WAIT: Duration = Duration::from_secs(5);
/// A new connection's first request is whole within this, as is any message once it has begun.
const MESSAGE_WAIT: Duration = Duration::from_secs(2);
/// A connection without a request for so long ends.
const IDLE_WAIT: Duration = Duration::from_secs(20);
/// The same once the driver is asked to end: who asks again sooner keeps being served.
const LEAVING_IDLE_WAIT: Duration = Duration::from_secs(1);
/// What has just begun, a connection or a message, is not asked to make room for so long.
const SPARED: Duration = Duration::from_millis(100);
/// Messages in a row that are no requests end a connection.
const MAX_USELESS: u32 = 16;
/// Requests of one connection that may be open at once; further ones wait to be read.
const MAX_OPEN: usize = 64;
/// Messages that are looked at in a row before others get their turn.
const TURN: usize = 16;
/// After an error that ends its connection, a client has so long to read it, and so much that it still sends is
/// taken: closing over unread input may destroy what it was told.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;

/// What reaches the actor of a client's connection.
pub enum ClientMail {
    /// The final answer to its request.
    Answer(RequestId, Answer),
    /// Close, if no request is open.
    Close,
}

/// What a member served.
#[derive(Default)]
pub struct Served {
    /// Its messages up to CommandComplete.
    pub messages: Vec<u8>,
    /// The place among the large answers, if it is one.
    pub large: Option<Share>,
}

/// A final answer.
pub enum Answer {
    /// Served.
    Served(Served),
    /// Refused: trying again is harmless, best after so long (0: no advice).
    Refused(Micros),
    /// Failed.
    Failed,
}

/// How long connections stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// As long as they are of use.
    Serving,
    /// The driver was asked to end: as long as they are in use.
    Leaving,
    /// Until they have no open request.
    Closing,
}

/// All clients' connections.
pub struct Clients {
    node: Rc<Node>,
    module: ModuleHandle,
    phase: Cell<Phase>,
    /// When the driver ends: until then all that it still takes is to be answered.
    ends: Cell<Micros>,
}

impl Clients {
    /// No connections yet.
    pub fn new(node: Rc<Node>, module: ModuleHandle) -> Rc<Self> {
        Rc::new(Clients { node, module, phase: Cell::new(Phase::Serving), ends: Cell::new(Micros::MAX) })
    }

    /// Starts the actor of a connection.
    pub fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, place: Permit) {
        self.node.stats.count(Counter::Accepted);
        let _ = stream.get_ref().set_nodelay(true);
        // It gets one answer for each of its open requests, and one wish to close for each time that it was idle.
        let (sender, mailbox) = async_channel::unbounded();
        let (clients, buffer) = (self.clone(), Buffer::default());
        let mut connection = Connection {
            clients,
            stream,
            buffer,
            read_at: 0,
            sender,
            mailbox,
            state: State::New,
            login: Rc::default(),
            since: Instant::now(),
            useless: 0,
            skipping: false,
            queue: VecDeque::new(),
            end: None,
        };
        self.node.spawn(async move {
            if let Err(end) = connection.serve().await {
                debug!("a client's connection ended: {end}");
            }
            connection.abandon();
            drop(place);
        });
    }

    /// Has connections end that are not in use any more; what is still taken is answered by then.
    pub fn leave(&self, left: Duration) {
        self.phase.set(Phase::Leaving);
        self.ends.set(self.node.clock.now() + left.as_micros() as Micros);
        self.node.descriptors.clients.close_idle();
    }

    /// Has every open request answered, and every connection end.
    pub fn close(&self) {
        self.phase.set(Phase::Closing);
        self.module.send(Mail::Finish);
        self.node.descriptors.clients.close_idle();
    }

    /// Whether no connection is left.
    pub fn is_empty(self: &Rc<Self>) -> bool {
        Rc::strong_count(self) == 1
    }
}

/// What wakes a connection's actor.
enum Wake {
    Input(io::Result<usize>),
    Mail(ClientMail),
}

/// What a connection was good for so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No request has come yet.
    New,
    /// One has.
    Used,
}

struct Connection {
    clients: Rc<Clients>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// When the newest bytes came, at the earliest.
    read_at: Micros,
    sender: Sender<ClientMail>,
    mailbox: Receiver<ClientMail>,
    state: State,
    /// Who its client says to be.
    login: Rc<Login>,
    /// When the connection began or, once it was of use, its message at hand, or its rest.
    since: Instant,
    /// Messages in a row that were no requests.
    useless: u32,
    /// After an error in the extended protocol, all is passed over up to the next Sync.
    skipping: bool,
    /// What is owed, in the order of the messages that asked for it.
    queue: VecDeque<Due>,
    /// How the connection ends once nothing is owed any more.
    end: Option<End>,
}

/// An answer that is owed.
enum Due {
    /// To a request that is open.
    Open { id: RequestId, name: Rc<[u8]>, _large: Option<Share> },
    /// Ready to be written.
    Ready { bytes: Vec<u8>, _large: Option<Share> },
}

/// How a connection ends.
enum End {
    /// Its client said so.
    Left,
    /// With an error: its code and text.
    Fatal(&'static str, String),
}

impl Connection {
    async fn serve(&mut self) -> io::Result<()> {
        if !self.open().await? {
            return Ok(());
        }
        loop {
            let stopped = self.look();
            self.write_answers().await?;
            match (&self.end, self.queue.is_empty()) {
                (Some(End::Left), true) => return Ok(()),
                (Some(End::Fatal(code, text)), true) => return self.give_up(code, &text.clone()).await,
                // One that sends without end is not to hold up the others.
                _ if stopped && self.queue.len() < MAX_OPEN => future::yield_now().await,
                (_, true) => {
                    if !self.more(pg::length(self.buffer.filled())).await? {
                        return Ok(());
                    }
                }
                (_, false) => {
                    if !self.attend().await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// The way to a client's welcome; false if the connection is to end.
    async fn open(&mut self) -> io::Result<bool> {
        loop {
            match pg::opening(self.buffer.filled()) {
                Ok(None) => {
                    if !self.more(pg::opening_length(self.buffer.filled())).await? {
                        return Ok(false);
                    }
                }
                Ok(Some((opening, length))) => {
                    if opening == Opening::Startup {
                        let (user, database) = pg::login(&self.buffer.filled()[..length]);
                        let address = self.stream.get_ref().peer_addr().ok().map(|peer| peer.ip());
                        self.login = Rc::new(Login { address, user: user.into(), database: database.into() });
                    }
                    drop(self.buffer.consume(length));
                    match opening {
                        Opening::Encryption if self.note_useless() => {
                            self.write(&[pg::NO_ENCRYPTION]).await?;
                        }
                        Opening::Encryption | Opening::Cancel => return Ok(false),
                        Opening::Startup => break,
                    }
                }
                Err(broken) => {
                    return self.give_up(broken.sqlstate(), &broken.to_string()).await.map(|()| false);
                }
            }
        }
        let mut out = Vec::new();
        pg::put_welcome(&mut out);
        self.write(&out).await.map(|()| true)
    }

    /// Looks at the messages at hand, as many as may be open or a turn allows; tells whether that stopped it.
    fn look(&mut self) -> bool {
        for _ in 0..TURN {
            if self.end.is_some() {
                return false;
            }
            if self.queue.len() >= MAX_OPEN {
                return true;
            }
            let (message, length) = match pg::frontend(self.buffer.filled()) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => return false,
                Err(broken) => {
                    self.end = Some(End::Fatal(broken.sqlstate(), broken.to_string()));
                    return false;
                }
            };
            let mut out = Vec::new();
            let mut is_of_use = false;
            match message {
                Frontend::Terminate => self.end = Some(End::Left),
                Frontend::Ignored => {}
                Frontend::Sync => {
                    self.skipping = false;
                    pg::put_ready(&mut out);
                }
                Frontend::Extended if self.skipping => {}
                Frontend::Extended => {
                    self.skipping = true;
                    let code = sqlstate::FEATURE_NOT_SUPPORTED;
                    pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
                }
                Frontend::Query(query) if query.trim_ascii().is_empty() => {
                    is_of_use = true;
                    pg::put_empty(&mut out);
                    pg::put_ready(&mut out);
                }
                Frontend::Query(query) => match self.arrival(query) {
                    Ok(arrival) => {
                        // A large one keeps its place until it is answered.
                        let large = self.buffer.consume(length);
                        self.queue.push_back(Due::Open {
                            id: arrival.id,
                            name: arrival.name.clone(),
                            _large: large,
                        });
                        self.clients.node.stats.count(Counter::Requests);
                        self.clients.module.send(Mail::Request(Box::new(arrival)));
                        self.note_use();
                        continue;
                    }
                    Err((code, text)) => {
                        self.clients.node.stats.count(Counter::BadRequests);
                        pg::put_error(&mut out, Severity::Error, code, text, None);
                        pg::put_ready(&mut out);
                    }
                },
            }
            drop(self.buffer.consume(length));
            if !out.is_empty() {
                self.queue.push_back(Due::Ready { bytes: out, _large: None });
            }
            if is_of_use {
                self.note_use();
            } else if !self.note_useless() && self.end.is_none() {
                let text = "too many messages in a row were no requests";
                self.end = Some(End::Fatal(sqlstate::PROTOCOL_VIOLATION, text.into()));
            }
        }
        true
    }

    /// Writes the answers that are ready, in the order of what they answer.
    async fn write_answers(&mut self) -> io::Result<()> {
        while let Some(Due::Ready { .. }) = self.queue.front() {
            let Some(Due::Ready { bytes, _large }) = self.queue.pop_front() else { break };
            self.write(&bytes).await?;
            self.since = Instant::now();
        }
        Ok(())
    }

    /// Notes a request, or its answer: what comes next begins now.
    fn note_use(&mut self) {
        (self.state, self.since, self.useless) = (State::Used, Instant::now(), 0);
    }

    /// Notes a message that was no request; false if there were too many.
    fn note_useless(&mut self) -> bool {
        self.useless += 1;
        if self.state == State::Used {
            self.since = Instant::now();
        }
        self.useless < MAX_USELESS
    }

    /// A request as the module takes it: its statement is copied, since it outlives the buffer.
    fn arrival(&self, query: &[u8]) -> Result<Arrival, pg::BadRequest> {
        let node = &self.clients.node;
        let text = pg::request(query)?;
        let class = node.site.dialect.classes.iter().position(|name| name == text.class);
        let class = class.ok_or((sqlstate::UNDEFINED_OBJECT, "the request's class is not known"))?;
        let facts = &node.site.settings.classes[class];
        if matches!(facts.effect, Effect::Keyed(..)) && !text.keyed {
            return Err((sqlstate::INVALID_PARAMETER_VALUE, "a request of this class needs a key"));
        }
        let in_session = matches!(facts.consistency, Consistency::Write | Consistency::Session);
        let name: Rc<[u8]> = text.id.as_bytes().into();
        let now = node.clock.now();
        if !node.ids.take(&name, now) {
            return Err((sqlstate::DUPLICATE_OBJECT, "another request has this id"));
        }
        let id = node.requests.get() + 1;
        node.requests.set(id);
        // One that had to wait until others were answered begins to wait now.
        let from = if self.queue.len() + 1 < MAX_OPEN { self.read_at } else { now };
        // No client waits longer than its class does over all its tries.
        let wait = (u64::from(text.wait_ms) * 1000).min(facts.deadline);
        Ok(Arrival {
            id: RequestId(id),
            name,
            class,
            group: text.group,
            session: in_session.then(|| session(text.key)),
            ends: (from + wait).min(self.clients.ends.get()),
            repeat: text.repeat,
            after: text.after,
            statement: Rc::new(Statement { text: query.into(), wait_at: text.wait_at }),
            client: self.sender.clone(),
            login: self.login.clone(),
        })
    }

    /// Waits while requests are open; false if the connection is to end.
    async fn attend(&mut self) -> io::Result<bool> {
        // Of input that can't be looked at yet, only a little is read.
        let reads = self.end.is_none() && (self.queue.len() < MAX_OPEN || self.buffer.has_room());
        match self.wake(pg::length(self.buffer.filled()), reads).await {
            Wake::Mail(ClientMail::Answer(id, answer)) => self.answered(id, answer),
            Wake::Mail(ClientMail::Close) | Wake::Input(Ok(1..)) => {}
            Wake::Input(end) => return end.map(|_| false),
        }
        Ok(true)
    }

    /// Notes the answer of an open request; it is written once all before it are.
    fn answered(&mut self, of: RequestId, answer: Answer) {
        let node = &self.clients.node;
        let due = self.queue.iter_mut().find(|due| matches!(due, Due::Open { id, .. } if *id == of));
        node.stats.check(due.is_some(), "an answer reaches the request that it is for");
        let Some(due) = due else { return };
        let (mut bytes, mut large) = (Vec::new(), None);
        match answer {
            Answer::Served(served) => (bytes, large) = (served.messages, served.large),
            Answer::Refused(pause) => {
                let detail = (pause > 0).then(|| pause.div_ceil(1000).to_string());
                let (code, text) = (sqlstate::TOO_MANY_CONNECTIONS, "refused; trying again is harmless");
                pg::put_error(&mut bytes, Severity::Error, code, text, detail.as_deref());
            }
            Answer::Failed => {
                let (code, text) = (sqlstate::COMPLETION_UNKNOWN, "failed; the statement may have run");
                pg::put_error(&mut bytes, Severity::Error, code, text, None);
            }
        }
        pg::put_ready(&mut bytes);
        if let Due::Open { name, .. } = std::mem::replace(due, Due::Ready { bytes, _large: large }) {
            node.ids.release(name, node.clock.now());
        }
    }

    /// Ends what is still open: its client is gone.
    fn abandon(&mut self) {
        let node = &self.clients.node;
        for due in self.queue.drain(..) {
            if let Due::Open { id, name, .. } = due {
                self.clients.module.send(Mail::HungUp(id));
                node.ids.release(name, node.clock.now());
            }
        }
    }

    /// Reads more while no request is open, towards a message of this length (0: not known yet); false if the
    /// connection is to end.
    async fn more(&mut self, length: usize) -> io::Result<bool> {
        let clients = self.clients.clone();
        let has_begun = !self.buffer.filled().is_empty();
        let at_work = has_begun || self.state == State::New;
        let deadline = self.since
            + match clients.phase.get() {
                _ if at_work => MESSAGE_WAIT,
                Phase::Serving => IDLE_WAIT,
                Phase::Leaving | Phase::Closing => LEAVING_IDLE_WAIT,
            };
        if at_work {
            match until(self.since + SPARED, self.wake(length, true)).await {
                Some(Wake::Input(read)) => return Ok(read? > 0),
                Some(Wake::Mail(_)) | None => {}
            }
        }
        if clients.phase.get() == Phase::Closing && !has_begun {
            return self.last_look().await;
        }
        let rank = if at_work { Rank::Useless } else { Rank::Used };
        let rest = self.rest(rank);
        let wake = until(deadline, self.wake(length, true)).await;
        drop(rest);
        match wake {
            Some(Wake::Input(read)) => Ok(read? > 0),
            Some(Wake::Mail(ClientMail::Close))
                if clients.phase.get() == Phase::Leaving && self.since.elapsed() < LEAVING_IDLE_WAIT =>
            {
                clients.node.descriptors.clients.asked_in_vain();
                Ok(true)
            }
            Some(Wake::Mail(ClientMail::Close)) => self.last_look().await,
            Some(Wake::Mail(ClientMail::Answer(..))) => {
                clients.node.stats.check(false, "an answer comes only while its request is open");
                Ok(true)
            }
            None if has_begun => self.stalled().await,
            None => self.last_look().await,
        }
    }

    /// Has this connection asked to go when places run short, until what is returned is dropped.
    fn rest(&self, rank: Rank) -> Rest {
        let sender = self.sender.clone();
        self.clients.node.descriptors.clients.rest(rank, move || drop(sender.try_send(ClientMail::Close)))
    }

    /// What has come meanwhile is served before a connection ends; false if nothing has.
    async fn last_look(&mut self) -> io::Result<bool> {
        let read = future::poll_once(self.buffer.fill(0, &mut self.stream)).await;
        self.note_read();
        let stays = read.map_or(Ok(false), |read| Ok::<_, io::Error>(read? > 0))?;
        if stays {
            self.clients.node.descriptors.clients.asked_in_vain();
        }
        Ok(stays)
    }

    /// A message that has begun has not become whole in time.
    async fn stalled(&mut self) -> io::Result<bool> {
        self.give_up(sqlstate::PROTOCOL_VIOLATION, "the message has not come whole in time")
            .await
            .map(|()| false)
    }

    /// Waits for mail and, if wanted, for input.
    async fn wake(&mut self, length: usize, reads: bool) -> Wake {
        let was_empty = self.buffer.filled().is_empty();
        let mail = async {
            match self.mailbox.recv().await {
                Ok(mail) => Wake::Mail(mail),
                Err(_) => future::pending().await,
            }
        };
        let input = async {
            if !reads {
                return future::pending().await;
            }
            // Nothing to read takes no memory.
            if self.buffer.filled().is_empty() {
                if let Err(e) = self.stream.readable().await {
                    return Wake::Input(Err(e));
                }
            }
            if self.buffer.lacks_room(length) {
                self.buffer.grant(self.clients.node.budget.requests.acquire_arc().await);
            }
            Wake::Input(self.buffer.fill(length, &mut self.stream).await)
        };
        let wake = future::or(mail, input).await;
        if let Wake::Input(_) = wake {
            self.note_read();
            if was_empty && self.state == State::Used {
                self.since = Instant::now();
            }
        }
        wake
    }

    fn note_read(&mut self) {
        let node = &self.clients.node;
        self.read_at = node.pulse.came(node.clock.now());
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = within(WRITE_WAIT, self.stream.write_all(bytes)).await;
        written.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Tells a client whose stream can't be followed why, and ends it.
    async fn give_up(&mut self, code: &str, text: &str) -> io::Result<()> {
        self.clients.node.stats.count(Counter::BadStreams);
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Fatal, code, text, None);
        self.write(&out).await?;
        self.stream.get_ref().shutdown(Shutdown::Write)?;
        let _rest = self.rest(Rank::Useless);
        let (end, mut left) = (Instant::now() + LINGER, LINGER_BYTES);
        loop {
            self.buffer = Buffer::default();
            match until(end, self.wake(0, true)).await {
                Some(Wake::Input(Ok(read @ 1..))) if read < left => left -= read,
                _ => return Ok(()),
            }
            future::yield_now().await;
        }
    }
}

/// The session that a key names.
fn session(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}
