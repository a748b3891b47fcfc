//! Engines that turn slow, and boxes that ask for their pace.

use std::time::Duration;

use badgerferry_lib::relay::slow_engine_tracker::QUERY_INTERVAL;
use badgerferry_lib::relay::slow_engine_tracker::QUERY_JITTER;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::seq::SliceRandom;

use super::Event;
use super::World;
use crate::relay_model::engine::CallId;

impl World<'_> {
    /// Draws which engines are slow in each span.
    pub(super) fn put_slow_engines(&mut self) {
        for slow in &self.scenario.slow {
            let mut engines: Vec<usize> = (0..self.engines.len()).collect();
            engines.shuffle(&mut self.rng);
            engines.truncate((engines.len() as f64 * slow.share).round() as usize);
            let from = Time::ZERO + Duration::from_secs_f64(slow.from_s);
            let until = from + Duration::from_secs_f64(slow.for_s);
            for engine in engines {
                self.agenda.put(from, Event::Slows(engine, slow.factor));
                self.agenda.put(until, Event::Slows(engine, 1.0));
            }
        }
    }

    /// A call whose first event is late: the engines that read for it are asked for their pace.
    pub(super) fn is_late(&mut self, now: Time, id: CallId) {
        let call = &self.calls[id];
        let waits = call.first_event.is_none();
        let placed = call.placed.as_ref().filter(|_| waits);
        let engines = placed.map_or_else(Vec::new, |placed| placed.engines.clone());
        let box_at = call.box_at;
        for engine in engines {
            let key = self.rules.engines.key(engine);
            if self.boxes[box_at].paces.should_query(now, key) {
                self.asks(now, box_at, engine);
            }
        }
    }

    fn asks(&mut self, now: Time, box_at: usize, engine: usize) {
        self.reports += 1;
        let answered = now + self.way(self.boxes[box_at].hall, engine) * 2;
        self.agenda.put(answered, Event::Reports(box_at, engine));
    }

    /// An engine's report is here.
    pub(super) fn reports(&mut self, now: Time, box_at: usize, engine: usize) {
        let key = self.rules.engines.key(engine);
        let pace = self.engines[engine].slowness;
        if self.boxes[box_at].paces.record_pace(now, key, pace) {
            self.tells(now, box_at);
            let jitter = self.rng.random_range(0.0..QUERY_JITTER);
            let again = now + QUERY_INTERVAL + QUERY_INTERVAL.mul_f64(jitter);
            self.agenda.put(again, Event::AsksAgain(box_at, engine));
        }
    }

    /// Asks a slow engine again, unless another box did.
    pub(super) fn asks_again(&mut self, now: Time, box_at: usize, engine: usize) {
        let key = self.rules.engines.key(engine);
        if self.boxes[box_at].paces.should_query_again(now, key) {
            self.asks(now, box_at, engine);
        }
    }
}
