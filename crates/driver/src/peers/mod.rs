//! Messages between drivers: the actor that owns their socket.
//!
//! Without a policy for gossip each message goes to all others at once; with one, what is learnt of members is spread by
//! `beaconshore_gossip` within its budget of bytes. What does not read as a message, or comes from no peer, is dropped.

pub mod message;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use beaconshore_gossip::{Gossip, Message, PeerNumber, Send};
use futures_lite::future;

use crate::config::Config;
use crate::meter::Work;
use crate::module::ModuleHandle;
use crate::stats::Counter;
use crate::Node;

pub use beaconshore_gossip::{MemberState, MemberTag};
use message::MAX_DATAGRAM;
pub use message::{tag, Outgoing, PeerMessage};

/// Messages that may wait to be sent; further ones are dropped, as datagrams may be.
const MAILBOX: usize = 16;
/// Pause after all that had come was read. Hundreds of drivers each tell little: read one by one as they come, their datagrams
/// would wake the process a thousand times a second. What they tell gets older by this much at most, against bounds
/// of a tenth of a second and more.
const GATHER: Duration = Duration::from_millis(10);
/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Datagrams read between two looks at other work.
const ROUND: usize = 16;

/// The actor of all peers.
pub struct Peers {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    own: Option<SocketAddr>,
    /// All of them, by number.
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
    others: Vec<SocketAddr>,
    /// An address that reaches all of them.
    all: Option<SocketAddr>,
    gossip: Option<RefCell<Gossip>>,
    sender: Sender<Outgoing>,
    mailbox: Receiver<Outgoing>,
}

/// The actor, not yet running.
pub fn start(node: &Rc<Node>, socket: Async<UdpSocket>, config: &Config) -> Peers {
    let (sender, mailbox) = async_channel::bounded(MAILBOX);
    let own = config.peer_listen;
    let addresses = config.peers.clone();
    let own_number =
        addresses.iter().position(|&peer| Some(peer) == own).map(|number| PeerNumber(number as u32));
    let count = addresses.len() as u32;
    let now = node.clock.now();
    let gossip = config.gossip.map(|policy| Gossip::new(policy, own_number, count, config.seed, now));
    Peers {
        node: node.clone(),
        socket,
        own,
        numbers: addresses.iter().copied().zip(0..).collect(),
        others: addresses.iter().copied().filter(|&peer| Some(peer) != own).collect(),
        addresses,
        all: config.peers_all,
        gossip: gossip.map(RefCell::new),
        sender,
        mailbox,
    }
}

impl Peers {
    /// The way to its mailbox.
    pub fn mailbox(&self) -> Sender<Outgoing> {
        self.sender.clone()
    }

    /// Sends and receives.
    pub async fn run(self, module: ModuleHandle) {
        future::or(self.send(), future::or(self.receive(module), self.spread())).await;
    }

    async fn send(&self) {
        while let Ok(outgoing) = self.mailbox.recv().await {
            match (&self.gossip, outgoing.message) {
                (Some(gossip), PeerMessage::MemberStates(states)) => {
                    let now = self.node.clock.now();
                    self.node.meter.measure(Work::PeerMessages, || {
                        let mut gossip = gossip.borrow_mut();
                        states.into_iter().for_each(|state| gossip.learn(state, now));
                    });
                }
                (_, message) => self.send_message(outgoing.to, &message).await,
            }
        }
    }

    /// Sends a message to one driver, or to all others.
    async fn send_message(&self, to: Option<u32>, message: &PeerMessage) {
        let all = self.all.as_ref().map_or(&self.others[..], std::slice::from_ref);
        let one = to.and_then(|number| self.addresses.get(number as usize));
        for datagram in self.node.meter.measure(Work::PeerMessages, || message.encode()) {
            self.node.stats.check(datagram.len() <= MAX_DATAGRAM, "a datagram keeps its bound");
            for &peer in one.map_or(all, std::slice::from_ref) {
                self.send_datagram(&datagram, peer).await;
            }
        }
    }

    async fn send_datagram(&self, datagram: &[u8], to: SocketAddr) {
        self.node.stats.count(Counter::Told);
        self.node.stats.add(Counter::PeerBytesSent, datagram.len());
        let at_once =
            self.node.meter.measure(Work::PeerMessages, || self.socket.get_ref().send_to(datagram, to));
        if at_once.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
            // Datagrams may be lost.
            let _ = self.socket.send_to(datagram, to).await;
        }
    }

    /// Sends what each round of gossip has to say.
    async fn spread(&self) {
        let Some(gossip) = &self.gossip else { return future::pending().await };
        loop {
            let due = gossip.borrow().due();
            Timer::at(self.node.clock.instant(due)).await;
            let now = self.node.clock.now();
            let sends = self.node.meter.measure(Work::PeerMessages, || gossip.borrow_mut().round(now));
            for Send { to, message } in sends {
                let message = match message {
                    Message::States(states) => PeerMessage::MemberStates(states),
                    Message::Digest(digest) => PeerMessage::Digest(digest),
                };
                self.send_message(Some(to.0), &message).await;
            }
        }
    }

    /// Takes all that has come, then leaves the socket alone for a moment.
    async fn receive(&self, module: ModuleHandle) {
        let mut bytes = [0; MAX_DATAGRAM + 1];
        loop {
            // An error tells of an earlier datagram that reached no one.
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                Timer::after(ERROR_PAUSE).await;
                continue;
            };
            self.take(&bytes[..length], from, &module);
            // A flood of them is not to hold up the rest.
            for taken in 1.. {
                let meter = &self.node.meter;
                let more = meter.measure(Work::PeerMessages, || self.socket.get_ref().recv_from(&mut bytes));
                let Ok((length, from)) = more else { break };
                self.take(&bytes[..length], from, &module);
                if taken % ROUND == 0 {
                    future::yield_now().await;
                }
            }
            Timer::after(GATHER).await;
        }
    }

    fn take(&self, bytes: &[u8], from: SocketAddr, module: &ModuleHandle) {
        if Some(from) == self.own {
            return;
        }
        self.node.stats.add(Counter::PeerBytesReceived, bytes.len());
        let taken = self.node.meter.measure(Work::PeerMessages, || {
            let number = self.numbers.get(&from)?;
            self.accept(*number, PeerMessage::decode(bytes)?, module)
        });
        self.node.stats.count(if taken.is_some() { Counter::Heard } else { Counter::Dropped });
    }

    /// Takes a message in; none if it finds no room.
    fn accept(&self, from: u32, message: PeerMessage, module: &ModuleHandle) -> Option<()> {
        let message = match (message, &self.gossip) {
            (PeerMessage::Digest(digest), Some(gossip)) => {
                gossip.borrow_mut().on_digest(PeerNumber(from), &digest);
                return Some(());
            }
            // Sent by a driver that spreads by gossip where this one does not: it has nothing to compare.
            (PeerMessage::Digest(_), None) => return None,
            (PeerMessage::MemberStates(states), Some(gossip)) => {
                let news = gossip.borrow_mut().on_states(&states, self.node.clock.now());
                PeerMessage::MemberStates(news)
            }
            (message, _) => message,
        };
        module.tell(from, message).then_some(())
    }
}
