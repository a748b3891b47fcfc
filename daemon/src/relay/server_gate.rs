//! What servers say of the calls that they take.

use badgerferry_lib::relay::call_rate::CallRate;
use badgerferry_lib::relay::call_rate::LimitWord;
use badgerferry_lib::relay::server_limits::LimitChange;
use metrics::counter;

use crate::relay::call::Call;
use crate::relay::engines::Chosen;
use crate::traffic::lock;

/// Takes what a server's answer says of its limit.
pub fn answered(call: &Call, chosen: &Chosen, word: LimitWord) {
    let relay = &call.relay;
    if word == LimitWord::Unreadable {
        counter!("badgerferry_limits_unreadable_total").increment(1);
        tracing::info!(call = call.id(), server = %chosen.server, "a limit can't be read");
    }
    let change = lock(&relay.limits).answered(chosen.life, word);
    if let Some(change) = change {
        log(&change, &chosen.server.to_string(), "an answer");
    }
}

fn log(change: &LimitChange, server: &str, source: &str) {
    let before = change.before.map(CallRate::calls_per_second);
    if let Some(rate) = change.now {
        let limit = rate.calls_per_second();
        tracing::info!(server, limit, before, source, "server names a limit");
    } else {
        tracing::info!(server, before, source, "server names no limit any more");
    }
}
