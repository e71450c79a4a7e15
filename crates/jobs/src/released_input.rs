//! Reads of item bodies that only the job's record still holds.

use bytes::Bytes;
use gate::JobCall;
use http::StatusCode;
use log::warn;
use store::Call;
use store::CallClass;
use store::Reply;
use store::StoreError;
use wire::JobId;

use crate::adoption::decode_record;
use crate::job::ItemBody;
use crate::manager::JobHandle;
use crate::manager::JobManager;
use crate::record;
use crate::record::JOB_KIND;
use crate::serve::CallAnswer;
use crate::serve::READ_TIMEOUT;

impl JobManager {
    /// Answers a read of an item's body from the record; returns `None` if the call is another one or
    /// memory still holds the body.
    pub(crate) async fn answer_from_input(
        &self,
        call: &JobCall,
        handle: &JobHandle,
    ) -> Option<CallAnswer> {
        let JobCall::ItemBody { item, .. } = call else { return None };
        let (id, input_bytes) = {
            let job = handle.job.borrow();
            if job.item_body(item) != Some(ItemBody::Released) {
                return None;
            }
            let part_bytes = record::max_part_bytes(self.deps.max_object_bytes);
            (job.id.clone(), job.value_bytes + job.input_parts * part_bytes)
        };
        // The whole input is decoded to find one item.
        let Ok(_reserved) = self.reserve_submission(&id, input_bytes) else {
            return Some((StatusCode::SERVICE_UNAVAILABLE, Bytes::new()));
        };
        let answer = match self.read_recorded_body(&id, item).await {
            Ok(Some(body)) => (StatusCode::OK, body),
            Ok(None) => (StatusCode::NOT_FOUND, Bytes::new()),
            Err(error) => {
                warn!("event=item_body_not_read job={id} error=\"{error}\"");
                (StatusCode::SERVICE_UNAVAILABLE, Bytes::new())
            }
        };
        Some(answer)
    }

    async fn read_recorded_body(
        &self,
        id: &JobId,
        item: &str,
    ) -> Result<Option<Bytes>, StoreError> {
        let call = Call::Get { kind: JOB_KIND, name: id.to_string() };
        let reply =
            self.deps.store.call_with_retries(CallClass::Claim, &call, READ_TIMEOUT).await?;
        let Reply::Object(object) = reply else { return Ok(None) };
        let (value, _) = decode_record(id, &object)?;
        let input = self.read_input(id, &value, READ_TIMEOUT).await?;
        let found = input.items.into_iter().find(|found| &*found.id == item);
        Ok(found.map(|found| found.body))
    }
}
