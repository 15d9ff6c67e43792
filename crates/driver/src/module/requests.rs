//! The requests that are open, without I/O: arrivals, departures, sends and ends come in, in whatever order; what is still to
//! be done for each comes out.
//!
//! Owns who waits for which request, and where its attempt is. Decides nothing about where it goes: it holds that each is
//! taken once, has one attempt out, and gets one final answer.

use std::collections::HashMap;
use std::rc::Rc;

use beaconshore::interface::{MemberId, Micros, RequestId};

use super::mail::Statement;
use crate::client::CancelFlag;

/// An answer owed for this long after its time is overdue.
const OVERDUE: Micros = 20_000;

/// An open request.
pub struct Open<C> {
    /// Where the answer goes.
    pub client: C,
    /// What a member is to be sent.
    pub statement: Rc<Statement>,
    /// When its client gives up.
    pub ends: Micros,
    /// Whether its client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether any attempt was made.
    pub tried: bool,
    /// Where the attempt is that is out.
    pub out: Option<MemberId>,
}

/// What became of an arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrived {
    /// It is open now.
    Taken,
    /// Its client had left while it waited in a mailbox: the word of that is behind, and finds nothing.
    Left,
    /// Its id is another one's: a fault of this program.
    Twice,
}

/// An attempt that may be made.
pub struct Sending {
    /// What is sent.
    pub statement: Rc<Statement>,
    /// When its time is over.
    pub ends: Micros,
    /// Whether its client still waits.
    pub cancel_flag: CancelFlag,
    /// Whether none was out: else this is a fault of this program.
    pub alone: bool,
}

/// The open requests, each with the way to its client.
pub struct Requests<C> {
    open: HashMap<RequestId, Open<C>>,
}

impl<C> Default for Requests<C> {
    fn default() -> Self {
        Requests { open: HashMap::new() }
    }
}

impl<C> Requests<C> {
    /// A request comes.
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

    /// Its client has left: where its attempt is to be ended; none if it is not open any more.
    pub fn leave(&mut self, id: RequestId) -> Option<Option<MemberId>> {
        self.open.remove(&id).map(|open| open.out)
    }

    /// It is to be sent to a member, for so long (0: until its client gives up); none if it is not open.
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

    /// Its attempt at this member is off the wire; whether it was out there, or the request is not open any more.
    pub fn ended(&mut self, id: RequestId, at: MemberId) -> bool {
        self.open.get_mut(&id).is_none_or(|open| open.out.take() == Some(at))
    }

    /// Its final answer is there; none if nobody waits for it any more.
    pub fn answer(&mut self, id: RequestId) -> Option<Open<C>> {
        self.open.remove(&id)
    }

    /// Whether an attempt of it may still go out, as far as its client goes.
    pub fn is_wanted(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| !open.cancel_flag.is_cancelled())
    }

    /// Whether it has not got its final answer, and its client has not left.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.open.contains_key(&id)
    }

    /// All that is open: nothing is open any more.
    pub fn finish(&mut self) -> Vec<(RequestId, Open<C>)> {
        std::mem::take(&mut self.open).into_iter().collect()
    }

    /// Those that should have been answered by now and have no attempt out.
    pub fn overdue(&self, now: Micros) -> Vec<RequestId> {
        let late = self.open.iter().filter(|(_, open)| open.out.is_none() && now > open.ends + OVERDUE);
        late.map(|(id, _)| *id).collect()
    }
}
