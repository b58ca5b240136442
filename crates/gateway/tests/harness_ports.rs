//! Ports that the tests hand to host processes.

mod support;

use {
    std::{
        net::TcpListener,
        process::{Command, Stdio},
        thread,
    },
    support::soak_host::{free_port, spawn},
};

/// Threads that find ports and those that start processes, as cases of a test do side by side.
const THREADS: usize = 6;

/// Ports found, and processes started, by each thread.
const ROUNDS: usize = 300;

/// Binds ports that were found free; returns the errors.
fn bind_free_ports() -> Vec<String> {
    let mut errors = Vec::new();
    for _ in 0..ROUNDS {
        let address = free_port();
        if let Err(error) = TcpListener::bind(address) {
            errors.push(format!("{address}: {error}"));
        }
    }
    errors
}

fn start_processes() {
    for _ in 0..ROUNDS {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorcove-gateway"));
        command.arg("--version").stdout(Stdio::null());
        spawn(&mut command).wait().expect("own process");
    }
}

/// Guards against a host that cannot listen at its start: a process that another test case was starting still held
/// the socket with which the port had been tried.
#[test]
fn port_that_was_found_free_can_be_bound_while_processes_start() {
    let mut errors = Vec::new();
    thread::scope(|scope| {
        let binding: Vec<_> = (0..THREADS).map(|_| scope.spawn(bind_free_ports)).collect();
        for _ in 0..THREADS {
            scope.spawn(start_processes);
        }
        for thread in binding {
            errors.extend(thread.join().expect("no panic"));
        }
    });

    assert_eq!(errors, Vec::<String>::new());
}
