use super::*;

/// A Raft heartbeat from voter 3 to voter 1, in postcard.
const HEARTBEAT: [u8; 16] = [7, 1, 3, 5, 2, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0];

#[tokio::test]
async fn messages_beyond_the_batch_limit_are_returned_in_the_next_batch() {
    let message: RaftMessage = postcard::from_bytes(&HEARTBEAT).expect("the message is decoded");
    let (queue, mut messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    for _ in 0..MAX_BATCH_MESSAGES + 3 {
        queue.try_send(message.clone()).expect("the queue has capacity");
    }
    assert_eq!(next_batch(&mut messages).await.map(|batch| batch.len()), Some(MAX_BATCH_MESSAGES));
    assert_eq!(next_batch(&mut messages).await.map(|batch| batch.len()), Some(3));
    drop(queue);
    assert!(next_batch(&mut messages).await.is_none(), "a closed queue has no batch");
}

#[test]
fn each_voter_has_one_queue_and_messages_to_a_full_queue_are_dropped() {
    let message: RaftMessage = postcard::from_bytes(&HEARTBEAT).expect("the message is decoded");
    let mut queues = MessageQueues::default();
    let mut started = Vec::new();
    for _ in 0..MAX_QUEUED_MESSAGES + 5 {
        queues.send(message.clone(), |voter, messages| started.push((voter, messages)));
    }
    assert_eq!(started.len(), 1);
    let (voter, messages) = &mut started[0];
    assert_eq!(*voter, 1);
    let mut queued = 0;
    while messages.try_recv().is_ok() {
        queued += 1;
    }
    assert_eq!(queued, MAX_QUEUED_MESSAGES);
}
