//! The items of a job's open chunks, read lot by lot.

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

/// Lots kept in memory at once; open chunks are neighbours, so they need few.
const MAX_LOTS: usize = 3;

type LotCell = Arc<OnceCell<Arc<Vec<Item>>>>;

/// The lots of one job that are in use.
pub struct Inputs {
    store: Arc<Store>,
    manifest: Arc<Manifest>,
    lots: Mutex<BTreeMap<usize, LotCell>>,
}

impl Inputs {
    /// Creates an empty cache.
    pub fn new(store: Arc<Store>, manifest: Arc<Manifest>) -> Self {
        Self { store, manifest, lots: Mutex::new(BTreeMap::new()) }
    }

    /// Returns one item, reading its lot if it is not there.
    pub async fn item(&self, chunk: u32, item: u32) -> Result<Item, StoreError> {
        let index = (chunk * CHUNK_ITEMS + item) as usize;
        let lot = index / LOT_ITEMS as usize;
        let cell = self.cell(lot);
        let items = cell.get_or_try_init(|| self.read(lot)).await?;
        let found = items.get(index % LOT_ITEMS as usize).cloned();
        found.ok_or_else(|| self.malformed(lot, "the lot is shorter than its count"))
    }

    /// Drops lots whose chunks all lie before `first_chunk`.
    pub fn drop_before(&self, first_chunk: u32) {
        let first_lot = (first_chunk * CHUNK_ITEMS / LOT_ITEMS) as usize;
        let mut lots = self.lots.lock().unwrap_or_else(PoisonError::into_inner);
        lots.retain(|lot, _| *lot >= first_lot);
    }

    fn cell(&self, lot: usize) -> LotCell {
        let mut lots = self.lots.lock().unwrap_or_else(PoisonError::into_inner);
        let cell = Arc::clone(lots.entry(lot).or_default());
        while lots.len() > MAX_LOTS {
            // A lot that is needed again is read again.
            let oldest = lots.keys().copied().find(|known| *known != lot);
            let Some(oldest) = oldest else {
                break;
            };
            lots.remove(&oldest);
        }
        cell
    }

    async fn read(&self, lot: usize) -> Result<Arc<Vec<Item>>, StoreError> {
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
