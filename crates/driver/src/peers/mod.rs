//! Datagrams between drivers: what members said of their positions and roles, and what planners tell each other.
//!
//! A datagram of words holds a version, a base time (Unix ms, 6 bytes), and words of 8 bytes: the tag of a member's name,
//! then how many milliseconds its position is before the base, times 4, plus its role. One of
//! talks holds another version, a base time, and talks of 12 bytes: a zone, the number of a driver (or none), work in
//! microseconds, and how many milliseconds after the base it ends. What does not read as
//! such, or does not come from a peer, is dropped whole.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use beaconshore::interface::{Micros, Role, Talk, ZoneId};
use futures_lite::future;

use crate::config::Config;
use crate::module::ModuleHandle;
use crate::stats::Counter;
use crate::Node;

/// Longest datagram.
const MAX_DATAGRAM: usize = 256;
const VERSION: u8 = 1;
/// The version of datagrams of talks.
const TALKS: u8 = 2;
const HEADER: usize = 7;
const WORD: usize = 8;
const TALK: usize = 12;
/// In the place of a driver's number: to all, an ask.
const NOBODY: u16 = u16::MAX;
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

/// What one driver tells another of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerWord {
    /// Names the member among all drivers.
    pub tag: u32,
    /// Position that it had reached.
    pub position: Micros,
    /// The role that it named.
    pub role: Option<Role>,
}

/// What drivers tell each other.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMail {
    /// What members said.
    Words(Vec<PeerWord>),
    /// What planners have to say.
    Talks(Vec<Talk>),
}

/// What is to be told, and to which driver by its number; none: to all others.
pub type Letter = (Option<u32>, PeerMail);

impl PeerMail {
    /// Writes it to datagrams.
    pub fn encode(&self) -> Vec<Vec<u8>> {
        match self {
            PeerMail::Words(words) => encode(words),
            PeerMail::Talks(talks) => encode_talks(talks),
        }
    }

    /// Reads a datagram; none if any of it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<PeerMail> {
        match bytes.first() {
            Some(&TALKS) => decode_talks(bytes).map(PeerMail::Talks),
            _ => decode(bytes).map(PeerMail::Words),
        }
    }
}

/// Writes talks to datagrams.
fn encode_talks(talks: &[Talk]) -> Vec<Vec<u8>> {
    let base = talks.iter().map(|t| t.until / 1000).min().unwrap_or(0);
    let datagram = |talks: &[Talk]| {
        let mut bytes = vec![TALKS];
        bytes.extend_from_slice(&base.to_be_bytes()[2..]);
        for talk in talks {
            let to = talk.to.and_then(|to| u16::try_from(to).ok()).unwrap_or(NOBODY);
            let after = u32::try_from(talk.until / 1000 - base).unwrap_or(u32::MAX);
            bytes.extend_from_slice(&talk.zone.0.to_be_bytes());
            bytes.extend_from_slice(&to.to_be_bytes());
            // A number that does not fit is cut to what does.
            bytes.extend_from_slice(&(talk.work as u32).to_be_bytes());
            bytes.extend_from_slice(&after.to_be_bytes());
        }
        bytes
    };
    // What is lent to a driver whose number does not fit would read as an ask.
    let fits = |t: &&Talk| t.to.is_none_or(|to| to < u32::from(NOBODY));
    let talks: Vec<Talk> = talks.iter().filter(fits).cloned().collect();
    talks.chunks((MAX_DATAGRAM - HEADER) / TALK).map(datagram).collect()
}

fn decode_talks(bytes: &[u8]) -> Option<Vec<Talk>> {
    let (base, talks) = bytes.get(1..)?.split_at_checked(HEADER - 1)?;
    if bytes.len() > MAX_DATAGRAM || talks.len() % TALK != 0 {
        return None;
    }
    let base = base.iter().fold(0, |sum, &b| sum << 8 | Micros::from(b));
    let read = |talk: &[u8]| {
        let short = |at: usize| Some(u16::from_be_bytes(*talk.get(at..)?.first_chunk()?));
        let long = |at: usize| Some(u32::from_be_bytes(*talk.get(at..)?.first_chunk()?));
        let to = Some(short(2)?).filter(|to| *to != NOBODY).map(u32::from);
        let until = base.checked_add(Micros::from(long(8)?))?.checked_mul(1000)?;
        Some(Talk { zone: ZoneId(short(0)?), to, work: f64::from(long(4)?), until })
    };
    talks.chunks_exact(TALK).map(read).collect()
}

/// The tag of a member's name (FNV-1a).
pub fn tag(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// Writes words to datagrams.
pub fn encode(words: &[PeerWord]) -> Vec<Vec<u8>> {
    let base = words.iter().map(|w| w.position / 1000).max().unwrap_or(0);
    let datagram = |words: &[PeerWord]| {
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&base.to_be_bytes()[2..]);
        for word in words {
            let before = (base - word.position / 1000) as u32;
            let role = match word.role {
                None => 0,
                Some(Role::Primary) => 1,
                Some(Role::Replica) => 2,
            };
            bytes.extend_from_slice(&word.tag.to_be_bytes());
            bytes.extend_from_slice(&(before << 2 | role).to_be_bytes());
        }
        bytes
    };
    // Of what is much older than the newest there is no news.
    let near = |w: &&PeerWord| base - w.position / 1000 <= u64::from(u32::MAX >> 2);
    let words: Vec<PeerWord> = words.iter().filter(near).copied().collect();
    words.chunks((MAX_DATAGRAM - HEADER) / WORD).map(datagram).collect()
}

/// Reads a datagram; none if any of it is malformed.
pub fn decode(bytes: &[u8]) -> Option<Vec<PeerWord>> {
    let (&version, rest) = bytes.split_first()?;
    let (base, words) = rest.split_at_checked(HEADER - 1)?;
    if version != VERSION || bytes.len() > MAX_DATAGRAM || words.len() % WORD != 0 {
        return None;
    }
    let base = base.iter().fold(0, |sum, &b| sum << 8 | Micros::from(b));
    let read = |word: &[u8]| {
        let (tag, said) = (u32::from_be_bytes(*word.first_chunk()?), u32::from_be_bytes(*word.last_chunk()?));
        let role = match said & 3 {
            0 => None,
            1 => Some(Role::Primary),
            2 => Some(Role::Replica),
            _ => return None,
        };
        let position = base.checked_sub(Micros::from(said >> 2))?.checked_mul(1000)?;
        Some(PeerWord { tag, position, role })
    };
    words.chunks_exact(WORD).map(read).collect()
}

/// The actor of all peers.
pub struct Peers {
    node: Rc<Node>,
    socket: Async<UdpSocket>,
    own: Option<SocketAddr>,
    /// All of them, by number.
    numbers: Vec<SocketAddr>,
    /// Their numbers.
    places: HashMap<SocketAddr, u32>,
    others: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    sender: Sender<Letter>,
    mailbox: Receiver<Letter>,
}

/// The actor, not yet running.
pub fn start(node: &Rc<Node>, socket: Async<UdpSocket>, config: &Config) -> Peers {
    let (sender, mailbox) = async_channel::bounded(MAILBOX);
    let own = config.peer_listen;
    let others = config.peers.iter().copied().filter(|&peer| Some(peer) != own).collect();
    let numbers = config.peers.clone();
    let places = (0..).zip(&numbers).map(|(number, peer)| (*peer, number)).collect();
    Peers { node: node.clone(), socket, own, numbers, places, others, all: config.peers_all, sender, mailbox }
}

impl Peers {
    /// The way to its mailbox.
    pub fn mailbox(&self) -> Sender<Letter> {
        self.sender.clone()
    }

    /// Sends and receives.
    pub async fn run(self, module: ModuleHandle) {
        future::or(self.send(), self.receive(module)).await;
    }

    async fn send(&self) {
        while let Ok((to, mail)) = self.mailbox.recv().await {
            let all = self.all.as_ref().map_or(&self.others[..], std::slice::from_ref);
            let one = to.and_then(|number| self.numbers.get(number as usize));
            for datagram in mail.encode() {
                self.node.stats.check(datagram.len() <= MAX_DATAGRAM, "a datagram keeps its bound");
                for &peer in one.map_or(all, std::slice::from_ref) {
                    // Datagrams may be lost.
                    let _ = self.socket.send_to(&datagram, peer).await;
                    self.node.stats.count(Counter::Told);
                }
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
                let Ok((length, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
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
        let mail = PeerMail::decode(bytes);
        let heard = self.places.get(&from).zip(mail).is_some_and(|(&number, mail)| module.tell(number, mail));
        self.node.stats.count(if heard { Counter::Heard } else { Counter::Dropped });
    }
}
