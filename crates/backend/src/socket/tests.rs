use {
    super::set_timeouts,
    rustix::net::sockopt,
    std::{
        net::{Ipv4Addr, TcpListener, TcpStream},
        time::Duration,
    },
};

// Guards against detecting only after minutes that the network drops all packets of a connection.
#[test]
fn socket_timeouts_bound_the_detection_of_a_dead_path() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind");
    let addr = listener.local_addr().expect("address");
    let socket = TcpStream::connect(addr).expect("connect");
    let limit = Duration::from_secs(3);
    set_timeouts(&socket, limit).expect("options");
    assert_eq!(sockopt::tcp_user_timeout(&socket).expect("option"), 3000);
    assert!(sockopt::socket_keepalive(&socket).expect("option"));
    let idle = sockopt::tcp_keepidle(&socket).expect("option");
    let interval = sockopt::tcp_keepintvl(&socket).expect("option");
    let probes = sockopt::tcp_keepcnt(&socket).expect("option");
    assert!(idle + interval * probes <= limit * 2);
}
