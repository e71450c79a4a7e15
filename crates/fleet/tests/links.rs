//! What the caller of a daemon that stops gets over the link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use fleet::DaemonInfo;
use fleet::LinkHandler;
use fleet::Links;
use fleet::link::LinkError;
use futures::future::join_all;
use kernel::Counters;
use tokio_util::sync::CancellationToken;
use wire::DaemonName;
use wire::link::Heartbeat;
use wire::link::Notice;
use wire::link::Reply;
use wire::link::Request;

const CALLS: usize = 200;
const WAIT: Duration = Duration::from_secs(5);

fn heartbeat(leaving: bool) -> Heartbeat {
    Heartbeat { incarnation: "1".to_owned(), in_force: 0, leaving }
}

/// Answers every call after a while.
struct SlowAnswers(Duration);

#[async_trait]
impl LinkHandler for SlowAnswers {
    async fn call(&self, _from: &DaemonName, _request: &Request) -> Option<Reply> {
        tokio::time::sleep(self.0).await;
        Some(Reply::Pong(heartbeat(true)))
    }

    fn notice(&self, _from: &DaemonName, _notice: &Notice) {}
}

async fn listen(name: &str, address: SocketAddr, stopped: &CancellationToken) -> Arc<Links> {
    let counters = Counters::new(None).expect("counters need no address");
    let secrets = vec!["secret".to_owned()];
    let links = Links::listen(name.into(), address, secrets, counters, stopped.clone());
    links.await.expect("the address is free")
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it is bound")
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
    server.add_handler(Arc::new(SlowAnswers(Duration::from_millis(50))));
    let caller = listen("caller", free_address(), &stop_caller).await;
    let peer = info("server", address);
    let calls = join_all((0..CALLS).map(|number| {
        let (caller, peer) = (Arc::clone(&caller), peer.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(number as u64)).await;
            caller.call(&peer, Request::Ping(heartbeat(false)), WAIT).await
        }
    }));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        server.drain().await;
        stop_server.cancel();
    };
    let (ends, ()) = tokio::join!(calls, stop);
    let answered = ends.iter().filter(|end| end.is_ok()).count();
    assert!(answered > CALLS / 4, "{answered} calls were answered");
    assert!(ends.contains(&Err(LinkError::NotSent)), "the calls went on after the stop");
    let lost = ends.iter().filter(|end| **end == Err(LinkError::NoAnswer)).count();
    assert_eq!(lost, 0, "calls were sent and not answered");
    stop_caller.cancel();
}

#[tokio::test]
async fn a_daemon_that_stops_waits_a_bounded_time_for_a_silent_peer() {
    let (stop_server, stop_caller) = (CancellationToken::new(), CancellationToken::new());
    let address = free_address();
    let server = listen("server", address, &stop_server).await;
    server.add_handler(Arc::new(SlowAnswers(Duration::ZERO)));
    let caller = listen("caller", free_address(), &stop_caller).await;
    let peer = info("server", address);
    let end = caller.call(&peer, Request::Ping(heartbeat(false)), WAIT).await;
    assert!(end.is_ok(), "{end:?}");
    caller.silence_all().await;
    tokio::time::timeout(Duration::from_secs(6), server.drain()).await.expect("the drain ends");
    stop_server.cancel();
    stop_caller.cancel();
}
