//! Sends a long table a few rows at a time, in rotation.

/// The next `limit` rows after `last_sent`, wrapping around at the end. `rows` must be sorted by key.
pub(crate) fn next_in_rotation<K: Ord + Copy, V: Copy>(
    rows: &[(K, V)],
    last_sent: Option<K>,
    limit: usize,
) -> Vec<(K, V)> {
    let after = rows.partition_point(|(key, _)| Some(*key) <= last_sent);
    let rotated = rows[after..].iter().chain(&rows[..after]);
    rotated.take(limit).copied().collect()
}
