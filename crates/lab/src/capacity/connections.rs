//! Memory of one process of the program while clients hold idle connections to it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs};

use beaconshore_capacity::sample::{Axis, Cost, Mechanism, Sample};
use beaconshore_rig::wire::{query, startup};
use beaconshore_rig::Program;
use serde_json::{json, Value};

use crate::fleet::program_path;

/// Connections that are held open. A machine gives some 20,000 descriptors to a process.
const COUNTS: [usize; 4] = [0, 2_000, 4_000, 8_000];
const SEEDS: u64 = 3;
/// Descriptors of the process: three fifths of them are for clients.
const SOCKETS: usize = 18_000;
/// The program has this long to start.
const STARTS: Duration = Duration::from_secs(5);
/// Time in which a fresh connection's buffers are given back.
const RESTS: Duration = Duration::from_millis(500);

/// Measures all counts.
pub fn run(program: Option<PathBuf>) -> Result<Vec<Sample>, String> {
    let path = program_path(program.as_deref())?;
    let program = Program { path, operator: None, logs: None };
    let mut samples = Vec::new();
    for seed in 1..=SEEDS {
        for count in COUNTS {
            let kilobytes = measure(&program, count, seed)?;
            println!("{count} idle connections of clients, seed {seed}: {kilobytes} kB");
            samples.extend([Mechanism::AllToAll, Mechanism::Gossip].map(|mechanism| Sample {
                axis: Axis::IdleClients,
                mechanism,
                seed,
                at: count as f64,
                cost: Cost::Memory,
                value: kilobytes,
            }));
        }
    }
    Ok(samples)
}

fn measure(program: &Program, count: usize, seed: u64) -> Result<f64, String> {
    let folder = env::temp_dir().join(format!("beaconshore-connections-{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
    let address = free_address().map_err(|e| e.to_string())?;
    let process = program
        .start(&config(address, seed)?, 0, &folder)
        .map_err(|e| format!("{}: {e}", program.path.display()))?;
    await_listener(address)?;
    let connections: Result<Vec<TcpStream>, String> = (0..count).map(|_| connect(address)).collect();
    let connections = connections?;
    thread::sleep(RESTS);
    let kilobytes = process.resident_kb().ok_or("the system does not tell the process's memory")?;
    drop(connections);
    drop(process);
    let _ = fs::remove_dir_all(&folder);
    Ok(kilobytes)
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// The shipped configuration, with more descriptors and no discovery that answers.
fn config(listen: SocketAddr, seed: u64) -> Result<Value, String> {
    let text = include_str!("../../../../deploy/driver.json");
    let mut config: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    config["listen"] = listen.to_string().into();
    config["seed"] = format!("{seed:016x}").into();
    config["limits"] = json!({"cores": 1.0, "memory_mb": 512, "sockets": SOCKETS});
    Ok(config)
}

fn await_listener(address: SocketAddr) -> Result<(), String> {
    let until = Instant::now() + STARTS;
    while TcpStream::connect(address).is_err() {
        if Instant::now() >= until {
            return Err(format!("nothing listens at {address} after {STARTS:?}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// A connection that was of use: it asked an empty query and got its answer.
fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    let at = |e: std::io::Error| format!("a client's connection: {e}");
    let mut stream = TcpStream::connect(address).map_err(at)?;
    stream.write_all(&startup()).map_err(at)?;
    stream.write_all(&query("")).map_err(at)?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).map_err(at)?;
    let mut answer = [0; 512];
    let mut length = 0;
    // The welcome and the answer each end with ReadyForQuery.
    while answer[..length].windows(5).filter(|w| *w == [b'Z', 0, 0, 0, 5]).count() < 2 {
        let count = stream.read(&mut answer[length..]).map_err(at)?;
        if count == 0 {
            return Err("a client's connection was closed".into());
        }
        length += count;
    }
    Ok(stream)
}
