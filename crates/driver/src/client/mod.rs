//! Clients: accepting them, and one actor for each connection, which carries bytes between its socket and its state.
//!
//! Owns the sockets and read buffers. What a connection takes, owes and waits for is decided by `connection`, without I/O.

pub mod connection;
pub mod message;

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

use crate::buffer::Buffer;
use crate::descriptors::{Permit, Rank, Rest};
use crate::module::{Arrival, Login, Mail, ModuleHandle, Statement};
use crate::pg::{self, sqlstate};
use crate::stats::Counter;
use crate::Node;

use connection::{
    Connection, Fault, Left, Look, Phase, Reading, Room, Todo, Wait, DEPARTURE_CHECK, MAX_OPEN,
};
pub use message::{Answer, CancelFlag, ClientMail, Served};

/// Messages that are looked at in a row before others get their turn.
const TURN: usize = 16;

/// All clients' connections.
pub struct Clients {
    node: Rc<Node>,
    module: ModuleHandle,
    phase: Cell<Phase>,
    /// When the driver ends: until then all that it still takes is to be answered.
    ends: Cell<Micros>,
    /// By the keys that cancel what is under way on them.
    open: RefCell<HashMap<u64, Sender<ClientMail>>>,
    /// Hears of the last one's end.
    emptied: Sender<()>,
    /// Makes keys that nobody can guess.
    keys: RandomState,
}

impl Clients {
    /// No connections yet, and what tells that the last one has gone.
    pub fn new(node: Rc<Node>, module: ModuleHandle) -> (Rc<Self>, Receiver<()>) {
        let (emptied, hears) = async_channel::bounded(1);
        let (phase, ends, open) = (Cell::new(Phase::Serving), Cell::new(Micros::MAX), RefCell::default());
        let keys = RandomState::new();
        (Rc::new(Clients { node, module, phase, ends, open, emptied, keys }), hears)
    }

    /// Starts the actor of a connection.
    pub fn welcome(self: &Rc<Self>, stream: Async<TcpStream>, place: Permit) {
        self.node.stats.count(Counter::Accepted);
        // What is written goes out at once: what the system held back would be lost with a reset.
        let _ = stream.get_ref().set_nodelay(true);
        // It gets one answer for each of its open requests, one wish to close for each time that it was idle, and a
        // cancellation for each connection that asks for one.
        let (sender, mailbox) = async_channel::unbounded();
        let key = self.keys.hash_one(self.node.stats.of(Counter::Accepted));
        self.open.borrow_mut().insert(key, sender.clone());
        let mut actor = Actor {
            clients: self.clone(),
            stream,
            buffer: Buffer::default(),
            read_at: 0,
            sender,
            mailbox,
            connection: Connection::new(key, Instant::now()),
            login: Rc::default(),
        };
        self.node.spawn(async move {
            if let Err(end) = actor.serve().await {
                debug!("a client's connection ended: {end}");
            }
            actor.abandon();
            actor.count();
            let clients = actor.clients.clone();
            drop((actor, place));
            clients.ended(key);
        });
    }

    fn ended(&self, key: u64) {
        let mut open = self.open.borrow_mut();
        open.remove(&key);
        if open.is_empty() {
            let _ = self.emptied.try_send(());
        }
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

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }
}

/// What wakes a connection's actor.
enum Wake {
    Input(io::Result<usize>),
    Output(io::Result<()>),
    Mail(ClientMail),
    Time,
}

/// The actor of a connection.
struct Actor {
    clients: Rc<Clients>,
    stream: Async<TcpStream>,
    buffer: Buffer,
    /// When the newest bytes came, at the earliest.
    read_at: Micros,
    sender: Sender<ClientMail>,
    mailbox: Receiver<ClientMail>,
    connection: Connection,
    /// Who its client says to be.
    login: Rc<Login>,
}

impl Actor {
    async fn serve(&mut self) -> io::Result<()> {
        loop {
            let stopped = self.look();
            let wrote = self.flush()?;
            let (phase, begun) = (self.clients.phase.get(), !self.buffer.filled().is_empty());
            // What was written may have made room for what is at hand.
            if stopped || wrote && begun {
                // One that sends without end is not to hold up the others.
                future::yield_now().await;
                continue;
            }
            match self.connection.next(phase, begun, Instant::now()) {
                Todo::Close => return Ok(()),
                Todo::Write => {}
                Todo::Shut => {
                    self.stream.get_ref().shutdown(Shutdown::Write)?;
                    self.connection.shut(Instant::now());
                }
                Todo::LastLook => self.last_look().await?,
                Todo::Wait(wait) => {
                    let wake = self.wait(wait).await;
                    self.woken(wake, wait)?;
                }
            }
        }
    }

    /// Looks at the messages at hand; tells whether there may be more than a turn allows.
    fn look(&mut self) -> bool {
        for _ in 0..TURN {
            let now = Instant::now();
            match self.connection.look(self.buffer.filled(), now) {
                Look::Nothing => return false,
                Look::Passed(length) => drop(self.buffer.consume(length)),
                Look::Login(startup) => {
                    let (user, database) = pg::login(startup);
                    let address = self.stream.get_ref().peer_addr().ok().map(|peer| peer.ip());
                    self.login = Rc::new(Login { address, user: user.into(), database: database.into() });
                    let length = startup.len();
                    drop(self.buffer.consume(length));
                }
                Look::Cancel(key, length) => {
                    drop(self.buffer.consume(length));
                    self.clients.open.borrow().get(&key).into_iter().for_each(|of| {
                        let _ = of.try_send(ClientMail::Cancel);
                    });
                }
                Look::Request(query, length) => match self.arrival(query) {
                    Ok(arrival) => {
                        // A large one keeps its place until it is answered.
                        let large = self.buffer.consume(length);
                        let (id, name, cancel_flag) =
                            (arrival.id, arrival.name.clone(), arrival.cancel_flag.clone());
                        self.connection.took(id, name, cancel_flag, large, now);
                        self.clients.node.stats.count(Counter::Requests);
                        self.clients.module.send(Mail::Request(Box::new(arrival)));
                    }
                    Err(refusal) => {
                        drop(self.buffer.consume(length));
                        self.clients.node.stats.count(Counter::BadRequests);
                        self.connection.declined(refusal, now);
                    }
                },
            }
        }
        true
    }

    /// Writes what is ready, as far as there is room for it; whether anything was.
    fn flush(&mut self) -> io::Result<bool> {
        let mut wrote = false;
        while let Some(bytes) = self.connection.output(Instant::now()) {
            match self.stream.get_ref().write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.connection.wrote(count, Instant::now());
                    wrote = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(wrote)
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
        let from = if self.connection.owed() + 1 < MAX_OPEN { self.read_at } else { now };
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
            cancel_flag: CancelFlag::default(),
            client: self.sender.clone(),
            login: self.login.clone(),
        })
    }

    /// Waits for what this asks for.
    async fn wait(&mut self, wait: Wait) -> Wake {
        let length = self.connection.length(self.buffer.filled());
        let discards = wait.reading == Reading::Discard;
        if discards {
            self.buffer = Buffer::default();
        }
        let lacks_room = !discards && self.buffer.lacks_room(length);
        let reads = match wait.reading {
            Reading::Messages | Reading::Discard => true,
            // Enough to see its client's end, where nothing else is before that.
            Reading::Ahead => self.buffer.has_room() && !lacks_room,
            Reading::Nothing => false,
        };
        let now = Instant::now();
        let (spared, rest) = match wait.rest {
            Some((from, _)) if now < from => (Some(from), None),
            rest => (None, rest.map(|(_, rank)| self.rest(rank))),
        };
        // Where the input may stay unread, its end is looked for behind it.
        let check = (wait.watches && (!reads || lacks_room)).then(|| now + DEPARTURE_CHECK);
        let until = [wait.until, spared, check].into_iter().flatten().min();
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
            if lacks_room {
                self.buffer.grant(self.clients.node.budget.requests.acquire_arc().await);
            }
            Wake::Input(self.buffer.fill(length, &mut &self.stream).await)
        };
        let output = async {
            match wait.writing {
                true => Wake::Output(self.stream.writable().await),
                false => future::pending().await,
            }
        };
        let time = async {
            match until {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Wake::Time
        };
        let wake = future::or(mail, future::or(input, future::or(output, time))).await;
        drop(rest);
        wake
    }

    fn woken(&mut self, wake: Wake, wait: Wait) -> io::Result<()> {
        let now = Instant::now();
        match wake {
            Wake::Input(count) => self.came(count?, wait.reading == Reading::Discard)?,
            Wake::Output(ready) => ready?,
            Wake::Time if wait.watches && self.has_departed() => {
                return Err(io::ErrorKind::ConnectionAborted.into())
            }
            Wake::Time => {}
            Wake::Mail(ClientMail::Answer(id, answer)) => {
                let node = &self.clients.node;
                match self.connection.answered(id, answer) {
                    Some(name) => node.ids.release(name, node.clock.now()),
                    None => node.stats.check(
                        self.connection.has_cancelled(),
                        "an answer reaches the request that it is for",
                    ),
                }
            }
            Wake::Mail(ClientMail::Close) => {
                let begun = !self.buffer.filled().is_empty();
                if self.connection.make_room(self.clients.phase.get(), begun, now) == Room::InUse {
                    self.clients.node.descriptors.clients.asked_in_vain();
                }
            }
            Wake::Mail(ClientMail::Cancel) => {
                let left = self.connection.cancelled();
                self.tell_left(left);
            }
        }
        Ok(())
    }

    /// Notes what was read; nothing: its client has gone.
    fn came(&mut self, count: usize, discards: bool) -> io::Result<()> {
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let node = &self.clients.node;
        self.read_at = node.stalls.came(node.clock.now());
        let was_empty = self.buffer.filled().len() == count;
        if discards {
            self.buffer = Buffer::default();
        }
        self.connection.read(count, was_empty, Instant::now());
        Ok(())
    }

    /// What has come meanwhile is served before a connection ends.
    async fn last_look(&mut self) -> io::Result<()> {
        // Room for a byte at least: half a message may fill what there is.
        let wanted = self.buffer.filled().len() + 1;
        match future::poll_once(self.buffer.fill(wanted, &mut &self.stream)).await {
            Some(count) => {
                self.came(count?, false)?;
                self.clients.node.descriptors.clients.asked_in_vain();
            }
            None => self.connection.nothing_came(),
        }
        Ok(())
    }

    /// Whether its client has closed, or the connection broke, behind what was not read yet.
    fn has_departed(&self) -> bool {
        let mut look = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let ready = poll(&mut look, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
        let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        ready.is_ok_and(|count| count > 0) && look[0].revents().intersects(gone)
    }

    /// Ends what is still open: its client is gone.
    fn abandon(&mut self) {
        let left = self.connection.gone();
        self.tell_left(left);
    }

    fn tell_left(&self, left: Vec<Left>) {
        let node = &self.clients.node;
        for Left { id, name } in left {
            self.clients.module.send(Mail::HungUp(id));
            node.ids.release(name, node.clock.now());
        }
    }

    fn count(&self) {
        let stats = &self.clients.node.stats;
        match self.connection.fault() {
            Some(Fault::Stream) => stats.count(Counter::BadStreams),
            Some(Fault::Room) => stats.count(Counter::NoRoom),
            Some(Fault::Ending) => stats.count(Counter::CutShort),
            None if self.connection.is_unanswered() => stats.count(Counter::Unanswered),
            None => {}
        }
    }

    /// Has this connection asked to go when places run short, until what is returned is dropped.
    fn rest(&self, rank: Rank) -> Rest {
        let sender = self.sender.clone();
        self.clients.node.descriptors.clients.rest(rank, move || drop(sender.try_send(ClientMail::Close)))
    }
}

/// The session that a key names.
fn session(key: &[u8]) -> SessionId {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    SessionId(hasher.finish())
}
