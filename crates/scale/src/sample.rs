//! What a driver had spent on control at a moment, and differences between two such moments.

use std::time::Instant;

use beaconshore_driver::meter::{Meter, Work};
use beaconshore_driver::stats::{Counter, Stats};

/// Headers of an IPv4 datagram.
const DATAGRAM_HEADERS: f64 = 28.0;

macro_rules! costs {
    ($($(#[$doc:meta])* $name:ident = $source:expr),* $(,)?) => {
        /// Sums since a driver's start.
        #[derive(Clone, Copy, Debug, Default, PartialEq)]
        pub struct Costs { $($(#[$doc])* pub $name: f64),* }

        impl Costs {
            /// The names of the fields, in their order.
            pub const NAMES: &[&str] = &[$(stringify!($name)),*];

            /// Reads a driver's counters and its meter.
            pub fn read(stats: &Stats, meter: &Meter) -> Costs {
                Costs { $($name: read(stats, meter, $source) as f64),* }
            }

            /// The fields, in their order.
            pub fn values(&self) -> Vec<f64> {
                vec![$(self.$name),*]
            }

            /// The costs whose fields a function says by name.
            pub fn from_names(value: impl Fn(&str) -> f64) -> Costs {
                Costs { $($name: value(name_of($source))),* }
            }

            /// Each field of both, put together.
            pub fn combine(&self, other: &Costs, with: impl Fn(f64, f64) -> f64) -> Costs {
                Costs { $($name: with(self.$name, other.$name)),* }
            }
        }
    };
}

/// Where a figure comes from.
#[derive(Clone, Copy)]
enum Source {
    Count(Counter, &'static str),
    Time(Work, &'static str),
}

fn read(stats: &Stats, meter: &Meter, source: Source) -> u64 {
    match source {
        Source::Count(counter, _) => stats.get(counter),
        Source::Time(work, _) => meter.spent(work),
    }
}

fn name_of(source: Source) -> &'static str {
    match source {
        Source::Count(_, name) | Source::Time(_, name) => name,
    }
}

costs!(
    /// Datagrams sent.
    datagrams_sent = Source::Count(Counter::DatagramsSent, "told"),
    /// Datagrams taken.
    datagrams_received = Source::Count(Counter::DatagramsReceived, "heard"),
    /// Bytes of datagrams sent, without headers.
    peer_bytes_sent = Source::Count(Counter::PeerBytesSent, "peer_bytes_sent"),
    /// Bytes of datagrams that came, without headers.
    peer_bytes_received = Source::Count(Counter::PeerBytesReceived, "peer_bytes_received"),
    /// Bytes sent to discovery.
    list_bytes_sent = Source::Count(Counter::ListBytesSent, "list_bytes_sent"),
    /// Bytes that came from discovery.
    list_bytes_received = Source::Count(Counter::ListBytesReceived, "list_bytes_received"),
    /// Calls of discovery.
    list_calls = Source::Count(Counter::DiscoveryCalls, "watches"),
    /// Lists and changes taken in.
    lists = Source::Count(Counter::ListUpdates, "lists"),
    /// Health checks (probes).
    probes = Source::Count(Counter::Probes, "probes"),
    /// Requests taken.
    requests = Source::Count(Counter::Requests, "requests"),
    /// Requests served.
    served = Source::Count(Counter::Served, "served"),
    /// Attempts at members.
    attempts = Source::Count(Counter::Attempts, "attempts"),
    /// Processor time of the list, in nanoseconds.
    list_time = Source::Time(Work::List, "list_ns"),
    /// Processor time of messages between drivers.
    peer_time = Source::Time(Work::PeerMessages, "peer_messages_ns"),
    /// Processor time of the decision module's timer.
    timer_time = Source::Time(Work::Timer, "timer_ns"),
    /// Processor time of requests, attempts and probes in the module.
    traffic_time = Source::Time(Work::Traffic, "traffic_ns"),
);

impl Costs {
    /// Bytes of messages between drivers, both ways, headers included.
    pub fn peer_bytes(&self) -> f64 {
        let datagrams = self.datagrams_sent + self.datagrams_received;
        self.peer_bytes_sent + self.peer_bytes_received + DATAGRAM_HEADERS * datagrams
    }

    /// Bytes of the list, both ways, without TCP's headers.
    pub fn list_bytes(&self) -> f64 {
        self.list_bytes_sent + self.list_bytes_received
    }

    /// Processor time of control, in nanoseconds: all but what traffic pays for itself.
    pub fn control_time(&self) -> f64 {
        self.list_time + self.peer_time + self.timer_time
    }
}

/// One driver's costs in one second.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The driver.
    pub router: usize,
    /// The end of that second.
    pub at: Instant,
    /// What it spent in the second before.
    pub costs: Costs,
}
