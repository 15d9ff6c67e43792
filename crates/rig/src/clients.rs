//! Clients on sockets: connections that are kept and opened as they are needed, and what each request came to.
//!
//! Owns the clients' connections to one process. When a request is asked, and whether again, the day decides.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use beaconshore::interface::{Consistency, Micros};
use beaconshore_emulator::client::Answer;
use beaconshore_emulator::live::Ask;
use beaconshore_emulator::Plan;
use futures_lite::{future, AsyncWriteExt};

use crate::mail::Mail;
use crate::spawner::Spawner;
use crate::wire::{fields, message, query, startup, Inbox};

/// So much longer than its time a client listens for its answer: a late one is told apart from none.
const LISTENS: Duration = Duration::from_secs(2);
/// A process has this long to take a connection.
const CONNECT: Duration = Duration::from_secs(1);

/// So often a connection that is to rest is opened again while its process does not take it, with this pause.
const RESTING_TRIES: usize = 100;
const RESTING_PAUSE: Duration = Duration::from_millis(50);

struct Connection {
    stream: Async<TcpStream>,
    inbox: Inbox,
    used: bool,
}

/// How a request ended on a connection.
enum End {
    Answered(Answer, Connection),
    /// The connection ended; whether the whole request was written, and whether anything came back.
    Broken {
        written: bool,
        begun: bool,
    },
    /// No answer for longer than any may take.
    Silent,
}

/// The clients of one process.
#[derive(Clone)]
pub struct Clients {
    pub router: usize,
    pub address: SocketAddr,
    pub spawner: Spawner,
    pub mail: Sender<Mail>,
    idle: Rc<RefCell<Vec<Connection>>>,
    /// Connections that send nothing.
    resting: Rc<RefCell<Vec<Connection>>>,
}

impl Clients {
    pub fn new(router: usize, address: SocketAddr, spawner: Spawner, mail: Sender<Mail>) -> Self {
        Clients { router, address, spawner, mail, idle: Rc::default(), resting: Rc::default() }
    }

    /// Connections to a process that is gone lead nowhere.
    pub fn forget(&self) {
        self.idle.borrow_mut().clear();
        self.resting.borrow_mut().clear();
    }

    /// Opens so many connections and sends nothing on them, as far as the process takes them.
    pub fn rest(&self, count: usize) {
        let clients = self.clone();
        let open = async move {
            let mut missing = count;
            for _ in 0..RESTING_TRIES.max(count) {
                if missing == 0 || clients.mail.is_closed() {
                    return;
                }
                match clients.open().await {
                    Some(connection) => {
                        clients.resting.borrow_mut().push(connection);
                        missing -= 1;
                    }
                    None => drop(Timer::after(RESTING_PAUSE).await),
                }
            }
        };
        self.spawner.spawn(open);
    }

    /// Tells once the process answers an empty query.
    pub fn await_ready(&self, start: u64) {
        let clients = self.clone();
        let ready = async move {
            loop {
                if let Some(mut connection) = clients.open().await {
                    let asked = connection.stream.write_all(&query("")).await.is_ok();
                    let mut answered = false;
                    while asked && !answered {
                        match message(&mut connection.inbox, &connection.stream).await {
                            Ok(Some((b'Z', _))) => answered = true,
                            Ok(Some(_)) => {}
                            Ok(None) | Err(_) => break,
                        }
                    }
                    if answered {
                        clients.idle.borrow_mut().push(connection);
                        let _ = clients.mail.try_send(Mail::Ready { router: clients.router, start });
                        return;
                    }
                }
                Timer::after(Duration::from_millis(20)).await;
                if clients.mail.is_closed() {
                    return;
                }
            }
        };
        self.spawner.spawn(ready);
    }

    /// A client asks.
    pub fn ask(&self, plan: &Plan, ask: &Ask, offset: Micros) {
        let text = statement(plan, ask, offset);
        let (request, router, clients) = (ask.id, ask.router, self.clone());
        let patience = Duration::from_micros(ask.budget) + LISTENS;
        let carry = async move {
            let mail = match clients.carry(&text, patience).await {
                End::Answered(answer, connection) => {
                    clients.idle.borrow_mut().push(connection);
                    Mail::Answered { request, router, answer }
                }
                End::Broken { written, .. } => Mail::Dropped { request, router, taken: written },
                End::Silent => Mail::Dropped { request, router, taken: true },
            };
            let _ = clients.mail.try_send(mail);
        };
        self.spawner.spawn(carry);
    }

    async fn carry(&self, text: &str, patience: Duration) -> End {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle {
            match once(connection, text, patience).await {
                // It was closed while it was idle, as a process may: asked once more on a new one.
                End::Broken { begun: false, .. } => {}
                end => return end,
            }
        }
        match self.open().await {
            Some(connection) => once(connection, text, patience).await,
            None => End::Broken { written: false, begun: false },
        }
    }

    async fn open(&self) -> Option<Connection> {
        let connect = async { Async::<TcpStream>::connect(self.address).await.ok() };
        let late = async {
            Timer::after(CONNECT).await;
            None
        };
        let mut stream = future::or(connect, late).await?;
        stream.get_ref().set_nodelay(true).ok()?;
        stream.write_all(&startup()).await.ok()?;
        Some(Connection { stream, inbox: Inbox::default(), used: false })
    }
}

async fn once(mut connection: Connection, text: &str, patience: Duration) -> End {
    let mut begun = false;
    let mut written = false;
    let answer = async {
        // The welcome of a new connection ends like an answer.
        let welcomed = connection.used;
        if connection.stream.write_all(&query(text)).await.is_err() {
            return None;
        }
        written = true;
        let (mut skip, mut served, mut code, mut after) = (!welcomed, false, None, 0);
        loop {
            let (kind, content) = message(&mut connection.inbox, &connection.stream).await.ok()??;
            match kind {
                b'Z' if skip => skip = false,
                b'Z' => break,
                b'D' => served = true,
                b'E' => {
                    for (kind, value) in fields(&content) {
                        match kind {
                            b'C' => code = Some(value),
                            b'D' => after = value.parse::<Micros>().unwrap_or(0) * 1000,
                            _ => {}
                        }
                    }
                }
                _ => {}
            }
            begun |= !skip;
        }
        Some(match code.as_deref() {
            None if served => Answer::Served(None),
            Some("53300" | "57P03") => Answer::Refused(after),
            _ => Answer::Failed,
        })
    };
    let late = async {
        Timer::after(patience).await;
        None
    };
    match future::or(async { Some(answer.await) }, late).await {
        Some(Some(answer)) => {
            connection.used = true;
            End::Answered(answer, connection)
        }
        Some(None) => End::Broken { written, begun },
        None => End::Silent,
    }
}

/// A request as clients word it.
fn statement(plan: &Plan, ask: &Ask, offset: Micros) -> String {
    let class = &plan.classes[ask.class];
    let (id, key, wait) = (ask.id.0, ask.key, ask.budget / 1000);
    let mut comment = format!("id={id:016x},c={},d={wait}", class.name);
    let write = class.class.consistency == Consistency::Write;
    if write {
        comment += &format!(",k={key:016x}");
    }
    if ask.repeat {
        comment += ",r=1";
    }
    comment += &format!(",cluster={}", ask.group);
    if let (Consistency::Session, Some(after)) = (class.class.consistency, ask.after) {
        comment += &format!(",after={}", (after + offset).div_ceil(1000));
    }
    if write {
        format!("/* {comment} */ INSERT INTO entries (ref, payload) VALUES ('{key:016x}', '\\x9f03') RETURNING payload")
    } else {
        let session = ask.group * 1_000_000 + ask.session;
        format!("/* {comment} */ SELECT payload FROM entries WHERE ref = '{session:016x}'")
    }
}
