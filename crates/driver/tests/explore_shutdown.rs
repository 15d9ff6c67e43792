//! The course of a driver's end, stepped through every order of signals, connections that come and go, and time.

use std::time::{Duration, Instant};

use beaconshore_driver::shutdown::sequence::{
    ShutdownSequence, Step, ACCEPT_AFTER_SIGNAL, FINAL_ANSWERS_TIME, QUIET_PERIOD,
};

const LONGEST: Duration = Duration::from_millis(1_000);
/// The signal leaves this much in all: the longest request's time and 0.7 s.
const GIVEN: Duration = Duration::from_millis(1_700);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Signal,
    /// A connection more, or one less.
    Open,
    Close,
    /// So many milliseconds pass.
    Time(u64),
}

const EVENTS: [Event; 6] =
    [Event::Signal, Event::Open, Event::Close, Event::Time(90), Event::Time(450), Event::Time(2_500)];

/// Plays a series of events, and lets what is left come to its end; when each step came, after the first signal.
fn play(events: &[Event]) -> Vec<(Step, Duration)> {
    let start = Instant::now();
    let mut course = ShutdownSequence::new(LONGEST, start);
    let (mut now, mut open, mut signalled, mut steps) = (start, 0_usize, None, Vec::new());
    let mut drive = |course: &mut ShutdownSequence, now: Instant, signalled: Option<Instant>| {
        while let Some(step) = course.next_step(now) {
            steps.push((step, now - signalled.expect("no step before the signal")));
        }
    };
    for event in events {
        match event {
            Event::Signal => {
                signalled = signalled.or(Some(now));
                course.on_stop_signal(now);
            }
            Event::Open if !course.is_closing() => open += 1,
            Event::Open => {}
            Event::Close => open = open.saturating_sub(1),
            Event::Time(ms) => {
                // Whatever is due on the way is done in time.
                let end = now + Duration::from_millis(*ms);
                while let Some(due) = course.due().filter(|due| *due <= end) {
                    now = now.max(due);
                    drive(&mut course, now, signalled);
                }
                now = end;
            }
        }
        course.set_connections(open, now);
        drive(&mut course, now, signalled);
    }
    let signalled = signalled.unwrap_or_else(|| {
        course.on_stop_signal(now);
        now
    });
    while let Some(due) = course.due() {
        now = now.max(due);
        drive(&mut course, now, Some(signalled));
    }
    assert!(course.is_closing(), "{events:?}");
    steps
}

#[test]
fn every_order_of_six_events_leads_to_the_end_in_time_and_by_all_steps() {
    let mut played = 0;
    for number in 0..EVENTS.len().pow(6) {
        let events: Vec<Event> =
            (0..6).map(|place| EVENTS[number / EVENTS.len().pow(place) % EVENTS.len()]).collect();
        let steps = play(&events);
        let [(Step::Drain(left), at_once), (Step::Close, closed), (Step::Exit, ended)] = steps[..] else {
            panic!("{events:?}: each step once and in order: {steps:?}")
        };
        assert_eq!((left, at_once), (GIVEN - FINAL_ANSWERS_TIME, Duration::ZERO), "{events:?}");
        assert!(closed >= ACCEPT_AFTER_SIGNAL, "{events:?}: new connections still come: {closed:?}");
        assert!(closed <= left && ended < GIVEN, "{events:?}: {closed:?}, {ended:?}");
        played += 1;
    }
    assert_eq!(played, 46_656);
}

#[test]
fn with_nobody_there_it_ends_early_and_a_late_comer_is_waited_for() {
    let steps = play(&[Event::Signal]);
    assert_eq!(steps[2], (Step::Exit, ACCEPT_AFTER_SIGNAL), "no connection since before the signal");
    let steps = play(&[Event::Open, Event::Signal, Event::Time(450), Event::Time(90), Event::Close]);
    assert_eq!(steps[2], (Step::Exit, Duration::from_millis(540) + QUIET_PERIOD));
    let steps = play(&[Event::Signal, Event::Time(450), Event::Open]);
    assert_eq!(steps[1], (Step::Close, GIVEN - FINAL_ANSWERS_TIME), "it is served while there is time");
}

/// After a standstill there is still time for the last answers.
#[test]
fn a_driver_that_stood_still_closes_before_it_ends() {
    let start = Instant::now();
    let mut course = ShutdownSequence::new(LONGEST, start);
    course.on_stop_signal(start);
    course.set_connections(1, start);
    assert!(matches!(course.next_step(start), Some(Step::Drain(_))));
    let late = start + Duration::from_secs(5);
    assert_eq!(course.next_step(late), Some(Step::Close));
    assert_eq!(course.next_step(late), None, "not at once: answers are still on their way");
    assert_eq!(course.next_step(late + FINAL_ANSWERS_TIME), Some(Step::Exit));
    assert_eq!(course.next_step(late + FINAL_ANSWERS_TIME), None);
}
