//! Responses that only the end of their connection ends.

use bytes::Bytes;
use filbertpaddle_gateway::reply;
use filbertpaddle_gateway::reply::Reply;
use http::Method;
use http::Response;
use http::StatusCode;
use http::Version;
use tokio::sync::mpsc;

fn stream_with(status: StatusCode) -> Reply {
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = status;
    let (_, parts) = mpsc::channel(1);
    reply::forward_stream(head, parts)
}

#[test]
fn only_streams_to_callers_before_http_1_1_end_with_their_connection() {
    let ends =
        |method, version, reply: &Reply| reply::ends_with_connection(&method, version, reply);
    let stream = stream_with(StatusCode::OK);
    assert!(ends(Method::POST, Version::HTTP_10, &stream));
    assert!(!ends(Method::POST, Version::HTTP_11, &stream));
    assert!(!ends(Method::HEAD, Version::HTTP_10, &stream));
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        let empty = stream_with(status);
        assert!(!ends(Method::GET, Version::HTTP_10, &empty), "{status}");
    }
}

#[test]
fn whole_replies_keep_their_length_while_a_value_is_held() {
    for bytes in [Bytes::new(), Bytes::from_static(b"answer")] {
        let whole = Response::new(reply::full_body(bytes));
        let held = reply::hold_until_read(whole, ());
        let method = Method::POST;
        assert!(!reply::ends_with_connection(
            &method,
            Version::HTTP_10,
            &held
        ));
    }
}
