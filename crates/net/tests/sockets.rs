//! The event loop over real sockets of this machine.
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use stonegw_net::{Failed, Link, Net, NetEvent};
use stonegw_wire::frame::Frame;

/// Status and body of an answer, or why there is none.
type Answer = Result<(u16, Vec<u8>), Failed>;

const MAX_SOCKETS: usize = 1_000;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// A loop, its address for clients and its address for peers.
fn node(peers: Vec<String>) -> (Net, SocketAddr, SocketAddr) {
    let (clients, cluster) = (free_address(), free_address());
    let net = Net::new(clients, cluster, peers, MAX_SOCKETS).expect("a loop");
    (net, clients, cluster)
}

/// Polls all loops in turn until one reports what is sought.
fn until<T>(nets: &mut [&mut Net], mut sought: impl FnMut(usize, &NetEvent) -> Option<T>) -> T {
    for _ in 0..100 {
        for (index, net) in nets.iter_mut().enumerate() {
            let events = net.poll().expect("a poll");
            if let Some(found) = events.iter().find_map(|event| sought(index, event)) {
                return found;
            }
        }
    }
    panic!("not reported in time");
}

fn request_id(_: usize, event: &NetEvent) -> Option<u64> {
    match event {
        NetEvent::Request { id, .. } => Some(*id),
        _ => None,
    }
}

fn call_result(_: usize, event: &NetEvent) -> Option<(u64, Answer)> {
    match event {
        NetEvent::CallDone { call, result } => Some((*call, result.clone())),
        _ => None,
    }
}

#[test]
fn a_call_is_answered_and_its_connection_used_again() {
    let (mut server, address, _) = node(vec![]);
    let (mut client, _, _) = node(vec![]);
    let mut ids = vec![];
    for call in [7, 8] {
        client.call(
            call,
            &address.to_string(),
            true,
            "POST",
            "/report",
            b"body",
            5_000,
        );
        let id = until(&mut [&mut client, &mut server], request_id);
        server.reply(id, 200, None, b"answer");
        let done = until(&mut [&mut server, &mut client], call_result);
        assert_eq!(done, (call, Ok((200, b"answer".to_vec()))));
        ids.push(id);
    }
    assert_eq!(ids[0], ids[1], "the same connection");
}

#[test]
fn a_call_without_an_answer_fails_when_its_time_is_over() {
    let (mut server, address, _) = node(vec![]);
    let (mut client, _, _) = node(vec![]);
    client.call(1, &address.to_string(), false, "GET", "/", b"", 300);
    until(&mut [&mut client, &mut server], request_id);
    let done = until(&mut [&mut client], call_result);
    assert_eq!(done, (1, Err(Failed::Unknown)));
}

#[test]
fn a_refused_call_is_not_sent() {
    let (mut client, _, _) = node(vec![]);
    client.call(
        1,
        &free_address().to_string(),
        false,
        "GET",
        "/",
        b"",
        5_000,
    );
    let done = until(&mut [&mut client], call_result);
    assert_eq!(done, (1, Err(Failed::NotSent)));
}

#[test]
fn a_malformed_request_is_answered_and_the_connection_closed() {
    let (mut server, address, _) = node(vec![]);
    let mut user = TcpStream::connect(address).expect("a connection");
    user.write_all(b"nonsense\r\n\r\n").expect("a write");
    for _ in 0..3 {
        assert!(server.poll().expect("a poll").is_empty());
    }
    let limit = Some(Duration::from_secs(5));
    user.set_read_timeout(limit).expect("a timeout");
    let mut answer = vec![];
    user.read_to_end(&mut answer)
        .expect("an answer and the end");
    assert!(answer.starts_with(b"HTTP/1.1 400 "), "{answer:?}");
}

#[test]
fn frames_pass_both_ways_over_a_peer_link() {
    let (mut one, _, address) = node(vec![]);
    let (mut two, _, _) = node(vec![address.to_string()]);
    until(&mut [&mut one, &mut two], |index, event| {
        matches!(event, NetEvent::LinkUp(Link::Out(0))).then_some(index)
    });
    let there = Frame::Counts(vec![]);
    let back = Frame::Cancelled(vec![]);
    two.send(Link::Out(0), &there);
    let from = until(&mut [&mut two, &mut one], |_, event| match event {
        NetEvent::Frame { from, frame } if *frame == there => Some(*from),
        _ => None,
    });
    one.send(from, &back);
    let from = until(&mut [&mut one, &mut two], |_, event| match event {
        NetEvent::Frame { from, frame } if *frame == back => Some(*from),
        _ => None,
    });
    assert_eq!(from, Link::Out(0));
    drop(one);
    until(&mut [&mut two], |_, event| {
        matches!(event, NetEvent::LinkDown(Link::Out(0))).then_some(())
    });
}
