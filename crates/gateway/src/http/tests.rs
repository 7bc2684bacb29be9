use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[tokio::test(flavor = "current_thread")]
async fn a_call_over_a_socket_that_takes_no_options_is_answered() {
    let (near, mut far) = without_options();
    let mut connection = Connection::over(near).await.expect("it carries bytes");
    let answering = async move {
        let mut asked = [0; 4];
        far.read_exact(&mut asked).await.expect("it is asked");
        far.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("it is open");
        far
    };
    let (answer, _far) = tokio::join!(connection.call(Request::new(Full::new(Bytes::new()))), answering);
    assert_eq!(answer.expect("it is answered").body().as_ref(), b"ok");
}
