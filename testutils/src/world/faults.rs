//! Faults, and how boxes and engines come back.

use std::time::Duration;

use super::Ended;
use super::Fault;
use super::Happening;
use super::TRIP;
use super::ToBox;
use super::World;
use super::engine_name;
use super::new_box;

impl World {
    pub(super) fn strike(&mut self, fault: &Fault) {
        match *fault {
            Fault::EngineDies(index, back) => self.engine_dies(index, back),
            Fault::BoxDies(index, back) => self.box_dies(index, back),
            Fault::BoxFreezes(index, span) => {
                let until = self.now + span;
                let boxx = &mut self.boxes[index];
                boxx.frozen_until = boxx.frozen_until.max(until);
                for running in boxx.running.values_mut() {
                    running.frozen = true;
                }
            }
            Fault::Cut(boxx, engine, span) => self.cuts.push((boxx, engine, self.now + span)),
            Fault::HallCut(hall, span) => self.cut_hall(hall, span),
            Fault::LoseReleases(span) => self.lose_until = self.now + span,
            Fault::GarbleFrames(span) => self.garble_until = self.now + span,
        }
    }

    pub(super) fn cut_hall(&mut self, hall: usize, span: Duration) {
        let halls = self.plan.halls;
        for boxx in 0..self.plan.boxes {
            for engine in 0..self.plan.engines {
                if (boxx % halls == hall) != (engine % halls == hall) {
                    self.cuts.push((boxx, engine, self.now + span));
                }
            }
        }
    }

    pub(super) fn engine_dies(&mut self, index: usize, back: Duration) {
        let engine = &mut self.engines[index];
        engine.fake.reset();
        engine.life += 1;
        engine.alive = false;
        engine.wake = None;
        let routes = std::mem::take(&mut engine.routes);
        for route in routes.into_values() {
            self.answer(route, TRIP, ToBox::Broken);
        }
        self.at(self.now + back, Happening::EngineBack(index));
    }

    pub(super) fn box_dies(&mut self, index: usize, back: Duration) {
        let now = self.now;
        let boxx = &mut self.boxes[index];
        if !boxx.alive {
            return;
        }
        boxx.alive = false;
        boxx.life += 1;
        boxx.held.clear();
        let running = std::mem::take(&mut boxx.running);
        for lost in running.into_values() {
            self.ended.push(Ended {
                request: lost.asked.request,
                outcome: None,
                at: now,
                first_token: lost.first_token,
            });
        }
        self.at(now + back, Happening::BoxBack(index));
    }

    pub(super) fn box_back(&mut self, index: usize) {
        let life = self.boxes[index].life;
        self.boxes[index] = new_box(&self.plan, index, life, &mut self.rng);
        for engine in 0..self.plan.engines {
            let report = self.engines[engine].fake.report();
            let dispatcher = &mut self.boxes[index].dispatcher;
            dispatcher.on_report(&engine_name(engine), report, self.now);
        }
        self.start_box_timers(index);
    }
}
