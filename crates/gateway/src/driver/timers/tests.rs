use super::*;

#[test]
fn timers_fire_in_order_of_time_and_id_and_not_early() {
    let mut timers = Timers::default();
    assert_eq!((timers.next_at(), timers.pop_due(Micros(9))), (None, None));
    for (fires_at, timer) in [(5, 1), (3, 9), (3, 2), (8, 0)] {
        timers.set(Micros(fires_at), TimerId(timer));
    }
    assert_eq!(timers.next_at(), Some(Micros(3)));
    assert_eq!(timers.pop_due(Micros(2)), None);
    let due: Vec<_> = std::iter::from_fn(|| timers.pop_due(Micros(5))).collect();
    assert_eq!(due, [TimerId(2), TimerId(9), TimerId(1)]);
    assert_eq!(timers.next_at(), Some(Micros(8)));
}
