//! Answers that are stored for repeats of their request.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body::Frame;
use sassafrasspool_core::RunPermit;
use sassafrasspool_core::StoredAnswer;
use sassafrasspool_core::Tick;

use crate::traffic::answer_body::AnswerBody;

/// Copies an answer while it is forwarded, and stores it for repeats of its request.
#[derive(Debug)]
pub(super) struct AnswerRecorder {
    run_permit: RunPermit,
    answer: StoredAnswer,
    /// Bytes of the body that may still be copied; `None` once the body is too large.
    bytes_left: Option<usize>,
}

impl AnswerRecorder {
    /// Copies the head of the answer to the request of `run_permit`. At most `max_bytes` of
    /// the body are copied.
    pub(super) fn new<B>(
        run_permit: RunPermit,
        head: &Response<B>,
        max_bytes: usize,
    ) -> AnswerRecorder {
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        AnswerRecorder {
            run_permit,
            answer: StoredAnswer {
                status: head.status().as_u16(),
                headers: head.headers().iter().map(header).collect(),
                body: Vec::new(),
            },
            bytes_left: Some(max_bytes),
        }
    }

    /// Copies a part of the body.
    pub(super) fn record(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.bytes_left = self
            .bytes_left
            .and_then(|left| left.checked_sub(data.len()));
        match self.bytes_left {
            Some(_) => self.answer.body.extend_from_slice(data),
            None => self.answer.body = Vec::new(),
        }
    }

    /// Stores the answer after its end. An answer that was too large is not stored: a
    /// repeat is then not run and is refused with an unknown outcome.
    pub(super) fn finish(self, now: Tick) {
        match self.bytes_left {
            Some(_) => self.run_permit.complete(now, self.answer),
            None => self.run_permit.mark_unknown(now),
        }
    }
}

/// The response with a stored answer.
pub(super) fn to_response(stored: &StoredAnswer) -> Response<AnswerBody> {
    let mut res = Response::new(AnswerBody::from_text(stored.body.clone()));
    *res.status_mut() = StatusCode::from_u16(stored.status).unwrap_or_default();
    let headers = stored.headers.iter();
    let parsed = headers.filter_map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(value).ok()?))
    });
    let mut map = HeaderMap::new();
    for (name, value) in parsed {
        map.append(name, value);
    }
    *res.headers_mut() = map;
    res
}
