//! Requests that wait at a box, and which of them goes next.
//!
//! Within a priority, workspaces share by weight: each has a virtual time that grows by
//! the tokens it was given over its weight, and the one that is least far goes first
//! (start-time fair queueing). Waiting lifts a request's priority step by step, so that
//! batch work ends too. Ways weighed: `docs/design/fairness.md`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ids::RequestId;
use crate::ids::WorkspaceName;
use crate::priority::Priority;
use crate::request::Request;
use crate::time::Time;

/// Tokens that a request counts at least; a service call has no prompt.
const LEAST_COST: u64 = 100;
const PRIORITIES: usize = 3;

#[derive(Debug, Default)]
struct Flow {
    virtual_time: f64,
    waiting: [VecDeque<Request>; PRIORITIES],
}

impl Flow {
    fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }
}

/// Requests of one kind that wait for a server.
#[derive(Debug, Default)]
pub struct WaitQueue {
    flows: BTreeMap<WorkspaceName, Flow>,
    /// Workspaces of which requests wait; the others keep only their virtual time.
    waiting: BTreeSet<WorkspaceName>,
    now_virtual: f64,
    tokens: u64,
    len: usize,
}

impl WaitQueue {
    /// Requests waiting.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether none waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Prompt tokens waiting.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Requests of one workspace that wait.
    pub fn workspace_len(&self, workspace: &WorkspaceName) -> usize {
        self.flows.get(workspace).map_or(0, Flow::len)
    }

    /// Prompt tokens that a new request of this workspace finds ahead of it.
    ///
    /// Its own workspace's are all ahead; of another's, as much as that one's weight
    /// takes while they are served.
    pub fn tokens_ahead(&self, workspace: &WorkspaceName, weight: u64) -> u64 {
        let own: u64 = self.flows.get(workspace).map_or(0, tokens_of);
        let others = self.flows.iter().filter(|(name, _)| *name != workspace);
        let taken: f64 = others
            .map(|(_, flow)| {
                let theirs = tokens_of(flow) as f64;
                let share = weight_of(flow) as f64 / weight.max(1) as f64;
                theirs.min((own + LEAST_COST) as f64 * share)
            })
            .sum();
        own + taken as u64
    }

    /// Adds a request.
    pub fn push(&mut self, request: Request) {
        let flow = self.flows.entry(request.workspace.clone()).or_default();
        if flow.len() == 0 {
            flow.virtual_time = flow.virtual_time.max(self.now_virtual);
            self.waiting.insert(request.workspace.clone());
        }
        self.tokens += request.prompt_tokens;
        self.len += 1;
        flow.waiting[request.priority as usize].push_back(request);
    }

    /// The request that goes next.
    pub fn peek(&self, now: Time) -> Option<&Request> {
        let (_, flow, slot) = self.next(now)?;
        flow.waiting[slot].front()
    }

    /// Takes the request that goes next and charges its workspace.
    pub fn pop(&mut self, now: Time) -> Option<Request> {
        let (name, _, slot) = self.next(now)?;
        let name = name.clone();
        let flow = self.flows.get_mut(&name)?;
        let request = flow.waiting[slot].pop_front()?;
        self.now_virtual = self.now_virtual.max(flow.virtual_time);
        let cost = request.prompt_tokens.max(LEAST_COST);
        flow.virtual_time += cost as f64 / request.weight.max(1) as f64;
        self.count_out(&request);
        Some(request)
    }

    /// Takes out every request for which `gone` holds.
    pub fn remove_where(&mut self, gone: impl Fn(&Request) -> bool) -> Vec<Request> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut taken = Vec::new();
        for list in self.flows.values_mut().flat_map(|flow| &mut flow.waiting) {
            if list.iter().any(&gone) {
                let (out, kept): (Vec<_>, Vec<_>) = list.drain(..).partition(&gone);
                list.extend(kept);
                taken.extend(out);
            }
        }
        for request in &taken {
            self.count_out(request);
        }
        taken
    }

    /// Takes one request out, if it waits here.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.remove_where(|request| request.id == id).pop()
    }

    fn count_out(&mut self, request: &Request) {
        self.tokens -= request.prompt_tokens;
        self.len -= 1;
        if self.workspace_len(&request.workspace) == 0 {
            self.waiting.remove(&request.workspace);
        }
    }

    fn next(&self, now: Time) -> Option<(&WorkspaceName, &Flow, usize)> {
        if self.is_empty() {
            return None;
        }
        let mut best: Option<(Priority, f64, Time, &WorkspaceName, &Flow, usize)> = None;
        let waiting = self
            .waiting
            .iter()
            .filter_map(|name| self.flows.get_key_value(name));
        for (name, flow) in waiting {
            for (slot, list) in flow.waiting.iter().enumerate() {
                let Some(head) = list.front() else { continue };
                let priority = head.priority.aged(head.arrived, now, head.ageing);
                let key = (priority, flow.virtual_time, head.arrived);
                let better = best.as_ref().is_none_or(|(p, v, t, ..)| {
                    key.0
                        .cmp(p)
                        .then(key.1.total_cmp(v))
                        .then(key.2.cmp(t))
                        .is_lt()
                });
                if better {
                    best = Some((key.0, key.1, key.2, name, flow, slot));
                }
            }
        }
        best.map(|(_, _, _, name, flow, slot)| (name, flow, slot))
    }
}

fn tokens_of(flow: &Flow) -> u64 {
    let waiting = flow.waiting.iter().flatten();
    waiting
        .map(|request| request.prompt_tokens.max(LEAST_COST))
        .sum()
}

fn weight_of(flow: &Flow) -> u64 {
    let mut waiting = flow.waiting.iter().flatten();
    waiting.next().map_or(1, |request| request.weight)
}
