//! Tests a daemon process with replicas that answer while they still get a long request.

#[expect(dead_code, reason = "the helpers for jobs are not used here")]
mod platform_fleet;
#[expect(dead_code, reason = "not all scripts of answers are used here")]
mod raw_replicas;

use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use platform_stub::Client;
use platform_stub::client::Answer;
use platform_stub::client::CallFailure;
use platform_stub::client::OutgoingRequest;
use platform_stub::deployment::ENGINE_SERVICE;
use platform_stub::deployment::LOOKUP;
use platform_stub::deployment::PLAIN_SERVICE;
use platform_stub::deployment::RESUMABLE;
use platform_stub::deployment::STREAM;
use platform_stub::raw_replica;
use platform_stub::raw_replica::RawAnswer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use crate::platform_fleet::Fleet;
use crate::platform_fleet::run_local;
use crate::raw_replicas::EVENTS;
use crate::raw_replicas::Requests;
use crate::raw_replicas::events_from;
use crate::raw_replicas::reads_of;
use crate::raw_replicas::recorded;
use crate::raw_replicas::refusal;
use crate::raw_replicas::start_with_replicas;
use crate::raw_replicas::success_head;

/// The length of an upload: more than the buffers of a connection hold, and within the limit of the
/// configuration.
const UPLOAD_BYTES: usize = 4_000_000;
/// The most replicas to which the routes allow a request to be sent.
const MAX_ATTEMPTS: usize = 2;
/// The number of replicas.
const REPLICAS: usize = 3;
/// The time after which the daemon has read what a replica wrote.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Starts a fleet whose replicas of `service` read no body of a request.
async fn start_fleet(folder: PathBuf, service: &str, answer: RawAnswer) -> Fleet {
    start_with_replicas(folder, service, REPLICAS, || {
        raw_replica::start_without_bodies(answer.clone())
    })
    .await
}

/// Sends a request with a long body.
async fn upload(fleet: &Fleet, request: OutgoingRequest) -> Result<Answer, CallFailure> {
    let body = Bytes::from(vec![b'u'; UPLOAD_BYTES]);
    Client.call(fleet.ingress(0), &OutgoingRequest { body, ..request }).await
}

/// Writes a part of an answer without a length and resets the connection, since bytes of the request
/// are unread.
fn reset_after(requests: &Requests, part: fn(&str) -> String) -> RawAnswer {
    recorded(requests, move |request, stream| async move {
        let bytes = success_head(&request.id, "") + &part(&request.id);
        let stream = raw_replica::write(stream, bytes).await?;
        sleep(ARRIVAL_TIME).await;
        drop(stream);
        None
    })
}

#[test]
fn plain_answer_that_is_reset_during_the_upload_does_not_look_complete() {
    run_local("reset-plain", |folder| async move {
        let requests = Requests::default();
        let answer = reset_after(&requests, |_| "part of the body".to_owned());
        let fleet = start_fleet(folder, PLAIN_SERVICE, answer).await;
        let answer = upload(&fleet, OutgoingRequest::lookup(LOOKUP, "l")).await;
        let status = answer.expect("an answer").status;
        assert_eq!(status, StatusCode::BAD_GATEWAY, "a part of the answer looks complete");
        assert_eq!(reads_of(&requests, "l"), MAX_ATTEMPTS);
    });
}

#[test]
fn stream_that_is_reset_during_the_upload_does_not_look_complete() {
    run_local("reset-stream", |folder| async move {
        let requests = Requests::default();
        let answer = reset_after(&requests, |id| events_from(id, EVENTS));
        let fleet = start_fleet(folder, ENGINE_SERVICE, answer).await;
        for (prefix, id) in [(STREAM, "s"), (RESUMABLE, "r")] {
            let answer = upload(&fleet, OutgoingRequest::stream(prefix, id, EVENTS)).await;
            assert!(answer.is_err(), "{prefix}: a part of the stream looks complete: {answer:?}");
        }
        assert_eq!(
            reads_of(&requests, "s"),
            1,
            "a request that may not be repeated was sent again"
        );
    });
}

/// An answer without a length that ends in order is complete, whether or not the request was read.
#[test]
fn answer_that_ends_in_order_during_the_upload_is_passed_on() {
    run_local("orderly-plain", |folder| async move {
        let requests = Requests::default();
        let answer = recorded(&requests, |request, stream| async move {
            let bytes = success_head(&request.id, "") + "the whole body";
            let mut stream = raw_replica::write(stream, bytes).await?;
            stream.shutdown().await.ok()?;
            sleep(ARRIVAL_TIME).await;
            let mut discarded = vec![0; 1 << 20];
            while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
            None
        });
        let fleet = start_fleet(folder, PLAIN_SERVICE, answer).await;
        let answer = upload(&fleet, OutgoingRequest::lookup(LOOKUP, "l")).await;
        let answer = answer.expect("an answer");
        assert_eq!((answer.status, &*answer.body), (StatusCode::OK, &b"the whole body"[..]));
        assert_eq!(reads_of(&requests, "l"), 1);
    });
}

/// A refusal that says that the request was not run keeps its meaning although the rest of the request
/// cannot be written.
#[test]
fn refusal_during_the_upload_is_a_refusal() {
    run_local("early-refusal", |folder| async move {
        let requests = Requests::default();
        let answer = recorded(&requests, |request, stream| async move {
            let stream = raw_replica::write(stream, refusal(Some(&request.id))).await?;
            sleep(ARRIVAL_TIME).await;
            drop(stream);
            None
        });
        let fleet = start_fleet(folder, ENGINE_SERVICE, answer).await;
        let answer = upload(&fleet, OutgoingRequest::stream(STREAM, "s", EVENTS)).await;
        assert_eq!(answer.expect("an answer").status, StatusCode::SERVICE_UNAVAILABLE);
    });
}
