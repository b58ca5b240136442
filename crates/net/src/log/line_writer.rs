//! Writes log lines to standard output from a separate thread, so that logging never blocks.

use {
    crate::clock::wall_millis,
    serde_json::json,
    std::{
        io::{Write, stdout},
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
    },
};

/// Capacity of the queue, in lines: a few seconds of output on a busy host.
const QUEUE_LINES: usize = 2_048;

/// Bounded queue of log lines, written by one thread.
#[derive(Debug)]
pub struct LineWriter {
    queue: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the writer thread; if that fails, all lines are dropped.
    pub fn start(program: &'static str) -> Self {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        let thread = thread::Builder::new().name("log".into());
        if let Err(error) = thread.spawn(move || write_lines(program, &lines, &counter)) {
            eprintln!("{program}: cannot start the log writer thread: {error}");
        }
        Self { queue, dropped }
    }

    /// Queues a line; if the queue is full, drops and counts it.
    pub fn send(&self, line: String) {
        if self.queue.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Writes lines until the queue is closed. The number of lines dropped meanwhile is
/// reported after the next line.
fn write_lines(program: &str, lines: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let mut text = line + "\n";
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = json!({
                "time_ms": wall_millis(),
                "level": "WARN",
                "program": program,
                "message": "log lines dropped",
                "count": lost,
            });
            text.push_str(&format!("{note}\n"));
        }
        // If standard output cannot be written, there is nowhere to report the error.
        let _ = stdout().lock().write_all(text.as_bytes());
    }
}
