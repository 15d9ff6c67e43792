//! The control plane of one driver: its membership list, the decision module, messages to other drivers, and timers. Clients
//! and members are connected by the caller: over sockets in the program, through simulated traffic in a scale run.
//!
//! Owns the executor on which all actors run. Dropping the control plane ends every actor.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use beaconshore::interface::MemberId;
use futures_lite::Stream;

use crate::config::Config;
use crate::decision::{DecisionActor, DecisionHandle};
use crate::member::MemberMessage;
use crate::{discovery, peers, reload, Node};

/// Connects a driver to the members on its list.
pub trait MemberTransport {
    /// Starts the actor that carries attempts and probes to one member, and returns the sender of its mailbox.
    fn start(
        &self,
        node: &Rc<Node>,
        decision: &DecisionHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMessage>;
}

/// The control plane of a driver. Its actors run while its executor is being run.
pub struct ControlPlane {
    executor: Rc<LocalExecutor<'static>>,
    node: Rc<Node>,
    decision: DecisionHandle,
}

impl ControlPlane {
    /// Creates all actors. Returns an error if the socket for peers cannot be opened.
    pub fn start(
        config: Config,
        transport: Rc<dyn MemberTransport>,
        reloads: impl Stream<Item = Config> + 'static,
    ) -> Result<ControlPlane, String> {
        let bind_error = |e: std::io::Error| format!("listening for peers: {e}");
        let peer_address = config.peer_listen.filter(|_| config.settings.module.limits.peer_messages);
        let socket = peer_address.map(UdpSocket::bind).transpose().map_err(bind_error)?;
        let socket = socket.map(Async::new).transpose().map_err(bind_error)?;

        let executor = Rc::new(LocalExecutor::new());
        let node = Rc::new(Node::new(&config, Rc::downgrade(&executor)));
        let peers = socket.map(|socket| peers::create(&node, socket, &config));
        let (decision, handle) = DecisionActor::new(node.clone(), &config, peers.as_ref(), transport);
        node.spawn(decision.run(config.known.clone()));
        peers.into_iter().for_each(|peers| node.spawn(peers.run(handle.clone())));
        let (discovery_addresses, addresses) = async_channel::unbounded();
        node.spawn(discovery::run(node.clone(), config.discovery, addresses, handle.clone()));
        node.spawn(reload(config, reloads, discovery_addresses, handle.clone()));
        Ok(ControlPlane { executor, node, decision: handle })
    }

    /// The executor on which the actors run.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// The state that the actors share.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// The handle of the decision actor.
    pub fn decision(&self) -> &DecisionHandle {
        &self.decision
    }
}
