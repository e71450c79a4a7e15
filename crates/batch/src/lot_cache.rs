//! A cache of a job's input lots, from which the items of its open chunks are read.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use store::CallClass;
use store::Store;
use store::StoreError;
use tokio::sync::OnceCell;
use wire::job::CHUNK_ITEMS;
use wire::job::Item;
use wire::job::LOT_ITEMS;
use wire::job::Manifest;

use crate::codec;
use crate::keys;

/// Number of lots kept in memory; open chunks are adjacent, so a few lots cover them.
const MAX_CACHED_LOTS: usize = 3;

type LotCell = Arc<OnceCell<Arc<Vec<Item>>>>;

/// Cached lots of one job.
pub struct LotCache {
    store: Arc<Store>,
    manifest: Arc<Manifest>,
    lots: Mutex<BTreeMap<usize, LotCell>>,
}

impl LotCache {
    /// Creates an empty cache.
    pub fn new(store: Arc<Store>, manifest: Arc<Manifest>) -> Self {
        Self { store, manifest, lots: Mutex::new(BTreeMap::new()) }
    }

    /// Returns an item; reads its lot from the object API if it is not cached.
    pub async fn read_item(&self, chunk: u32, item: u32) -> Result<Item, StoreError> {
        let index = (chunk * CHUNK_ITEMS + item) as usize;
        let lot = index / LOT_ITEMS as usize;
        let cell = self.lot_cell(lot);
        let items = cell.get_or_try_init(|| self.read_lot(lot)).await?;
        let found = items.get(index % LOT_ITEMS as usize).cloned();
        found.ok_or_else(|| self.malformed(lot, "the lot is shorter than its count"))
    }

    /// Evicts lots whose chunks all precede `first_chunk`.
    pub fn evict_before(&self, first_chunk: u32) {
        let first_lot = (first_chunk * CHUNK_ITEMS / LOT_ITEMS) as usize;
        let mut lots = self.lots.lock().unwrap_or_else(PoisonError::into_inner);
        lots.retain(|lot, _| *lot >= first_lot);
    }

    fn lot_cell(&self, lot: usize) -> LotCell {
        let mut lots = self.lots.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = Arc::clone(lots.entry(lot).or_default());
        while lots.len() > MAX_CACHED_LOTS {
            // An evicted lot that is needed again is read again.
            let oldest = lots.keys().copied().find(|known| *known != lot);
            let Some(oldest) = oldest else {
                break;
            };
            lots.remove(&oldest);
        }
        cell
    }

    async fn read_lot(&self, lot: usize) -> Result<Arc<Vec<Item>>, StoreError> {
        let Some(lot_ref) = self.manifest.spec.lots.get(lot) else {
            return Err(self.malformed(lot, "the job has no such lot"));
        };
        let key = keys::lot(&self.manifest.org, lot_ref);
        let object = self.store.get(CallClass::Ledger, &key).await?;
        let object = object.ok_or_else(|| self.malformed(lot, "the lot is missing"))?;
        let items = codec::unpack_lot(&object.value)
            .map_err(|message| StoreError::Malformed { key, message })?;
        Ok(Arc::new(items))
    }

    fn malformed(&self, lot: usize, message: &str) -> StoreError {
        let key = format!("{} lot {lot}", self.manifest.job);
        StoreError::Malformed { key, message: message.to_owned() }
    }
}
