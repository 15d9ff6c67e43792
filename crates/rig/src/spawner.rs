//! The way to start tasks of a day without keeping them alive: when the day's executor is dropped, all of them end and give
//! back their sockets.

use std::future::Future;
use std::rc::{Rc, Weak};

use async_executor::LocalExecutor;

/// Starts tasks on an executor that somebody else owns.
#[derive(Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Starts tasks on this executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Spawner(Rc::downgrade(executor))
    }

    /// Starts a task that ends by itself, or with the executor.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
