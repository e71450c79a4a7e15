//! Tests that a daemon drops messages of topics that its build does not know, and goes on.

use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use kernel::Counters;
use peers::Topic;
use peers::Transport;
use peers::heartbeat::Datagram;
use serde::Serialize;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::time::sleep;
use wire::DaemonName;

const PORT: u16 = 21_900;

/// The envelope of a later build, whose topics have further variants.
#[derive(Serialize)]
struct LaterDatagram {
    from: DaemonName,
    incarnation: u64,
    /// The index of the topic, as postcard encodes an enum.
    topic: u32,
    #[serde(with = "serde_bytes")]
    payload: Vec<u8>,
}

#[test]
fn message_of_an_unknown_topic_is_dropped_and_the_next_one_is_handled() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let net = (std::process::id() % 200) as u8 + 20;
        let ip = IpAddr::V4(Ipv4Addr::new(127, net, 250, 1));
        let counters = Counters::new(None).expect("the counters");
        let own = DaemonName::from("own");
        let transport = Transport::bind(ip, PORT, own, 1, counters.clone()).await;
        let transport = Rc::new(transport.expect("the transport is bound"));
        let received: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
        let seen = received.clone();
        let handler =
            move |datagram: &Datagram, _| seen.borrow_mut().push(datagram.payload.clone());
        transport.set_handler(Topic::Quotas, Rc::new(handler));
        spawn_local(transport.run());
        let sender = UdpSocket::bind((ip, 0)).expect("a socket");
        let from = DaemonName::from("later");
        for topic in [Topic::Quotas as u32 + 1, 100, Topic::Quotas as u32] {
            let payload = vec![topic as u8];
            let datagram = LaterDatagram { from: from.clone(), incarnation: 1, topic, payload };
            let bytes = postcard::to_allocvec(&datagram).expect("the datagram is encoded");
            sender.send_to(&bytes, (ip, PORT)).expect("the datagram is sent");
        }
        sleep(Duration::from_millis(200)).await;
        assert_eq!(*received.borrow(), [vec![Topic::Quotas as u8]]);
        assert_eq!(counters.value("datagrams_malformed"), 2);
    });
}
