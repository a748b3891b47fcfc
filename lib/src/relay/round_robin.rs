//! Rows that are told a few at a time, each in its turn.

/// The next few of rows that are sorted by their keys, after the one that was told last; from the end it
/// goes on at the beginning.
pub(crate) fn next_in_rotation<K: Ord + Copy, V: Copy>(
    rows: &[(K, V)],
    told_to: Option<K>,
    most: usize,
) -> Vec<(K, V)> {
    let after = rows.partition_point(|(key, _)| Some(*key) <= told_to);
    let turned = rows[after..].iter().chain(&rows[..after]);
    turned.take(most).copied().collect()
}
