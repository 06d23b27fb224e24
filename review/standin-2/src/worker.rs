//! An application worker, which registers itself in the store.

use std::collections::HashMap;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Head;
use crate::http::Reader;
use crate::record::Record;
use crate::store::Store;
use crate::wire;

/// How often the listener of a worker is polled.
const ACCEPT_POLL: Duration = Duration::from_millis(2);

/// What a worker does with the requests of a path.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// How long it works on a request.
    pub time: Duration,
    /// The bytes of the answer.
    pub bytes: usize,
}

/// The description of a worker.
#[derive(Debug, Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub slots: u32,
    /// The work by the first segment of the path.
    pub work: HashMap<String, Work>,
}

/// A request that reached a worker and was meant for it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Seconds since the start of the record.
    pub at: f64,
    pub request: String,
    /// Which start of the worker it reached, from 1.
    pub start: u32,
}

#[derive(Debug, Default)]
struct State {
    /// The connections of the present start.
    streams: Vec<TcpStream>,
    start: u32,
    sequence: u64,
    born: u64,
    arrivals: Vec<Arrival>,
}

/// A worker. It may be stopped and started again under its id.
#[derive(Debug, Clone)]
pub struct Worker {
    spec: Arc<Spec>,
    store: Store,
    record: Arc<Record>,
    state: Arc<Mutex<State>>,
    running: Arc<Mutex<Arc<AtomicBool>>>,
    slots: Arc<(Mutex<u32>, Condvar)>,
}

impl Worker {
    pub fn new(spec: Spec, store: &Store, record: &Arc<Record>) -> Worker {
        Worker {
            slots: Arc::new((Mutex::new(spec.slots), Condvar::new())),
            spec: Arc::new(spec),
            store: store.clone(),
            record: Arc::clone(record),
            state: Arc::default(),
            running: Arc::default(),
        }
    }

    /// Starts the process of the worker. Its clock differs from the true time by so much.
    pub fn start(&self, clock_error_ms: i64) -> io::Result<()> {
        let listener = TcpListener::bind(self.spec.addr)?;
        listener.set_nonblocking(true)?;
        let running = Arc::new(AtomicBool::new(true));
        *lock(&self.running) = Arc::clone(&running);
        let start = {
            let mut state = lock(&self.state);
            state.start += 1;
            state.sequence = 0;
            state.born = unix_ms().saturating_add_signed(clock_error_ms);
            state.start
        };
        let worker = self.clone();
        std::thread::spawn(move || {
            while running.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => worker.accept(stream, start),
                    Err(_) => std::thread::sleep(ACCEPT_POLL),
                }
            }
        });
        self.report("ready");
        Ok(())
    }

    /// Ends the process of the worker as a crash does: its connections are closed, and its
    /// entry stays.
    pub fn crash(&self) {
        lock(&self.running).store(false, Ordering::Relaxed);
        let streams = std::mem::take(&mut lock(&self.state).streams);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The listener is closed by its thread.
        std::thread::sleep(ACCEPT_POLL * 10);
        self.record.write(&format!("worker {} ends", self.spec.id));
    }

    /// Ends after a planned shutdown: the entry is removed.
    pub fn leave(&self) {
        self.crash();
        self.store.remove(&self.key());
    }

    /// Writes its entry with a state. Returns when the store has acknowledged it.
    pub fn report(&self, state: &str) -> f64 {
        let (sequence, born, start) = {
            let mut held = lock(&self.state);
            held.sequence += 1;
            (held.sequence, held.born, held.start)
        };
        let vars = [
            ("service", self.spec.service.clone()),
            ("address", self.spec.addr.to_string()),
            ("zone", self.spec.zone.clone()),
            ("slots", self.spec.slots.to_string()),
            ("state", state.to_owned()),
            ("sequence", sequence.to_string()),
            ("born", born.to_string()),
        ];
        let revision = self.store.put(&self.key(), &wire::fill("entry", &vars));
        let at = self.record.now();
        let id = &self.spec.id;
        self.record.write(&format!(
            "store acknowledges entry of {id}: {state}, start {start}, born {born}, revision {revision}"
        ));
        at
    }

    /// The requests that reached it so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.state).arrivals.clone()
    }

    fn key(&self) -> String {
        format!("{}{}", wire::name("entry_prefix"), self.spec.id)
    }

    fn accept(&self, stream: TcpStream, start: u32) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            lock(&self.state).streams.push(copy);
        }
        let worker = self.clone();
        std::thread::spawn(move || {
            let _ = worker.serve(&stream, start);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    fn serve(&self, stream: &TcpStream, start: u32) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            reader.body(&head)?;
            self.answer(stream, &head, start)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &TcpStream, head: &Head, start: u32) -> io::Result<()> {
        let path = head.second_word();
        let answering = (wire::name("answering_header"), self.spec.id.clone());
        if path == "/health" {
            return http::write_answer(stream, "200 OK", &[answering], b"");
        }
        let not_run = (wire::name("not_run_header"), "1".to_owned());
        let Some(id) = head.header(wire::name("id_header")) else {
            return http::write_answer(stream, "400 Bad Request", &[not_run], b"");
        };
        let echo = (wire::name("id_header"), id.to_owned());
        let target = head.header(wire::name("target_header"));
        if target.is_some_and(|target| target != self.spec.id) {
            self.record
                .write(&format!("worker {} declines {id}: 421", self.spec.id));
            let headers = [echo, answering];
            return http::write_answer(stream, "421 Misdirected Request", &headers, b"");
        }
        let at = self.record.now();
        self.record
            .write(&format!("worker {} runs {id}", self.spec.id));
        lock(&self.state).arrivals.push(Arrival {
            at,
            request: id.to_owned(),
            start,
        });
        let segment = path.split('/').nth(1).unwrap_or_default();
        let work = self.spec.work.get(segment);
        let work = work.copied().unwrap_or(Work {
            time: Duration::from_millis(10),
            bytes: 100,
        });
        self.take_slot();
        let ended = self.run(stream, id, echo, work);
        self.free_slot();
        ended
    }

    fn run(
        &self,
        stream: &TcpStream,
        id: &str,
        echo: (&str, String),
        work: Work,
    ) -> io::Result<()> {
        std::thread::sleep(work.time);
        let signature = (wire::name("signature_header"), format!("s.{id}"));
        let body = vec![b'x'; work.bytes];
        http::write_answer(stream, "200 OK", &[echo, signature], &body)?;
        let own = &self.spec.id;
        self.record
            .write(&format!("worker {own} has answered {id}"));
        Ok(())
    }

    fn take_slot(&self) {
        let mut free = lock(&self.slots.0);
        while *free == 0 {
            free = self
                .slots
                .1
                .wait(free)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *free -= 1;
    }

    fn free_slot(&self) {
        *lock(&self.slots.0) += 1;
        self.slots.1.notify_one();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
