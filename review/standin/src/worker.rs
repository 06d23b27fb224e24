//! A target. It writes to its standard output which requests it runs.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Conn;
use crate::http::Head;
use crate::names::name;

/// How a target behaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behaviour {
    /// How long it works on a request.
    pub(crate) work: Duration,
    /// The parts in which it writes the body of an answer while it works; the head is
    /// written first. With one part, the answer is written at the end.
    pub(crate) parts: u32,
}

#[derive(Debug)]
struct Target {
    id: String,
    behaviour: Behaviour,
    requests: AtomicU64,
}

/// Serves until the process is killed. A line `extras on` or `extras off` on the standard
/// input begins and ends the second answers.
pub(crate) fn run(addr: SocketAddr, id: &str, behaviour: Behaviour) -> io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    let target = Arc::new(Target {
        id: id.to_owned(),
        behaviour,
        requests: AtomicU64::new(0),
    });
    thread::spawn(|| {
        // The pipe ends with the process that started the target.
        io::stdin().lines().map_while(Result::ok).for_each(drop);
        std::process::exit(0);
    });
    println!("listens");
    for stream in listener.incoming().flatten() {
        let target = Arc::clone(&target);
        // A connection ends with an error of its reader.
        thread::spawn(move || target.serve(Conn::new(stream)));
    }
    Ok(())
}

impl Target {
    fn serve(&self, mut conn: Conn) -> io::Result<()> {
        loop {
            let head = conn.read_head()?;
            conn.read_body(&head)?;
            self.answer(&mut conn, &head)?;
        }
    }

    fn answer(&self, conn: &mut Conn, head: &Head) -> io::Result<()> {
        let (not_run, answering) = (name("not_run"), name("answering"));
        let id_name = name("request_id");
        let request = head.get(id_name).unwrap_or("");
        if head.get(name("target")).is_some_and(|it| it != self.id) {
            let id = &self.id;
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\n{id_name}: {request}\r\n{not_run}: 1\r\n{answering}: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return conn.stream.write_all(answer.as_bytes());
        }
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        println!("runs {request}");
        let parts = self.behaviour.parts.max(1);
        let body = "0123456789abcdef".repeat(16);
        let len = body.len() * parts as usize;
        let signature = name("signature");
        let id = &self.id;
        let answer_head = format!(
            "HTTP/1.1 200 OK\r\n{id_name}: {request}\r\n{signature}: {id}.{number}.{len}\r\nContent-Length: {len}\r\n\r\n"
        );
        if parts == 1 {
            thread::sleep(self.behaviour.work);
            let answer = format!("{answer_head}{body}");
            return conn.stream.write_all(answer.as_bytes());
        }
        conn.stream.write_all(answer_head.as_bytes())?;
        for _ in 0..parts {
            thread::sleep(self.behaviour.work / parts);
            conn.stream.write_all(body.as_bytes())?;
        }
        Ok(())
    }
}
