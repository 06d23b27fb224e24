//! One request and its answer on a connection to the local target.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;

use http::Request;
use http::Response;
use sassafrasspool_core::Error;
use sassafrasspool_core::NothingSent;
use sassafrasspool_core::Step;
use sassafrasspool_wire::validate_response_head;

use super::body::TargetBody;
use super::connection::Connection;
use crate::traffic::payload::Payload;

/// How an exchange failed.
#[derive(Debug)]
pub(in crate::traffic) enum ExchangeFailure {
    /// Not a byte of the request was sent; the request is returned if it is available.
    NotSent(Error, NothingSent, Option<Box<Request<Payload>>>),
    /// The target may have received the request.
    Sent(Error),
    /// The target sent an answer that is malformed, whether it ran the request or not.
    Malformed(Error),
}

/// Sends `req` to the target and waits for the head of its answer.
///
/// Dropping the future, or the body of the answer before its end, closes the
/// connection. A late answer therefore can't be taken for the answer to another
/// request, and the target can detect that the caller no longer waits.
///
/// # Errors
///
/// Returns whether anything of the request was sent.
pub(in crate::traffic) async fn exchange(
    mut conn: Connection,
    req: Request<Payload>,
) -> Result<Response<TargetBody>, ExchangeFailure> {
    let before = conn.written();
    conn.lines.expect_head();
    let mut response = pin!(conn.sender.try_send_request(req));
    let result = poll_fn(|cx| {
        conn.drive(cx);
        response.as_mut().poll(cx)
    })
    .await;
    match result {
        Ok(mut res) => {
            let valid = conn.lines.check();
            match valid.and_then(|()| validate_response_head(&mut res)) {
                Ok(()) => Ok(res.map(|body| TargetBody::new(body, conn))),
                Err(err) => {
                    let error = Error::new(Step::Forward, "malformed answer");
                    Err(ExchangeFailure::Malformed(error.with_cause(err)))
                }
            }
        }
        Err(mut failed) => {
            let unsent = failed.take_message().map(Box::new);
            let error = Error::new(Step::Forward, "the exchange with the target failed");
            let error = error.with_cause(failed.into_error());
            Err(
                match NothingSent::from_byte_counts(before, conn.written()) {
                    Some(proof) => ExchangeFailure::NotSent(error, proof, unsent),
                    None => ExchangeFailure::Sent(error),
                },
            )
        }
    }
}
