//! A proxy before a member: it passes all bytes on, slowly or not, and holds answers back as it is told.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Hold {
    /// Everything passes.
    #[default]
    Off,
    /// The connection that carries the next answer is to be held.
    Next,
    /// One connection is held.
    On,
}

/// A proxy that ends with the test's process.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    hold: Arc<(Mutex<Hold>, Condvar)>,
    /// How long the way takes in each direction, in milliseconds.
    delay_ms: Arc<AtomicU64>,
}

impl Proxy {
    /// Passes connections on to this address.
    pub fn before(member: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy =
            Proxy { address: listener.local_addr().unwrap(), hold: Arc::default(), delay_ms: Arc::default() };
        let serving = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(member) else { continue };
                let (proxy, from, to) =
                    (serving.clone(), server.try_clone().unwrap(), client.try_clone().unwrap());
                thread::spawn(move || proxy.pass(from, to, true));
                let proxy = serving.clone();
                thread::spawn(move || proxy.pass(client, server, false));
            }
        });
        proxy
    }

    /// Holds the next answer back, and all that follows it on its connection.
    pub fn hold_next_answer(&self) {
        *self.hold.0.lock().unwrap() = Hold::Next;
    }

    /// The way takes so long in each direction from now on.
    pub fn delay(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Whether an answer is held back.
    pub fn is_holding(&self) -> bool {
        *self.hold.0.lock().unwrap() == Hold::On
    }

    /// Passes on what is held back.
    pub fn release(&self) {
        *self.hold.0.lock().unwrap() = Hold::Off;
        self.hold.1.notify_all();
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, answers: bool) {
        let mut bytes = [0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut bytes) {
            if answers {
                self.wait_if_held();
            }
            thread::sleep(Duration::from_millis(self.delay_ms.load(Ordering::Relaxed)));
            if to.write_all(&bytes[..count]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    fn wait_if_held(&self) {
        let mut hold = self.hold.0.lock().unwrap();
        if *hold != Hold::Next {
            return;
        }
        *hold = Hold::On;
        while *hold == Hold::On {
            hold = self.hold.1.wait(hold).unwrap();
        }
    }
}
