//! Members on sockets: for each process a listener for each member, so that a connection tells who is at its other end.
//!
//! Owns the connections. What becomes of each, and of what comes on it, the day decides; a connection only says it.

use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use beaconshore::interface::{Micros, Outcome, ReplyStatus, Report, RequestId, Role};
use beaconshore_emulator::live::{Said, Welcome};
use futures_lite::{future, AsyncWriteExt};

use crate::mail::{Back, Link, Mail, Under};
use crate::spawner::Spawner;
use crate::wire::{message, named, put, put_error, put_row, put_status, value_of, Inbox};

/// What every connection shares.
#[derive(Clone)]
pub struct Store {
    pub spawner: Spawner,
    pub mail: Sender<Mail>,
    /// Numbers of connections and attempts.
    pub next: Rc<Cell<u64>>,
    /// What turns a time of the day into Unix time: added to it, in microseconds.
    pub offset: Micros,
}

/// How a connection goes on.
#[derive(PartialEq, Eq)]
enum Then {
    Next,
    End,
}

struct Connection {
    store: Store,
    link: Link,
    told: Receiver<Back>,
    epoch: u32,
    first: bool,
    under: Option<Under>,
}

impl Store {
    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Serves one member for one process.
    pub fn serve(&self, listener: Async<TcpListener>, router: usize, member: usize) {
        let store = self.clone();
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = store.clone();
                let on = store.spawner.clone();
                on.spawn(store.connection(stream, router, member));
            }
        };
        self.spawner.spawn(accept);
    }

    async fn connection(self, stream: Async<TcpStream>, router: usize, member: usize) {
        let socket = Rc::new(stream);
        let _ = socket.get_ref().set_nodelay(true);
        let (back, told) = async_channel::unbounded();
        let link = Link { number: self.number(), router, member, back, socket };
        let (reply, welcome) = async_channel::bounded(1);
        let _ = self.mail.try_send(Mail::Opened(link.clone(), reply));
        let epoch = match welcome.recv().await {
            Ok(Welcome::After(after, epoch)) => {
                Timer::after(Duration::from_micros(after)).await;
                epoch
            }
            Ok(Welcome::Silence) => {
                // Open and quiet, until the process gives it up.
                let (mut inbox, socket) = (Inbox::default(), link.socket);
                while inbox.more(&socket).await.unwrap_or(false) {}
                return;
            }
            Ok(Welcome::Refused(_)) | Err(_) => return,
        };
        let mail = self.mail.clone();
        let number = link.number;
        let mut connection = Connection { store: self, link, told, epoch, first: true, under: None };
        // However it ends, its place at the member is given back.
        let _ = connection.run().await;
        let under = connection.under;
        let _ = mail.try_send(Mail::Closed { number, router, member, epoch, under });
    }
}

impl Connection {
    async fn run(&mut self) -> io::Result<()> {
        let (mut inbox, socket) = (Inbox::default(), self.link.socket.clone());
        while !inbox.take_startup()? {
            if !inbox.more(&socket).await? {
                return Ok(());
            }
        }
        let mut out = Vec::new();
        put(&mut out, b'R', &[0; 4]);
        put(&mut out, b'Z', b"I");
        (&*socket).write_all(&out).await?;
        loop {
            let told = self.told.clone();
            let reset = async {
                while !matches!(told.recv().await, Ok(Back::Reset) | Err(_)) {}
                Ok(None)
            };
            match future::or(reset, message(&mut inbox, &socket)).await? {
                Some((b'Q', text)) => {
                    let text = String::from_utf8_lossy(text.strip_suffix(&[0]).unwrap_or(&text)).into_owned();
                    if self.query(&text, &inbox).await? == Then::End {
                        return Ok(());
                    }
                }
                Some(_) | None => return Ok(()),
            }
        }
    }

    async fn query(&mut self, text: &str, inbox: &Inbox) -> io::Result<Then> {
        let mut out = Vec::new();
        let token = self.store.number();
        if text.starts_with("SHOW ") || text == "SELECT 1" {
            self.under = Some(Under { request: None, token });
            let _ = self.store.mail.try_send(Mail::Probe { token, link: self.link.clone() });
            let Some(Back::Probed(report)) = self.back(inbox).await else { return Ok(Then::End) };
            put_row(&mut out, self.report(&report).as_bytes());
        } else if let Some(id) = named(text, "id").and_then(|id| u64::from_str_radix(id, 16).ok()) {
            let request = RequestId(id);
            self.under = Some(Under { request: Some(request), token });
            let (link, epoch, first) = (self.link.clone(), self.epoch, std::mem::take(&mut self.first));
            let _ = self.store.mail.try_send(Mail::Came { request, token, link, epoch, first });
            let Some(Back::Say(said)) = self.back(inbox).await else { return Ok(Then::End) };
            match said.outcome {
                Outcome::Served => put_row(&mut out, &value_of(text)),
                Outcome::Rejected => put_error(&mut out, "ERROR", "53300"),
                Outcome::Misdirected => put_error(&mut out, "ERROR", "25006"),
                Outcome::Error => put_error(&mut out, "ERROR", "XX000"),
                _ => return Ok(Then::End),
            }
            self.statuses(&mut out, &said);
        } else {
            put_error(&mut out, "ERROR", "08P01");
        }
        self.under = None;
        put(&mut out, b'Z', b"I");
        (&*self.link.socket).write_all(&out).await?;
        Ok(Then::Next)
    }

    /// What the day has to say; none if the connection ends first.
    async fn back(&self, inbox: &Inbox) -> Option<Back> {
        let closed = async {
            loop {
                // What is sent ahead of an answer stays where it is; only the end matters here.
                let _ = self.link.socket.readable().await;
                match self.link.socket.get_ref().peek(&mut [0]) {
                    Ok(0) => return None,
                    Err(e) if e.kind() != io::ErrorKind::WouldBlock => return None,
                    _ => drop(Timer::after(Duration::from_millis(5)).await),
                }
            }
        };
        let told = async { self.told.recv().await.ok() };
        debug_assert!(inbox.is_empty(), "a process sends one query at a time");
        future::or(told, closed).await
    }

    fn unix_ms(&self, at: Micros) -> Micros {
        (at + self.store.offset) / 1000
    }

    fn report(&self, report: &Report) -> String {
        let at = self.unix_ms(report.position.unwrap_or(0));
        let role = u8::from(report.role == Some(Role::Primary));
        let busy = report.utilization.unwrap_or(0.0);
        format!("x0={}.{:03},x1={role},utilization={busy:.3}", at / 1000, at % 1000)
    }

    fn statuses(&self, out: &mut Vec<u8>, said: &Said) {
        let ReplyStatus { position, role } = said.note;
        if let Some(role) = role {
            put_status(out, "node_role", if role == Role::Primary { "leader" } else { "follower" });
        }
        if let Some(position) = position {
            put_status(out, "replay_position", &self.unix_ms(position).to_string());
        }
        if said.report.position.is_some() {
            put_status(out, "server_load", &self.report(&said.report));
        }
    }
}
