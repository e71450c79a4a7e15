//! Outcomes of calls over a link to a daemon that stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fleet::DaemonInfo;
use fleet::LinkHandler;
use fleet::Links;
use fleet::link;
use fleet::link::Link;
use fleet::link::LinkError;
use futures::SinkExt;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use kernel::Counters;
use tokio_util::sync::CancellationToken;
use wire::DaemonName;
use wire::link::Frame;
use wire::link::Heartbeat;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;

const CALLS: usize = 200;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn heartbeat(is_leaving: bool) -> Heartbeat {
    Heartbeat { incarnation: "1".to_owned(), in_force: 0, leaving: is_leaving }
}

/// Answers every call after a delay.
struct DelayedAnswers(Duration);

#[async_trait]
impl LinkHandler for DelayedAnswers {
    async fn handle_call(&self, _from: &DaemonName, _request: &Request) -> Option<Reply> {
        tokio::time::sleep(self.0).await;
        Some(Reply::Pong(heartbeat(true)))
    }

    fn handle_notice(&self, _from: &DaemonName, _notice: &Notice) {}
}

async fn listen(name: &str, address: SocketAddr, stopped: &CancellationToken) -> Arc<Links> {
    let counters = Counters::new(None).expect("counters without an address");
    let secrets = vec!["secret".to_owned()];
    let links = Links::listen(name.into(), address, secrets, counters, stopped.clone());
    links.await.expect("the address is free")
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

fn info(name: &str, links_address: SocketAddr) -> DaemonInfo {
    DaemonInfo {
        daemon: name.into(),
        incarnation: "1".to_owned(),
        data_centre: "dc".into(),
        callers_address: links_address,
        callers_tls: false,
        links_address,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_that_stops_answers_every_call_that_it_was_sent() {
    let (stop_server, stop_caller) = (CancellationToken::new(), CancellationToken::new());
    let address = free_address();
    let server = listen("server", address, &stop_server).await;
    server.add_handler(Arc::new(DelayedAnswers(Duration::from_millis(50))));
    let caller = listen("caller", free_address(), &stop_caller).await;
    let peer = info("server", address);
    let calls = join_all((0..CALLS).map(|number| {
        let (caller, peer) = (Arc::clone(&caller), peer.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(number as u64)).await;
            caller.call(&peer, Request::Ping(heartbeat(false)), CALL_TIMEOUT).await
        }
    }));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.drain().await;
        stop_server.cancel();
    };
    let (outcomes, ()) = tokio::join!(calls, stop);
    let answered = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert!(answered > CALLS / 4, "{answered} calls were answered");
    assert!(outcomes.contains(&Err(LinkError::NotSent)), "no call was rejected after the stop");
    let lost = outcomes.iter().filter(|outcome| **outcome == Err(LinkError::NoAnswer)).count();
    assert_eq!(lost, 0, "calls were sent and not answered");
    stop_caller.cancel();
}

#[tokio::test]
async fn answers_received_before_a_link_closes_reach_their_calls() {
    let counters = Counters::new(None).expect("counters without an address");
    let sink = futures::sink::drain().sink_map_err(|never| match never {});
    let link = Link::open(sink, counters, CancellationToken::new());
    let answer = |call| Frame::Answer { call, reply: Reply::Pong(heartbeat(true)) };
    let frames = std::iter::once(Frame::Closing).chain((1..=CALLS as u64).map(answer));
    let messages = frames.map(|frame| link::encode(&frame).expect("the frame is encoded"));
    let inbound = stream::iter(messages).map(Ok).chain(stream::pending());
    let calls =
        join_all((0..CALLS).map(|_| link.call(Request::Ping(heartbeat(false)), CALL_TIMEOUT)));
    let (outcomes, late_answers) = tokio::join!(calls, link.read(inbound, |_| {}));
    let lost = outcomes.iter().filter(|outcome| outcome.is_err()).count();
    assert_eq!(lost, 0, "calls ended without their answer");
    assert_eq!(late_answers, 0);
    assert!(link.is_closed(), "the link closes after its last call");
}

#[tokio::test]
async fn drain_time_is_bounded_with_a_silent_peer() {
    let (stop_server, stop_caller) = (CancellationToken::new(), CancellationToken::new());
    let address = free_address();
    let server = listen("server", address, &stop_server).await;
    server.add_handler(Arc::new(DelayedAnswers(Duration::ZERO)));
    let caller = listen("caller", free_address(), &stop_caller).await;
    let peer = info("server", address);
    let outcome = caller.call(&peer, Request::Ping(heartbeat(false)), CALL_TIMEOUT).await;
    assert!(outcome.is_ok(), "{outcome:?}");
    caller.silence_dialled_links().await;
    tokio::time::timeout(Duration::from_secs(6), server.drain()).await.expect("the drain ends");
    stop_server.cancel();
    stop_caller.cancel();
}
