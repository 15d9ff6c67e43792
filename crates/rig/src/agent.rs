//! A process's agent of discovery: the list over HTTP, whole or as a watch of its changes.
//!
//! Owns what it has been sent. It answers at once with that and is never asked to be late: the day decides when an agent
//! learns something.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use serde_json::{json, Value};

use crate::spawner::Spawner;

/// A watch that has nothing to tell says so this often.
const BEAT: Duration = Duration::from_secs(2);
/// Longest head of a request.
const MOST_HEAD: usize = 8 * 1024;

#[derive(Default)]
struct State {
    version: u64,
    /// Entries by name, with the version in which each last changed.
    entries: BTreeMap<String, (u64, Value)>,
    /// The whole list of a version, as text: hundreds of drivers ask for it every other second.
    whole: Option<(u64, Rc<str>)>,
    /// Watches, each told that there is something new.
    watches: Vec<Sender<()>>,
}

/// The agent.
#[derive(Clone, Default)]
pub struct Agent(Rc<RefCell<State>>);

impl Agent {
    /// It is sent an entry.
    pub fn tell(&self, entry: Value) {
        let mut state = self.0.borrow_mut();
        state.version += 1;
        let (name, version) = (entry["instanceId"].as_str().unwrap_or_default().to_string(), state.version);
        state.entries.insert(name, (version, entry));
        // A watch that has not looked yet will see this too.
        state.watches.retain(|watch| !watch.is_closed());
        for watch in &state.watches {
            let _ = watch.try_send(());
        }
    }

    /// What changed after a version; from the start, all that is there.
    pub fn listing(&self, after: u64, reset: bool) -> (u64, Value) {
        let state = self.0.borrow();
        let told = |e: &Value| !reset || e["lifecycle"] != "gone";
        let news = state.entries.values().filter(|(version, e)| *version > after && told(e));
        let instances: Vec<&Value> = news.map(|(_, e)| e).collect();
        (state.version, json!({"generation": state.version, "reset": reset, "instances": instances}))
    }

    /// The whole list as text.
    fn whole(&self) -> Rc<str> {
        let version = self.0.borrow().version;
        let kept = self.0.borrow().whole.clone();
        if let Some((_, text)) = kept.filter(|(of, _)| *of == version) {
            return text;
        }
        let text: Rc<str> = self.listing(0, true).1.to_string().into();
        self.0.borrow_mut().whole = Some((version, text.clone()));
        text
    }

    /// Serves at this address.
    pub fn serve(&self, spawner: &Spawner, listener: Async<TcpListener>) {
        let (agent, on) = (self.clone(), spawner.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let agent = agent.clone();
                // A process that ends in the middle of an answer needs no more of it.
                on.spawn(async move { drop(agent.answer(stream).await) });
            }
        };
        spawner.spawn(accept);
    }

    async fn answer(self, mut stream: Async<TcpStream>) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut part = [0; 512];
            let count = stream.read(&mut part).await?;
            if count == 0 || head.len() > MOST_HEAD {
                return Ok(());
            }
            head.extend_from_slice(&part[..count]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let target = head.split(' ').nth(1).unwrap_or_default();
        let Some(from) = target.split_once("watch=1&from=").and_then(|(_, from)| from.parse().ok()) else {
            let text = self.whole();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
            return stream.write_all(answer.as_bytes()).await;
        };
        let (watch, news) = async_channel::bounded(1);
        self.0.borrow_mut().watches.push(watch);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut version: u64 = from;
        loop {
            let (next, listing) = self.listing(version, false);
            if next > version {
                version = next;
                chunk(&mut stream, &format!("{listing}\n")).await?;
            }
            let beat = async {
                Timer::after(BEAT).await;
                true
            };
            let ended = async { stream.get_ref().peek(&mut [0]).is_ok_and(|count| count == 0) };
            let told = async { news.recv().await.is_err() };
            if ended.await {
                return Ok(());
            }
            if future::or(told, beat).await {
                chunk(&mut stream, "\n").await?;
            }
        }
    }
}

async fn chunk(stream: &mut Async<TcpStream>, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_watch_tells_the_newest_state_of_what_changed_and_a_list_leaves_out_what_is_gone() {
        let agent = Agent::default();
        let entry = |name: &str, lifecycle: &str| json!({"instanceId": name, "lifecycle": lifecycle});
        ["a", "b"].into_iter().for_each(|name| agent.tell(entry(name, "ready")));
        let (version, list) = agent.listing(0, true);
        assert_eq!((version, list["instances"].as_array().unwrap().len()), (2, 2));
        ["draining", "gone"].into_iter().for_each(|state| agent.tell(entry("a", state)));
        let (_, news) = agent.listing(version, false);
        assert_eq!(news["instances"], json!([entry("a", "gone")]));
        assert_eq!(agent.listing(0, true).1["instances"], json!([entry("b", "ready")]));
    }
}
