//! Datagrams between processes: each sends to the hub, which looks to the others like the sender itself.
//!
//! Owns one socket for each process, the one from which the others hear it, and one that reaches all. Whether and when a
//! datagram arrives the day decides.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_channel::Sender;
use async_io::Async;

use crate::mail::Mail;
use crate::spawner::Spawner;

/// Longest datagram that the platform allows; a longer one is passed on cut, so that it can't go unnoticed.
const MOST: usize = 257;

/// The hub.
pub struct Hub {
    /// Stand for the processes, by number.
    sockets: Vec<Rc<Async<UdpSocket>>>,
    all: Rc<Async<UdpSocket>>,
    /// Where the processes themselves listen.
    listens: Vec<SocketAddr>,
}

impl Hub {
    /// A hub for processes that listen at these addresses.
    pub fn new(listens: Vec<SocketAddr>) -> io::Result<Hub> {
        let socket = || Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).map(Rc::new);
        let sockets = listens.iter().map(|_| socket()).collect::<io::Result<_>>()?;
        Ok(Hub { sockets, all: socket()?, listens })
    }

    /// The address that reaches all.
    pub fn all(&self) -> io::Result<SocketAddr> {
        self.all.get_ref().local_addr()
    }

    /// Addresses of all processes as one of them knows them: itself in its own place.
    pub fn peers_of(&self, number: usize) -> io::Result<Vec<SocketAddr>> {
        let place = |n: usize| match n == number {
            true => Ok(self.listens[n]),
            false => self.sockets[n].get_ref().local_addr(),
        };
        (0..self.listens.len()).map(place).collect()
    }

    /// Takes what comes.
    pub fn serve(&self, spawner: &Spawner, mail: &Sender<Mail>) {
        let numbers: Rc<HashMap<SocketAddr, usize>> =
            Rc::new(self.listens.iter().copied().zip(0..).collect());
        let ways = self.sockets.iter().enumerate().map(|(n, socket)| (Some(n), socket));
        for (to, socket) in ways.chain([(None, &self.all)]) {
            let (socket, numbers, mail) = (socket.clone(), numbers.clone(), mail.clone());
            let receive = async move {
                let mut bytes = [0; MOST];
                while !mail.is_closed() {
                    // An error tells of an earlier datagram that reached no one.
                    let Ok((length, from)) = socket.recv_from(&mut bytes).await else { continue };
                    // What comes from elsewhere belongs to no process of this day.
                    let Some(from) = numbers.get(&from).copied() else { continue };
                    let _ = mail.try_send(Mail::Datagram { from, to, bytes: bytes[..length].into() });
                }
            };
            spawner.spawn(receive);
        }
    }

    /// Hands a datagram over, as if its sender had sent it.
    pub fn pass(&self, from: usize, to: usize, bytes: &[u8]) {
        // Where nobody listens it is lost, as datagrams are.
        let _ = self.sockets[from].get_ref().send_to(bytes, self.listens[to]);
    }
}
