//! An application worker, which registers itself in the store.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Head;
use crate::http::Reader;
use crate::record::Record;
use crate::store::Store;
use crate::wire;

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

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    spec: Arc<Spec>,
    store: Store,
    record: Arc<Record>,
    /// The ids of the requests that it ran.
    ran: Arc<Mutex<Vec<String>>>,
    slots: Arc<(Mutex<u32>, Condvar)>,
}

impl Worker {
    pub fn new(spec: Spec, store: &Store, record: &Arc<Record>) -> Worker {
        Worker {
            slots: Arc::new((Mutex::new(spec.slots), Condvar::new())),
            spec: Arc::new(spec),
            store: store.clone(),
            record: Arc::clone(record),
            ran: Arc::default(),
        }
    }

    /// Starts to serve, and registers itself in the store.
    pub fn start(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.spec.addr)?;
        let worker = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                worker.accept(stream);
            }
        });
        let vars = [
            ("service", self.spec.service.clone()),
            ("address", self.spec.addr.to_string()),
            ("zone", self.spec.zone.clone()),
            ("slots", self.spec.slots.to_string()),
            ("born", unix_ms().to_string()),
        ];
        let id = &self.spec.id;
        let key = format!("{}{id}", wire::name("entry_prefix"));
        self.store.put(&key, &wire::fill("entry", &vars));
        self.record.write(&format!("worker {id} is registered"));
        Ok(())
    }

    /// The ids of the requests that it ran.
    pub fn ran(&self) -> Vec<String> {
        lock(&self.ran).clone()
    }

    fn accept(&self, stream: TcpStream) {
        let worker = self.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            // A node may close a connection at any time.
            let _ = worker.serve(&stream);
        });
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            reader.body(&head)?;
            self.answer(stream, &head)?;
        }
        Ok(())
    }

    fn answer(&self, stream: &TcpStream, head: &Head) -> io::Result<()> {
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
        let own = &self.spec.id;
        self.record.write(&format!("worker {own} runs {id}"));
        lock(&self.ran).push(id.to_owned());
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
