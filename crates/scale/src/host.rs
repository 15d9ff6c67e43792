//! The threads on which hollow drivers run.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use beaconshore::interface::Micros;
use beaconshore_emulator::live::Ask;
use beaconshore_gossip::Policy;
use beaconshore_rig::embedded::{Embedded, FromRouter, Reply, RouterNumber};
use futures_lite::future;
use serde_json::Value;

use crate::hollow::Hollow;
use crate::sample::Sample;

/// Time between two samples.
const SECOND: Duration = Duration::from_secs(1);

/// What a thread is told of one of its drivers.
enum Command {
    Start(u64, Vec<u8>),
    Kill,
    Leave,
    StandStill(Duration),
    Ask(Box<Ask>, Micros),
    Reply(u64, Reply),
}

type Samples = Arc<Mutex<Vec<Sample>>>;

/// A thread and the way to it.
struct Worker {
    commands: Sender<(RouterNumber, Command)>,
    thread: JoinHandle<()>,
}

/// Hollow drivers on a few threads.
pub struct HollowHost {
    workers: Vec<Worker>,
    samples: Samples,
}

impl HollowHost {
    /// Starts so many threads; what drivers do is told to `events`.
    pub fn new(threads: usize, gossip: Option<Policy>, events: &Sender<FromRouter>) -> HollowHost {
        let samples = Samples::default();
        let start = |_| {
            let (sender, commands) = async_channel::unbounded();
            let (samples, events) = (samples.clone(), events.clone());
            let thread = thread::spawn(move || {
                let on = Rc::new(LocalExecutor::new());
                let drivers = Drivers { on: on.clone(), gossip, events, running: HashMap::new(), samples };
                future::block_on(on.run(drivers.run(commands)));
            });
            Worker { commands: sender, thread }
        };
        HollowHost { workers: (0..threads.max(1)).map(start).collect(), samples }
    }

    /// Ends all drivers, and yields what each spent in each second.
    pub fn finish(self) -> Vec<Sample> {
        for Worker { commands, thread } in self.workers {
            commands.close();
            // A thread that failed has said so on standard error; the others' samples still count.
            let _ = thread.join();
        }
        std::mem::take(&mut self.samples.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn tell(&self, router: RouterNumber, command: Command) {
        let worker = &self.workers[router % self.workers.len()];
        let _ = worker.commands.try_send((router, command));
    }
}

impl Embedded for HollowHost {
    fn start(&self, router: RouterNumber, start: u64, config: &Value) {
        self.tell(router, Command::Start(start, config.to_string().into_bytes()));
    }

    fn kill(&self, router: RouterNumber) {
        self.tell(router, Command::Kill);
    }

    fn leave(&self, router: RouterNumber) {
        self.tell(router, Command::Leave);
    }

    fn stand_still(&self, router: RouterNumber, length: Micros) {
        self.tell(router, Command::StandStill(Duration::from_micros(length)));
    }

    fn ask(&self, ask: Box<Ask>, offset: Micros) {
        self.tell(ask.router, Command::Ask(ask, offset));
    }

    fn reply(&self, router: RouterNumber, token: u64, reply: Reply) {
        self.tell(router, Command::Reply(token, reply));
    }
}

/// The drivers of one thread.
struct Drivers {
    on: Rc<LocalExecutor<'static>>,
    gossip: Option<Policy>,
    events: Sender<FromRouter>,
    running: HashMap<RouterNumber, Hollow>,
    samples: Samples,
}

impl Drivers {
    async fn run(mut self, commands: Receiver<(RouterNumber, Command)>) {
        let mut sample_at = Instant::now() + SECOND;
        loop {
            let sample = async {
                Timer::at(sample_at).await;
                Ok(None)
            };
            // Samples go first: commands never end while traffic is dense.
            match future::or(sample, async { commands.recv().await.map(Some) }).await {
                Ok(Some((router, command))) => self.obey(router, command),
                Ok(None) => {
                    self.sample();
                    sample_at += SECOND;
                }
                Err(_) => return,
            }
        }
    }

    fn obey(&mut self, router: RouterNumber, command: Command) {
        match command {
            Command::Start(start, config) => self.start(router, start, &config),
            Command::Kill => drop(self.running.remove(&router)),
            Command::Leave => self.running.get(&router).into_iter().for_each(Hollow::leave),
            Command::StandStill(length) => {
                self.running.get(&router).into_iter().for_each(|driver| driver.stand_still(length));
            }
            Command::Ask(ask, offset) => {
                self.running.get(&router).into_iter().for_each(|driver| driver.ask(&ask, offset));
            }
            Command::Reply(token, reply) => {
                if let Some(driver) = self.running.get(&router) {
                    driver.reply(token, reply);
                }
            }
        }
    }

    fn start(&mut self, router: RouterNumber, start: u64, config: &[u8]) {
        // Its address has to be free before it is taken again.
        self.running.remove(&router);
        match Hollow::start(&self.on, (router, start), config, self.gossip, self.events.clone()) {
            Ok(driver) => drop(self.running.insert(router, driver)),
            Err(reason) => eprintln!("hollow driver {router} could not be started: {reason}"),
        }
    }

    fn sample(&mut self) {
        let at = Instant::now();
        let samples = self.running.iter_mut().map(|(router, driver)| Sample {
            router: *router,
            at,
            costs: driver.costs(),
        });
        let samples: Vec<Sample> = samples.collect();
        self.samples.lock().unwrap_or_else(PoisonError::into_inner).extend(samples);
    }
}
