//! The responses that are waited for at the same time, one for each running call.

use std::future::Future;
use std::task::{Context, Poll};

use futures_lite::future::{self, BoxedLocal};

use super::running_calls::CallId;
use super::CallError;

/// What a call brought.
type CallResult<T> = Result<T, CallError>;

/// A call whose response has not been received yet. Dropping it closes its connection.
struct PendingCall<T> {
    id: CallId,
    response: BoxedLocal<CallResult<T>>,
}

/// Calls whose responses have not been received yet.
pub struct PendingCalls<T> {
    calls: Vec<PendingCall<T>>,
}

impl<T> PendingCalls<T> {
    /// No calls yet.
    pub fn new() -> Self {
        PendingCalls { calls: Vec::new() }
    }

    /// Adds a call.
    pub fn insert(&mut self, id: CallId, call: impl Future<Output = CallResult<T>> + 'static) {
        self.calls.push(PendingCall { id, response: Box::pin(call) });
    }

    /// Abandons a call. Returns whether it was among these.
    pub fn abandon(&mut self, id: CallId) -> bool {
        let calls_before = self.calls.len();
        self.calls.retain(|call| call.id != id);
        self.calls.len() < calls_before
    }

    /// Abandons all calls.
    pub fn clear(&mut self) {
        self.calls.clear();
    }

    /// Waits for the first call that ends. Loses nothing if it is dropped before that.
    pub async fn next(&mut self) -> (CallId, CallResult<T>) {
        future::poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context) -> Poll<(CallId, CallResult<T>)> {
        for index in 0..self.calls.len() {
            if let Poll::Ready(result) = self.calls[index].response.as_mut().poll(context) {
                let ended = self.calls.remove(index);
                return Poll::Ready((ended.id, result));
            }
        }
        Poll::Pending
    }
}
