use std::net::Ipv4Addr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;

const CONNECTIONS: usize = 64;
/// Less 4 places for waiting connections, and one for a connection that is refused.
const SLOTS: usize = 59;
const TRANSIENT_SLOTS: usize = 7;

fn admit_all(admission: &Admission) -> Vec<ConnectionSlot> {
    std::iter::from_fn(|| admission.try_admit()).collect()
}

/// Guards against resting connections that take every slot.
#[tokio::test]
async fn the_last_slots_are_kept_free_of_resting_connections() {
    let admission = Admission::new(CONNECTIONS, &Budget::unlimited());
    let mut slots = admit_all(&admission);
    assert_eq!(slots.len(), SLOTS);
    assert_eq!(slots.iter().filter(|slot| slot.may_rest()).count(), SLOTS - TRANSIENT_SLOTS);
    assert!(admission.is_scarce());
    let last = slots.pop().expect("a slot");
    assert!(!last.may_rest());
    // Once one of the others has ended, it may rest.
    slots.remove(0);
    assert!(last.may_rest());
    assert!(!slots.last().expect("a slot").may_rest(), "one slot was freed");
}

/// A connected pair of sockets.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (client, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (client.expect("a connection"), accepted.expect("a connection").0)
}

/// Guards against more connections than there are descriptors.
#[tokio::test]
async fn slots_and_places_to_wait_leave_a_descriptor_for_the_next_connection() {
    for connections in [8, 64, 152, 656] {
        let admission = Admission::new(connections, &Budget::unlimited());
        assert_eq!(admit_all(&admission).len() + admission.max_waiters + 1, connections);
        assert_eq!(admission.descriptors.available_permits(), connections);
    }
}

/// Guards against silent connections that wait for a slot and keep requests out.
#[tokio::test]
async fn silent_connections_give_way_to_new_ones() {
    let admission = Admission::new(CONNECTIONS, &Budget::unlimited());
    let mut slots = admit_all(&admission);
    let (mut client, with_request) = connection().await;
    let (_silent_client, silent) = connection().await;
    client.write_all(b"POST").await.expect("write succeeds");
    let (request_place, silent_place) = (admission.wait().0, admission.wait().0);
    let others: Vec<WaitingPlace> = (2..admission.max_waiters).map(|_| admission.wait().0).collect();
    let began = Instant::now();
    let displace = async {
        sleep(MAX_WAIT / 10).await;
        let (newcomer, displaces) = admission.wait();
        assert!(displaces);
        sleep(MAX_WAIT / 10).await;
        slots.pop();
        newcomer
    };
    let silent_waits = async {
        let slot = silent_place.slot(&silent).await;
        (slot.is_some(), began.elapsed())
    };
    let (with_slot, (silent_has_slot, silent_waited), newcomer) =
        tokio::join!(request_place.slot(&with_request), silent_waits, displace);
    assert!(with_slot.is_some(), "the connection with a request has kept its place");
    assert!(!silent_has_slot && silent_waited < MAX_WAIT, "{silent_waited:?}");
    assert_eq!(admission.waiters.borrow().len(), admission.max_waiters);
    drop((request_place, silent_place, others, newcomer));
    assert_eq!(admission.waiters.borrow().len(), 0, "places are given back");
}

/// Guards against connections that rest in all of the memory for connections.
#[tokio::test]
async fn slots_are_limited_by_memory() {
    let budget = Budget::new(32 * 40 * CONNECTION_BYTES);
    let admission = Admission::new(4096, &budget);
    let slots = admit_all(&admission);
    let expected = Kind::ClientConnection.own_limit(budget.capacity()) / CONNECTION_BYTES;
    assert_eq!(slots.len(), expected);
    assert_eq!(slots.iter().filter(|slot| !slot.may_rest()).count(), expected / TRANSIENT_SLOT_DIVISOR);
}

/// Guards against connections that wait for a slot without limit.
#[tokio::test(start_paused = true)]
async fn a_connection_waits_for_a_slot_for_a_short_time() {
    let admission = Admission::new(CONNECTIONS, &Budget::unlimited());
    let mut slots = admit_all(&admission);
    let (_client, stream) = connection().await;
    let places = [admission.wait().0, admission.wait().0];
    let began = Instant::now();
    assert!(places[0].slot(&stream).await.is_none());
    assert!(began.elapsed() <= MAX_WAIT + Duration::from_millis(2), "{:?}", began.elapsed());
    let (first, second) = (places[0].slot(&stream), places[1].slot(&stream));
    let free_one = async {
        sleep(MAX_WAIT / 2).await;
        slots.pop();
        sleep(Duration::from_millis(1)).await;
        assert!(admission.try_admit().is_none(), "those that wait come first");
    };
    let (first, second, ()) = tokio::join!(first, second, free_one);
    assert!(first.is_some() && second.is_none());
}

/// Guards against the same where the memory for connections is used up.
#[tokio::test(start_paused = true)]
async fn a_connection_waits_for_memory_for_a_short_time() {
    let budget = Budget::new(64 * CONNECTION_BYTES);
    let admission = Admission::new(CONNECTIONS, &budget);
    let account = budget.account();
    let _held = account.hold(Kind::RequestBody, budget.capacity());
    assert!(admission.try_admit().is_none());
    let (_client, stream) = connection().await;
    let began = Instant::now();
    assert!(admission.wait().0.slot(&stream).await.is_none());
    assert!(began.elapsed() <= MAX_WAIT + Duration::from_millis(2), "{:?}", began.elapsed());
}
