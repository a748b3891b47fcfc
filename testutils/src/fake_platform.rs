//! The platform's key-value service without I/O: versions, leases, box list, counts.
//!
//! The stand-in process and the seeded runs drive the same code. Faults (outage,
//! slowness, lost answers) belong to whoever carries the calls.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::platform_wire::BoxList;
use badgerferry_lib::platform_wire::LeaseRequest;
use badgerferry_lib::platform_wire::LeaseResponse;
use badgerferry_lib::settings_commit::Version;
use badgerferry_lib::settings_commit::Versioned;
use badgerferry_lib::settings_head::MAX_VALUE_BYTES;
use badgerferry_lib::time::Time;

/// Why a write did not take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteRefusal {
    /// The key stands at this version.
    Conflict(Version),
    /// The value is larger than the service holds.
    TooLarge,
}

#[derive(Debug, Clone)]
struct Entry {
    version: Version,
    value: Vec<u8>,
    expires: Time,
}

#[derive(Debug, Clone)]
struct Lease {
    holder: String,
    fence: u64,
    expires: Time,
}

/// Calls served, by kind; a waiting watch is one call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CallCounts {
    /// Reads, watches and lists.
    pub reads: u64,
    /// Writes, leases included.
    pub writes: u64,
}

/// The service's state.
#[derive(Debug, Default)]
pub struct FakePlatform {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<String, Lease>,
    last_version: Version,
    last_fence: u64,
    /// Calls served.
    pub calls: CallCounts,
    /// The box list.
    pub boxes: BoxList,
}

impl FakePlatform {
    /// An empty service.
    pub fn new() -> Self {
        Self::default()
    }

    fn live(&self, now: Time, key: &str) -> Option<&Entry> {
        self.entries.get(key).filter(|entry| entry.expires > now)
    }

    /// Reads a key.
    pub fn read(&mut self, now: Time, key: &str) -> Versioned {
        self.calls.reads += 1;
        self.peek(now, key)
    }

    /// Reads a key without counting a call.
    pub fn peek(&self, now: Time, key: &str) -> Versioned {
        match self.live(now, key) {
            Some(entry) => Versioned {
                version: entry.version,
                value: Some(entry.value.clone()),
            },
            None => Versioned {
                version: 0,
                value: None,
            },
        }
    }

    /// Writes a key if it stands at `expect`; zero means that it must not exist.
    ///
    /// # Errors
    ///
    /// The key stands elsewhere, or the value is too large.
    pub fn write(
        &mut self,
        now: Time,
        key: &str,
        expect: Option<Version>,
        value: Vec<u8>,
        ttl: Option<Duration>,
    ) -> Result<Version, WriteRefusal> {
        self.calls.writes += 1;
        if value.len() > MAX_VALUE_BYTES {
            return Err(WriteRefusal::TooLarge);
        }
        self.check(now, key, expect)?;
        self.last_version += 1;
        let entry = Entry {
            version: self.last_version,
            value,
            expires: ttl.map_or(Time::MAX, |ttl| now + ttl),
        };
        self.entries.insert(key.to_owned(), entry);
        Ok(self.last_version)
    }

    /// Deletes a key if it stands at `expect`.
    ///
    /// # Errors
    ///
    /// The key stands elsewhere.
    pub fn delete(
        &mut self,
        now: Time,
        key: &str,
        expect: Option<Version>,
    ) -> Result<Version, WriteRefusal> {
        self.calls.writes += 1;
        self.check(now, key, expect)?;
        self.entries.remove(key);
        Ok(0)
    }

    fn check(&self, now: Time, key: &str, expect: Option<Version>) -> Result<(), WriteRefusal> {
        let stands = self.live(now, key).map_or(0, |entry| entry.version);
        match expect {
            Some(expected) if expected != stands => Err(WriteRefusal::Conflict(stands)),
            _ => Ok(()),
        }
    }

    /// Keys with a prefix.
    pub fn list(&mut self, now: Time, prefix: &str) -> Vec<String> {
        self.calls.reads += 1;
        let range = self.entries.range(prefix.to_owned()..);
        range
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, entry)| entry.expires > now)
            .map(|(key, _)| key.clone())
            .collect()
    }

    /// Grants, renews or ends a lease.
    pub fn lease(&mut self, now: Time, asked: &LeaseRequest) -> LeaseResponse {
        self.calls.writes += 1;
        let expires = now + Duration::from_millis(asked.ttl_ms);
        let current = self
            .leases
            .get(&asked.name)
            .filter(|lease| lease.expires > now);
        let lease = match current {
            Some(lease) if lease.holder != asked.holder => {
                return LeaseResponse {
                    granted: false,
                    holder: lease.holder.clone(),
                    fence: lease.fence,
                };
            }
            Some(lease) => Lease {
                expires,
                ..lease.clone()
            },
            None => {
                self.last_fence += 1;
                Lease {
                    holder: asked.holder.clone(),
                    fence: self.last_fence,
                    expires,
                }
            }
        };
        let answer = LeaseResponse {
            granted: asked.ttl_ms > 0,
            holder: lease.holder.clone(),
            fence: lease.fence,
        };
        self.leases.insert(asked.name.clone(), lease);
        answer
    }
}
