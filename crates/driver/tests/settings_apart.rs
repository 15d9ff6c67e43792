//! Two routers of different settings in one process: neither picks up anything of the other's.

mod common;

use std::net::SocketAddr;
use std::thread;

use beaconshore_driver::{run, Config};
use common::driver::config;
use common::{eventually, read, write, Client, Discovery, Member};
use futures_lite::stream;

/// A router of this process, which runs until the sender goes.
fn start(config: &serde_json::Value) -> (SocketAddr, async_channel::Sender<()>, thread::JoinHandle<()>) {
    let address = config["listen"].as_str().unwrap().parse().unwrap();
    let (text, (sender, stopped)) = (config.to_string(), async_channel::bounded::<()>(1));
    let thread = thread::spawn(move || {
        let stop = async move { while stopped.recv().await.is_ok() {} };
        run(Config::parse(text.as_bytes()).unwrap(), stop, stream::pending()).unwrap();
    });
    (address, sender, thread)
}

#[test]
fn two_routers_in_one_process_share_neither_classes_nor_members_nor_ids() {
    let members = [Member::start("s-0", true), Member::start("s-1", true)];
    let lists: Vec<Discovery> = members.iter().map(|m| Discovery::start(std::slice::from_ref(m))).collect();
    let mut configs: Vec<_> = lists.iter().map(config).collect();
    // The same names stand for other things: the second one's view is a write that never repeats, and it has no log.
    let classes = &mut configs[1]["settings"]["requestClasses"];
    classes[0]["idempotency"] = "at_most_once".into();
    classes[0]["deadlineUs"] = 400_000.into();
    classes[1]["name"] = "other".into();
    configs[1]["settings"]["extra"]["consistency"] = serde_json::json!(["update", "update"]);
    let routers: Vec<_> = configs.iter().map(start).collect();
    for (address, ..) in &routers {
        eventually("it is ready", || {
            std::net::TcpStream::connect(address).is_ok() && Client::connect(*address).ask("").kinds == "IZ"
        });
    }
    let mut clients: Vec<Client> = routers.iter().map(|(address, ..)| Client::connect(*address)).collect();
    eventually("both serve", || clients.iter_mut().all(|client| client.ask(&read(2_000)).is_served()));
    assert!(clients[0].ask(&write(2_000)).is_served());
    assert_eq!(clients[1].ask(&write(2_000)).code.as_deref(), Some("42704"), "it knows no such class");
    // One id is taken at each of them.
    let text = read(2_000);
    assert!(clients.iter_mut().all(|client| client.ask(&text).is_served()));
    assert_eq!(clients[0].ask(&text).code.as_deref(), Some("42710"));
    // A member never hears of the other router's requests, nor of a wait over its own router's deadline.
    let queries = members.each_ref().map(Member::queries);
    assert!(queries[0].iter().any(|q| q.contains("c=log")));
    assert!(queries[1].iter().all(|q| q.contains("c=view")), "{:?}", queries[1]);
    let wait = |q: &String| q.split(",d=").nth(1).unwrap().split(',').next().unwrap().parse::<u64>().unwrap();
    assert!(queries[1].iter().map(wait).all(|ms| ms <= 400), "{:?}", queries[1]);
    assert!(queries[0].iter().map(wait).any(|ms| ms > 400));
    drop(clients);
    for (_, sender, thread) in routers {
        drop(sender);
        thread.join().unwrap();
    }
}
