use super::*;

fn fill(buffer: &mut ReadAheadBuffer, limit: usize) -> usize {
    let mut filled = 0;
    loop {
        let count = buffer.reserve(4096, limit);
        if count == 0 {
            return filled;
        }
        buffer.append(&vec![b'x'; count]);
        filled += count;
    }
}

#[test]
fn a_buffer_holds_its_reserved_bytes_and_a_share_of_the_budget() {
    let budget = ReadAheadBudget::new(10_000);
    let mut first = ReadAheadBuffer::new(budget.clone());
    let mut second = ReadAheadBuffer::new(budget.clone());
    let filled = fill(&mut first, MAX_READ_AHEAD_BYTES);
    assert!(
        (RESERVED_READ_AHEAD_BYTES..=RESERVED_READ_AHEAD_BYTES + 10_000).contains(&filled),
        "{filled} bytes read ahead"
    );
    let reserved = fill(&mut second, RESERVED_READ_AHEAD_BYTES);
    assert_eq!(reserved, RESERVED_READ_AHEAD_BYTES, "the other connection needs no budget");
}

#[test]
fn the_limit_of_one_connection_holds_whatever_the_budget() {
    let mut buffer = ReadAheadBuffer::new(ReadAheadBudget::new(usize::MAX / 2));
    assert_eq!(fill(&mut buffer, MAX_READ_AHEAD_BYTES), MAX_READ_AHEAD_BYTES);
}

#[test]
fn bytes_that_were_read_or_dropped_return_to_the_budget() {
    const BUDGET_BYTES: usize = 64 * 1024;
    let budget = ReadAheadBudget::new(BUDGET_BYTES);
    let mut buffer = ReadAheadBuffer::new(budget.clone());
    let filled = fill(&mut buffer, MAX_READ_AHEAD_BYTES);
    assert_eq!(filled, RESERVED_READ_AHEAD_BYTES + BUDGET_BYTES);
    assert_eq!(budget.available_bytes.get(), 0);
    let mut target = vec![0; 16 * 1024];
    buffer.read_into(&mut ReadBuf::new(&mut target));
    assert_eq!(budget.available_bytes.get(), 16 * 1024);
    drop(buffer);
    assert_eq!(budget.available_bytes.get(), BUDGET_BYTES);
}
