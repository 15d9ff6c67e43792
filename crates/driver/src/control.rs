//! The control plane of one driver: its membership list, the decision module, messages to other drivers, timers. Clients
//! and servers are reached by what its user adds: sockets in the program, statistical traffic in a scale run.
//!
//! Owns the executor on which all its actors run; dropping it ends every one of them.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use beaconshore::interface::MemberId;
use futures_lite::Stream;

use crate::config::Config;
use crate::member::MemberMail;
use crate::module::{Module, ModuleHandle};
use crate::{discovery, peers, reload, Node};

/// How a driver reaches the members on its list.
pub trait MemberTransport {
    /// Starts what carries attempts and probes to one member; this is the way to its mailbox.
    fn start(
        &self,
        node: &Rc<Node>,
        module: &ModuleHandle,
        id: MemberId,
        address: SocketAddr,
    ) -> Sender<MemberMail>;
}

/// The control plane of a driver, running once its executor is.
pub struct Control {
    executor: Rc<LocalExecutor<'static>>,
    node: Rc<Node>,
    module: ModuleHandle,
}

impl Control {
    /// Starts all its actors. An error names what could not be opened.
    pub fn start(
        config: Config,
        transport: Rc<dyn MemberTransport>,
        reloads: impl Stream<Item = Config> + 'static,
    ) -> Result<Control, String> {
        let bound = |e: std::io::Error| format!("listening for peers: {e}");
        let peer_address = config.peer_listen.filter(|_| config.settings.settings.limits.peer_messages);
        let socket = peer_address.map(UdpSocket::bind).transpose().map_err(bound)?;
        let socket = socket.map(Async::new).transpose().map_err(bound)?;

        let executor = Rc::new(LocalExecutor::new());
        let node = Rc::new(Node::new(&config, Rc::downgrade(&executor)));
        let peers = socket.map(|socket| peers::start(&node, socket, &config));
        let (module, handle) = Module::new(node.clone(), &config, peers.as_ref(), transport);
        node.spawn(module.run(config.known.clone()));
        peers.into_iter().for_each(|peers| node.spawn(peers.run(handle.clone())));
        let (moves, addresses) = async_channel::unbounded();
        node.spawn(discovery::run(node.clone(), config.discovery, addresses, handle.clone()));
        node.spawn(reload(config, reloads, moves, handle.clone()));
        Ok(Control { executor, node, module: handle })
    }

    /// Where its actors run.
    pub fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// What its actors have in common.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// The way to its decision module.
    pub fn module(&self) -> &ModuleHandle {
        &self.module
    }
}
