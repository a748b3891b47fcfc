//! The boxes' side of the world: requests, their exchanges, and what is held.

use std::collections::BTreeSet;
use std::time::Duration;

use badgerferry_lib::dispatcher::Decision;
use badgerferry_lib::engine_wire::RenewRequest;
use badgerferry_lib::exchange::Action;
use badgerferry_lib::exchange::Event;
use badgerferry_lib::exchange::Exchange;
use badgerferry_lib::exchange::ExchangeLimits;
use badgerferry_lib::ids::AttemptId;
use badgerferry_lib::ids::RequestId;
use badgerferry_lib::ids::ServerName;
use badgerferry_lib::outcome::Outcome;
use badgerferry_lib::outcome::RefusalReason;
use badgerferry_lib::workspace_limit::HallLimit;

use crate::fake_engine::answer_text;

use super::Asked;
use super::CONNECT;
use super::Ended;
use super::Happening;
use super::OUTCOME_SLACK;
use super::RENEWALS_PER_TTL;
use super::Route;
use super::Running;
use super::SPARE_YOUNGER;
use super::TICK;
use super::TRIP;
use super::ToBox;
use super::ToEngine;
use super::World;
use super::answer_seed;
use super::engine_index;

impl World {
    pub(super) fn arrive(&mut self, index: usize, asked: Asked) {
        if !self.boxes[index].alive || self.boxes[index].frozen_until > self.now {
            // The balancer sends it to another box.
            let up = |found: &usize| {
                self.boxes[*found].alive && self.boxes[*found].frozen_until <= self.now
            };
            match (0..self.boxes.len()).find(up) {
                Some(other) => self.arrive(other, asked),
                None => self.at(
                    self.now + CONNECT,
                    Happening::Arrive(index, Box::new(asked)),
                ),
            }
            return;
        }
        let mut asked = asked;
        asked.request.arrived = self.now;
        asked.request.deadline = self.now + asked.limit;
        let id = asked.request.id;
        let known = (answer_seed(id), asked.answer_tokens);
        assert!(
            self.asked.insert(id, known).is_none(),
            "identifiers are unique"
        );
        if let Some(span) = asked.leaves_after {
            self.at(self.now + span, Happening::CallerLeaves(index, id));
        }
        let exchange = Exchange::new(ExchangeLimits {
            deadline: asked.request.deadline,
            first_token: Duration::from_secs(10),
            between_tokens: Duration::from_secs(2),
            max_attempts: 3,
            max_tokens: asked.answer_tokens,
            repeatable: asked.repeatable,
        });
        let request = asked.request.clone();
        let running = Running {
            exchange,
            asked,
            step: 0,
            text: String::new(),
            first_token: None,
            held: Vec::new(),
            frozen: false,
        };
        let boxx = &mut self.boxes[index];
        boxx.running.insert(id, running);
        let limit = HallLimit {
            requests_per_s: 1_000_000,
            tokens_per_s: 1_000_000_000,
        };
        let decisions = boxx
            .dispatcher
            .submit(self.now, request, limit, &mut self.rng);
        self.set_exchange_tick(index, id);
        self.carry_out(index, decisions);
    }

    pub(super) fn set_exchange_tick(&mut self, index: usize, id: RequestId) {
        let boxx = &self.boxes[index];
        let Some(running) = boxx.running.get(&id) else {
            return;
        };
        let route = Route {
            boxx: index,
            life: boxx.life,
            request: id,
            step: 0,
            dispatch: 0,
        };
        let at = running.exchange.next_tick();
        self.at(at, Happening::ExchangeTick(route));
    }

    pub(super) fn exchange_tick(&mut self, route: Route) {
        let index = route.boxx;
        if self.boxes[index].life != route.life {
            return;
        }
        if self.is_put_off(index, || Happening::ExchangeTick(route)) {
            return;
        }
        let Some(running) = self.boxes[index].running.get(&route.request) else {
            return;
        };
        let due = running.exchange.next_tick();
        if due > self.now {
            self.at(due, Happening::ExchangeTick(route));
            return;
        }
        self.feed_now(index, route.request, &Event::Tick);
        self.set_exchange_tick(index, route.request);
    }

    pub(super) fn carry_out(&mut self, index: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            let request = decision.request();
            self.feed_now(index, request, &decision.into_event());
        }
    }

    pub(super) fn feed_now(&mut self, index: usize, id: RequestId, event: &Event<'_>) {
        let now = self.now;
        let boxx = &mut self.boxes[index];
        let Some(running) = boxx.running.get_mut(&id) else {
            return;
        };
        let due_before = running.exchange.next_tick();
        let actions = running.exchange.on_event(now, event, &mut self.rng);
        let due = running.exchange.next_tick();
        for action in actions {
            self.act(index, id, action);
        }
        if due < due_before {
            self.set_exchange_tick(index, id);
        }
    }

    pub(super) fn act(&mut self, index: usize, id: RequestId, action: Action) {
        match action {
            Action::Reserve {
                server,
                group,
                tokens,
            } => {
                self.hold(index, id, &server, group);
                self.send(index, id, &server, ToEngine::Reserve { group, tokens });
            }
            Action::Release { server, group } => {
                self.send(index, id, &server, ToEngine::Release { group });
            }
            Action::Prefill {
                server,
                group,
                tokens,
                ..
            } => self.send(index, id, &server, ToEngine::Prefill { group, tokens }),
            Action::Send {
                server,
                attempt,
                group,
                offset,
            } => {
                self.hold(index, id, &server, attempt);
                let message = ToEngine::Generate {
                    attempt,
                    group,
                    offset,
                };
                self.send(index, id, &server, message);
            }
            Action::Cancel { server, attempt } => {
                self.send(index, id, &server, ToEngine::Cancel { attempt });
            }
            Action::Forward(text) => self.forward(index, id, &text),
            Action::CountDropped(_) => {}
            Action::FirstToken => {
                let now = self.now;
                let boxx = &mut self.boxes[index];
                boxx.dispatcher.record_first_token(now, id);
            }
            Action::PlacementEnded(end) => {
                self.let_go(index, id);
                self.boxes[index]
                    .dispatcher
                    .placement_ended(self.now, id, &end);
            }
            Action::Requeue { avoid, is_retry } => self.queue_again(index, id, avoid, is_retry),
            Action::Finish(outcome) => self.finish(index, id, outcome),
        }
    }

    pub(super) fn queue_again(
        &mut self,
        index: usize,
        id: RequestId,
        avoid: Option<ServerName>,
        is_retry: bool,
    ) {
        let boxx = &mut self.boxes[index];
        let Some(running) = boxx.running.get(&id) else {
            return;
        };
        let request = running.asked.request.clone();
        let decisions = boxx
            .dispatcher
            .requeue(self.now, request, avoid, is_retry, &mut self.rng);
        self.carry_out(index, decisions);
    }

    pub(super) fn forward(&mut self, index: usize, id: RequestId, text: &str) {
        if let Some(running) = self.boxes[index].running.get_mut(&id) {
            running.text.push_str(text);
            running.first_token.get_or_insert(self.now);
        }
    }

    pub(super) fn hold(
        &mut self,
        index: usize,
        id: RequestId,
        server: &ServerName,
        what: AttemptId,
    ) {
        let engine = engine_index(server);
        let boxx = &mut self.boxes[index];
        boxx.held.entry(engine).or_default().insert(what);
        if let Some(running) = boxx.running.get_mut(&id) {
            running.held.push((engine, what));
        }
    }

    pub(super) fn let_go(&mut self, index: usize, id: RequestId) {
        let boxx = &mut self.boxes[index];
        let Some(running) = boxx.running.get_mut(&id) else {
            return;
        };
        for (engine, what) in running.held.drain(..) {
            if let Some(held) = boxx.held.get_mut(&engine) {
                held.remove(&what);
            }
        }
    }

    pub(super) fn finish(&mut self, index: usize, id: RequestId, outcome: Outcome) {
        let now = self.now;
        let boxx = &mut self.boxes[index];
        boxx.dispatcher.forget(now, id);
        let running = boxx.running.remove(&id).expect("an outcome comes once");
        let request = running.asked.request.clone();
        self.check_outcome(&running, &outcome);
        self.ended.push(Ended {
            request,
            outcome: Some(outcome),
            at: now,
            first_token: running.first_token,
        });
    }

    pub(super) fn check_outcome(&self, running: &Running, outcome: &Outcome) {
        let request = &running.asked.request;
        let id = request.id;
        let started = self.started.get(&id).map_or(0, BTreeSet::len);
        let latest = request.deadline + OUTCOME_SLACK;
        assert!(
            self.now <= latest || running.frozen,
            "{id}: {outcome:?} at {} after its limit {latest}",
            self.now
        );
        match outcome {
            Outcome::Completed { .. } => {
                let (seed, tokens) = self.asked[&id];
                let whole = answer_text(seed, tokens);
                assert_eq!(running.text, whole, "{id}: not the whole of its own answer");
            }
            Outcome::Refused(refused) => {
                assert_eq!(started, 0, "{id}: refused as not run, and it ran");
                let at_once = refused.reason() != RefusalReason::WouldMissDeadline
                    || self.now == request.arrived
                    || running.exchange.dispatches() > 0;
                assert!(at_once, "{id}: a refusal was held back");
            }
            Outcome::Failed(_) | Outcome::Cancelled => {}
        }
        assert!(
            running.asked.repeatable || started <= 1,
            "{id}: not repeatable, and started {started} times"
        );
    }

    pub(super) fn send(
        &mut self,
        index: usize,
        id: RequestId,
        server: &ServerName,
        message: ToEngine,
    ) {
        let engine = engine_index(server);
        let boxx = &mut self.boxes[index];
        let mut step = 0;
        let mut dispatch = 0;
        if let Some(running) = boxx.running.get_mut(&id) {
            running.step += 1;
            step = running.step;
            dispatch = running.exchange.dispatches();
        }
        let route = Route {
            boxx: index,
            life: boxx.life,
            request: id,
            step,
            dispatch,
        };
        if message.gives_up() && self.lose_until > self.now {
            return;
        }
        let life = self.engines[engine].life;
        self.at(
            self.now + TRIP,
            Happening::AtEngine(engine, life, route, message),
        );
    }

    pub(super) fn at_box(&mut self, route: Route, message: &ToBox) {
        let index = route.boxx;
        if !self.boxes[index].alive || self.boxes[index].life != route.life {
            return;
        }
        if self.is_put_off(index, || Happening::AtBox(route, message.clone())) {
            return;
        }
        let running = self.boxes[index].running.get(&route.request);
        if running.is_none_or(|running| running.step != route.step) {
            // The step was given up: its connection is closed.
            return;
        }
        let event = match message {
            ToBox::Reserved(true) => Event::Reserved,
            ToBox::Reserved(false) => Event::ReservationFailed,
            ToBox::ShareReady => Event::SharePrefilled,
            ToBox::NoConnection => Event::NoConnection,
            ToBox::NotStarted => Event::ServerDidNotStart,
            ToBox::Broken => Event::AttemptLost,
            ToBox::Frame(frame) => Event::Frame(frame),
        };
        self.feed_now(index, route.request, &event);
    }

    pub(super) fn tick(&mut self, index: usize, life: u32) {
        if self.boxes[index].life != life {
            return;
        }
        if self.is_put_off(index, || Happening::Tick(index, life)) {
            return;
        }
        let decisions = self.boxes[index].dispatcher.tick(self.now, &mut self.rng);
        self.carry_out(index, decisions);
        self.at(self.now + TICK, Happening::Tick(index, life));
    }

    pub(super) fn renew(&mut self, index: usize, life: u32) {
        if self.boxes[index].life != life {
            return;
        }
        if self.is_put_off(index, || Happening::Renew(index, life)) {
            return;
        }
        let ttl = self.plan.routing.holding_ttl;
        let boxx = &self.boxes[index];
        let rows: Vec<_> = boxx
            .held
            .iter()
            .map(|(engine, held)| (*engine, held.clone()))
            .collect();
        let route = Route {
            boxx: index,
            life,
            request: RequestId::draw(&mut self.rng),
            step: 0,
            dispatch: 0,
        };
        for (engine, keep) in rows {
            let asked = RenewRequest {
                owner: self.boxes[index].owner.clone(),
                ttl_ms: ttl.as_millis() as u64,
                keep: keep.into_iter().collect(),
                spare_younger_ms: SPARE_YOUNGER.as_millis() as u64,
            };
            let engine_life = self.engines[engine].life;
            let what = Happening::AtEngine(engine, engine_life, route, ToEngine::Renew(asked));
            self.at(self.now + TRIP, what);
        }
        self.at(
            self.now + ttl / RENEWALS_PER_TTL,
            Happening::Renew(index, life),
        );
    }
}
