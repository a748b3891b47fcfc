//! Queue of the requests at a box; determines the order in which they are sent to servers.
//!
//! Workspaces share the servers within a priority by weight (start-time fair queueing): the virtual
//! time of a workspace grows by its served tokens divided by its weight, and the workspace with the
//! lowest virtual time goes first. The priority of a request rises while it is queued, so that
//! batch requests are served too. See `docs/design/fairness.md` for the alternatives considered.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::ids::RequestId;
use crate::ids::WorkspaceName;
use crate::priority::Priority;
use crate::request::Request;
use crate::time::Time;

/// Minimum cost of a request in tokens; a service call has no prompt.
const MIN_COST: u64 = 100;
const PRIORITIES: usize = 3;

/// Queued requests of one workspace, by priority.
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

/// Queued requests of one model with either long or short prompts.
#[derive(Debug, Default)]
pub struct WaitQueue {
    flows: BTreeMap<WorkspaceName, Flow>,
    /// Workspaces with queued requests; the others keep only their virtual time.
    backlogged: BTreeSet<WorkspaceName>,
    virtual_now: f64,
    tokens: u64,
    len: usize,
}

impl WaitQueue {
    /// Number of queued requests.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no request is queued.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Prompt tokens of the queued requests.
    pub const fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Number of queued requests of one workspace.
    pub fn workspace_len(&self, workspace: &WorkspaceName) -> usize {
        self.flows.get(workspace).map_or(0, Flow::len)
    }

    /// Estimated prompt tokens to serve before a new request of `workspace`, of any priority.
    ///
    /// These are all queued tokens of `workspace`, and those of other workspaces that their weights
    /// entitle them to while the former are served.
    pub fn tokens_ahead(&self, workspace: &WorkspaceName, weight: u64) -> u64 {
        let own: u64 = self.flows.get(workspace).map_or(0, tokens_of);
        let others = self.flows.iter().filter(|(name, _)| *name != workspace);
        let others_ahead: f64 = others
            .map(|(_, flow)| {
                let theirs = tokens_of(flow) as f64;
                let share = weight_of(flow) as f64 / weight.max(1) as f64;
                theirs.min((own + MIN_COST) as f64 * share)
            })
            .sum();
        own + others_ahead as u64
    }

    /// Adds a request at the end of its workspace's queue for its priority.
    pub fn push(&mut self, request: Request) {
        let flow = self.flows.entry(request.workspace.clone()).or_default();
        if flow.len() == 0 {
            flow.virtual_time = flow.virtual_time.max(self.virtual_now);
            self.backlogged.insert(request.workspace.clone());
        }
        self.tokens += request.prompt_tokens;
        self.len += 1;
        flow.waiting[request.priority as usize].push_back(request);
    }

    /// The next request to serve.
    pub fn peek(&self, now: Time) -> Option<&Request> {
        let (_, flow, level) = self.next(now)?;
        flow.waiting[level].front()
    }

    /// Removes the next request to serve and charges its cost to its workspace.
    pub fn pop(&mut self, now: Time) -> Option<Request> {
        let (name, _, level) = self.next(now)?;
        let name = name.clone();
        let flow = self.flows.get_mut(&name)?;
        let request = flow.waiting[level].pop_front()?;
        self.virtual_now = self.virtual_now.max(flow.virtual_time);
        let cost = request.prompt_tokens.max(MIN_COST);
        flow.virtual_time += cost as f64 / request.weight.max(1) as f64;
        self.subtract(&request);
        Some(request)
    }

    /// Removes and returns all requests that match `predicate`.
    pub fn remove_where(&mut self, predicate: impl Fn(&Request) -> bool) -> Vec<Request> {
        if self.is_empty() {
            return Vec::new();
        }
        let mut removed = Vec::new();
        for list in self.flows.values_mut().flat_map(|flow| &mut flow.waiting) {
            if list.iter().any(&predicate) {
                let (out, kept): (Vec<_>, Vec<_>) = list.drain(..).partition(&predicate);
                list.extend(kept);
                removed.extend(out);
            }
        }
        for request in &removed {
            self.subtract(request);
        }
        removed
    }

    /// Removes one request, if it is queued.
    pub fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.remove_where(|request| request.id == id).pop()
    }

    fn subtract(&mut self, request: &Request) {
        self.tokens -= request.prompt_tokens;
        self.len -= 1;
        if self.workspace_len(&request.workspace) == 0 {
            self.backlogged.remove(&request.workspace);
        }
    }

    /// Workspace and priority level whose first request is served next.
    fn next(&self, now: Time) -> Option<(&WorkspaceName, &Flow, usize)> {
        if self.is_empty() {
            return None;
        }
        let mut best: Option<(Priority, f64, Time, &WorkspaceName, &Flow, usize)> = None;
        let backlogged = self
            .backlogged
            .iter()
            .filter_map(|name| self.flows.get_key_value(name));
        for (name, flow) in backlogged {
            for (level, list) in flow.waiting.iter().enumerate() {
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
                    best = Some((key.0, key.1, key.2, name, flow, level));
                }
            }
        }
        best.map(|(_, _, _, name, flow, level)| (name, flow, level))
    }
}

fn tokens_of(flow: &Flow) -> u64 {
    let waiting = flow.waiting.iter().flatten();
    waiting
        .map(|request| request.prompt_tokens.max(MIN_COST))
        .sum()
}

fn weight_of(flow: &Flow) -> u64 {
    let mut waiting = flow.waiting.iter().flatten();
    waiting.next().map_or(1, |request| request.weight)
}
