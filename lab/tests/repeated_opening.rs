//! The lab's TCP stack keeps one connection when a SYN arrives twice, as any TCP does.

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
    let handle = caller.add();
    let (earlier, later) = (target.add(), target.add());
    assert!(caller.connect(handle, SocketAddrV4::new(TARGET, PORT), 10_000));
    let opening = caller.poll(Duration::ZERO);
    // The stack tries the earlier socket first. It starts to listen only after the connection has
    // been opened on the later one, so a second SYN could open a second connection.
    for listening in [later, earlier] {
        target.socket(listening).listen(PORT).expect("a free port");
        opening.iter().for_each(|packet| target.receive(packet.clone()));
        target.poll(Duration::from_millis(1));
    }
    assert_eq!(target.socket(later).state(), State::SynReceived);
    assert_eq!(target.socket(earlier).state(), State::Listen);
}
