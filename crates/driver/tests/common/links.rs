//! The ways between drivers: relays that take each driver's datagrams to each other one, and lose them as they are told.

use std::collections::BTreeSet;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A way from one driver to another.
type Way = (usize, usize);

#[derive(Default)]
struct State {
    /// Ways on which nothing passes.
    cut: Mutex<BTreeSet<Way>>,
    /// Of so many datagrams one is lost; none, if it is 0.
    lossy: AtomicU64,
    passed: AtomicU64,
    over: AtomicBool,
}

/// All ways of a fleet; they end with this value.
pub struct Links {
    /// For each driver the addresses at which it finds the others, its own in its own place.
    pub peers: Vec<Vec<SocketAddr>>,
    state: Arc<State>,
}

impl Links {
    /// Ways between drivers that listen at these addresses.
    pub fn between(listens: &[SocketAddr]) -> Links {
        let socket = || {
            let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
            socket.set_nonblocking(true).unwrap();
            socket
        };
        // The socket of (a, b) stands for b where a is: a sends to it, and hears from it.
        let sockets: Vec<Vec<UdpSocket>> =
            listens.iter().map(|_| listens.iter().map(|_| socket()).collect()).collect();
        let place =
            |a: usize, b: usize| if a == b { listens[a] } else { sockets[a][b].local_addr().unwrap() };
        let peers = (0..listens.len()).map(|a| (0..listens.len()).map(|b| place(a, b)).collect()).collect();
        let (state, listens) = (Arc::new(State::default()), listens.to_vec());
        let links = Links { peers, state: state.clone() };
        thread::spawn(move || {
            let mut seen: u64 = 0;
            while !state.over.load(Ordering::Relaxed) {
                for (a, b) in (0..listens.len()).flat_map(|a| (0..listens.len()).map(move |b| (a, b))) {
                    let mut bytes = [0; 300];
                    while let Ok((length, from)) = sockets[a][b].recv_from(&mut bytes) {
                        seen += 1;
                        let lossy = state.lossy.load(Ordering::Relaxed);
                        let lost = lossy > 0 && seen.is_multiple_of(lossy);
                        if from == listens[a] && !lost && !state.cut.lock().unwrap().contains(&(a, b)) {
                            state.passed.fetch_add(1, Ordering::Relaxed);
                            let _ = sockets[b][a].send_to(&bytes[..length], listens[b]);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        links
    }

    /// Nothing passes from any of these to any of those.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        let ways = from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b)));
        self.state.cut.lock().unwrap().extend(ways);
    }

    /// All ways are whole again.
    pub fn heal(&self) {
        self.state.cut.lock().unwrap().clear();
        self.state.lossy.store(0, Ordering::Relaxed);
    }

    /// Loses one datagram of so many.
    pub fn lose_one_of(&self, many: u64) {
        self.state.lossy.store(many, Ordering::Relaxed);
    }

    /// Datagrams that reached another driver so far.
    pub fn passed(&self) -> u64 {
        self.state.passed.load(Ordering::Relaxed)
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.state.over.store(true, Ordering::Relaxed);
    }
}
