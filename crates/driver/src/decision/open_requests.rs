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
pub struct OpenRequest<C> {
    /// Where the answer is sent.
    pub client: C,
    /// The statement to send to a member.
    pub statement: Rc<Statement>,
    /// The deadline, after which the client no longer waits.
    pub deadline: Micros,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether any attempt was made.
    pub was_tried: bool,
    /// The member at which an attempt is in flight.
    pub in_flight_at: Option<MemberId>,
}

/// The result of adding a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddResult {
    /// The request is open now.
    Opened,
    /// The client left while the request waited in a mailbox. The message about that follows and finds no
    /// open request.
    ClientGone,
    /// The id belongs to another open request, which is a bug in this program.
    DuplicateId,
}

/// An attempt that may be sent.
pub struct AttemptStart {
    /// The statement to send.
    pub statement: Rc<Statement>,
    /// The attempt's deadline.
    pub deadline: Micros,
    /// Tells whether the client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether no other attempt was in flight; if one was, that is a bug in this program.
    pub is_only_attempt: bool,
}

/// The open requests, each with the way to reach its client.
pub struct OpenRequests<C> {
    open: HashMap<RequestId, OpenRequest<C>>,
}

impl<C> Default for OpenRequests<C> {
    fn default() -> Self {
        OpenRequests { open: HashMap::new() }
    }
}

impl<C> OpenRequests<C> {
    /// Adds a request.
    pub fn add(
        &mut self,
        id: RequestId,
        client: C,
        statement: Rc<Statement>,
        deadline: Micros,
        cancel_flag: CancelFlag,
    ) -> AddResult {
        if cancel_flag.is_cancelled() {
            return AddResult::ClientGone;
        }
        match self.open.insert(
            id,
            OpenRequest { client, statement, deadline, cancel_flag, was_tried: false, in_flight_at: None },
        ) {
            None => AddResult::Opened,
            Some(_) => AddResult::DuplicateId,
        }
    }

    /// Removes a request whose client has left. Returns the member at which its attempt has to be cancelled,
    /// if any; None if the request is not open any more.
    pub fn abandon(&mut self, id: RequestId) -> Option<Option<MemberId>> {
        self.open.remove(&id).map(|open| open.in_flight_at)
    }

    /// Notes that the request is sent to a member, for at most `wait` microseconds (0: until the client's
    /// deadline). None if the request is not open.
    pub fn start_attempt(
        &mut self,
        id: RequestId,
        to: MemberId,
        wait: Micros,
        now: Micros,
    ) -> Option<AttemptStart> {
        let open = self.open.get_mut(&id)?;
        let is_only_attempt = open.in_flight_at.replace(to).is_none();
        open.was_tried = true;
        let deadline = if wait == 0 { open.deadline } else { open.deadline.min(now + wait) };
        Some(AttemptStart {
            statement: open.statement.clone(),
            deadline,
            cancel_flag: open.cancel_flag.clone(),
            is_only_attempt,
        })
    }

    /// Notes that the request's attempt at this member has ended. False if the request is open and had no
    /// attempt in flight there.
    pub fn end_attempt(&mut self, id: RequestId, at: MemberId) -> bool {
        self.open.get_mut(&id).is_none_or(|open| open.in_flight_at.take() == Some(at))
    }

    /// Removes a request that has its final answer. None if nobody waits for it any more.
    pub fn end(&mut self, id: RequestId) -> Option<OpenRequest<C>> {
        self.open.remove(&id)
    }

    /// Whether the request is open and its client still waits, so that an attempt of it may still be written.
    pub fn is_awaited(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| !open.cancel_flag.is_cancelled())
    }

    /// Whether the request has no final answer yet and its client's departure has not been handled.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// Removes and returns all open requests.
    pub fn drain(&mut self) -> Vec<(RequestId, OpenRequest<C>)> {
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// Requests without an attempt in flight that should have been answered by now.
    pub fn overdue(&self, now: Micros) -> Vec<RequestId> {
        let overdue = self
            .open
            .iter()
            .filter(|(_, open)| open.in_flight_at.is_none() && now > open.deadline + OVERDUE_AFTER_US);
        overdue.map(|(id, _)| *id).collect()
    }
}
