use super::*;
use crate::relay::Relays;
use std::collections::VecDeque;
use tokio::time::timeout;

const HOLD: usize = 8;

/// What a test sends, piece by piece; it waits once there is none.
#[derive(Default, Clone)]
struct Client(Rc<RefCell<Pieces>>);
type Pieces = (VecDeque<Option<&'static str>>, Option<Waker>);

impl Client {
    fn send(&self, piece: Option<&'static str>) {
        let mut client = self.0.borrow_mut();
        client.0.push_back(piece);
        client.1.take().into_iter().for_each(Waker::wake);
    }
}

impl Body for Client {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut client = self.0.borrow_mut();
        match client.0.pop_front() {
            Some(piece) => Poll::Ready(piece.map(|piece| Ok(Frame::data(piece.into())))),
            None => {
                client.1 = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }
}

async fn upload() -> (Client, Rc<Upload>) {
    let (client, relays) = (Client::default(), Relays::new(None, 1 << 20));
    let room = relays.room(HOLD).await.expect("room");
    (client.clone(), Upload::new(Box::pin(client), HOLD, Duration::from_secs(1), room))
}

async fn next(reader: &mut Carried) -> Option<Result<String, ()>> {
    let frame = std::future::poll_fn(|cx| Pin::new(&mut *reader).poll_frame(cx)).await;
    let text =
        |frame: Frame<Bytes>| String::from_utf8(frame.into_data().expect("data").to_vec()).expect("text");
    frame.map(|frame| frame.map(text).map_err(drop))
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn attempts_share_what_fits_and_past_it_only_one_goes_on() {
    let (client, upload) = upload().await;
    let (mut first, mut second) = (upload.carry(0), upload.carry(1));
    client.send(Some("abcd"));
    assert_eq!(next(&mut first).await, Some(Ok("abcd".into())));
    assert_eq!(next(&mut second).await, Some(Ok("abcd".into())));
    client.send(Some("efgh"));
    client.send(Some("i"));
    client.send(None);
    assert_eq!(next(&mut second).await, Some(Ok("efgh".into())));
    assert!(upload.is_kept());
    assert_eq!(next(&mut second).await, Some(Ok("i".into())));
    assert!(upload.is_bound_to(1) && !upload.is_kept());
    assert_eq!(next(&mut second).await, None);
    assert!(upload.is_whole() && second.state().is_done());
    // What the others have is no whole body, and must not end like one.
    assert!(!first.is_end_stream());
    assert_eq!(next(&mut first).await, Some(Err(())));
    assert!(!first.state().is_done() && upload.carry(2).size_hint().exact().is_none());
    assert_eq!(next(&mut upload.carry(2)).await, Some(Err(())));
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn what_is_closed_never_ends_well_at_an_attempt_that_is_still_out() {
    for whole in [false, true] {
        let (client, upload) = upload().await;
        let (mut first, mut second) = (upload.carry(0), upload.carry(1));
        client.send(Some("abcd"));
        client.send(Some("e").filter(|_| !whole));
        while !matches!(next(&mut first).await, None | Some(Ok(_)) if upload.is_whole() == whole) {}
        assert_eq!(next(&mut second).await, Some(Ok("abcd".into())));
        let mut late = upload.carry(2);
        upload.close();
        assert!(!late.is_end_stream());
        assert_eq!(next(&mut late).await, Some(Err(())), "{whole}");
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_reader_is_told_what_came_though_another_was_waiting_that_is_gone() {
    let (client, upload) = upload().await;
    let (mut stays, mut goes) = (upload.carry(0), upload.carry(1));
    let waiting = async {
        assert_eq!(next(&mut stays).await, Some(Ok("abcd".into())));
    };
    let others = async {
        // It waits last, so that the client's side tells it alone; then it is called off.
        assert!(timeout(Duration::from_millis(10), next(&mut goes)).await.is_err());
        drop(goes);
        client.send(Some("abcd"));
    };
    let both = async { tokio::join!(waiting, others) };
    timeout(Duration::from_secs(1), both).await.expect("nobody waits in vain");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_window_runs_only_while_the_client_is_waited_for() {
    let window = Duration::from_secs(1);
    let set = StreamSettings { hold: HOLD, wait: window, least: 4, window, longest: 60 * window };
    let (client, upload) = upload().await;
    tokio::time::advance(5 * window).await;
    assert!(!upload.lags(&set), "nobody asked for it yet");
    let mut reader = upload.carry(0);
    assert!(timeout(window / 2, next(&mut reader)).await.is_err());
    assert!(!upload.lags(&set));
    tokio::time::advance(window).await;
    assert!(upload.lags(&set), "nothing came");
    client.send(Some("abcd"));
    assert_eq!(next(&mut reader).await, Some(Ok("abcd".into())));
    tokio::time::advance(5 * window).await;
    assert!(!upload.lags(&set), "its backend is the slow one");
    tokio::time::advance(60 * window).await;
    assert!(upload.lags(&set), "it takes too long all together");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_backend_has_a_window_for_what_is_there_and_then_the_budget_from_the_last_byte() {
    let window = Duration::from_secs(5);
    let set = StreamSettings { hold: HOLD, wait: window, least: 4, window, longest: 60 * window };
    let (client, upload) = upload().await;
    let mut reader = upload.carry(0);
    client.send(Some("abcd"));
    assert_eq!(next(&mut reader).await, Some(Ok("abcd".into())));
    let began = Instant::now();
    upload.time_of_backend(&set).await;
    assert_eq!(began.elapsed(), window, "it took nothing in a window");
    client.send(None);
    assert_eq!(next(&mut reader).await, None);
    let began = Instant::now();
    upload.time_of_backend(&set).await;
    assert_eq!(began.elapsed(), Duration::from_secs(1), "its client's budget");
}
