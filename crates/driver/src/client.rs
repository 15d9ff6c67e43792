//! Clients: accepting them, and one actor for each connection, which reads a request, waits for its answer, and
//! notices when its client has gone.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Async;
use beaconshore::interface::{Consistency, Effect, Micros, RequestId, SessionId};
use futures_lite::{future, AsyncWriteExt};
use log::debug;

use crate::buffer::Buffer;
use crate::clock::within;
use crate::descriptors::Permit;
use crate::module::{Arrival, Mail, ModuleHandle, Statement};
use crate::pg::{self, sqlstate, Frontend, Opening, Severity};
use crate::stats::Counter;
use crate::Node;

/// A client that doesn't read its answer for so long is gone.
const WRITE_WAIT: Duration = Duration::from_secs(10);
/// A new connection is not idle for so long: its first request is on the way.
const FIRST_WAIT: Duration = Duration::from_secs(1);

/// What reaches the actor of a client's connection.
#[derive(Debug)]
pub enum ClientMail {
    /// The final answer to its request.
    Answer(RequestId, Answer),
    /// Close, if no request is open.
    Close,
}

/// A final answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served: a member's messages up to CommandComplete.
    Served(Vec<u8>),
    /// Refused: trying again is harmless, best after so long (0: no advice).
    Refused(Micros),
    /// Failed.
    Failed,
}

/// All clients' connections.
pub struct Clients {
    node: Rc<Node>,
    module: ModuleHandle,
    /// Connections end once they have no open request.
    closing: Cell<bool>,
}

impl Clients {
    /// No connections yet.
    pub fn new(node: Rc<Node>, module: ModuleHandle) -> Rc<Self> {
        Rc::new(Clients { node, module, closing: Cell::new(false) })
    }

    /// Starts the actor of a connection.
    pub fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, place: Permit) {
        self.node.stats.count(Counter::Accepted);
        let _ = stream.get_ref().set_nodelay(true);
        // It gets at most one answer, and one wish to close for each time that it was idle.
        let (sender, mailbox) = async_channel::unbounded();
        let (clients, buffer) = (self.clone(), Buffer::default());
        let connection = Connection { clients, stream, buffer, read_at: 0, sender, mailbox, is_new: true };
        self.node.spawn(async move {
            if let Err(end) = connection.serve().await {
                debug!("a client's connection ended: {end}");
            }
            drop(place);
        });
    }

    /// Has every connection end once it has no open request.
    pub fn close(&self) {
        self.closing.set(true);
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

struct Connection {
    clients: Rc<Clients>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// When the newest bytes came, at the earliest.
    read_at: Micros,
    sender: Sender<ClientMail>,
    mailbox: Receiver<ClientMail>,
    /// No request has come yet, and its time to come is not over.
    is_new: bool,
}

impl Connection {
    async fn serve(mut self) -> io::Result<()> {
        loop {
            match pg::opening(self.buffer.filled()) {
                Ok(None) => {
                    if !self.more().await? {
                        return Ok(());
                    }
                }
                Ok(Some((opening, length))) => {
                    self.buffer.consume(length);
                    match opening {
                        Opening::Encryption => self.write(&[pg::NO_ENCRYPTION]).await?,
                        Opening::Cancel => return Ok(()),
                        Opening::Startup => break,
                    }
                }
                Err(broken) => return self.give_up(broken).await,
            }
        }
        let mut out = Vec::new();
        pg::put_welcome(&mut out);
        self.write(&out).await?;
        // After an error in the extended protocol, all is passed over up to the next Sync.
        let mut skipping = false;
        loop {
            let (message, length) = match pg::frontend(self.buffer.filled()) {
                Ok(Some(parsed)) => parsed,
                Ok(None) => match self.more().await? {
                    true => continue,
                    false => return Ok(()),
                },
                Err(broken) => return self.give_up(broken).await,
            };
            out.clear();
            match message {
                Frontend::Terminate => return Ok(()),
                Frontend::Ignored => {}
                Frontend::Sync => {
                    skipping = false;
                    pg::put_ready(&mut out);
                }
                Frontend::Extended if skipping => {}
                Frontend::Extended => {
                    skipping = true;
                    let code = sqlstate::FEATURE_NOT_SUPPORTED;
                    pg::put_error(&mut out, Severity::Error, code, "only simple queries are taken", None);
                }
                Frontend::Query(query) if query.trim_ascii().is_empty() => {
                    pg::put_empty(&mut out);
                    pg::put_ready(&mut out);
                }
                Frontend::Query(query) => match self.arrival(query) {
                    Ok(arrival) => {
                        self.buffer.consume(length);
                        if !self.request(arrival).await? {
                            return Ok(());
                        }
                        continue;
                    }
                    Err((code, text)) => {
                        self.clients.node.stats.count(Counter::BadRequests);
                        pg::put_error(&mut out, Severity::Error, code, text, None);
                        pg::put_ready(&mut out);
                    }
                },
            }
            self.buffer.consume(length);
            if !out.is_empty() {
                self.write(&out).await?;
            }
            // One that sends without end what needs no answer is not to hold up the others.
            future::yield_now().await;
        }
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
        let id = node.requests.get() + 1;
        node.requests.set(id);
        Ok(Arrival {
            id: RequestId(id),
            class,
            group: text.group,
            session: in_session.then(|| session(text.key)),
            ends: self.read_at + u64::from(text.wait_ms) * 1000,
            repeat: text.repeat,
            after: text.after,
            statement: Rc::new(Statement { text: query.into(), wait_at: text.wait_at }),
            client: self.sender.clone(),
        })
    }

    /// Has a request answered; false if the connection is to end.
    async fn request(&mut self, arrival: Arrival) -> io::Result<bool> {
        let id = arrival.id;
        self.is_new = false;
        self.clients.node.stats.count(Counter::Requests);
        self.clients.module.send(Mail::Request(Box::new(arrival)));
        let answer = loop {
            // Input that can't be looked at yet is only read as far as the next request may reach.
            let reads = self.buffer.filled().len() < pg::MAX_QUERY;
            match self.wake(reads).await {
                Wake::Mail(ClientMail::Answer(of, answer)) => {
                    self.clients.node.stats.check(of == id, "an answer reaches the request that it is for");
                    break answer;
                }
                Wake::Mail(ClientMail::Close) | Wake::Input(Ok(1..)) => {}
                Wake::Input(end) => {
                    self.clients.module.send(Mail::HungUp(id));
                    return end.map(|_| false);
                }
            }
        };
        let mut out = Vec::new();
        match answer {
            Answer::Served(messages) => out = messages,
            Answer::Refused(pause) => {
                let detail = (pause > 0).then(|| pause.div_ceil(1000).to_string());
                let (code, text) = (sqlstate::TOO_MANY_CONNECTIONS, "refused; trying again is harmless");
                pg::put_error(&mut out, Severity::Error, code, text, detail.as_deref());
            }
            Answer::Failed => {
                let (code, text) = (sqlstate::COMPLETION_UNKNOWN, "failed; the statement may have run");
                pg::put_error(&mut out, Severity::Error, code, text, None);
            }
        }
        pg::put_ready(&mut out);
        self.write(&out).await?;
        Ok(true)
    }

    /// Reads more while no request is open; false if the connection is to end.
    async fn more(&mut self) -> io::Result<bool> {
        if self.is_new {
            match within(FIRST_WAIT, self.wake(true)).await {
                Some(Wake::Input(read)) => return Ok(read? > 0),
                Some(Wake::Mail(_)) | None => self.is_new = false,
            }
        }
        let clients = self.clients.clone();
        let (places, sender) = (&clients.node.descriptors.clients, self.sender.clone());
        let turn = places.rest(move || drop(sender.try_send(ClientMail::Close)));
        let wake = if clients.closing.get() && self.buffer.filled().is_empty() {
            Wake::Mail(ClientMail::Close)
        } else {
            self.wake(true).await
        };
        places.wake(turn);
        match wake {
            Wake::Input(read) => Ok(read? > 0),
            Wake::Mail(ClientMail::Close) => {
                // What has come meanwhile is served before the connection ends.
                let read = future::poll_once(self.buffer.fill(&mut self.stream)).await;
                self.note_read();
                read.map_or(Ok(false), |read| Ok(read? > 0))
            }
            Wake::Mail(ClientMail::Answer(..)) => {
                clients.node.stats.check(false, "an answer comes only while its request is open");
                Ok(true)
            }
        }
    }

    async fn wake(&mut self, reads: bool) -> Wake {
        let mail = async {
            match self.mailbox.recv().await {
                Ok(mail) => Wake::Mail(mail),
                Err(_) => future::pending().await,
            }
        };
        let input = async {
            match reads {
                true => Wake::Input(self.buffer.fill(&mut self.stream).await),
                false => future::pending().await,
            }
        };
        let wake = future::or(mail, input).await;
        if let Wake::Input(_) = wake {
            self.note_read();
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
    async fn give_up(&mut self, broken: pg::Broken) -> io::Result<()> {
        self.clients.node.stats.count(Counter::BadStreams);
        let mut out = Vec::new();
        pg::put_error(&mut out, Severity::Fatal, broken.sqlstate(), &broken.to_string(), None);
        self.write(&out).await
    }
}

/// The session that a key names.
fn session(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}
