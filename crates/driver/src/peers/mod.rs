//! The actor that sends and receives the messages between drivers, and owns their UDP socket.
//!
//! Without a gossip policy each message is sent to all other drivers at once. With one, states of members are spread by
//! `beaconshore_gossip` within its byte budget. Datagrams that are malformed or do not come from a known peer are dropped.

pub mod message;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use beaconshore_gossip::{AddressedMessage, Gossip, Message, PeerIndex};
use futures_lite::future;

use crate::config::Config;
use crate::decision::DecisionHandle;
use crate::meter::Work;
use crate::stats::Counter;
use crate::Node;

pub use beaconshore_gossip::{MemberState, MemberTag};
use message::MAX_DATAGRAM_BYTES;
pub use message::{member_tag, OutgoingMessage, PeerMessage};

/// Number of messages that may wait to be sent. Further ones are dropped, which is allowed since datagrams may be lost
/// anyway.
const MAILBOX_CAPACITY: usize = 16;
/// Pause after all received datagrams were read. Hundreds of drivers send little each; if their datagrams were read as they
/// arrive, they would wake the process a thousand times a second. The pause delays them by at most this much, which is
/// small against staleness bounds of a tenth of a second and more.
const READ_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a receive error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Number of datagrams read in a row before other actors get their turn.
const MAX_READS_IN_A_ROW: usize = 16;

/// The actor that exchanges messages with all peers.
pub struct Peers {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    /// The address of this driver.
    own_address: Option<SocketAddr>,
    /// The addresses of all drivers, by number.
    addresses: Vec<SocketAddr>,
    numbers: HashMap<SocketAddr, u32>,
    /// The addresses of all drivers but this one.
    others: Vec<SocketAddr>,
    /// One address that reaches all drivers, if there is one.
    broadcast: Option<SocketAddr>,
    gossip: Option<RefCell<Gossip>>,
    sender: Sender<OutgoingMessage>,
    mailbox: Receiver<OutgoingMessage>,
}

/// Creates the actor. It does nothing until [`Peers::run`].
pub fn create(node: &Rc<Node>, socket: Async<UdpSocket>, config: &Config) -> Peers {
    let (sender, mailbox) = async_channel::bounded(MAILBOX_CAPACITY);
    let own_address = config.peer_listen;
    let addresses = config.peers.clone();
    let own_number =
        addresses.iter().position(|&peer| Some(peer) == own_address).map(|number| PeerIndex(number as u32));
    let driver_count = addresses.len() as u32;
    let now = node.clock.now();
    let gossip = config.gossip.map(|policy| Gossip::new(policy, own_number, driver_count, config.seed, now));
    Peers {
        node: node.clone(),
        socket,
        own_address,
        numbers: addresses.iter().copied().zip(0..).collect(),
        others: addresses.iter().copied().filter(|&peer| Some(peer) != own_address).collect(),
        addresses,
        broadcast: config.peers_all,
        gossip: gossip.map(RefCell::new),
        sender,
        mailbox,
    }
}

impl Peers {
    /// The sender for messages that the actor is to send.
    pub fn mailbox(&self) -> Sender<OutgoingMessage> {
        self.sender.clone()
    }

    /// Sends and receives messages until the driver ends.
    pub async fn run(self, decision: DecisionHandle) {
        future::or(self.send(), future::or(self.receive(decision), self.run_gossip())).await;
    }

    /// Handles the messages of the mailbox. Member states go to the gossip, if there is a policy.
    async fn send(&self) {
        while let Ok(outgoing) = self.mailbox.recv().await {
            match (&self.gossip, outgoing.message) {
                (Some(gossip), PeerMessage::MemberStates(states)) => {
                    let now = self.node.clock.now();
                    self.node.meter.measure(Work::PeerMessages, || {
                        let mut gossip = gossip.borrow_mut();
                        states.into_iter().for_each(|state| gossip.on_local_state(state, now));
                    });
                }
                (_, message) => self.send_message(outgoing.to, &message).await,
            }
        }
    }

    /// Sends a message to one driver, or to all others if `to` is `None` or not a known number.
    async fn send_message(&self, to: Option<u32>, message: &PeerMessage) {
        let all = self.broadcast.as_ref().map_or(&self.others[..], std::slice::from_ref);
        let one = to.and_then(|number| self.addresses.get(number as usize));
        for datagram in self.node.meter.measure(Work::PeerMessages, || message.encode()) {
            self.node
                .stats
                .check_invariant(datagram.len() <= MAX_DATAGRAM_BYTES, "a datagram is within its size limit");
            for &peer in one.map_or(all, std::slice::from_ref) {
                self.send_datagram(&datagram, peer).await;
            }
        }
    }

    async fn send_datagram(&self, datagram: &[u8], to: SocketAddr) {
        self.node.stats.count(Counter::DatagramsSent);
        self.node.stats.add(Counter::PeerBytesSent, datagram.len());
        let sent =
            self.node.meter.measure(Work::PeerMessages, || self.socket.get_ref().send_to(datagram, to));
        if sent.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock) {
            // An error is ignored, since datagrams may be lost.
            let _ = self.socket.send_to(datagram, to).await;
        }
    }

    /// Runs the rounds of gossip and sends their messages. Waits forever without a gossip policy.
    async fn run_gossip(&self) {
        let Some(gossip) = &self.gossip else { return future::pending().await };
        loop {
            let due = gossip.borrow().next_round_at();
            Timer::at(self.node.clock.instant(due)).await;
            let now = self.node.clock.now();
            let messages = self.node.meter.measure(Work::PeerMessages, || gossip.borrow_mut().run_round(now));
            for AddressedMessage { to, message } in messages {
                let message = match message {
                    Message::States(states) => PeerMessage::MemberStates(states),
                    Message::Digest(digest) => PeerMessage::Digest(digest),
                };
                self.send_message(Some(to.0), &message).await;
            }
        }
    }

    /// Reads all received datagrams, then pauses for [`READ_PAUSE`], over and over.
    async fn receive(&self, decision: DecisionHandle) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // An error here concerns an earlier datagram that could not be delivered.
            let Ok((length, from)) = self.socket.recv_from(&mut bytes).await else {
                Timer::after(ERROR_PAUSE).await;
                continue;
            };
            self.handle_datagram(&bytes[..length], from, &decision);
            // Yields at intervals, so that a flood of datagrams does not starve other actors.
            for read_count in 1.. {
                let meter = &self.node.meter;
                let received =
                    meter.measure(Work::PeerMessages, || self.socket.get_ref().recv_from(&mut bytes));
                let Ok((length, from)) = received else { break };
                self.handle_datagram(&bytes[..length], from, &decision);
                if read_count % MAX_READS_IN_A_ROW == 0 {
                    future::yield_now().await;
                }
            }
            Timer::after(READ_PAUSE).await;
        }
    }

    /// Handles one received datagram, and counts it as received or dropped.
    fn handle_datagram(&self, bytes: &[u8], from: SocketAddr, decision: &DecisionHandle) {
        if Some(from) == self.own_address {
            return;
        }
        self.node.stats.add(Counter::PeerBytesReceived, bytes.len());
        let accepted = self.node.meter.measure(Work::PeerMessages, || {
            let number = self.numbers.get(&from)?;
            self.accept(*number, PeerMessage::decode(bytes)?, decision)
        });
        self.node.stats.count(if accepted.is_some() {
            Counter::DatagramsReceived
        } else {
            Counter::DatagramsDropped
        });
    }

    /// Passes a message to the gossip or to the decision actor; `None` if it is dropped.
    fn accept(&self, from: u32, message: PeerMessage, decision: &DecisionHandle) -> Option<()> {
        let message = match (message, &self.gossip) {
            (PeerMessage::Digest(digest), Some(gossip)) => {
                gossip.borrow_mut().on_peer_digest(PeerIndex(from), &digest);
                return Some(());
            }
            // The sender uses gossip and this driver does not, so there is nothing to compare the digest with.
            (PeerMessage::Digest(_), None) => return None,
            (PeerMessage::MemberStates(states), Some(gossip)) => {
                let changed = gossip.borrow_mut().on_peer_states(&states, self.node.clock.now());
                PeerMessage::MemberStates(changed)
            }
            (message, _) => message,
        };
        decision.send_peer_message(from, message).then_some(())
    }
}
