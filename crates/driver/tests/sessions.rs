//! Sessions whose last write the driver remembers: later reads of the session must see it.

mod common;

use std::thread;
use std::time::Duration;

use common::{eventually, read, write, Behaviour, World};

/// The text that stands for a session in a statement.
const SESSION_KEY: &str = "5e55104000000001";

/// A statement of this session: its quoted key is the session's.
fn of_session(text: &str) -> String {
    let at = text.find('\'').expect("a quoted key") + 1;
    let end = at + text[at..].find('\'').expect("its end");
    format!("{}{SESSION_KEY}{}", &text[..at], &text[end..])
}

/// Guards against: a session's write whose answer was cut off behind the row is forgotten, and a replica without it serves the
/// session's next read.
#[test]
fn a_session_sees_its_write_though_the_end_of_the_answer_was_cut_off() {
    for cut in [Behaviour::Unready, Behaviour::NoiseBehind] {
        let world = World::with(|config| {
            let extra = &mut config["settings"]["extra"];
            extra["consistency"] = serde_json::json!(["own_writes", "update"]);
            extra["sessionMarks"] = "router".into();
        });
        world.follower.set(|s| s.lag = Duration::from_millis(800));
        let mut client = world.client();
        world.leader.behave(cut);
        assert!(client.ask(&of_session(&write(2_000))).is_served(), "the row came whole, {cut:?}");
        world.leader.behave(Behaviour::Serve);
        thread::sleep(Duration::from_millis(300));
        let before = world.follower.queries().len();
        for _ in 0..5 {
            assert!(client.ask(&of_session(&read(900))).is_served(), "by the primary, {cut:?}");
        }
        assert_eq!(world.follower.queries().len(), before, "the follower has not the write, {cut:?}");
        // Reads of others renew what is known of the follower; once it has the write, it serves the session.
        world.follower.set(|s| s.lag = Duration::ZERO);
        eventually("the follower serves the session", || {
            client.ask(&read(900));
            client.ask(&of_session(&read(900)));
            world.follower.queries().iter().any(|query| query.contains(SESSION_KEY))
        });
    }
}
