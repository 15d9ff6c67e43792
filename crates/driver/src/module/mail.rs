//! What other actors send the module, and the way to it.
//!
//! Owns the senders of its mailboxes. Never waits for the module but where the list or a confirmation does.

use std::net::IpAddr;
use std::ops::Range;
use std::rc::Rc;

use async_channel::Sender;
use beaconshore::interface::{MemberId, Micros, Outcome, Report, RequestId, SessionId};

use crate::client::{CancelFlag, ClientMail};
use crate::listing::Listing;
use crate::member::AttemptEnd;
use crate::peers::PeerMessage;
use crate::pg;

/// What reaches the module.
pub enum Mail {
    /// A request.
    Request(Box<Arrival>),
    /// The client of a request is gone.
    HungUp(RequestId),
    /// The end of an attempt.
    AttemptEnded(Box<AttemptEnd>),
    /// The end of a probe.
    ProbeEnded(MemberId, Outcome, Report),
    /// The driver ends: all that is open is answered now.
    Finish,
    /// New routes take the place of those in force; none: no request is narrowed any more.
    Routes(Option<beaconshore_routes::Policy>),
    /// Whether a send may still go out though something has changed or it had to wait.
    Confirm(RequestId, MemberId, Sender<Confirmed>),
}

/// Whether a send may still go out.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmed {
    /// It may.
    pub allowed: bool,
    /// As of this time.
    pub at: Micros,
    /// As of so many lists.
    pub lists: u64,
}

/// Who a client says to be, for routes to go by; nobody has checked it.
#[derive(Debug, Default)]
pub struct Login {
    /// Its address.
    pub address: Option<IpAddr>,
    /// Its user.
    pub user: Box<str>,
    /// Its database.
    pub database: Box<str>,
}

/// A request as its client's actor read it.
pub struct Arrival {
    /// Its id here.
    pub id: RequestId,
    /// What its client calls it.
    pub name: Rc<[u8]>,
    /// Index of its class.
    pub class: usize,
    /// The group it names.
    pub group: u32,
    /// Its session, if its class has any.
    pub session: Option<SessionId>,
    /// When its client gives up.
    pub ends: Micros,
    /// Whether the client asked before.
    pub repeat: bool,
    /// Position that it must see, in milliseconds.
    pub after: Option<u64>,
    /// What a member is to be sent.
    pub statement: Rc<Statement>,
    /// Whether its client still waits.
    pub cancel_flag: CancelFlag,
    /// Where the answer goes.
    pub client: Sender<ClientMail>,
    /// Who asks.
    pub login: Rc<Login>,
}

/// A client's statement, which goes on unchanged but for the time that it may take.
pub struct Statement {
    /// The whole text.
    pub text: Box<[u8]>,
    /// Where it holds that time.
    pub wait_at: Range<usize>,
}

impl Statement {
    /// The query to send with so many milliseconds left.
    pub fn query(&self, wait_ms: u64) -> Vec<u8> {
        let mut query = Vec::with_capacity(self.text.len() + 32);
        let (before, after) = (&self.text[..self.wait_at.start], &self.text[self.wait_at.end..]);
        pg::put_query(&mut query, &[before, wait_ms.to_string().as_bytes(), after]);
        query
    }
}

/// The way to the module's mailboxes.
#[derive(Clone)]
pub struct ModuleHandle {
    pub(super) mail: Sender<Mail>,
    pub(super) lists: Sender<Listing>,
    pub(super) words: Sender<(u32, PeerMessage)>,
}

impl ModuleHandle {
    /// Sends what belongs to an open request, an attempt or a probe: these bound the mailbox.
    pub fn send(&self, mail: Mail) {
        let _ = self.mail.try_send(mail);
    }

    /// Asks whether a send may still go out.
    pub async fn confirm(&self, request: RequestId, member: MemberId) -> Confirmed {
        let (reply, answer) = async_channel::bounded(1);
        self.send(Mail::Confirm(request, member, reply));
        answer.recv().await.unwrap_or_default()
    }

    /// Passes on what another driver, by its number, has to tell; false if there is no room.
    pub fn tell(&self, from: u32, mail: PeerMessage) -> bool {
        self.words.try_send((from, mail)).is_ok()
    }

    /// Sends the list, which is handled before all other mail.
    pub async fn list(&self, listing: Listing) {
        let _ = self.lists.send(listing).await;
    }
}
