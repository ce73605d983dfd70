use super::*;
use crate::memory::Budget;

/// Bytes that differ within and between blocks.
fn numbered(len: usize) -> Vec<u8> {
    (0..len).map(|index| (index % 251) as u8).collect()
}

fn buffer_with(reserve: &ReadAheadReserve) -> ReadAhead {
    ReadAhead::new(reserve.clone(), &reserve.budget().account())
}

fn read(buffer: &mut ReadAhead, max_bytes: usize) -> Vec<u8> {
    let mut bytes = vec![0; max_bytes];
    let mut target = ReadBuf::new(&mut bytes);
    buffer.read_into(&mut target, max_bytes);
    target.filled().to_vec()
}

/// Guards against input that is reordered, lost or repeated between blocks.
#[test]
fn bytes_are_read_in_the_order_in_which_they_were_appended() {
    let input = numbered(100_000);
    let mut buffer = buffer_with(&ReadAheadReserve::new(1_000_000, Budget::unlimited()));
    let (mut appended, mut output) = (0, Vec::new());
    for step in 1.. {
        let size = (step * 37 % 9_000).min(input.len() - appended);
        buffer.append(&input[appended..appended + size]);
        appended += size;
        output.extend(read(&mut buffer, step * 53 % 7_000));
        assert_eq!(buffer.len(), appended - output.len());
        if output.len() == input.len() {
            break;
        }
    }
    assert!(output == input);
    assert!(buffer.is_empty());
}

/// Guards against a parser's unused bytes that end up behind what arrived after them.
#[test]
fn prepended_bytes_are_read_first_even_if_there_is_no_room_for_them() {
    let mut buffer = buffer_with(&ReadAheadReserve::new(0, Budget::unlimited()));
    buffer.append(&numbered(CONNECTION_ALLOWANCE_BYTES));
    buffer.prepend(Bytes::from_static(b"first"));
    assert_eq!((buffer.room(), buffer.room_in_allowance()), (0, 0));
    assert_eq!(read(&mut buffer, 5), b"first");
    assert_eq!(read(&mut buffer, usize::from(u16::MAX)), numbered(CONNECTION_ALLOWANCE_BYTES));
}

/// Guards against a reserve that shrinks for good, or that lends more than it has.
#[test]
fn what_exceeds_the_allowance_is_taken_from_the_shared_reserve_and_given_back() {
    let reserve = ReadAheadReserve::new(10_000, Budget::unlimited());
    let (mut first, mut second) = (buffer_with(&reserve), buffer_with(&reserve));
    first.append(&numbered(CONNECTION_ALLOWANCE_BYTES));
    assert_eq!(reserve.available(), 10_000, "the allowance is not taken from the reserve");
    first.append(&numbered(7_000));
    second.append(&numbered(CONNECTION_ALLOWANCE_BYTES + 1_000));
    assert_eq!((reserve.available(), first.room(), second.room()), (2_000, 2_000, 2_000));
    second.append(&numbered(2_000));
    assert_eq!((reserve.available(), first.room(), second.room()), (0, 0, 0));
    read(&mut first, 6_000);
    assert_eq!((reserve.available(), second.room()), (6_000, 6_000));
    second.clear();
    assert_eq!(reserve.available(), 9_000);
    drop(first);
    assert_eq!(reserve.available(), 10_000);
}
