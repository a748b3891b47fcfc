//! The engines' side of the world: messages, outputs and reports.

use std::time::Duration;

use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::time::Time;
use rand::Rng;

use crate::fake_engine::Output;
use crate::fake_engine::Work;

use super::CONNECT;
use super::Happening;
use super::Route;
use super::TRIP;
use super::ToBox;
use super::ToEngine;
use super::World;

impl World {
    pub(super) fn answer(&mut self, route: Route, after: Duration, message: ToBox) {
        self.at(self.now + after, Happening::AtBox(route, message));
    }

    pub(super) fn at_engine(&mut self, index: usize, life: u32, route: Route, message: ToEngine) {
        let reachable = self.engines[index].alive && !self.is_cut(route.boxx, index);
        if !reachable || self.engines[index].life != life {
            if message.is_awaited() {
                let after = if self.engines[index].alive {
                    CONNECT
                } else {
                    TRIP
                };
                let answer = match message {
                    ToEngine::Reserve { .. } => ToBox::Reserved(false),
                    _ => ToBox::NoConnection,
                };
                self.answer(route, after, answer);
            }
            return;
        }
        let now = self.now;
        let owner = self.boxes[route.boxx].owner.clone();
        let rank = self.rank_of(route);
        let engine = &mut self.engines[index];
        match message {
            ToEngine::Reserve { group, tokens } => {
                let reserved = engine.fake.reserve(now, group, owner, tokens).is_ok();
                self.answer(route, TRIP, ToBox::Reserved(reserved));
            }
            ToEngine::Release { group } => engine.fake.release(group),
            ToEngine::Cancel { attempt } => engine.fake.cancel(attempt),
            ToEngine::Renew(asked) => engine.fake.renew(now, &asked),
            ToEngine::Prefill { group, tokens } => {
                let taken = engine.fake.prefill(now, group, rank, tokens).is_ok();
                engine.routes.insert(group, route);
                self.started_or_not(route, taken);
            }
            ToEngine::Generate {
                attempt,
                group,
                offset,
            } => {
                let Some(work) = self.work(route, rank, attempt, group, offset) else {
                    return;
                };
                let engine = &mut self.engines[index];
                let taken = engine.fake.submit(now, work).is_ok();
                engine.routes.insert(attempt, route);
                self.started_or_not(route, taken);
                if !taken {
                    self.answer(route, TRIP, ToBox::NotStarted);
                }
            }
        }
        self.wake(index);
    }

    pub(super) fn started_or_not(&mut self, route: Route, started: bool) {
        if started {
            let dispatches = self.started.entry(route.request).or_default();
            dispatches.insert(route.dispatch);
        }
    }

    pub(super) fn rank_of(&self, route: Route) -> badgerferry_lib::priority::Rank {
        let boxx = &self.boxes[route.boxx];
        let running = boxx.running.get(&route.request);
        running.map_or_else(Default::default, |running| {
            let request = &running.asked.request;
            let long = boxx.dispatcher.is_long(request);
            if self.plan.in_order {
                return badgerferry_lib::priority::Rank::default();
            }
            request.priority.rank(long)
        })
    }

    pub(super) fn work(
        &self,
        route: Route,
        rank: badgerferry_lib::priority::Rank,
        attempt: AttemptId,
        group: Option<AttemptId>,
        offset: u64,
    ) -> Option<Work> {
        let boxx = &self.boxes[route.boxx];
        let request = &boxx.running.get(&route.request)?.asked.request;
        let (seed, answer_tokens) = self.asked[&route.request];
        Some(Work {
            attempt,
            owner: boxx.owner.clone(),
            rank,
            prompt_tokens: request.prompt_tokens,
            seed,
            answer_tokens,
            offset,
            group,
        })
    }

    /// Sees to it that the engine wakes when its next output is due.
    pub(super) fn wake(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        let due = engine.fake.next_wake();
        if due == engine.wake {
            return;
        }
        engine.wake = due;
        let life = engine.life;
        if let Some(due) = due {
            self.at(due, Happening::EngineWakes(index, life));
        }
    }

    pub(super) fn engine_wakes(&mut self, index: usize, life: u32) {
        let now = self.now;
        let engine = &mut self.engines[index];
        if engine.life != life || engine.wake.is_none_or(|due| due > now) {
            return;
        }
        engine.wake = None;
        for output in engine.fake.advance(now) {
            self.deliver(index, output);
        }
        self.wake(index);
    }

    pub(super) fn deliver(&mut self, index: usize, output: Output) {
        let (key, message) = match output {
            Output::ShareReady(group) => (group, ToBox::ShareReady),
            Output::Frame(frame) => (frame.attempt, ToBox::Frame(frame)),
        };
        let Some(&route) = self.engines[index].routes.get(&key) else {
            return;
        };
        if self.is_cut(route.boxx, index) {
            return;
        }
        let ToBox::Frame(frame) = &message else {
            return self.answer(route, TRIP, message);
        };
        let foreign = self.last_frame.replace(frame.clone());
        if self.garble_until > self.now {
            match (self.rng.random_range(0..8), foreign) {
                (0, _) => return,
                (1, _) => self.answer(route, TRIP, message.clone()),
                (2, Some(foreign)) => self.answer(route, TRIP, ToBox::Frame(foreign)),
                _ => {}
            }
        }
        self.answer(route, TRIP, message);
    }

    pub(super) fn report(&mut self, index: usize) {
        let now = self.now;
        self.free_orphans(index);
        self.at(now + self.plan.report_every, Happening::Report(index));
        if !self.engines[index].alive {
            return;
        }
        let report = self.engines[index].fake.report();
        for boxx in 0..self.boxes.len() {
            let arrives = now + self.plan.report_lag;
            let what = Happening::ReportArrives(boxx, index, Box::new(report.clone()), now);
            self.at(arrives, what);
        }
    }

    pub(super) fn free_orphans(&mut self, index: usize) {
        let wanted: Vec<_> = self
            .boxes
            .iter()
            .enumerate()
            .filter(|(boxx, state)| {
                let ttl = self.plan.routing.holding_ttl;
                let thawed =
                    state.frozen_until + ttl < self.now || state.frozen_until == Time::ZERO;
                let cut = self
                    .cuts
                    .iter()
                    .any(|row| row.0 == *boxx && row.1 == index && row.2 + ttl > self.now);
                state.alive && thawed && !cut
            })
            .filter_map(|(_, state)| state.held.get(&index))
            .flatten()
            .copied()
            .collect();
        let engine = &mut self.engines[index];
        let had: Vec<_> = wanted
            .iter()
            .filter(|id| engine.fake.knows(**id))
            .copied()
            .collect();
        engine.fake.free_orphans(self.now);
        for id in had {
            assert!(
                engine.fake.knows(id),
                "engine {index} freed {id} of a live box"
            );
        }
    }
}
