//! An engine that works in passes.
//!
//! Streams are written in passes of a fixed number of steps; whatever waits to be read when such a
//! pass begins is read in it, and makes it longer, and a prompt that has been read whole is written
//! with the others to the end of the same pass. Each step looks back on the context of all that is
//! written. An engine that writes nothing reads what came last first, in slices.

use std::time::Duration;

use badgerferry_lib::relay::engine_plan::EngineModel;
use badgerferry_lib::time::Time;

/// Slice of reading where nothing is written; an engine reads some thousand tokens a step.
const SLICE: Duration = Duration::from_millis(25);

/// Identifies a call of the run.
pub(super) type CallId = usize;

#[derive(Debug, Clone, Copy)]
struct Read {
    call: CallId,
    left: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    call: CallId,
    events_left: u32,
    /// Tokens that each of its steps looks back on here.
    context: u64,
    /// Memory that its end gives back, in tokens.
    frees: u64,
}

/// What a stream takes at the engine that writes it, in tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct StreamSize {
    /// Context that each of its steps looks back on here.
    pub(super) context: u64,
    /// Memory that its end gives back.
    pub(super) frees: u64,
}

/// What a pass does; it is over at a time that the run keeps.
#[derive(Debug)]
enum Pass {
    /// Writes all streams that were there, and reads so many parts.
    Writes { streams: usize, reads: usize },
    /// Reads a slice of the part that came last.
    Reads { call: CallId, slice: Duration },
}

/// What came of a pass.
#[derive(Debug, Default)]
pub(super) struct PassEnd {
    /// Calls of which a part has been read here.
    pub(super) read: Vec<CallId>,
    /// Streams that sent an event, and whether it was the last.
    pub(super) events: Vec<(CallId, bool)>,
    /// Whether streams were written.
    pub(super) wrote: bool,
}

/// One engine.
#[derive(Debug)]
pub(super) struct Engine {
    model: EngineModel,
    /// What a thousand tokens of context add to a step, in milliseconds.
    context_ms_per_k: f64,
    reads: Vec<Read>,
    streams: Vec<Stream>,
    /// Streams that wait for a place in the batch.
    waiting: Vec<Stream>,
    pass: Option<Pass>,
    memory: u64,
    /// How many times as long as usual everything takes.
    pub(super) slowness: f64,
    /// Time in which it worked.
    pub(super) worked: Duration,
}

impl Engine {
    pub(super) const fn new(model: EngineModel, context_ms_per_k: f64) -> Self {
        Self {
            model,
            context_ms_per_k,
            reads: Vec::new(),
            streams: Vec::new(),
            waiting: Vec::new(),
            pass: None,
            memory: 0,
            slowness: 1.0,
            worked: Duration::ZERO,
        }
    }

    /// A part to read.
    pub(super) fn read(&mut self, call: CallId, left: Duration) {
        self.reads.push(Read { call, left });
    }

    /// A stream to write: all of its prompt has been read.
    pub(super) fn write(&mut self, call: CallId, events: u32, size: StreamSize) {
        self.waiting.push(Stream {
            call,
            events_left: events.max(1),
            context: size.context,
            frees: size.frees,
        });
    }

    /// Sets memory aside, if there is so much.
    pub(super) const fn reserve(&mut self, tokens: u64) -> bool {
        let has_room = self.memory + tokens <= self.model.memory;
        if has_room {
            self.memory += tokens;
        }
        has_room
    }

    /// Takes memory that a call needs whether there is room or not.
    pub(super) const fn hold(&mut self, tokens: u64) {
        self.memory += tokens;
    }

    /// Gives memory back.
    pub(super) const fn release(&mut self, tokens: u64) {
        self.memory = self.memory.saturating_sub(tokens);
    }

    /// Begins a pass if none plays and there is work; gives back when it ends.
    pub(super) fn begin(&mut self, now: Time) -> Option<Time> {
        if self.pass.is_some() {
            return None;
        }
        let places = (self.model.slots as usize).saturating_sub(self.streams.len());
        let admitted = self.waiting.drain(..places.min(self.waiting.len()));
        self.streams.extend(admitted);
        let (pass, takes) = if self.streams.is_empty() {
            let last = self.reads.last()?;
            let slice = last.left.min(SLICE);
            let call = last.call;
            (Pass::Reads { call, slice }, slice)
        } else {
            let reading: Duration = self.reads.iter().map(|read| read.left).sum();
            let pass = Pass::Writes {
                streams: self.streams.len(),
                reads: self.reads.len(),
            };
            (pass, self.writing() + reading)
        };
        let takes = takes.mul_f64(self.slowness);
        self.pass = Some(pass);
        self.worked += takes;
        Some(now + takes)
    }

    /// Time of the steps of a pass.
    fn writing(&self) -> Duration {
        let context: u64 = self.streams.iter().map(|stream| stream.context).sum();
        let steps = f64::from(self.model.steps_per_pass);
        let context_ms = context as f64 / 1e3 * self.context_ms_per_k * steps;
        self.model.pass_time(self.streams.len() as u32) + Duration::from_secs_f64(context_ms / 1e3)
    }

    /// Lets streams that are ready in, and writes the first event of each.
    pub(super) fn write_first(&mut self) -> Vec<(CallId, bool)> {
        let places = (self.model.slots as usize).saturating_sub(self.streams.len());
        let admitted = places.min(self.waiting.len());
        let before = self.streams.len();
        self.streams.extend(self.waiting.drain(..admitted));
        let first = |stream: &mut Stream| {
            stream.events_left -= 1;
            (stream.call, stream.events_left == 0)
        };
        let events = self.streams[before..].iter_mut().map(first).collect();
        self.end_streams();
        events
    }

    fn end_streams(&mut self) {
        let over = self.streams.iter().filter(|stream| stream.events_left == 0);
        let freed: u64 = over.map(|stream| stream.frees).sum();
        self.memory = self.memory.saturating_sub(freed);
        self.streams.retain(|stream| stream.events_left > 0);
    }

    /// Ends the pass that plays.
    pub(super) fn end(&mut self) -> PassEnd {
        let mut end = PassEnd::default();
        match self.pass.take() {
            None => {}
            Some(Pass::Reads { call, slice }) => {
                if let Some(at) = self.reads.iter().position(|read| read.call == call) {
                    self.reads[at].left = self.reads[at].left.saturating_sub(slice);
                    if self.reads[at].left.is_zero() {
                        self.reads.remove(at);
                        end.read.push(call);
                    }
                }
            }
            Some(Pass::Writes { streams, reads }) => {
                end.wrote = true;
                end.read = self.reads.drain(..reads).map(|read| read.call).collect();
                for stream in &mut self.streams[..streams] {
                    stream.events_left -= 1;
                    end.events.push((stream.call, stream.events_left == 0));
                }
                self.end_streams();
            }
        }
        end
    }
}
