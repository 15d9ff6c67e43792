//! Messages that other actors send to the decision module's actor, and the handle that sends them.
//!
//! Owns the senders of its mailboxes. Sending never waits for the decision module, except where a membership
//! list or a confirmation is sent.

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

/// A message to the decision module's actor.
pub enum Mail {
    /// A client sent a request.
    Request(Box<Arrival>),
    /// The client of a request has left or cancelled it.
    HungUp(RequestId),
    /// An attempt ended.
    AttemptEnded(Box<AttemptEnd>),
    /// A probe of a member ended.
    ProbeEnded(MemberId, Outcome, Report),
    /// The driver ends: every open request is answered now.
    Finish,
    /// These routes replace those in force. None: requests are no longer restricted by routes.
    Routes(Option<beaconshore_routes::Policy>),
    /// Asks whether an attempt of a request may still be written to a member, after something has changed or
    /// it had to wait.
    Confirm(RequestId, MemberId, Sender<Confirmed>),
}

/// Tells whether an attempt may still be written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmed {
    /// Whether it may.
    pub allowed: bool,
    /// When that was decided.
    pub at: Micros,
    /// The version of the membership list that this was decided on: the number of lists and changes that were
    /// taken in.
    pub lists: u64,
}

/// What a client says of itself in its startup message, for routes to match on. Nothing of it is verified.
#[derive(Debug, Default)]
pub struct Login {
    /// The address that the client connected from.
    pub address: Option<IpAddr>,
    /// The user name.
    pub user: Box<str>,
    /// The database name.
    pub database: Box<str>,
}

/// A request as the actor of its client's connection read it.
pub struct Arrival {
    /// The id that this driver gave the request.
    pub id: RequestId,
    /// The id that the client gave the request.
    pub name: Rc<[u8]>,
    /// The index of its class.
    pub class: usize,
    /// The number of the group that it names.
    pub group: u32,
    /// The session that it belongs to, if its class has sessions.
    pub session: Option<SessionId>,
    /// The deadline, after which the client no longer waits.
    pub ends: Micros,
    /// Whether the client says that it sent this request before.
    pub repeat: bool,
    /// The position that a member must have reached to serve it, as Unix time in milliseconds.
    pub after: Option<u64>,
    /// The statement to send to a member.
    pub statement: Rc<Statement>,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Where the answer is sent.
    pub client: Sender<ClientMail>,
    /// The client's startup parameters.
    pub login: Rc<Login>,
}

/// A client's statement, which is forwarded unchanged except for the time limit that its comment holds.
pub struct Statement {
    /// The whole text.
    pub text: Box<[u8]>,
    /// The position of the time limit in the text.
    pub wait_at: Range<usize>,
}

impl Statement {
    /// Builds the query message for a member, with the milliseconds that are left as its time limit.
    pub fn query(&self, wait_ms: u64) -> Vec<u8> {
        let mut query = Vec::with_capacity(self.text.len() + 32);
        let (before, after) = (&self.text[..self.wait_at.start], &self.text[self.wait_at.end..]);
        pg::put_query(&mut query, &[before, wait_ms.to_string().as_bytes(), after]);
        query
    }
}

/// Sends messages to the decision module's actor.
#[derive(Clone)]
pub struct ModuleHandle {
    pub(super) mailbox: Sender<Mail>,
    pub(super) lists: Sender<Listing>,
    pub(super) peer_messages: Sender<(u32, PeerMessage)>,
}

impl ModuleHandle {
    /// Sends a message that belongs to an open request, an attempt or a probe. The mailbox has no capacity of
    /// its own: the numbers of these bound it.
    pub fn send(&self, message: Mail) {
        let _ = self.mailbox.try_send(message);
    }

    /// Asks whether an attempt may still be written to a member.
    pub async fn confirm(&self, request: RequestId, member: MemberId) -> Confirmed {
        let (reply, confirmation) = async_channel::bounded(1);
        self.send(Mail::Confirm(request, member, reply));
        confirmation.recv().await.unwrap_or_default()
    }

    /// Passes on a message of another driver, given by its number. False if the mailbox is full.
    pub fn tell(&self, from: u32, message: PeerMessage) -> bool {
        self.peer_messages.try_send((from, message)).is_ok()
    }

    /// Sends a membership list, which is handled before all other messages. Waits while the mailbox is full.
    pub async fn list(&self, listing: Listing) {
        let _ = self.lists.send(listing).await;
    }
}
