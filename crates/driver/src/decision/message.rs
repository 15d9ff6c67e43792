//! Messages that other actors send to the decision module's actor, and the handle that sends them.
//!
//! Owns the senders of its mailboxes. Sending never waits for the decision module, except where a membership
//! list or a confirmation is sent.

use std::net::IpAddr;
use std::ops::Range;
use std::rc::Rc;

use async_channel::Sender;
use beaconshore::interface::{MemberId, Micros, Outcome, Report, RequestId, SessionId};

use crate::client::{CancelFlag, ClientMessage};
use crate::member::AttemptEnd;
use crate::membership::MembershipUpdate;
use crate::peers::PeerMessage;
use crate::pg;

/// A message to the decision module's actor.
pub enum DecisionMessage {
    /// A client sent a request.
    Request(Box<ClientRequest>),
    /// The client of a request has left or cancelled it.
    RequestAbandoned(RequestId),
    /// An attempt ended.
    AttemptEnded(Box<AttemptEnd>),
    /// A probe of a member ended.
    ProbeEnded(MemberId, Outcome, Report),
    /// The driver ends: every open request is answered now.
    FailOpenRequests,
    /// These routes replace those in force. None: requests are no longer restricted by routes.
    ReplaceRoutes(Option<beaconshore_routes::Policy>),
    /// Asks whether an attempt of a request may still be written to a member, after something has changed or
    /// it had to wait.
    ConfirmAttempt(RequestId, MemberId, Sender<Confirmation>),
}

/// Tells whether an attempt may still be written.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    /// Whether it may.
    pub is_allowed: bool,
    /// When that was decided.
    pub decided_at: Micros,
    /// The version of the membership list that this was decided on: the number of lists and changes that were
    /// taken in.
    pub list_version: u64,
}

/// What a client says of itself in its startup message, for routes to match on. Nothing of it is verified.
#[derive(Debug, Default)]
pub struct ClientIdentity {
    /// The address that the client connected from.
    pub address: Option<IpAddr>,
    /// The user name.
    pub user: Box<str>,
    /// The database name.
    pub database: Box<str>,
}

/// A request as the actor of its client's connection read it.
pub struct ClientRequest {
    /// The id that this driver gave the request.
    pub id: RequestId,
    /// The id that the client gave the request.
    pub client_id: Rc<[u8]>,
    /// The index of its class.
    pub class_index: usize,
    /// The number of the group that it names.
    pub group: u32,
    /// The session that it belongs to, if its class has sessions.
    pub session: Option<SessionId>,
    /// The deadline, after which the client no longer waits.
    pub deadline: Micros,
    /// Whether the client says that it sent this request before.
    pub is_repeat: bool,
    /// The position that a member must have reached to serve it, as Unix time in milliseconds.
    pub min_position_ms: Option<u64>,
    /// The statement to send to a member.
    pub statement: Rc<Statement>,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Where the answer is sent.
    pub client: Sender<ClientMessage>,
    /// What the client said of itself.
    pub identity: Rc<ClientIdentity>,
}

/// A client's statement, which is forwarded unchanged except for the time limit that its comment holds.
pub struct Statement {
    /// The whole text.
    pub text: Box<[u8]>,
    /// The position of the time limit in the text.
    pub wait_range: Range<usize>,
    /// For how long members drop repeats of it, in microseconds. An answer may state the commit of an earlier
    /// copy that is as old as this.
    pub repeats_dropped_for: Micros,
}

impl Statement {
    /// Builds the query message for a member, with the milliseconds that are left as its time limit.
    pub fn to_query(&self, wait_ms: u64) -> Vec<u8> {
        let mut query = Vec::with_capacity(self.text.len() + 32);
        let (before, after) = (&self.text[..self.wait_range.start], &self.text[self.wait_range.end..]);
        pg::put_query(&mut query, &[before, wait_ms.to_string().as_bytes(), after]);
        query
    }
}

/// Sends messages to the decision module's actor.
#[derive(Clone)]
pub struct DecisionHandle {
    pub(super) mailbox: Sender<DecisionMessage>,
    pub(super) list_updates: Sender<MembershipUpdate>,
    pub(super) peer_messages: Sender<(u32, PeerMessage)>,
}

impl DecisionHandle {
    /// Sends a message that belongs to an open request, an attempt or a probe. The mailbox has no capacity of
    /// its own: the numbers of these bound it.
    pub fn send(&self, message: DecisionMessage) {
        let _ = self.mailbox.try_send(message);
    }

    /// Asks whether an attempt may still be written to a member.
    pub async fn confirm(&self, request: RequestId, member: MemberId) -> Confirmation {
        let (reply, confirmation) = async_channel::bounded(1);
        self.send(DecisionMessage::ConfirmAttempt(request, member, reply));
        confirmation.recv().await.unwrap_or_default()
    }

    /// Passes on a message of another driver, given by its number. False if the mailbox is full.
    pub fn send_peer_message(&self, from: u32, message: PeerMessage) -> bool {
        self.peer_messages.try_send((from, message)).is_ok()
    }

    /// Sends a membership list, which is handled before all other messages. Waits while the mailbox is full.
    pub async fn send_list(&self, update: MembershipUpdate) {
        let _ = self.list_updates.send(update).await;
    }
}
