use super::*;

#[test]
fn no_descriptor_is_promised_twice() {
    for sockets in 32..=2048 {
        let (clients, backends) = shares(sockets).expect("enough");
        assert!(clients + backends + OWN <= sockets, "{sockets}: {clients} and {backends}");
        assert!(clients > 0 && backends > 0, "{sockets}: {clients} and {backends}");
        if sockets >= 256 {
            // Requests on a third of the descriptors leave room for as many peers that ask nothing.
            assert!(clients >= sockets / 2 + sockets / 16, "{sockets}: {clients}");
            assert!(backends > sockets / 3, "{sockets}: {backends}");
        }
    }
    assert!(shares(31).is_err());
}
