//! The leases of instances. Only the leader keeps them, in memory, so renewals are not written to the log. Time is an
//! argument and comes from the leader's monotonic clock; clocks of other hosts are not used.
//!
//! When a few leases of a zone expire, their instances are removed. When many expire at once, the cause is probably the
//! network, so the instances are marked as suspects and stay on the list.

use std::collections::BTreeMap;

use crate::list::{Command, List, MAX_KEYS};

/// Nanoseconds on the leader's monotonic clock.
pub type Nanos = u64;

/// Time between two confirmations by a quorum after which renewals may have been lost. The leader is confirmed several
/// times within it, whether or not instances renew.
const MAX_QUORUM_GAP: Nanos = 500_000_000;

/// When an expired lease is treated as the failure of its instance.
#[derive(Clone, Copy, Debug)]
pub struct LeasePolicy {
    /// Duration of a lease since its last renewal.
    pub lease: Nanos,
    /// When more than this share of a zone's leases expire within the duration of a lease, the instances become
    /// suspects.
    pub believed_share: f64,
    /// Number of expired leases in a zone up to which the instances are removed regardless of the share, for small
    /// zones.
    pub believed_count: usize,
    /// Time after which suspects that have not renewed are removed.
    pub hold: Nanos,
}

impl Default for LeasePolicy {
    fn default() -> Self {
        const SECOND: Nanos = 1_000_000_000;
        Self { lease: 6 * SECOND, believed_share: 0.3, believed_count: 1, hold: 120 * SECOND }
    }
}

/// Why a renewal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RenewError {
    /// The list does not contain the instance with this start time.
    #[error("not on the list with this start time: must register")]
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    boot_ms: u64,
    expires_at: Nanos,
    suspect_since: Option<Nanos>,
}

/// The leases that a leader keeps during its term.
#[derive(Clone, Debug)]
pub struct Leases {
    policy: LeasePolicy,
    leases: BTreeMap<String, Lease>,
    /// Times of the removals within the last lease duration, by zone.
    recent_removals: BTreeMap<String, Vec<Nanos>>,
    last_check: Nanos,
    /// The last time at which a quorum confirmed the leader.
    last_quorum: Nanos,
}

impl Leases {
    /// Creates the leases of a new leader. Every lease starts with its full duration, because renewals may have failed
    /// while there was no leader.
    pub fn new(policy: LeasePolicy, list: &List, now: Nanos) -> Self {
        let mut leases = Self {
            policy,
            leases: BTreeMap::new(),
            recent_removals: BTreeMap::new(),
            last_check: now,
            last_quorum: now,
        };
        leases.sync(list, now);
        leases
    }

    /// Synchronizes the leases with the list: new instances get a full lease, leases of removed ones are dropped, and the
    /// marks of suspects are taken from the list.
    pub fn sync(&mut self, list: &List, now: Nanos) {
        let expires_at = now.saturating_add(self.policy.lease);
        self.leases
            .retain(|uid, lease| list.line(uid).is_some_and(|line| line.instance.boot_ms == lease.boot_ms));
        for line in list.lines() {
            let new_lease = Lease {
                boot_ms: line.instance.boot_ms,
                expires_at,
                suspect_since: line.suspect.then_some(now),
            };
            let lease = self.leases.entry(line.instance.uid.clone()).or_insert(new_lease);
            // The command that sets or clears a mark may have been lost. The list decides.
            if line.suspect != lease.suspect_since.is_some() {
                lease.suspect_since = line.suspect.then_some(now);
            }
        }
    }

    /// Renews the lease of an instance. Returns a command to be replicated if the instance was a suspect.
    pub fn renew(&mut self, uid: &str, boot_ms: u64, now: Nanos) -> Result<Option<Command>, RenewError> {
        let lease = self.leases.get_mut(uid).filter(|lease| lease.boot_ms == boot_ms);
        let lease = lease.ok_or(RenewError::Unknown)?;
        lease.expires_at = lease.expires_at.max(now.saturating_add(self.policy.lease));
        let was_suspect = lease.suspect_since.take().is_some();
        Ok(was_suspect.then(|| Command::Clear(vec![(uid.to_owned(), boot_ms)])))
    }

    /// Applies an operator's decision on the suspects of a zone: they get a full lease or are removed. Returns the
    /// commands to be replicated.
    pub fn resolve_suspects(&mut self, list: &List, zone: &str, alive: bool, now: Nanos) -> Vec<Command> {
        let in_zone = |uid: &str| list.line(uid).is_some_and(|line| line.instance.zone == zone);
        let expires_at = now.saturating_add(self.policy.lease);
        let mut resolved = Vec::new();
        for (uid, lease) in &mut self.leases {
            if in_zone(uid) && lease.suspect_since.is_some() {
                if alive {
                    (lease.expires_at, lease.suspect_since) = (expires_at, None);
                }
                resolved.push((uid.clone(), lease.boot_ms));
            }
        }
        match (alive, resolved.is_empty()) {
            (_, true) => Vec::new(),
            (true, false) => resolved.chunks(MAX_KEYS).map(|keys| Command::Clear(keys.to_vec())).collect(),
            (false, false) => {
                resolved.into_iter().map(|(uid, boot_ms)| Command::Leave { uid, boot_ms }).collect()
            }
        }
    }

    /// Records that a quorum has confirmed the leader. After a gap in these confirmations, renewals may have been lost
    /// on the way to the leader, so all leases are extended to their full duration.
    pub fn confirm_quorum(&mut self, now: Nanos) {
        if now.saturating_sub(self.last_quorum) >= MAX_QUORUM_GAP {
            self.extend_all(now);
        }
        self.last_quorum = self.last_quorum.max(now);
    }

    /// Returns whether any lease has expired, or any suspect has been held for its time. Must be called several times
    /// within the duration of a lease.
    ///
    /// If the last check was half a lease or more ago, the leader itself was paused and may have missed renewals. Then
    /// all leases are extended to their full duration.
    pub fn check(&mut self, now: Nanos) -> bool {
        if now.saturating_sub(self.last_check) >= self.policy.lease / 2 {
            self.extend_all(now);
        }
        self.last_check = self.last_check.max(now);
        self.leases.values().any(|lease| self.is_expired(lease, now) || self.is_hold_over(lease, now))
    }

    fn is_expired(&self, lease: &Lease, now: Nanos) -> bool {
        lease.expires_at <= now && lease.suspect_since.is_none()
    }

    fn is_hold_over(&self, lease: &Lease, now: Nanos) -> bool {
        lease.suspect_since.is_some_and(|since| now.saturating_sub(since) >= self.policy.hold)
    }

    fn extend_all(&mut self, now: Nanos) {
        let expires_at = now.saturating_add(self.policy.lease);
        self.leases.values_mut().for_each(|lease| lease.expires_at = lease.expires_at.max(expires_at));
    }

    /// Checks the leases as [`Self::check`] does and returns the commands to be replicated for those that have expired.
    pub fn expire(&mut self, list: &List, now: Nanos) -> Vec<Command> {
        if !self.check(now) {
            return Vec::new();
        }
        let mut zone_sizes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut suspects: BTreeMap<&str, usize> = BTreeMap::new();
        let mut expired: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for line in list.lines() {
            let (uid, zone) = (line.instance.uid.as_str(), line.instance.zone.as_str());
            *zone_sizes.entry(zone).or_default() += 1;
            let lease = self.leases.get(uid);
            if lease.is_some_and(|lease| self.is_expired(lease, now)) {
                expired.entry(zone).or_default().push(uid);
            }
            *suspects.entry(zone).or_default() +=
                usize::from(lease.is_some_and(|l| l.suspect_since.is_some()));
        }
        let mut commands = Vec::new();
        for (zone, expired_uids) in expired {
            let removal_times = self.recent_removals.entry(zone.to_owned()).or_default();
            removal_times.retain(|at| now.saturating_sub(*at) < self.policy.lease);
            // Current suspects count as well. Otherwise each further expiry would look like a single failure.
            let removed_count = removal_times.len();
            let failing = expired_uids.len() + removed_count + suspects.get(zone).copied().unwrap_or(0);
            let zone_size = zone_sizes.get(zone).copied().unwrap_or(0) + removed_count;
            let max_removals =
                ((zone_size as f64 * self.policy.believed_share) as usize).max(self.policy.believed_count);
            let keys = expired_uids
                .iter()
                .filter_map(|uid| Some(((*uid).to_owned(), self.leases.get(*uid)?.boot_ms)));
            let keys: Vec<(String, u64)> = keys.collect();
            if failing <= max_removals {
                removal_times.extend(keys.iter().map(|_| now));
                commands.extend(keys.into_iter().map(|(uid, boot_ms)| Command::Leave { uid, boot_ms }));
            } else {
                for (uid, _) in &keys {
                    let lease = self.leases.get_mut(uid);
                    lease.into_iter().for_each(|lease| lease.suspect_since = Some(now));
                }
                commands.extend(keys.chunks(MAX_KEYS).map(|keys| Command::Suspect(keys.to_vec())));
            }
        }
        let overdue = self.leases.iter().filter(|(_, lease)| self.is_hold_over(lease, now));
        commands
            .extend(overdue.map(|(uid, lease)| Command::Leave { uid: uid.clone(), boot_ms: lease.boot_ms }));
        self.recent_removals.retain(|_, times| !times.is_empty());
        commands
    }

    /// Returns the number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Returns whether there are no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
