use super::*;
use tokio::time::timeout;

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn streams_wait_for_room_and_have_it_once_another_ends() {
    let memory = 4 * MEMORY_PART * BUFFERS;
    let set = StreamSettings::of(&StreamingSection::default(), memory);
    let set = set.expect("a section that makes sense");
    let relays = Relays::new(Some(set), memory);
    let mut under_way = Vec::new();
    while let Ok(room) = timeout(Duration::from_secs(1), relays.room(set.stream())).await {
        under_way.push(room);
    }
    assert_eq!(under_way.len(), 4 * BUFFERS / (set.hold + BUFFERS), "as many as the memory holds");
    under_way.pop();
    assert!(timeout(Duration::from_secs(1), relays.room(set.stream())).await.is_ok(), "one has ended");
    // More than there is at all: it waits for the others and then has everything.
    let large = memory;
    assert!(timeout(Duration::from_secs(1), relays.room(large)).await.is_err());
    under_way.clear();
    assert!(timeout(Duration::from_secs(1), relays.room(large)).await.is_ok());
}
