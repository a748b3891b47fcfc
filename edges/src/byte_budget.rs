//! Bound on the bytes of responses that are buffered at a time, over all calls.

use std::sync::Arc;

use hyper::body::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Bytes of a response that do not count, so that short ones are served whatever others take.
const UNCOUNTED_BYTES: usize = 64 << 10;
/// Bytes that are taken from the budget together.
const UNIT_BYTES: usize = 64 << 10;

/// Bytes that all responses may take together.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Semaphore>);

/// All bytes of the budget are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("responses that are being read take too much memory")]
pub struct NoRoom;

impl ByteBudget {
    /// A budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// A response of which nothing has arrived.
    pub const fn buffer(&self) -> ResponseBuffer<'_> {
        ResponseBuffer {
            budget: self,
            bytes: Vec::new(),
            permit: None,
        }
    }
}

/// A response that is being read.
#[derive(Debug)]
pub struct ResponseBuffer<'a> {
    budget: &'a ByteBudget,
    bytes: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl ResponseBuffer<'_> {
    /// Adds bytes that have arrived.
    ///
    /// # Errors
    ///
    /// The budget is used up.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), NoRoom> {
        let counted = (self.bytes.len() + bytes.len()).saturating_sub(UNCOUNTED_BYTES);
        let held = self
            .permit
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = counted.div_ceil(UNIT_BYTES).saturating_sub(held);
        if missing > 0 {
            let budget = Arc::clone(&self.budget.0);
            let more = budget.try_acquire_many_owned(missing as u32);
            let more = more.map_err(|_used_up| NoRoom)?;
            match &mut self.permit {
                Some(permit) => permit.merge(more),
                None => self.permit = Some(more),
            }
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Number of bytes so far.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has arrived.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The complete response, which counts until it is dropped.
    pub fn finish(self) -> Bytes {
        Bytes::from_owner(CountedBytes {
            bytes: self.bytes,
            _permit: self.permit,
        })
    }
}

struct CountedBytes {
    bytes: Vec<u8>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
