//! What happens when, in virtual time; equal times keep the order in which they were put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use badgerferry_lib::time::Time;

#[derive(Debug)]
struct Entry<T> {
    at: Time,
    order: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    /// The earliest is the greatest, for the heap's sake.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Things to come, the earliest first.
#[derive(Debug)]
pub struct Agenda<T> {
    heap: BinaryHeap<Entry<T>>,
    order: u64,
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            order: 0,
        }
    }
}

impl<T> Agenda<T> {
    /// Puts something in.
    pub fn put(&mut self, at: Time, what: T) {
        self.order += 1;
        let order = self.order;
        self.heap.push(Entry { at, order, what });
    }

    /// Takes the next thing that comes no later than `end`.
    pub fn take(&mut self, end: Time) -> Option<(Time, T)> {
        if self.heap.peek()?.at > end {
            return None;
        }
        let entry = self.heap.pop()?;
        Some((entry.at, entry.what))
    }
}
