//! Answers that are kept for repeats of their request.

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

use crate::traffic::answer::Answer;

/// Collects an answer while it passes.
#[derive(Debug)]
pub(super) struct Recorder {
    running: RunPermit,
    answer: StoredAnswer,
    /// Bytes of the body that may still be kept; nothing once it is too large.
    room: Option<usize>,
}

impl Recorder {
    /// Begins with the head of the answer to the request of `running`.
    pub(super) fn new<B>(running: RunPermit, head: &Response<B>, room: usize) -> Recorder {
        let header = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        Recorder {
            running,
            answer: StoredAnswer {
                status: head.status().as_u16(),
                headers: head.headers().iter().map(header).collect(),
                body: Vec::new(),
            },
            room: Some(room),
        }
    }

    /// Takes a part of the body.
    pub(super) fn take(&mut self, frame: &Frame<Bytes>) {
        let Some(data) = frame.data_ref() else {
            return;
        };
        self.room = self.room.and_then(|room| room.checked_sub(data.len()));
        match self.room {
            Some(_) => self.answer.body.extend_from_slice(data),
            None => self.answer.body = Vec::new(),
        }
    }

    /// The answer has ended. One that was too large is not kept: a repeat is
    /// then told that the outcome is unknown, and not run.
    pub(super) fn finish(self, now: Tick) {
        match self.room {
            Some(_) => self.running.complete(now, self.answer),
            None => self.running.mark_unknown(now),
        }
    }
}

/// The answer once more.
pub(super) fn respond(stored: &StoredAnswer) -> Response<Answer> {
    let mut res = Response::new(Answer::text(stored.body.clone()));
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
