//! What a router tells the others of what members said, and when: words that spare the others their own probes.
//!
//! Owns the words that wait to be told and when others were last heard; never sends, reads a clock or believes a word. What
//! is told changes no rule: a router that hears nothing finds out by itself.
//!
//! A datagram costs the fleet about as much as a probe, so a word has to spare more than one. Two kinds don't: what is said
//! while nobody is heard, and what repeats that a replica lags far, which others would not ask again so soon.

use crate::interface::{Micros, Settings, Word};
use crate::scouting::{lag_pause, PROBE_PERIOD};

/// Positions are told once in this part of the tightest bound.
const NEWS: u64 = 2;
/// Others that talk are heard within this; after it a router takes itself for cut off, in microseconds.
const DEAF: Micros = 1_000_000;
/// A router that hears nobody gathers its words for this long, in microseconds. It still tells them: the others may hear
/// it, and the first that is heard again ends this.
const GATHER: Micros = 500_000;

/// A router's part in telling.
#[derive(Clone, Debug, Default)]
pub struct Telling {
    /// Whether the site permits messages.
    allowed: bool,
    bound: Micros,
    words: Vec<Word>,
    told_at: Micros,
    heard_at: Micros,
}

impl Telling {
    /// The part of a router with these settings and this tightest bound.
    pub fn new(settings: &Settings, bound: Micros, now: Micros) -> Self {
        let allowed = settings.limits.peer_messages;
        Telling { allowed, bound, heard_at: now, ..Telling::default() }
    }

    /// Others told something.
    pub fn on_heard(&mut self, now: Micros) {
        self.heard_at = now;
    }

    /// Whether a member's word is to be told, that any router last told of at `shared`. Of a primary that is `known` as
    /// such only its being there is news: reads need no position of it.
    pub fn is_news(&self, position: Micros, known: bool, shared: Micros, now: Micros) -> bool {
        let lag = now.saturating_sub(position);
        let period = match known {
            true => self.bound.max(PROBE_PERIOD) / NEWS,
            false if lag > self.bound => lag_pause(lag).max(self.bound / NEWS),
            false => self.bound / NEWS,
        };
        self.allowed && now > shared.saturating_add(period)
    }

    /// Takes a word that is news.
    pub fn add(&mut self, word: Word) {
        self.words.push(word);
    }

    /// What is to be told now; nothing while a router that hears nobody gathers.
    pub fn due(&mut self, now: Micros) -> Option<Vec<Word>> {
        let deaf = now > self.heard_at.saturating_add(DEAF);
        let gathers = deaf && now < self.told_at.saturating_add(GATHER);
        if self.words.is_empty() || gathers {
            return None;
        }
        self.told_at = now;
        Some(std::mem::take(&mut self.words))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Limits, MemberId};

    const MS: Micros = 1_000;
    const START: Micros = 1_000_000 * MS;
    const BOUND: Micros = 200 * MS;

    fn telling() -> Telling {
        let limits = Limits { peer_messages: true, ..Limits::default() };
        Telling::new(&Settings { limits, ..Settings::default() }, BOUND, START)
    }

    fn word() -> Word {
        Word { member: MemberId(1), position: START, role: None }
    }

    /// How often something is told in this time, with news every 10 ms and others heard as often as this.
    fn told(telling: &mut Telling, lasts: Micros, heard_every: Option<Micros>) -> usize {
        let times = (0..lasts / (10 * MS)).map(|i| START + i * 10 * MS);
        let tell = |now: Micros| {
            telling.add(word());
            if heard_every.is_some_and(|every| (now - START).is_multiple_of(every)) {
                telling.on_heard(now);
            }
            usize::from(telling.due(now).is_some())
        };
        times.map(tell).sum()
    }

    #[test]
    fn who_hears_others_tells_at_once_and_who_hears_nobody_gathers() {
        assert_eq!(told(&mut telling(), 4_000 * MS, Some(900 * MS)), 400);
        // The first second at once, then twice a second.
        let deaf = told(&mut telling(), 4_000 * MS, None);
        assert!((101..=108).contains(&deaf), "{deaf}");
    }

    #[test]
    fn the_first_that_is_heard_ends_the_gathering_and_no_word_is_lost() {
        let mut telling = telling();
        let now = START + 2_000 * MS;
        telling.add(word());
        assert_eq!(telling.due(now).map(|w| w.len()), Some(1));
        telling.add(word());
        telling.add(word());
        assert_eq!(telling.due(now + 10 * MS), None);
        telling.on_heard(now + 20 * MS);
        assert_eq!(telling.due(now + 20 * MS).map(|w| w.len()), Some(2));
        assert_eq!(telling.due(now + 30 * MS), None, "nothing is told twice");
    }

    #[test]
    fn a_word_is_news_as_soon_as_others_would_ask_again() {
        let (telling, now) = (telling(), START);
        let news = |age: Micros, known: bool, shared: Micros| {
            telling.is_news(now - age * MS, known, now - shared * MS, now)
        };
        assert_eq!([99, 101].map(|shared| news(5, false, shared)), [false, true]);
        assert_eq!([499, 501].map(|shared| news(5, true, shared)), [false, true]);
        // 2 s behind: half a second; far behind: a second.
        assert_eq!([499, 501].map(|shared| news(2_000, false, shared)), [false, true]);
        assert_eq!([999, 1_001].map(|shared| news(60_000, false, shared)), [false, true]);
        // What has just gone stale is told as before.
        assert_eq!([99, 101].map(|shared| news(201, false, shared)), [false, true]);
        let silent = Telling::new(&Settings::default(), BOUND, START);
        assert!(!silent.is_news(now, false, 0, now), "where the site permits no messages nothing is told");
    }
}
