//! Rendezvous hashing: every process picks the same member for a key from the same member list.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of job shards; each shard has one owner, which is a daemon.
pub const SHARDS: u32 = 512;

/// Returns the shard of a key.
pub fn shard_of(key: &str) -> u32 {
    (xxh3_64_with_seed(key.as_bytes(), 0) % u64::from(SHARDS)) as u32
}

/// Returns the weight of `member` for `key`; the member with the highest weight owns the key.
pub fn weight(key: &str, member: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the owner of `key` among `members`, or `None` when there are none.
pub fn owner<'a, M>(key: &str, members: impl IntoIterator<Item = &'a M>) -> Option<&'a M>
where
    M: AsRef<str> + 'a,
{
    members
        .into_iter()
        .map(|member| (weight(key, member.as_ref()), member))
        .max_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())))
        .map(|(_, member)| member)
}

/// Returns whether fewer than `count` of `others` have a higher weight than `own` for a key.
pub fn is_among_highest<'a, M>(
    key: &str,
    own: &M,
    others: impl IntoIterator<Item = &'a M>,
    count: usize,
) -> bool
where
    M: AsRef<str> + 'a,
{
    rank(key, own, others) < count
}

/// Returns how many of `others` have a higher weight than `own` for a key.
pub fn rank<'a, M>(key: &str, own: &M, others: impl IntoIterator<Item = &'a M>) -> usize
where
    M: AsRef<str> + 'a,
{
    let own_weight = weight(key, own.as_ref());
    others.into_iter().filter(|other| weight(key, other.as_ref()) > own_weight).count()
}

/// Returns a hash of `bytes` that is the same in every process.
pub fn hash(bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, 0)
}
