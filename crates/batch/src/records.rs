//! Reads and writes chunk records in the object API; splits a record that is too large for one
//! object into parts.

use bytes::Bytes;
use store::CallClass;
use store::PutOutcome;
use store::Store;
use store::StoreError;
use wire::JobId;
use wire::Version;
use wire::digest::sha256_hex;
use wire::job::ChunkRecord;

use crate::codec;
use crate::codec::StoredChunk;
use crate::keys;

/// Size limit of a part, in bytes, so that a part fits into one object.
const MAX_PART_BYTES: usize = 900 << 10;

/// Reads a chunk record; returns an empty record and `Version::ABSENT` if none is stored.
pub async fn read(
    store: &Store,
    class: CallClass,
    job: &JobId,
    chunk: u32,
) -> Result<(ChunkRecord, Version), StoreError> {
    let key = keys::chunk(job, chunk);
    let Some(object) = store.get(class, &key).await? else {
        return Ok((ChunkRecord::default(), Version::ABSENT));
    };
    let malformed = |message| StoreError::Malformed { key: key.clone(), message };
    let packed = match codec::decode_stored(&object.value).map_err(malformed)? {
        StoredChunk::Whole(packed) => packed,
        StoredChunk::Parts(digests) => read_parts(store, class, job, chunk, &digests).await?,
    };
    let malformed = |message| StoreError::Malformed { key: key.clone(), message };
    let record = codec::unpack_record(&packed).map_err(malformed)?;
    Ok((record, object.version))
}

/// Writes a chunk record if its stored version is `expected`.
pub async fn write(
    store: &Store,
    job: &JobId,
    chunk: u32,
    record: &ChunkRecord,
    expected: Version,
    write_id: &str,
) -> Result<PutOutcome, StoreError> {
    let key = keys::chunk(job, chunk);
    let malformed = |message| StoreError::Malformed { key: key.clone(), message };
    let packed = codec::pack_record(record).map_err(malformed)?;
    let stored = if packed.len() <= MAX_PART_BYTES {
        StoredChunk::Whole(packed)
    } else {
        StoredChunk::Parts(write_parts(store, job, chunk, &packed).await?)
    };
    let malformed = |message| StoreError::Malformed { key: key.clone(), message };
    let value = Bytes::from(codec::encode_stored(&stored).map_err(malformed)?);
    store.put(CallClass::Ledger, &key, value, expected, write_id).await
}

async fn write_parts(
    store: &Store,
    job: &JobId,
    chunk: u32,
    packed: &[u8],
) -> Result<Vec<String>, StoreError> {
    let mut digests = Vec::new();
    for part in packed.chunks(MAX_PART_BYTES) {
        let digest = sha256_hex(part);
        let key = keys::chunk_part(job, chunk, &digest);
        let value = Bytes::copy_from_slice(part);
        // The key contains the digest of the content, so an existing object is the same part.
        store.put(CallClass::Ledger, &key, value, Version::ABSENT, &digest).await?;
        digests.push(digest);
    }
    Ok(digests)
}

async fn read_parts(
    store: &Store,
    class: CallClass,
    job: &JobId,
    chunk: u32,
    digests: &[String],
) -> Result<Vec<u8>, StoreError> {
    let mut packed = Vec::new();
    for digest in digests {
        let key = keys::chunk_part(job, chunk, digest);
        let Some(object) = store.get(class, &key).await? else {
            return Err(StoreError::Malformed { key, message: "a part is missing".to_owned() });
        };
        packed.extend_from_slice(&object.value);
    }
    Ok(packed)
}
