//! A retransmitted SYN must not open a second connection on an emulated host: the TCP stack
//! may give it to a socket that began to listen after the connection was opened.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use limpetdeck_lab::stack::Host;
use smoltcp::socket::tcp::State;

const CALLER: Ipv4Addr = Ipv4Addr::new(10, 9, 0, 1);
const TARGET: Ipv4Addr = Ipv4Addr::new(10, 1, 1, 1);
const PORT: u16 = 7_000;

#[test]
fn repeated_syn() {
    let (mut caller, mut target) = (Host::new(CALLER, 1), Host::new(TARGET, 2));
    let handle = caller.add_socket();
    let (earlier, later) = (target.add_socket(), target.add_socket());
    assert!(caller.connect(handle, SocketAddrV4::new(TARGET, PORT), 10_000));
    let syn_packets = caller.poll(Duration::ZERO);
    // The stack tries the earlier socket first, which begins to listen after the connection
    // was opened.
    for listening in [later, earlier] {
        target.socket(listening).listen(PORT).expect("a free port");
        syn_packets.iter().for_each(|packet| target.enqueue(packet.clone()));
        target.poll(Duration::from_millis(1));
    }
    assert_eq!(target.socket(later).state(), State::SynReceived);
    assert_eq!(target.socket(earlier).state(), State::Listen);
}
