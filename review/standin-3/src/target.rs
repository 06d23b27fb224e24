//! A target: a worker beside a node, which runs requests.

use std::collections::HashMap;
use std::io::Read;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::names::name;
use crate::record::Record;

/// A request that a target ran.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it reached the target, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// The id of the request.
    pub request: String,
    /// The generation of the target that ran it.
    pub generation: String,
    /// The service of the target that ran it.
    pub service: String,
    /// The bytes of the body that it was run with.
    pub body_bytes: usize,
}

/// All requests that targets ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a target is.
#[derive(Debug, Clone)]
pub struct TargetConfig {
    pub addr: SocketAddr,
    pub generation: String,
    pub service: String,
    /// Time that a request takes.
    pub work: Duration,
    /// One answer in this many is truncated while the target is faulty; 0 for none.
    pub truncates_each: u64,
}

/// The body of every answer.
const BODY: &[u8] = &[b'x'; 2_000];

/// One process of a target, from its start to its crash; clones are handles to the same one.
#[derive(Debug, Clone)]
pub struct Target {
    cfg: TargetConfig,
    runs: Runs,
    record: Record,
    down: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    faulty: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

impl Target {
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// Fails if it can't listen.
    pub fn start(cfg: &TargetConfig, runs: &Runs, record: &Record) -> std::io::Result<Target> {
        let listener = TcpListener::bind(cfg.addr)?;
        let target = Target {
            cfg: cfg.clone(),
            runs: Arc::clone(runs),
            record: record.clone(),
            down: Arc::default(),
            leaving: Arc::default(),
            faulty: Arc::default(),
            answers: Arc::default(),
            open: Arc::default(),
        };
        record.line(format!(
            "target {} of {} starts at {}",
            cfg.generation, cfg.service, cfg.addr
        ));
        let accepting = target.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(target)
    }

    /// Begins to leave: answers announce the close of their connections.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Begins or ends to truncate answers.
    pub fn set_faulty(&self, faulty: bool) {
        self.faulty.store(faulty, Ordering::SeqCst);
    }

    /// Whether the next answer is truncated.
    fn truncates(&self) -> bool {
        let each = self.cfg.truncates_each;
        let is_faulty = self.faulty.load(Ordering::SeqCst);
        each > 0 && is_faulty && self.answers.fetch_add(1, Ordering::SeqCst) % each == 0
    }

    /// Ends the process: its connections are closed, and its port has no listener.
    pub fn crash(self) {
        self.down.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.cfg.addr);
        for stream in self.open.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn accept(&self, listener: &TcpListener) {
        for (number, stream) in (0u64..).zip(listener.incoming()) {
            let Ok(stream) = stream else { continue };
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            let Ok(copy) = stream.try_clone() else {
                continue;
            };
            self.open.lock().unwrap().insert(number, copy);
            let target = self.clone();
            thread::spawn(move || {
                target.serve(&stream);
                target.open.lock().unwrap().remove(&number);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = Reader::new(copy);
        while let Ok(req) = reader.message() {
            if self.answer(stream, &req).is_err() || self.leaving.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, stream: &TcpStream, req: &Message) -> std::io::Result<()> {
        let me = self.cfg.generation.as_str();
        let is_leaving = self.leaving.load(Ordering::SeqCst);
        if req.target() == name("health_path") {
            let first = match is_leaving {
                true => "HTTP/1.1 503 Service Unavailable",
                false => "HTTP/1.1 200 OK",
            };
            return http::write(stream, first, &[(name("answering"), me)], b"");
        }
        let Some(id) = req.field(name("request_id")) else {
            let fields = [(name("not_run"), "1")];
            return http::write(stream, "HTTP/1.1 400 Bad Request", &fields, b"");
        };
        let named = req.field(name("generation"));
        if named.is_some_and(|it| it != me) {
            let fields = [
                (name("request_id"), id),
                (name("answering"), me),
                (name("not_run"), "1"),
            ];
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &fields, b"");
        }
        if self.down.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let service = &self.cfg.service;
        let at_ms = self.record.line(format!(
            "target {me} of {service} runs {id} {}",
            req.target()
        ));
        self.runs.lock().unwrap().push(Run {
            at_ms,
            request: id.to_owned(),
            generation: me.to_owned(),
            service: service.clone(),
            body_bytes: req.body.len(),
        });
        thread::sleep(self.cfg.work);
        let signature = format!("{me}.{id}");
        let mut fields = vec![
            (name("request_id"), id),
            (name("signature"), signature.as_str()),
        ];
        if self.leaving.load(Ordering::SeqCst) {
            fields.push(("Connection", "close"));
        }
        if !self.truncates() {
            return http::write(stream, "HTTP/1.1 200 OK", &fields, BODY);
        }
        self.record
            .line(format!("target {me} truncates its answer to {id}"));
        http::write_part(stream, "HTTP/1.1 200 OK", &fields, BODY, BODY.len() / 2)?;
        // Nothing more is sent on the connection, which the node closes.
        let mut rest = [0; 64];
        while (&*stream).read(&mut rest)? > 0 {}
        Err(std::io::ErrorKind::UnexpectedEof.into())
    }
}
