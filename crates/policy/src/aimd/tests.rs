use super::*;

#[test]
fn a_gateway_with_few_calls_asks_for_all_again_within_seconds() {
    let mut ask = Aimd::new(100);
    assert_eq!(ask.share, 0.5);
    (1..=4).for_each(|i| ask.failed(Micros(i * 100_000), Micros(i * 100_000)));
    assert!(ask.share < 0.25);
    // Four answers a second.
    (2..=48).for_each(|i| ask.answered(Micros(i * 250_000), false, false));
    assert!(ask.share > 0.9, "{}", ask.share);
}

#[test]
fn calls_that_fail_together_cut_once() {
    let mut ask = Aimd::new(1);
    (1..=9).for_each(|i| ask.failed(Micros(1_000_000 + i), Micros(900_000)));
    assert_eq!(ask.share, CUT);
}
