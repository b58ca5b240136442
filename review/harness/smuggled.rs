//! A request in the trailers of another one must not reach a server.

use crate::{
    Verdict,
    caller::call,
    host::{Host, end_all},
    http::Message,
    record::Record,
    store::Store,
    upstream::Upstream,
};
use std::{
    collections::BTreeSet,
    env, fs,
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    process,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const SERVERS: usize = 2;
const OUTER_REQUESTS: usize = 10;
const DEADLINE: Duration = Duration::from_millis(1_000);
const START_TIME: Duration = Duration::from_secs(20);

/// Time in which a smuggled request would be run.
const WAIT_TIME: Duration = Duration::from_millis(1_500);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let files = env::temp_dir().join(format!("camphorcove-review-{}", process::id()));
    fs::create_dir_all(&files).expect("a temporary folder");
    let verdict = play(&files, &record, trouble);
    let _ = fs::remove_dir_all(&files);
    record.flush();
    verdict
}

fn configuration() -> &'static str {
    r#"{"Version":"00000001","Routes":[{"Name":"r","Host":"rafts.example","PathPrefix":"/read/","Kind":"safe","TimeoutS":1.2,"TargetLatencyS":0.4,"MaxAttempts":2,"Priority":2,"Service":"hamnplan"}],"Services":[{"Name":"hamnplan","MaxConnections":120,"HealthPath":"/health"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutS":5,"IdleTimeoutS":15}}"#
}

fn play(files: &Path, record: &Arc<Record>, trouble: bool) -> Verdict {
    let store = Arc::new(Store::default());
    let address = store.serve();
    store.put("config", "main", configuration());
    let servers: Vec<Arc<Upstream>> = (0..SERVERS)
        .map(|index| Upstream::start(index, "hamnplan", &store, record))
        .collect();
    let hosts = vec![Host::new(0, files, address)];
    hosts[0].start();
    let callers = hosts[0].callers;
    let started = Instant::now();
    let mut sent = BTreeSet::new();
    loop {
        let id = format!("first-{}", sent.len());
        sent.insert(id.clone());
        if call(callers, &plain_request(&id), DEADLINE, record) == 200 {
            break;
        }
        if started.elapsed() > START_TIME {
            record.note("no request is served");
            end_all(&hosts, record);
            return Verdict::CouldNotRun;
        }
        sleep(Duration::from_millis(100));
    }
    for number in 0..OUTER_REQUESTS {
        let id = format!("outer-{number}");
        sent.insert(id.clone());
        let trailers = match trouble {
            // Line feeds alone, so that all of it belongs to one trailer field.
            true => format!(
                "\nGET /read/inner HTTP/1.1\nHost: rafts.example\nX-Request-Id: inner-{number}\n\
                 X-Deadline-Ms: 1000\n\n"
            ),
            false => "X-Checksum: 12\r\n\r\n".into(),
        };
        let text = format!(
            "GET /read/outer HTTP/1.1\r\nHost: rafts.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 1000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n{trailers}"
        );
        send(callers, &text, record);
    }
    sleep(WAIT_TIME);
    end_all(&hosts, record);
    let runs = servers.iter().flat_map(|server| server.runs());
    let unasked: Vec<String> = runs.filter(|id| !sent.contains(id)).collect();
    record.note(&format!(
        "{} runs of requests that no caller sent: {unasked:?}",
        unasked.len()
    ));
    match unasked.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    }
}

fn plain_request(id: &str) -> Message {
    Message {
        first: "GET /read/a HTTP/1.1".into(),
        headers: vec![
            ("Host".into(), "rafts.example".into()),
            ("X-Request-Id".into(), id.into()),
            ("X-Deadline-Ms".into(), "1000".into()),
        ],
        body: Vec::new(),
    }
}

/// Sends bytes on a new connection and records what comes back until the connection ends.
fn send(address: SocketAddr, text: &str, record: &Record) {
    record.line(&format!("caller sends {text:?}"));
    let answer = TcpStream::connect(address).and_then(|mut stream| {
        stream.set_read_timeout(Some(WAIT_TIME))?;
        stream.write_all(text.as_bytes())?;
        let mut answer = vec![0; 4_096];
        let length = stream.read(&mut answer)?;
        answer.truncate(length);
        Ok(String::from_utf8_lossy(&answer).into_owned())
    });
    record.line(&format!("caller got {answer:?}"));
}
