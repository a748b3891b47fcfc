//! A fleet of boxes before model engines, in virtual time.
//!
//! The boxes' decisions are the library's own: what each knows of the engines, the order of long
//! prompts, and the plan of each call. Only what lies around them is a model: engines that read and
//! write in passes, datagrams that take time, callers that come by a scenario. Not modelled: faults,
//! plain services, repeats, the processor time of boxes, engines that preempt.

mod boxes;
mod engine;
mod outcome;
mod run;
mod scenario;

pub use crate::relay_model::outcome::CallOutcome;
pub use crate::relay_model::outcome::DayResult;
pub use crate::relay_model::run::run;
pub use crate::relay_model::scenario::BadScenario;
pub use crate::relay_model::scenario::Fleet;
pub use crate::relay_model::scenario::Kind;
pub use crate::relay_model::scenario::Phase;
pub use crate::relay_model::scenario::Scenario;
