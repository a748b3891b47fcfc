//! Gossip within a data hall of many boxes: members send their datagrams to hubs, which exchange
//! them and distribute them in batches.
//!
//! In a small hall each box sends its datagrams to all others. The datagrams that a box receives
//! then grow with the hall and the interval between two rounds does as well, so the liveness
//! time-out is soon no longer than an interval. In a large hall the highest-ranked boxes are hubs,
//! as many as the square root of the number of boxes. Every other box sends its datagrams to one of
//! them and receives the hall's in batches. The number of receivers of a batch, and with it the
//! interval between batches, grows with the square root of the hall.
//!
//! Only what others act on is distributed. The heartbeats of idle members end at the hubs, which
//! tell each other whom they heard, since hubs are also the boxes that act for their hall.
//!
//! No box is essential and no list of hubs is agreed on. A box is a hub because others send to it;
//! a member whose hub falls silent selects another one. Boxes that disagree about the hall's boxes
//! select different hubs, which find each other since each sends its heartbeats to all boxes that
//! it ranks as hubs, and replies to those that send to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::relay::gossip_topology::GOSSIP_INTERVAL_PER_BOX;
use crate::relay::gossip_topology::MIN_HALL_GOSSIP_INTERVAL;
use crate::relay::gossip_topology::QUEUED_PROMPT_HEARTBEAT;
use crate::relay::hall_reachability::HEARTBEAT_INTERVAL;
use crate::relay::hub_wire;
use crate::relay::hub_wire::HubFrame;
use crate::relay::hub_wire::MAX_FRAME_PAYLOAD;
use crate::relay::load_datagram::LoadDatagram;
use crate::relay::load_datagram::LoadSource;
use crate::relay::peer_liveness::LIVENESS_TIMEOUT;
use crate::time::Time;

/// Maximum number of boxes that gossip in a mesh. The interval between two datagrams of a box is
/// then at most 500 ms, so one lost datagram leaves 200 ms of the liveness time-out for delays.
pub const MAX_MESH_BOXES: usize = 101;
/// Minimum interval between two batches that contain nothing urgent. A change takes up to two of
/// them to reach a box.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(40);
/// Maximum interval between two batches of a hub.
pub const HUB_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// A hub tells the others that it heard a member for this long, with two heartbeats in case one is
/// lost.
const HEARD_WINDOW: Duration = Duration::from_millis(450);
/// Silence after which a member replaces its hub: two batches may be lost.
const HUB_TIMEOUT: Duration = Duration::from_millis(650);
/// How long a member avoids a hub that was silent, unless no other is left.
const SILENT_HUB_PAUSE: Duration = Duration::from_secs(3);
/// Number of hubs that a member tries at the same time when its hub is silent. Doubled with each
/// attempt, up to [`MAX_HUBS_TRIED`].
const HUBS_TRIED_FIRST: usize = 3;
const MAX_HUBS_TRIED: usize = 48;
/// Maximum number of boxes to which a hub introduces itself with each heartbeat.
const MAX_INTRODUCTIONS: usize = 8;
/// Number of datagrams of a member that are still distributed after the last one with content, so
/// that the loss of one does not leave old content at others.
const TRAILING_DATAGRAMS: u8 = 2;
/// How long the sequence number of a silent source is remembered.
const SOURCE_RETENTION: Duration = Duration::from_secs(30);

/// Number of hubs in a hall.
pub fn hub_count(boxes: usize) -> usize {
    boxes.isqrt().max(1)
}

/// A box of the own hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HallBox {
    /// Name of the box.
    pub name: String,
    /// Address for its datagrams.
    pub load: SocketAddr,
}

/// How a box takes part in the gossip of its hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HallRole {
    /// Sends its datagrams to all boxes itself.
    Mesh,
    /// Distributes datagrams for others.
    Hub,
    /// Sends its datagrams to a hub; to several while it looks for one.
    Member(Vec<HallBox>),
}

impl HallRole {
    /// Maximum interval between two datagrams of the box.
    pub const fn heartbeat(&self, has_queued_prompt: bool) -> Duration {
        match self {
            _ if has_queued_prompt => QUEUED_PROMPT_HEARTBEAT,
            Self::Hub => HUB_HEARTBEAT_INTERVAL,
            Self::Member(tried) if tried.len() > 1 => HUB_HEARTBEAT_INTERVAL,
            Self::Mesh | Self::Member(_) => HEARTBEAT_INTERVAL,
        }
    }

    /// Minimum interval between two datagrams of the box that are not urgent. `receivers` is the
    /// number of boxes in its mesh.
    pub fn min_interval(&self, receivers: usize) -> Duration {
        match self {
            Self::Mesh => GOSSIP_INTERVAL_PER_BOX * receivers as u32,
            Self::Hub | Self::Member(_) => MIN_HALL_GOSSIP_INTERVAL,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Member {
    address: SocketAddr,
    heard_at: Time,
    trailing: u8,
}

/// The hub to which a member sends its datagrams.
#[derive(Debug)]
struct Subscription {
    hub: String,
    /// When its last frame arrived.
    heard_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct LastSeen {
    incarnation: u64,
    sequence: u64,
    at: Time,
}

/// An encoded datagram that waits for the next batch.
#[derive(Debug, Clone)]
struct Pending {
    source: SourceKey,
    is_urgent: bool,
    /// Whether it waits for a batch that is sent for another reason.
    is_lazy: bool,
    bytes: Vec<u8>,
}

/// Whose load a datagram carries, and who sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SourceKey {
    from: String,
    is_hall: bool,
}

impl SourceKey {
    fn of(datagram: &LoadDatagram) -> Self {
        Self {
            from: datagram.from.clone(),
            is_hall: datagram.source != LoadSource::Box,
        }
    }
}

/// Datagrams that wait for the next batch. A newer one of the same source replaces an older one,
/// unless that is urgent: it may contain rows that the newer one omits.
#[derive(Debug, Default)]
struct Batch(Vec<Pending>);

impl Batch {
    fn push(&mut self, pending: Pending) {
        self.0
            .retain(|queued| queued.is_urgent || queued.source != pending.source);
        self.0.push(pending);
    }

    /// Whether nothing in it needs a batch of its own.
    fn is_idle(&self) -> bool {
        self.0.iter().all(|pending| pending.is_lazy)
    }

    /// Empties the batch into frames that fit into a datagram each, with the names in `heard`.
    fn take_frames(&mut self, header: &HubFrame, heard: Vec<String>) -> Vec<HubFrame> {
        let mut frames = vec![header.clone()];
        let mut size = header.payload_size();
        // Adds a frame unless the last one has room for a part of this size.
        let mut make_room = |frames: &mut Vec<HubFrame>, part: usize| {
            if size + part > MAX_FRAME_PAYLOAD && size > header.payload_size() {
                frames.push(header.clone());
                size = header.payload_size();
            }
            size += part;
        };
        for name in heard {
            make_room(&mut frames, hub_wire::part_size(name.len()));
            frames
                .last_mut()
                .expect("there is a frame")
                .heard
                .push(name);
        }
        for Pending { bytes, .. } in self.0.drain(..) {
            make_room(&mut frames, hub_wire::part_size(bytes.len()));
            let frame = frames.last_mut().expect("there is a frame");
            frame.datagrams.push(bytes);
        }
        frames.retain(|frame| !frame.is_empty());
        frames
    }
}

/// Frames of one batch, and their receivers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HubBatch {
    /// Receivers of each frame.
    pub to: Vec<SocketAddr>,
    /// Frames, each of which fits into a datagram.
    pub frames: Vec<HubFrame>,
}

/// What a received frame contained.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ReceivedFrame {
    /// Datagrams that are newer than the last one of the same source.
    pub datagrams: Vec<LoadDatagram>,
    /// Members that the sending hub heard.
    pub heard: Vec<String>,
}

/// One box's part in the gossip of its hall.
#[derive(Debug)]
pub struct HallHubs {
    own: String,
    /// Boxes of the hall by rank, this one included.
    ranked: Vec<HallBox>,
    own_rank: usize,
    subscription: Option<Subscription>,
    /// Attempts to find a hub since the last one was heard.
    attempts: u32,
    /// Hubs that were tried and did not reply, or fell silent, and when.
    silent_hubs: HashMap<String, Time>,
    /// Boxes that gossip in a mesh, probably since they know few others.
    mesh_boxes: BTreeMap<String, SocketAddr>,
    members: BTreeMap<String, Member>,
    /// Other hubs from which a frame arrived.
    hubs: BTreeMap<String, Member>,
    /// Latest datagram of each source.
    last_seen: HashMap<SourceKey, LastSeen>,
    for_hubs: Batch,
    for_members: Batch,
    is_urgent: bool,
    /// Whether the next batch is also sent to hubs that have not been heard.
    has_heartbeat: bool,
    flushed_at: Option<Time>,
}

impl HallHubs {
    /// State of the box `own`, which knows no other box.
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            ranked: Vec::new(),
            own_rank: 0,
            subscription: None,
            attempts: 0,
            silent_hubs: HashMap::new(),
            mesh_boxes: BTreeMap::new(),
            members: BTreeMap::new(),
            hubs: BTreeMap::new(),
            last_seen: HashMap::new(),
            for_hubs: Batch::default(),
            for_members: Batch::default(),
            is_urgent: false,
            has_heartbeat: false,
            flushed_at: None,
        }
    }

    /// Replaces the known boxes of the hall, ranked and with this one included.
    pub fn set_boxes(&mut self, ranked: Vec<HallBox>) {
        let own_rank = ranked.iter().position(|member| member.name == self.own);
        self.own_rank = own_rank.unwrap_or(ranked.len());
        self.ranked = ranked;
    }

    /// Whether the hall is too large for a mesh.
    pub const fn uses_hubs(&self) -> bool {
        self.ranked.len() > MAX_MESH_BOXES
    }

    /// Role for the next datagram of this box. `is_live` states whether the named box was heard of
    /// recently, directly or not.
    pub fn role(&mut self, now: Time, is_live: impl Fn(&str) -> bool) -> HallRole {
        self.expire(now);
        if !self.uses_hubs() {
            self.subscription = None;
            return HallRole::Mesh;
        }
        if self.acts_as_hub() {
            self.subscription = None;
            return HallRole::Hub;
        }
        HallRole::Member(self.select_hubs(now, is_live))
    }

    /// Whether this box distributes datagrams: it ranks as a hub, or others send to it as one.
    pub fn acts_as_hub(&self) -> bool {
        self.uses_hubs()
            && (self.own_rank < hub_count(self.ranked.len()) || !self.members.is_empty())
    }

    /// The hub of this box: the first one in its order of preference that is live. Without one that
    /// it hears, several that it has not tried for the longest time.
    fn select_hubs(&mut self, now: Time, is_live: impl Fn(&str) -> bool) -> Vec<HallBox> {
        let silent = (self.subscription).take_if(|hub| now.since(hub.heard_at) >= HUB_TIMEOUT);
        if let Some(silent) = silent {
            self.silent_hubs.insert(silent.hub, now);
        }
        let current = self.subscription.as_ref().map(|current| &current.hub);
        let was_silent = |hub: &HallBox| {
            let at = self.silent_hubs.get(&hub.name);
            at.is_some_and(|at| now.since(*at) < SILENT_HUB_PAUSE)
        };
        let is_usable =
            |hub: &&HallBox| Some(&hub.name) == current || (!was_silent(hub) && is_live(&hub.name));
        let usable = current.and_then(|_| self.hubs_by_preference().find(is_usable));
        if let Some(hub) = usable.cloned() {
            if Some(&hub.name) != current {
                self.subscription = Some(Subscription {
                    hub: hub.name.clone(),
                    heard_at: now,
                });
            }
            return vec![hub];
        }
        let mut untried: Vec<HallBox> = self.hubs_by_preference().cloned().collect();
        untried.sort_by_key(|hub| self.silent_hubs.get(&hub.name).copied());
        untried.truncate((HUBS_TRIED_FIRST << self.attempts.min(8)).min(MAX_HUBS_TRIED));
        self.attempts += 1;
        for hub in &untried {
            self.silent_hubs.insert(hub.name.clone(), now);
        }
        untried
    }

    /// Hubs that this box may select: those of the hall, starting at a different one for each box,
    /// then the boxes that rank next.
    fn hubs_by_preference(&self) -> impl Iterator<Item = &HallBox> {
        let (hubs, others) = self.ranked.split_at(hub_count(self.ranked.len()));
        let (before, from) = hubs.split_at(self.own_rank % hubs.len());
        let others = others.iter().take_while(|other| other.name != self.own);
        from.iter().chain(before).chain(others)
    }

    /// Records a datagram that its sender sent to this box, and distributes it if this box is the
    /// sender's hub.
    pub fn receive_direct(
        &mut self,
        now: Time,
        address: SocketAddr,
        datagram: &LoadDatagram,
        bytes: &[u8],
    ) {
        let is_newer = self.record_source(now, datagram);
        let is_from_box = datagram.source == LoadSource::Box;
        if is_newer && datagram.is_for_hub {
            self.receive_from_member(now, address, datagram, bytes);
        } else if is_from_box && self.acts_as_hub() && self.is_in_hall(&datagram.from) {
            self.mesh_boxes.insert(datagram.from.clone(), address);
        }
    }

    fn is_in_hall(&self, name: &str) -> bool {
        self.ranked.iter().any(|member| member.name == name)
    }

    /// Records the sequence number of a datagram; false if a newer one of its source is known.
    fn record_source(&mut self, now: Time, datagram: &LoadDatagram) -> bool {
        let last = LastSeen {
            incarnation: datagram.incarnation,
            sequence: datagram.sequence,
            at: now,
        };
        let known = self.last_seen.get(&SourceKey::of(datagram));
        let is_newer = known.is_none_or(|known| {
            known.incarnation != last.incarnation || known.sequence < last.sequence
        });
        if is_newer {
            self.last_seen.insert(SourceKey::of(datagram), last);
        }
        is_newer
    }

    /// Records the datagram of a member, and distributes it if others act on it.
    fn receive_from_member(
        &mut self,
        now: Time,
        address: SocketAddr,
        datagram: &LoadDatagram,
        bytes: &[u8],
    ) {
        let known = self.members.get(&datagram.from);
        let is_new = known.is_none();
        let trailing = match known {
            _ if datagram.has_content() => TRAILING_DATAGRAMS + 1,
            Some(member) => member.trailing,
            None => 0,
        };
        let member = Member {
            address,
            heard_at: now,
            trailing: trailing.saturating_sub(1),
        };
        self.members.insert(datagram.from.clone(), member);
        // A new member learns at once that its hub is live.
        self.is_urgent |= is_new;
        if trailing > 0 {
            self.distribute(datagram, bytes.to_vec());
        }
    }

    /// Distributes a datagram of this box or of a member, or one of another hall, which is sent with
    /// the next batch of these.
    pub fn distribute(&mut self, datagram: &LoadDatagram, bytes: Vec<u8>) {
        let pending = Pending {
            source: SourceKey::of(datagram),
            is_urgent: datagram.is_urgent,
            is_lazy: datagram.source != LoadSource::Box,
            bytes,
        };
        self.is_urgent |= datagram.is_urgent;
        self.has_heartbeat |= datagram.from == self.own;
        self.for_hubs.push(pending.clone());
        self.for_members.push(pending);
    }

    /// Records a frame of a hub. Datagrams of other hubs are distributed to the own members.
    pub fn receive_frame(
        &mut self,
        now: Time,
        address: SocketAddr,
        frame: HubFrame,
    ) -> ReceivedFrame {
        self.attempts = 0;
        match &mut self.subscription {
            Some(current) if current.hub == frame.from => current.heard_at = now,
            Some(_) => {}
            None => {
                self.subscription = Some(Subscription {
                    hub: frame.from.clone(),
                    heard_at: now,
                });
            }
        }
        if frame.is_for_hubs {
            let hub = Member {
                address,
                heard_at: now,
                trailing: 0,
            };
            self.hubs.insert(frame.from.clone(), hub);
        }
        let hub = frame.from;
        let mut received = ReceivedFrame {
            heard: frame.heard,
            ..ReceivedFrame::default()
        };
        for bytes in frame.datagrams {
            let Ok(datagram) = LoadDatagram::decode(&bytes) else {
                continue;
            };
            if datagram.from == self.own || !self.record_source(now, &datagram) {
                continue;
            }
            if frame.is_for_hubs && self.acts_as_hub() {
                self.is_urgent |= datagram.is_urgent && !self.members.is_empty();
                self.for_members.push(Pending {
                    source: SourceKey::of(&datagram),
                    is_urgent: datagram.is_urgent,
                    is_lazy: datagram.source != LoadSource::Box
                        || (datagram.from == hub && !datagram.has_content()),
                    bytes,
                });
            }
            received.datagrams.push(datagram);
        }
        received
    }

    /// Time until the next batch is due; `None` if there is nothing to send.
    pub fn next_batch_in(&self, now: Time) -> Option<Duration> {
        let is_empty =
            self.for_hubs.is_idle() && (self.for_members.is_idle() || self.members.is_empty());
        match self.flushed_at {
            _ if self.is_urgent => Some(Duration::ZERO),
            _ if is_empty => None,
            None => Some(Duration::ZERO),
            Some(at) => Some(now.until(at + self.batch_interval())),
        }
    }

    /// Minimum interval between two batches that contain nothing urgent.
    pub fn batch_interval(&self) -> Duration {
        let receivers = self.members.len() + self.hubs.len();
        (GOSSIP_INTERVAL_PER_BOX * receivers as u32).max(MIN_BATCH_INTERVAL)
    }

    /// Takes the batch for hubs and the one for members.
    pub fn take_batches(&mut self, now: Time) -> Vec<HubBatch> {
        self.flushed_at = Some(now);
        let is_heartbeat = std::mem::take(&mut self.has_heartbeat);
        self.is_urgent = false;
        let header = HubFrame::new(&self.own);
        let is_recent = |member: &Member| now.since(member.heard_at) < HEARD_WINDOW;
        let heard = self.members.iter().filter(|(_, member)| is_recent(member));
        let heard = heard.filter(|_| is_heartbeat).map(|(name, _)| name.clone());
        let heard = heard.collect();
        let for_hubs = HubBatch {
            to: self.hub_addresses(is_heartbeat),
            frames: self.for_hubs.take_frames(
                &HubFrame {
                    is_for_hubs: true,
                    ..header.clone()
                },
                heard,
            ),
        };
        let for_members = HubBatch {
            to: self.members.values().map(|member| member.address).collect(),
            frames: self.for_members.take_frames(&header, Vec::new()),
        };
        let batches = [for_hubs, for_members].into_iter();
        batches
            .filter(|batch| !batch.to.is_empty() && !batch.frames.is_empty())
            .collect()
    }

    /// Addresses of the other hubs: those that were heard and, for heartbeats, all that rank as hubs.
    fn hub_addresses(&self, is_heartbeat: bool) -> Vec<SocketAddr> {
        let heard = self.hubs.values().map(|hub| hub.address);
        let ranked = if is_heartbeat {
            hub_count(self.ranked.len()).min(self.ranked.len())
        } else {
            0
        };
        let ranked = self.ranked[..ranked].iter();
        let ranked = ranked.filter(|hub| hub.name != self.own);
        let all: BTreeSet<SocketAddr> = heard.chain(ranked.map(|hub| hub.load)).collect();
        all.into_iter().collect()
    }

    /// Addresses of boxes to which this hub introduces itself, since they may know too few boxes to
    /// select a hub: those that gossip in a mesh, or one that this box has not heard of, directly or
    /// through other hubs. `choice` selects that one.
    pub fn take_strangers(
        &mut self,
        is_live: impl Fn(&str) -> bool,
        choice: usize,
    ) -> Vec<SocketAddr> {
        let mut strangers = Vec::new();
        while let (true, Some((_, address))) = (
            strangers.len() < MAX_INTRODUCTIONS,
            self.mesh_boxes.pop_first(),
        ) {
            strangers.push(address);
        }
        let others = self.ranked.iter().filter(|other| other.name != self.own);
        let unheard: Vec<&HallBox> = others.filter(|other| !is_live(&other.name)).collect();
        let chosen = unheard.get(choice % unheard.len().max(1));
        strangers.extend(chosen.map(|chosen| chosen.load));
        strangers
    }

    /// Frame that makes a box known which may not have heard of this hub.
    pub fn introduction(&self, datagram: Vec<u8>) -> HubFrame {
        HubFrame {
            datagrams: vec![datagram],
            ..HubFrame::new(&self.own)
        }
    }

    fn expire(&mut self, now: Time) {
        let is_recent = |at: Time| now.since(at) < LIVENESS_TIMEOUT;
        self.members.retain(|_, member| is_recent(member.heard_at));
        self.hubs.retain(|_, hub| is_recent(hub.heard_at));
        self.last_seen
            .retain(|_, seen| now.since(seen.at) < SOURCE_RETENTION);
    }
}
