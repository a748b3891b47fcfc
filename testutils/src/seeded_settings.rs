//! Seeded runs of settings: racing operators, lost answers, late writes, outages, and
//! boxes that follow through the platform and through each other.
//!
//! Invariants, asserted as the run goes:
//!
//! - a box's revision never goes back, and one revision is one tree everywhere;
//! - an accepted edit is in exactly once, at the revision that was told, and stays;
//! - an edit that was told to be refused is not in;
//! - after the last fault every box has the newest revision.

use std::collections::BTreeMap;
use std::time::Duration;

use badgerferry_lib::ids::EditId;
use badgerferry_lib::ids::Revision;
use badgerferry_lib::settings_commit::CommitAction;
use badgerferry_lib::settings_commit::CommitEvent;
use badgerferry_lib::settings_commit::CommitOutcome;
use badgerferry_lib::settings_commit::NoAnswer;
use badgerferry_lib::settings_commit::SettingsCommit;
use badgerferry_lib::settings_commit::SwapResponse;
use badgerferry_lib::settings_commit::Version;
use badgerferry_lib::settings_commit::read_head;
use badgerferry_lib::settings_follower::FollowOutcome;
use badgerferry_lib::settings_follower::SettingsFollower;
use badgerferry_lib::settings_head::CHECKPOINT_PREFIX;
use badgerferry_lib::settings_head::Checkpoint;
use badgerferry_lib::settings_head::CommittedEdit;
use badgerferry_lib::settings_head::Edit;
use badgerferry_lib::settings_head::HEAD_KEY;
use badgerferry_lib::settings_head::Head;
use badgerferry_lib::settings_head::decode;
use badgerferry_lib::settings_head::prunable_checkpoints;
use badgerferry_lib::settings_tree::Change;
use badgerferry_lib::settings_tree::NodeKind;
use badgerferry_lib::settings_tree::SettingsTree;
use badgerferry_lib::time::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::agenda::Agenda;
use crate::fake_platform::FakePlatform;
use crate::fixtures::add;
use crate::fixtures::set;
use crate::fixtures::unset;

/// Time after which an operator or a box gives a call up.
const CALL: Duration = Duration::from_secs(2);
/// Longest time that a write may come late after its caller gave it up.
const LATEST_WRITE: Duration = Duration::from_secs(6);
/// How long an operator's command waits for a sure answer.
const PATIENCE: Duration = Duration::from_secs(8);
/// Edits that each operator makes.
const EDITS: u32 = 30;
/// Faults end by then.
const FAULTS_END: Duration = Duration::from_secs(90);
/// Everything is settled by then.
const END: Duration = Duration::from_secs(250);
const FOLLOW_EVERY: Duration = Duration::from_secs(1);
/// Checkpoints kept; few, so that history is removed under slow operators.
const KEPT_CHECKPOINTS: usize = 3;

/// What a run came to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SettingsCounts {
    /// Edits that are in.
    pub accepted: u64,
    /// Edits refused because another changed the same part first.
    pub rejected: u64,
    /// Times that an operator was told "unsure" and submitted the edit again.
    pub unsure: u64,
    /// Writes whose answers were lost after they took effect.
    pub lost_answers: u64,
    /// Checkpoints written.
    pub checkpoints: u64,
}

impl SettingsCounts {
    /// Adds another run.
    pub const fn add(&mut self, other: Self) {
        self.accepted += other.accepted;
        self.rejected += other.rejected;
        self.unsure += other.unsure;
        self.lost_answers += other.lost_answers;
        self.checkpoints += other.checkpoints;
    }
}

#[derive(Debug)]
enum What {
    /// An operator's machine gets an event.
    Operator(usize, CommitEvent),
    /// An operator's call reaches the platform.
    AtPlatform(usize, CommitAction, bool),
    /// An operator begins the next edit.
    NextEdit(usize),
    /// A box reads the head.
    Follow(usize),
    /// A box asks another.
    AskPeer(usize),
}

#[derive(Debug)]
struct Operator {
    commit: SettingsCommit,
    edit: Edit,
    base: Revision,
    left: u32,
}

struct Run {
    now: Time,
    agenda: Agenda<What>,
    rng: ChaCha8Rng,
    platform: FakePlatform,
    operators: Vec<Operator>,
    boxes: Vec<SettingsFollower>,
    trees: BTreeMap<Revision, SettingsTree>,
    accepted: BTreeMap<EditId, (Revision, Revision)>,
    old_heads: Vec<Head>,
    rejected: Vec<EditId>,
    outages: Vec<(Time, Time)>,
    noted: Option<Head>,
    versions: Vec<Version>,
    counts: SettingsCounts,
}

/// Runs one seed.
///
/// # Panics
///
/// An invariant is broken.
pub fn run(seed: u64) -> SettingsCounts {
    let mut run = Run::new(seed);
    run.play();
    run.check_end();
    run.counts
}

impl Run {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let operators = rng.random_range(2..=8);
        let boxes = rng.random_range(2..=6);
        let outages = (0..rng.random_range(0..4)).map(|_| {
            let from = Time::ZERO + FAULTS_END.mul_f64(rng.random());
            (
                from,
                from + Duration::from_millis(rng.random_range(100..20_000)),
            )
        });
        let outages = outages.collect();
        let mut run = Self {
            now: Time::ZERO,
            agenda: Agenda::default(),
            platform: FakePlatform::new(),
            operators: Vec::new(),
            boxes: (0..boxes).map(|_| SettingsFollower::default()).collect(),
            trees: BTreeMap::new(),
            accepted: BTreeMap::new(),
            old_heads: Vec::new(),
            rejected: Vec::new(),
            outages,
            noted: None,
            versions: vec![0; boxes],
            counts: SettingsCounts::default(),
            rng,
        };
        for _ in 0..operators {
            let operator = run.new_operator(EDITS);
            run.operators.push(operator);
        }
        for index in 0..operators {
            run.begin(index);
        }
        for index in 0..boxes {
            run.after(
                Duration::from_millis(index as u64 * 10),
                What::Follow(index),
            );
            run.after(
                Duration::from_millis(index as u64 * 10 + 5),
                What::AskPeer(index),
            );
        }
        run
    }

    fn after(&mut self, span: Duration, what: What) {
        self.agenda.put(self.now + span, what);
    }

    fn play(&mut self) {
        while let Some((at, what)) = self.agenda.take(Time::ZERO + END) {
            self.now = at;
            match what {
                What::Operator(index, event) => self.operator(index, event),
                What::AtPlatform(index, action, lost) => self.at_platform(index, action, lost),
                What::NextEdit(index) => self.next_edit(index),
                What::Follow(index) => self.follow(index),
                What::AskPeer(index) => self.ask_peer(index),
            }
        }
    }

    fn is_down(&self) -> bool {
        self.outages
            .iter()
            .any(|(from, to)| (*from..*to).contains(&self.now))
    }

    fn faults_are_over(&self) -> bool {
        self.now > Time::ZERO + FAULTS_END
    }

    /// An edit on what the operator sees now; sometimes on something older.
    fn new_operator(&mut self, left: u32) -> Operator {
        let head = read_head(&self.platform.peek(self.now, HEAD_KEY)).expect("a sound head");
        let stale = self.rng.random_range(0..4_u64) / 3 * self.rng.random_range(0..80);
        let base = Revision(head.revision.0.saturating_sub(stale));
        let edit = Edit {
            id: EditId::draw(&mut self.rng),
            author: "operator".to_owned(),
            made_at: 0,
            changes: vec![self.change()],
        };
        Operator {
            commit: SettingsCommit::new(edit.clone(), base, self.now + PATIENCE),
            edit,
            base,
            left,
        }
    }

    fn change(&mut self) -> Change {
        let node = ["a", "b", "c", "d"][self.rng.random_range(0..4)];
        let key = ["workspace.weight", "request.ageing_ms"][self.rng.random_range(0..2)];
        match self.rng.random_range(0..6) {
            0 => add(node, NodeKind::Workspace, "fleet"),
            1 => unset(node, key),
            // Few values, so that a part returns to an earlier state.
            _ => set(node, key, self.rng.random_range(100..103_u64)),
        }
    }

    fn begin(&mut self, index: usize) {
        let span = Duration::from_millis(self.rng.random_range(0..1_000));
        self.after(span, What::Operator(index, CommitEvent::Start));
    }

    fn next_edit(&mut self, index: usize) {
        let left = self.operators[index].left;
        if left == 0 {
            return;
        }
        self.operators[index] = self.new_operator(left - 1);
        self.begin(index);
    }

    fn operator(&mut self, index: usize, event: CommitEvent) {
        let operator = &mut self.operators[index];
        match operator.commit.on(self.now, event) {
            CommitAction::Done(end) => self.settled(index, &end),
            CommitAction::Backoff(span) => {
                self.after(span, What::Operator(index, CommitEvent::BackoffElapsed));
            }
            action => self.call(index, action),
        }
    }

    /// Sends a call; it may be lost, or its answer may be, or it may come very late.
    fn call(&mut self, index: usize, action: CommitAction) {
        let fault = if self.faults_are_over() {
            100
        } else {
            self.rng.random_range(0..100)
        };
        let trip = Duration::from_millis(self.rng.random_range(1..20));
        let gives_up = What::Operator(index, silence(&action));
        match fault {
            // Lost on the way there.
            0..5 => self.after(CALL, gives_up),
            // Done, and the answer is lost.
            5..15 => {
                self.after(trip, What::AtPlatform(index, action, true));
                self.after(CALL, gives_up);
            }
            // Given up, and done all the same, later.
            15..20 => {
                let late = CALL + LATEST_WRITE.mul_f64(self.rng.random());
                self.after(late, What::AtPlatform(index, action, true));
                self.after(CALL, gives_up);
            }
            _ => self.after(trip, What::AtPlatform(index, action, false)),
        }
    }

    fn at_platform(&mut self, index: usize, action: CommitAction, lost: bool) {
        let event = if self.is_down() {
            silence(&action)
        } else {
            self.carry_out(action)
        };
        if lost {
            self.counts.lost_answers += 1;
            return;
        }
        let trip = Duration::from_millis(self.rng.random_range(1..20));
        self.after(trip, What::Operator(index, event));
    }

    fn carry_out(&mut self, action: CommitAction) -> CommitEvent {
        let now = self.now;
        match action {
            CommitAction::ReadHead => CommitEvent::Read(Ok(self.platform.read(now, HEAD_KEY))),
            CommitAction::ReadCheckpoint(key) => {
                CommitEvent::Read(Ok(self.platform.read(now, &key)))
            }
            CommitAction::WriteCheckpoint { key, value } => {
                // Present already means the same bytes: the key is their digest.
                let _ = self.platform.write(now, &key, Some(0), value, None);
                self.counts.checkpoints += 1;
                CommitEvent::Written(Ok(()))
            }
            CommitAction::SwapHead { expect, value } => {
                let done = self
                    .platform
                    .write(now, HEAD_KEY, Some(expect), value, None);
                self.note_head();
                CommitEvent::Swapped(Ok(match done {
                    Ok(_) => SwapResponse::Swapped,
                    Err(_) => SwapResponse::Conflict,
                }))
            }
            CommitAction::Backoff(_) | CommitAction::Done(_) => CommitEvent::BackoffElapsed,
        }
    }

    /// Keeps the tree of each revision, and asserts that there is one only.
    fn note_head(&mut self) {
        let head = read_head(&self.platform.peek(self.now, HEAD_KEY)).expect("a sound head");
        if self.noted.as_ref() == Some(&head) {
            return;
        }
        self.noted = Some(head.clone());
        self.old_heads.push(head.clone());
        let checkpoint = head
            .checkpoint
            .as_ref()
            .map(|found| self.checkpoint(&found.key));
        let tree = head.tree(checkpoint.as_ref()).expect("a sound tree");
        assert!(
            tree.validation_errors().is_empty(),
            "revision {} is unsound",
            head.revision
        );
        let before = self.trees.insert(head.revision, tree.clone());
        assert!(
            before.is_none_or(|before| before == tree),
            "revision {} has two trees",
            head.revision
        );
    }

    fn checkpoint(&self, key: &str) -> Checkpoint {
        let found = self.platform.peek(self.now, key);
        let bytes = found
            .value
            .expect("the head names a checkpoint that is there");
        decode(&bytes).expect("a sound checkpoint")
    }

    fn settled(&mut self, index: usize, end: &CommitOutcome) {
        let operator = &mut self.operators[index];
        let id = operator.edit.id;
        match end {
            CommitOutcome::Accepted(accepted) => {
                self.counts.accepted += 1;
                self.accepted.insert(id, (operator.base, accepted.revision));
                self.remove_old_checkpoints();
            }
            CommitOutcome::Rejected(_) => {
                self.counts.rejected += 1;
                self.rejected.push(id);
            }
            CommitOutcome::Unknown | CommitOutcome::NotSent => {
                // The operator submits the very same edit again.
                self.counts.unsure += 1;
                let give_up_at = self.now + PATIENCE;
                let (edit, base) = (operator.edit.clone(), operator.base);
                operator.commit = SettingsCommit::new(edit, base, give_up_at);
                return self.begin(index);
            }
        }
        self.after(Duration::from_millis(1), What::NextEdit(index));
    }

    fn remove_old_checkpoints(&mut self) {
        let keys = self.platform.list(self.now, CHECKPOINT_PREFIX);
        for key in prunable_checkpoints(keys, KEPT_CHECKPOINTS) {
            let _ = self.platform.delete(self.now, &key, None);
        }
    }

    fn follow(&mut self, index: usize) {
        self.after(FOLLOW_EVERY, What::Follow(index));
        let cut_off = !self.faults_are_over() && self.rng.random_bool(0.5);
        if self.is_down() || cut_off {
            return;
        }
        let found = self.platform.read(self.now, HEAD_KEY);
        if found.version == self.versions[index] {
            // A watch that nothing woke.
            return;
        }
        self.versions[index] = found.version;
        let head = read_head(&found).expect("a sound head");
        let followed = self.boxes[index].on_platform_head(self.now, head.clone(), None);
        if let FollowOutcome::NeedsCheckpoint(key) = followed {
            let checkpoint = self.checkpoint(&key);
            self.boxes[index].on_platform_head(self.now, head, Some(checkpoint));
        }
        self.check_box(index);
    }

    fn ask_peer(&mut self, index: usize) {
        self.after(FOLLOW_EVERY, What::AskPeer(index));
        if self.rng.random_bool(0.1) && !self.old_heads.is_empty() {
            // An answer that comes late, or from a peer that is behind.
            let old = self.rng.random_range(0..self.old_heads.len());
            let head = self.old_heads[old].clone();
            self.boxes[index].on_peer_head(head, None);
            self.check_box(index);
        }
        let other = self.rng.random_range(0..self.boxes.len());
        if self.boxes[other].revision() <= self.boxes[index].revision() {
            return;
        }
        let Some(head) = self.boxes[other].head().cloned() else {
            return;
        };
        let checkpoint = self.boxes[other].checkpoint().cloned();
        self.boxes[index].on_peer_head(head, checkpoint);
        self.check_box(index);
    }

    fn check_box(&self, index: usize) {
        if let Some(in_force) = self.boxes[index].active() {
            let committed = self.trees.get(&in_force.revision);
            let same = committed.is_none_or(|tree| *tree == in_force.tree);
            assert!(
                same,
                "box {index} has another tree at revision {}",
                in_force.revision
            );
        }
    }

    fn check_end(&self) {
        let head = read_head(&self.platform.peek(self.now, HEAD_KEY)).expect("a sound head");
        for (index, boxx) in self.boxes.iter().enumerate() {
            let has = boxx.revision();
            assert_eq!(
                has, head.revision,
                "box {index} is not at the newest revision"
            );
        }
        let history = self.history();
        for (id, (_, revision)) in &self.accepted {
            let times = history.iter().filter(|row| row.edit.id == *id).count();
            let kept = history.first().map_or(Revision(0), |row| row.revision);
            assert!(
                times == 1 || *revision < kept,
                "accepted edit {id} is in {times} times"
            );
            let at = history.iter().find(|row| row.edit.id == *id);
            assert!(
                at.is_none_or(|row| row.revision == *revision),
                "edit {id} is not at revision {revision}, as was told"
            );
        }
        self.check_races(&history);
        for id in &self.rejected {
            let found = history.iter().find(|row| row.edit.id == *id);
            assert!(
                found.is_none(),
                "edit {id} was told to be refused, and is in"
            );
        }
        let told = self.accepted.len() as u64;
        assert_eq!(head.revision.0, told, "every revision is an accepted edit");
    }

    /// An edit went in only if nothing that it touches was changed since its operator looked.
    fn check_races(&self, history: &[CommittedEdit]) {
        for row in history {
            let Some((base, _)) = self.accepted.get(&row.edit.id) else {
                continue;
            };
            let since = history
                .iter()
                .filter(|other| other.revision > *base && other.revision < row.revision);
            for other in since {
                let races = other.edit.overlaps(&row.edit);
                assert!(
                    !races,
                    "{} and {} raced and both went in",
                    row.revision, other.revision
                );
            }
        }
    }

    /// Every edit that history still has, oldest first.
    fn history(&self) -> Vec<CommittedEdit> {
        let head = read_head(&self.platform.peek(self.now, HEAD_KEY)).expect("a sound head");
        let mut parts = vec![head.edits];
        let mut next = head.checkpoint;
        while let Some(reference) = next.take() {
            let found = self.platform.peek(self.now, &reference.key);
            let Some(bytes) = found.value else { break };
            let checkpoint: Checkpoint = decode(&bytes).expect("a sound checkpoint");
            parts.push(checkpoint.edits);
            next = checkpoint.previous;
        }
        parts.into_iter().rev().flatten().collect()
    }
}

fn silence(action: &CommitAction) -> CommitEvent {
    match action {
        CommitAction::WriteCheckpoint { .. } => CommitEvent::Written(Err(NoAnswer)),
        CommitAction::SwapHead { .. } => CommitEvent::Swapped(Err(NoAnswer)),
        _ => CommitEvent::Read(Err(NoAnswer)),
    }
}
