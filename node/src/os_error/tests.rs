use super::*;

fn error(errno: Errno) -> Error {
    errno.into()
}

/// Every error of a connect counted as the backend's: a node out of ports ejected healthy ones, all at once.
#[test]
fn a_want_of_our_own_is_not_the_peers() {
    for own in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN] {
        assert!(is_local(&error(own)), "{own:?}");
    }
    for peers in
        [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::CONNRESET]
    {
        assert!(!is_local(&error(peers)), "{peers:?}");
    }
}

/// After any failed accept the node waited 20 ms, with others in the queue behind a connection that had ended.
#[test]
fn an_accept_waits_for_a_shortage_and_not_for_one_connection() {
    for one in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::PERM, Errno::HOSTUNREACH] {
        assert!(is_per_connection(&error(one)) && !is_shortage(&error(one)), "{one:?}");
    }
    for short in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(!is_per_connection(&error(short)), "{short:?}");
    }
    // Of a listener that is no good the next accept would fail at once, for ever.
    assert!(!is_per_connection(&error(Errno::BADF)) && !is_per_connection(&error(Errno::INVAL)));
}
