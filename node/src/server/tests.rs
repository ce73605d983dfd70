use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::connection::serve;
use super::handler::remaining_budget;
use super::*;
use crate::driver;
use crate::driver::tests::{SECOND, listed};
use brookfield::{ListScope, Nanos, Stage};
use tokio::time::Instant;

const MS: Nanos = 1_000_000;

/// What a connection brings back until the node closes it, and how long that took on the paused clock.
/// Each text is written a second after the one before. The node has no backends, and refuses.
async fn until_closed(scarce: bool, texts: &[&str]) -> (String, Duration) {
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    talk_in(&phase, scarce, texts, Duration::from_secs(1)).await
}

/// The same in any phase, and with another time between the texts.
async fn talk_in(
    phase: &watch::Sender<ShutdownPhase>,
    scarce: bool,
    texts: &[&str],
    apart: Duration,
) -> (String, Duration) {
    let (mut peer, stream) = tokio::io::duplex(4096);
    let began = Instant::now();
    let (node, _) = driver::tests::node(0);
    let client = async move {
        for text in texts {
            // One that is closed meanwhile is read to its end all the same.
            let _ = peer.write_all(text.as_bytes()).await;
            sleep(apart).await;
        }
        let mut got = String::new();
        let _ = peer.read_to_string(&mut got).await;
        // Whoever sees the close closes as well.
        drop(peer);
        got
    };
    let phases = phase.subscribe();
    let talk = async { tokio::join!(client, serve(stream, node.clone(), phases, || scarce)).0 };
    let got = tokio::select! {
        got = talk => got,
        () = node.run_timers() => unreachable!("timers run for ever"),
    };
    (got, began.elapsed())
}

fn closing() -> ShutdownPhase {
    ShutdownPhase::Closing { response_deadline: Instant::now() + Duration::from_secs(9) }
}

/// Turns to closing after this long.
async fn close_after(phase: &watch::Sender<ShutdownPhase>, span: Duration) {
    sleep(span).await;
    phase.send_replace(closing());
    std::future::pending().await
}

/// A head that had come by half was dropped with its connection, and its request was lost.
#[tokio::test(start_paused = true)]
async fn a_request_that_has_begun_to_come_is_taken_while_the_node_closes() {
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let (first, rest) = CALL.split_at(30);
    let texts = [CALL, first, rest];
    let got = tokio::select! {
        talked = talk_in(&phase, false, &texts, Duration::from_millis(400)) => talked.0,
        () = close_after(&phase, Duration::from_millis(600)) => unreachable!("it pends"),
    };
    assert_eq!(got.matches("HTTP/1.1 503 ").count(), 2, "{got}");
    assert!(got.to_lowercase().contains("connection: close"), "{got}");
}

/// Clients go on using what stays open, up to the end: what came last found nobody to answer.
#[tokio::test(start_paused = true)]
async fn connections_without_a_request_are_closed_soon_during_a_shutdown() {
    let (phase, _) = watch::channel(ShutdownPhase::Draining);
    let (got, took) = tokio::select! {
        talked = talk_in(&phase, false, &[], Duration::ZERO) => talked,
        () = close_after(&phase, Duration::from_millis(100)) => unreachable!("it pends"),
    };
    assert_eq!(got, "");
    assert!(took <= Duration::from_millis(300), "one that came during the shutdown: {took:?}");
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let (_, took) = tokio::select! {
        talked = talk_in(&phase, false, &[CALL], Duration::ZERO) => talked,
        () = close_after(&phase, Duration::from_millis(100)) => unreachable!("it pends"),
    };
    assert!(took <= Duration::from_millis(110), "one that had asked before: {took:?}");
}

/// One that comes late, on a connection that had stayed open, was still out when the process ended.
#[tokio::test(start_paused = true)]
async fn what_comes_during_a_shutdown_is_answered_before_the_node_may_be_killed() {
    let (node, _launches) = driver::tests::node(SECOND);
    node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(4096);
    let response_deadline = Instant::now() + Duration::from_millis(300);
    let (_phase, phases) = watch::channel(ShutdownPhase::Closing { response_deadline });
    let client = async {
        peer.write_all(CALL.replace("X-Budget-Ms: 1\r", "X-Budget-Ms: 900\r").as_bytes())
            .await
            .expect("taken");
        let mut got = String::new();
        let _ = peer.read_to_string(&mut got).await;
        (got, Instant::now())
    };
    let talk = async { tokio::join!(client, serve(stream, node.clone(), phases, || false)).0 };
    let (got, at) = tokio::select! {
        got = talk => got,
        () = node.run_timers() => unreachable!("timers run for ever"),
    };
    assert!(got.starts_with("HTTP/1.1 502 "), "{got}");
    assert!(at <= response_deadline + Duration::from_millis(30), "{:?} late", at - response_deadline);
}

/// Serves whole what a socket of another family brings, which has no such option as TCP's.
#[tokio::test]
async fn a_connection_that_takes_no_option_is_served() {
    let (mut peer, stream) = driver::tests::optionless();
    let slot = Arc::new(Semaphore::new(1)).acquire_owned().await.expect("a slot");
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let mut got = String::new();
    let serve = async {
        spawn_connection(stream, &node, slot, &phases, || false);
        peer.write_all(CHECK.as_bytes()).await.expect("the node still reads");
        peer.read_to_string(&mut got).await.expect("an answer and the end");
    };
    tokio::task::LocalSet::new().run_until(serve).await;
    assert!(got.starts_with("HTTP/1.1 503 "), "{got:?}");
}

const CALL: &str =
    "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 1\r\nContent-Length: 0\r\n\r\n";
const CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n";

const OWED: Duration = Duration::from_secs(3);

/// Idle connections once kept all slots for half a minute, and no client was let in meanwhile.
#[tokio::test(start_paused = true)]
async fn a_connection_with_nothing_to_ask_is_closed_soon() {
    let (got, took) = until_closed(false, &[CALL]).await;
    assert!(got.starts_with("HTTP/1.1 503 "), "{got}");
    assert!((Duration::from_secs(2)..OWED).contains(&took), "{took:?}");
    let (got, took) = until_closed(false, &[]).await;
    assert_eq!(got, "");
    assert!((Duration::from_secs(2)..OWED).contains(&took), "{took:?}");
}

/// Each check comes on a connection of its own; in bursts they took all slots for as long as they stayed.
#[tokio::test(start_paused = true)]
async fn what_is_no_call_ends_its_connection() {
    for (status, text) in
        [("503", CHECK), ("404", "GET /other HTTP/1.1\r\n\r\n"), ("400", "POST /api HTTP/1.1\r\n\r\n")]
    {
        let (got, took) = until_closed(false, &[text]).await;
        assert!(got.starts_with(&format!("HTTP/1.1 {status} ")), "{got}");
        // The second is the peer's own, after its text.
        assert!(took < Duration::from_millis(1100), "{took:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_arrive_whole_is_ended_soon() {
    let head = "POST /api HTTP/1.1\r\nX-Call-Id: 1\r\nX-Call-Class: pay\r\nX-Budget-Ms: 900\r\n";
    let (_, took) = until_closed(false, &["POST /api", " HTTP/1.1"]).await;
    assert!(took < OWED, "{took:?}");
    let (got, took) = until_closed(false, &[head, "Content-Length: 9\r\n\r\nhalf"]).await;
    assert!(got.starts_with("HTTP/1.1 408 "), "{got}");
    assert!(took < OWED, "{took:?}");
}

/// A burst of peers that ask nothing once kept clients waiting in the backlog past their time.
#[tokio::test(start_paused = true)]
async fn a_connection_without_a_request_makes_room_while_slots_are_scarce() {
    let (got, took) = until_closed(true, &[]).await;
    assert_eq!(got, "");
    assert!(took < Duration::from_millis(500), "{took:?}");
    let (got, took) = until_closed(true, &[CALL]).await;
    assert!(got.starts_with("HTTP/1.1 503 "), "{got}");
    assert!(took >= Duration::from_secs(2), "one that has asked may be a client: {took:?}");
}

/// The answer stays in the way of everything else, so nothing that the connection waits for ever comes.
#[tokio::test(start_paused = true)]
async fn a_client_that_does_not_read_is_let_go() {
    let (mut peer, stream) = tokio::io::duplex(64);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let talk = serve(stream, node, phases, || false);
    let ask = async {
        peer.write_all(CHECK.as_bytes()).await.expect("taken");
        std::future::pending().await
    };
    tokio::select! {
        biased;
        () = talk => {}
        () = ask => {}
        () = sleep(Duration::from_secs(60)) => panic!("still held"),
    }
}

/// Guards against answers that leave when the client's time is up and so come too late.
#[test]
fn the_ways_there_and_back_come_off_a_budget() {
    assert_eq!(remaining_budget(200, 500 * MS, 0), 196 * MS);
    assert_eq!(remaining_budget(200, 500 * MS, 10 * MS), 186 * MS);
    assert_eq!(remaining_budget(9000, 500 * MS, 0), 496 * MS);
    assert_eq!(remaining_budget(3, 500 * MS, 0), 0);
    assert_eq!(remaining_budget(u64::MAX, u64::MAX, u64::MAX), 0);
}

fn with_budget(text: &str, ms: u64) -> String {
    text.replace("X-Budget-Ms: 1\r", &format!("X-Budget-Ms: {ms}\r"))
}

/// Idle clients that rest until the node ends them held their slots for as long as an answer's last bytes are waited for.
#[tokio::test(start_paused = true)]
async fn a_connection_closed_as_idle_frees_its_slot_at_once() {
    for asks in [true, false] {
        let (mut peer, stream) = tokio::io::duplex(4096);
        let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
        let (node, _) = driver::tests::node(0);
        let began = Instant::now();
        if asks {
            peer.write_all(CALL.as_bytes()).await.expect("taken");
        }
        tokio::select! {
            () = serve(stream, node.clone(), phases, || false) => {}
            () = node.run_timers() => unreachable!("timers run for ever"),
        }
        assert!(began.elapsed() < Duration::from_millis(2250), "{:?}", began.elapsed());
        drop(peer);
    }
}

/// The parser held bytes of a next request, and looked no further: what its client had left behind was sent on.
#[tokio::test(start_paused = true)]
async fn a_client_that_has_gone_is_noticed_behind_whatever_it_sent() {
    let begun = ["", "POST /api HTTP/1.1\r\nX-Call-Id: 2", CALL, "\r\n"];
    for behind in begun {
        for apart in [false, true] {
            let (node, kept) = driver::tests::node(SECOND);
            node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
            let (mut peer, stream) = tokio::io::duplex(4096);
            let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
            let client = async {
                peer.write_all(with_budget(CALL, 3000).as_bytes()).await.expect("taken");
                if apart {
                    sleep(Duration::from_millis(10)).await;
                }
                peer.write_all(behind.as_bytes()).await.expect("taken");
                sleep(Duration::from_millis(10)).await;
                assert_eq!(kept.launches.borrow().len(), 1);
                assert!(node.may_write(kept.launches.borrow()[0].ticket), "it waits");
                let gone = Instant::now();
                drop(peer);
                gone
            };
            let serve = async {
                serve(stream, node.clone(), phases, || false).await;
                Instant::now()
            };
            let (gone, noticed) = tokio::select! {
                both = async { tokio::join!(client, serve) } => both,
                () = node.run_timers() => unreachable!("timers run for ever"),
            };
            assert!(noticed - gone < Duration::from_millis(50), "{behind:?}: {:?} later", noticed - gone);
            assert_eq!(kept.launches.borrow().len(), 1, "{behind:?}: nothing more is sent on");
            assert!(!node.may_write(kept.launches.borrow()[0].ticket), "{behind:?}");
        }
    }
}

/// With a bound for each connection, for peers that send without end behind a request.
#[tokio::test(start_paused = true)]
async fn no_more_is_read_ahead_than_every_connection_may_hold() {
    let (node, _kept) = driver::tests::node(SECOND);
    node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(1024);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let mut sent = 0;
    let flood = async {
        peer.write_all(with_budget(CALL, 3000).as_bytes()).await.expect("taken");
        loop {
            sent += peer.write(&[b'x'; 512]).await.expect("still open");
        }
    };
    tokio::select! {
        () = flood => unreachable!("it floods for ever"),
        () = serve(stream, node.clone(), phases, || false) => panic!("the request is still out"),
        () = sleep(Duration::from_secs(1)) => {}
    }
    assert!((32 * 1024..100 * 1024).contains(&sent), "{sent}");
}

/// The end came after its request had been read and before the attempt was written, in one and the same turn.
#[tokio::test]
async fn nothing_is_written_for_a_client_that_leaves_as_its_attempt_is_launched() {
    use std::io::{Read, Write};
    let backend = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let endpoint = backend.local_addr().expect("its address");
    let links = brookfield_settings::Links { idle: 60 * SECOND, connect_timeout: SECOND };
    let upstream = crate::upstream::Upstream::new(links, driver::Clock::start(), 8);
    let crossed = Rc::new(driver::tests::Crossed { upstream, crossing: Default::default() });
    let node = driver::tests::node_over(SECOND, "pushed", crossed.clone());
    node.fleet(ListScope::Full, vec![driver::Listed { endpoint, ..listed("s", Stage::InService) }]);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let at = listener.local_addr().expect("its address");
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let got = Rc::new(std::cell::RefCell::new(String::new()));
    let work = async {
        spawn_local(run(listener, node.clone(), 8, phases));
        let seen = got.clone();
        spawn_local(async move {
            let (mut stream, _) = backend.accept().await.expect("a connection");
            let mut chunk = [0; 4096];
            while let Ok(count @ 1..) = stream.read(&mut chunk).await {
                seen.borrow_mut().push_str(&String::from_utf8_lossy(&chunk[..count]));
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("taken");
            }
        });
        for (id, stays) in [("warm", true), ("gone", false), ("last", true)] {
            let mut client = std::net::TcpStream::connect(at).expect("a connection");
            let text = with_budget(CALL, 3000).replace("Call-Id: 1", &format!("Call-Id: {id}"));
            client.write_all(text.as_bytes()).expect("taken");
            if stays {
                client.set_nonblocking(true).expect("not blocking");
                let mut client = TcpStream::from_std(client).expect("in the runtime");
                let mut answer = [0; 12];
                client.read_exact(&mut answer).await.expect("an answer");
                assert_eq!(&answer, b"HTTP/1.1 200", "{id}");
                continue;
            }
            let (left, leaves) = std::sync::mpsc::channel::<()>();
            crossed.crossing.replace(Some(Box::new(move || {
                client.set_nonblocking(true).expect("not blocking");
                assert!(client.read(&mut [0]).is_err(), "no answer yet");
                drop((client, left));
            })));
            // The sender goes with the client.
            while leaves.try_recv() == Err(std::sync::mpsc::TryRecvError::Empty) {
                tokio::task::yield_now().await;
            }
        }
    };
    tokio::task::LocalSet::new().run_until(work).await;
    let got = got.borrow();
    assert!(got.contains("warm") && got.contains("last") && !got.contains("gone"), "{got}");
}

/// What lay in the accept queue, whole and with its end behind it, is nobody's any more.
#[tokio::test]
async fn nothing_is_sent_on_for_a_client_that_left_while_it_was_queued() {
    use std::io::Write;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let at = listener.local_addr().expect("its address");
    let (node, kept) = driver::tests::node(SECOND);
    node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let ask = |id: &str| {
        let mut client = std::net::TcpStream::connect(at).expect("a connection");
        let text = with_budget(CALL, 3000).replace("Call-Id: 1", &format!("Call-Id: {id}"));
        client.write_all(text.as_bytes()).expect("taken");
        client
    };
    for id in ["a", "b", "c"] {
        drop(ask(id));
    }
    let last = ask("d");
    let work = async {
        spawn_local(run(listener, node.clone(), 8, phases));
        // Connections are taken in the order in which they came.
        while kept.launches.borrow().is_empty() {
            tokio::task::yield_now().await;
        }
    };
    tokio::task::LocalSet::new().run_until(work).await;
    let launches = kept.launches.borrow();
    assert_eq!(launches[0].call.headers["x-call-id"], "d");
    assert_eq!(launches.len(), 1);
    drop(last);
}

/// A graceful shutdown dropped what lay in the parser unseen: the next request had come with the last one.
#[tokio::test(start_paused = true)]
async fn what_came_together_with_an_answered_request_is_taken_while_the_node_closes() {
    let (first, rest) = CALL.split_at(30);
    let together = format!("{CALL}{first}");
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let texts = [together.as_str(), rest];
    let (got, _) = tokio::select! {
        talked = talk_in(&phase, false, &texts, Duration::from_millis(400)) => talked,
        () = close_after(&phase, Duration::from_millis(200)) => unreachable!("it pends"),
    };
    assert_eq!(got.matches("HTTP/1.1 503 ").count(), 2, "{got}");
    assert!(got.to_lowercase().contains("connection: close"), "{got}");
}

/// A resting client's request was cut in the middle, its connection's time being up: that counted from the last answer.
#[tokio::test(start_paused = true)]
async fn a_request_that_begins_as_its_connection_is_about_to_be_closed_has_its_time() {
    let (first, rest) = CALL.split_at(30);
    let (phase, _) = watch::channel(ShutdownPhase::Serving);
    let texts = [CALL, first, rest];
    let (got, _) = talk_in(&phase, false, &texts, Duration::from_millis(2100)).await;
    assert_eq!(got.matches("HTTP/1.1 503 ").count(), 2, "{got}");
    // One that does not go on has it no longer than that.
    let began = Instant::now();
    talk_in(&phase, false, &[CALL, first], Duration::from_millis(2100)).await;
    let took = began.elapsed();
    assert!((Duration::from_millis(4600)..Duration::from_millis(4800)).contains(&took), "{took:?}");
}

/// A close over unread bytes resets the connection, and takes with it what of the answer has yet to be sent.
#[tokio::test(start_paused = true)]
async fn what_comes_after_the_last_answer_is_read_until_its_client_has_closed() {
    let (mut peer, stream) = tokio::io::duplex(4096);
    let (_phase, phases) = watch::channel(ShutdownPhase::Serving);
    let (node, _) = driver::tests::node(0);
    let client = async {
        peer.write_all(CHECK.as_bytes()).await.expect("taken");
        let mut got = String::new();
        peer.read_to_string(&mut got).await.expect("an answer and the end");
        peer.write_all(&[b'x'; 64 * 1024]).await.expect("the node still reads");
        // One that does not close has the node wait no longer than this, and one that goes on neither.
        sleep(Duration::from_millis(400)).await;
        peer.write_all(b"x").await.expect_err("the node has closed");
        got
    };
    let (got, ()) = tokio::join!(client, serve(stream, node, phases, || false));
    assert!(got.starts_with("HTTP/1.1 503 "), "{got}");
}

/// An answer that its client takes slowly is not cut by a shutdown that comes while it goes out.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_going_out_as_the_node_closes_goes_out_whole() {
    const BODY: usize = 60_000;
    let (node, kept) = driver::tests::node(SECOND);
    node.fleet(ListScope::Full, vec![listed("s", Stage::InService)]);
    let (mut peer, stream) = tokio::io::duplex(1024);
    let (phase, phases) = watch::channel(ShutdownPhase::Serving);
    let client = async {
        peer.write_all(with_budget(CALL, 3000).as_bytes()).await.expect("taken");
        sleep(Duration::from_millis(10)).await;
        let launch = kept.launches.borrow_mut().pop().expect("an attempt");
        let body = bytes::Bytes::from(vec![b'x'; BODY]);
        node.settled(
            launch.ticket,
            driver::Ending { body, ..driver::Ending::bare(brookfield::Outcome::Served) },
        );
        sleep(Duration::from_millis(10)).await;
        phase.send_replace(closing());
        sleep(Duration::from_millis(700)).await;
        let mut got = String::new();
        peer.read_to_string(&mut got).await.expect("an answer and the end");
        got
    };
    let (got, ()) = tokio::select! {
        both = async { tokio::join!(client, serve(stream, node.clone(), phases, || false)) } => both,
        () = node.run_timers() => unreachable!("timers run for ever"),
    };
    assert!(got.starts_with("HTTP/1.1 200 "), "{}", &got[..got.len().min(100)]);
    assert_eq!(got.split("\r\n\r\n").nth(1).map(str::len), Some(BODY));
}
