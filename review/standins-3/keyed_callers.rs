//! Callers of a keyed service.

use crate::http::read_response;
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Load {
    pub stop: AtomicBool,
    /// First of the busy keys, how many there are, and how many of 100 requests they get.
    pub busy_first: AtomicU32,
    pub busy_keys: AtomicU32,
    pub busy_percent: AtomicU32,
    /// Pause of a caller between two requests, in milliseconds.
    pub pause_ms: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            stop: AtomicBool::new(false),
            busy_first: AtomicU32::new(0),
            busy_keys: AtomicU32::new(1),
            busy_percent: AtomicU32::new(0),
            pause_ms: AtomicU64::new(400),
            served: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
        }
    }
}

fn random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

fn call(hosts: &Mutex<Vec<SocketAddr>>, at: usize, load: &Load, record: &Record) {
    let mut state = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(at as u64 + 1);
    let mut number = 0;
    while !load.stop.load(Ordering::Relaxed) {
        let pause = load.pause_ms.load(Ordering::Relaxed).max(2);
        thread::sleep(Duration::from_millis(pause / 2 + random(&mut state) % pause));
        number += 1;
        let id = format!("r{at}x{number}");
        let key = match random(&mut state) % 100 < u64::from(load.busy_percent.load(Ordering::Relaxed)) {
            true => {
                let first = u64::from(load.busy_first.load(Ordering::Relaxed));
                let keys = u64::from(load.busy_keys.load(Ordering::Relaxed));
                (first + random(&mut state) % keys) % 65_536
            }
            false => random(&mut state) % 65_536,
        };
        let host = {
            let hosts = hosts.lock().unwrap();
            hosts[(random(&mut state) % hosts.len() as u64) as usize]
        };
        let Ok(stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
            load.failed.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(4_500)));
        let mut reader = BufReader::new(stream);
        let text = format!(
            "GET /ledig/{id} HTTP/1.1\r\nHost: boats.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: 4000\r\nX-Shard-Key: {key}\r\n\r\n"
        );
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            load.failed.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let answer = read_response(&mut reader);
        let status = match &answer {
            Ok(Some(answer)) => answer.status().to_string(),
            Ok(None) | Err(_) => "nothing".to_owned(),
        };
        record.line(&format!("{id} for key {key} at {host} answered {status}"));
        match answer {
            Ok(Some(answer)) if answer.status() == 200 => {
                load.served.fetch_add(1, Ordering::Relaxed);
                if answer.header("x-request-id") != Some(id.as_str()) || answer.body != id.as_bytes() {
                    record.line(&format!("BROKEN MIXED: success for {id} is another answer"));
                }
            }
            Ok(Some(answer)) if answer.status() == 503 => {
                load.refused.fetch_add(1, Ordering::Relaxed);
            }
            Ok(_) | Err(_) => {
                load.failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

pub fn start(
    count: usize,
    hosts: Arc<Mutex<Vec<SocketAddr>>>,
    load: Arc<Load>,
    record: Record,
) -> Vec<thread::JoinHandle<()>> {
    (0..count)
        .map(|at| {
            let (hosts, load, record) = (hosts.clone(), load.clone(), record.clone());
            thread::spawn(move || call(&hosts, at, &load, &record))
        })
        .collect()
}
