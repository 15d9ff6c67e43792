//! The table of open requests, without I/O. Arrivals, departures of clients, sends and ends of attempts come
//! in, in any order; what remains to be done for each request comes out.
//!
//! Owns who waits for which request and at which member its attempt is. It does not decide where a request
//! goes; it makes sure that each request is accepted once, has at most one attempt in flight, and gets one
//! final answer.

use std::collections::HashMap;
use std::rc::Rc;

use beaconshore::interface::{MemberId, Micros, RequestId};

use super::message::Statement;
use crate::client::CancelFlag;

/// A request without an answer is overdue this many microseconds after its deadline.
const OVERDUE_AFTER_US: Micros = 20_000;

/// An open request.
pub struct Open<C> {
    /// Where the answer is sent.
    pub client: C,
    /// The statement to send to a member.
    pub statement: Rc<Statement>,
    /// The deadline, after which the client no longer waits.
    pub ends: Micros,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether any attempt was made.
    pub tried: bool,
    /// The member at which an attempt is in flight.
    pub out: Option<MemberId>,
}

/// The result of adding a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrived {
    /// The request is open now.
    Taken,
    /// The client left while the request waited in a mailbox. The message about that follows and finds no
    /// open request.
    Left,
    /// The id belongs to another open request, which is a bug in this program.
    Twice,
}

/// An attempt that may be sent.
pub struct Sending {
    /// The statement to send.
    pub statement: Rc<Statement>,
    /// The attempt's deadline.
    pub ends: Micros,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether no other attempt was in flight; if one was, that is a bug in this program.
    pub alone: bool,
}

/// The open requests, each with the way to reach its client.
pub struct Requests<C> {
    open: HashMap<RequestId, Open<C>>,
}

impl<C> Default for Requests<C> {
    fn default() -> Self {
        Requests { open: HashMap::new() }
    }
}

impl<C> Requests<C> {
    /// Adds a request.
    pub fn arrive(
        &mut self,
        id: RequestId,
        client: C,
        statement: Rc<Statement>,
        ends: Micros,
        cancel_flag: CancelFlag,
    ) -> Arrived {
        if cancel_flag.is_cancelled() {
            return Arrived::Left;
        }
        match self.open.insert(id, Open { client, statement, ends, cancel_flag, tried: false, out: None }) {
            None => Arrived::Taken,
            Some(_) => Arrived::Twice,
        }
    }

    /// Removes a request whose client has left. Returns the member at which its attempt has to be cancelled,
    /// if any; None if the request is not open any more.
    pub fn leave(&mut self, id: RequestId) -> Option<Option<MemberId>> {
        self.open.remove(&id).map(|open| open.out)
    }

    /// Notes that the request is sent to a member, for at most `wait` microseconds (0: until the client's
    /// deadline). None if the request is not open.
    pub fn send(&mut self, id: RequestId, to: MemberId, wait: Micros, now: Micros) -> Option<Sending> {
        let open = self.open.get_mut(&id)?;
        let alone = open.out.replace(to).is_none();
        open.tried = true;
        let ends = if wait == 0 { open.ends } else { open.ends.min(now + wait) };
        Some(Sending {
            statement: open.statement.clone(),
            ends,
            cancel_flag: open.cancel_flag.clone(),
            alone,
        })
    }

    /// Notes that the request's attempt at this member has ended. False if the request is open and had no
    /// attempt in flight there.
    pub fn ended(&mut self, id: RequestId, at: MemberId) -> bool {
        self.open.get_mut(&id).is_none_or(|open| open.out.take() == Some(at))
    }

    /// Removes a request that has its final answer. None if nobody waits for it any more.
    pub fn answer(&mut self, id: RequestId) -> Option<Open<C>> {
        self.open.remove(&id)
    }

    /// Whether the request is open and its client still waits, so that an attempt of it may still be written.
    pub fn is_wanted(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| !open.cancel_flag.is_cancelled())
    }

    /// Whether the request has no final answer yet and its client's departure has not been handled.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// Removes and returns all open requests.
    pub fn finish(&mut self) -> Vec<(RequestId, Open<C>)> {
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// Requests without an attempt in flight that should have been answered by now.
    pub fn overdue(&self, now: Micros) -> Vec<RequestId> {
        let overdue =
            self.open.iter().filter(|(_, open)| open.out.is_none() && now > open.ends + OVERDUE_AFTER_US);
        overdue.map(|(id, _)| *id).collect()
    }
}
