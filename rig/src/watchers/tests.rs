use super::*;

/// Guards against a measure that leaves out the clients that got nothing at all.
#[test]
fn a_client_without_any_response_is_silent_from_its_start() {
    let mut state = ClientState::new(100);
    assert_eq!(state.silence_until(900), 800);
    state.record_response(500);
    state.record_response(550);
    assert_eq!(state.silence_until(600), 400, "from its start to the first response");
    assert_eq!(state.silence_until(1000), 450, "the last response is long ago");
}
