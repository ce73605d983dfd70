use super::*;

#[test]
fn descriptors_are_not_assigned_twice() {
    for sockets in 32..=2048 {
        let (clients, backends) = split_descriptors(sockets).expect("enough descriptors");
        assert!(clients + backends + RESERVED_DESCRIPTORS <= sockets, "{sockets}: {clients} and {backends}");
        assert!(clients > 0 && backends > 0, "{sockets}: {clients} and {backends}");
        if sockets >= 256 {
            // With requests on a third of the descriptors there is room for as many idle client connections.
            assert!(clients >= sockets / 2 + sockets / 16, "{sockets}: {clients}");
            assert!(backends > sockets / 3, "{sockets}: {backends}");
        }
    }
    assert!(split_descriptors(31).is_err());
}
