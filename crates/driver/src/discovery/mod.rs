//! Keeps the membership list up to date from discovery: fetches the full list at intervals, and watches for changes from its
//! version on. A watch that breaks is reopened after a pause.
//!
//! Owns the calls to discovery, and passes every list to the decision actor unchanged; it decides nothing about members.
//! Which calls are made when, and which list is applied, is decided by [`list_sync`], without I/O.

mod address_sync;
pub mod call_timing;
pub mod list_sync;
mod pending_calls;
mod response;
pub mod running_calls;
pub mod update_decoder;

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::future;
use log::info;

use crate::decision::DecisionHandle;
use crate::http;
use crate::membership::MembershipUpdate;
use crate::Node;

use address_sync::AddressSync;

/// Why a call for the full list failed or a watch ended.
#[derive(Debug)]
enum CallError {
    Io(std::io::Error),
    Silent,
    Closed,
    Status(u16),
    Http(http::ResponseError),
    Json(serde_json::Error),
    TooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Io(e) => write!(f, "{e}"),
            CallError::Silent => f.write_str("nothing was received in time"),
            CallError::Closed => f.write_str("discovery ended the response or closed the connection"),
            CallError::Status(status) => write!(f, "HTTP status {status}"),
            CallError::Http(broken) => write!(f, "{broken}"),
            CallError::Json(e) => write!(f, "the membership list can't be parsed: {e}"),
            CallError::TooLong => f.write_str("the membership list exceeds its size limit"),
        }
    }
}

/// What [`run`] waits for.
enum Event {
    NewAddress(SocketAddr),
    /// The new address has delivered its full list.
    Moved(MembershipUpdate),
    Update(MembershipUpdate),
}

/// Keeps the membership list up to date for as long as the driver runs: first from `address`, later from each address that
/// arrives on `addresses`. A new address takes over once it has delivered its full list; until then the previous one is used.
/// If further addresses arrive meanwhile, the newest one counts.
pub async fn run(
    node: Rc<Node>,
    address: SocketAddr,
    addresses: Receiver<SocketAddr>,
    decision: DecisionHandle,
) {
    let mut current = AddressSync::new(&node, address);
    let mut next: Option<AddressSync> = None;
    loop {
        match next_event(&addresses, &mut next, &mut current).await {
            Event::NewAddress(address) if address == current.address() => {
                next = None;
                current.fetch_now();
            }
            Event::NewAddress(address) => next = Some(AddressSync::new(&node, address)),
            Event::Moved(update) => {
                current = next.take().unwrap_or(current);
                info!("discovery address changed: the membership list now comes from {}", current.address());
                decision.send_list(update).await;
            }
            Event::Update(update) => decision.send_list(update).await,
        }
    }
}

/// Waits for the next event. The new address is polled before the current one: once it has delivered its list, no update
/// of the previous address counts.
async fn next_event(
    addresses: &Receiver<SocketAddr>,
    next: &mut Option<AddressSync>,
    current: &mut AddressSync,
) -> Event {
    let new_address = async {
        match addresses.recv().await {
            Ok(address) => Event::NewAddress(address),
            Err(_) => future::pending().await,
        }
    };
    let moved = async {
        match next {
            Some(next) => Event::Moved(next.next_update().await),
            None => future::pending().await,
        }
    };
    let update = async { Event::Update(current.next_update().await) };
    future::or(new_address, future::or(moved, update)).await
}
