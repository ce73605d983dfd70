use super::*;

fn error(errno: Errno) -> Error {
    errno.into()
}

/// Guards against ejecting healthy backends when the node itself is out of ports or descriptors.
#[test]
fn a_lack_of_local_resources_is_not_the_peers_fault() {
    for local in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL, Errno::AGAIN]
    {
        assert!(is_local(&error(local)), "{local:?}");
    }
    for remote in
        [Errno::CONNREFUSED, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::NETUNREACH, Errno::CONNRESET]
    {
        assert!(!is_local(&error(remote)), "{remote:?}");
    }
}

/// Guards against delaying queued connections after an accept failed for a single connection.
#[test]
fn per_connection_accept_errors_are_told_apart_from_resource_exhaustion() {
    for errno in [Errno::CONNABORTED, Errno::INTR, Errno::PROTO, Errno::PERM, Errno::HOSTUNREACH] {
        assert!(is_per_connection(&error(errno)) && !is_resource_exhaustion(&error(errno)), "{errno:?}");
    }
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM] {
        assert!(!is_per_connection(&error(errno)), "{errno:?}");
    }
    // With an unusable listener every further accept would fail at once.
    assert!(!is_per_connection(&error(Errno::BADF)) && !is_per_connection(&error(Errno::INVAL)));
}
