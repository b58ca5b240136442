//! Planned stop of real daemon processes.

#[path = "support/processes/mod.rs"]
mod processes;

use {
    camphorcove_standin::backend::BackendSettings,
    nix::sys::signal::Signal,
    processes::{CallerClient, Region, RegionPlan, keys, wait_until},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// Guards against requests lost by a planned stop: every request that a daemon has accepted is
/// answered, including those that other hosts pass on to the stopping host.
#[tokio::test(flavor = "multi_thread")]
async fn stop_under_load_loses_no_request() {
    let mut plan = RegionPlan::new("stop-load");
    plan.backend = BackendSettings {
        service_us: 5_000,
        ..plan.backend
    };
    let mut region = Region::serving(plan).await;
    let stopping = region.controller().await;
    let load = Load::default();
    let mut callers = Vec::new();
    for daemon in &region.daemons {
        for _ in 0..4 {
            callers.push(tokio::spawn(load.clone().run(daemon.callers)));
        }
    }
    wait_until("load runs", || async {
        load.answered.load(Ordering::Relaxed) > 500
    })
    .await;

    region.daemons[stopping].signal(Signal::SIGTERM);
    let status = region.daemons[stopping].wait().await;
    let at_exit = load.answered.load(Ordering::Relaxed);
    wait_until("the others serve on", || async {
        load.answered.load(Ordering::Relaxed) > at_exit + 500
    })
    .await;
    load.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.expect("caller");
    }

    assert_eq!(status.code(), Some(0));
    let late = "roles not taken over by other hosts in time";
    assert!(region.daemons[stopping].logged(late).is_none(), "{late}");
    let failures = load.failures.lock().expect("failures").clone();
    assert!(
        failures.is_empty(),
        "{} lost: {:?}",
        failures.len(),
        failures.first()
    );
    region.daemons.remove(stopping);
    region.wait_serving().await;
    region.assert_exclusive();
}

/// Guards against a second signal that is ignored, and against aborted requests that the log does
/// not count.
#[tokio::test(flavor = "multi_thread")]
async fn second_signal_cuts_with_a_logged_count() {
    let mut plan = RegionPlan::new("stop-twice");
    plan.backend = BackendSettings {
        service_us: 1_500_000,
        ..plan.backend
    };
    plan.daemons = 1;
    let mut region = Region::start(plan).await;
    wait_until("the host serves", || async {
        let sent = region.caller.get(region.daemons[0].callers, "/key0").await;
        sent.is_ok_and(|sent| sent.answered())
    })
    .await;
    let address = region.daemons[0].callers;
    let slow = tokio::spawn(async move { CallerClient::default().get(address, "/key0").await });
    wait_until("a request is in flight", || async {
        region.daemons[0].metric("requests_in_flight").await >= Some(1.0)
    })
    .await;

    region.daemons[0].signal(Signal::SIGTERM);
    wait_until("the stop begins", || async {
        region.daemons[0].logged("planned stop begins").is_some()
    })
    .await;
    region.daemons[0].signal(Signal::SIGTERM);
    let status = region.daemons[0].wait().await;

    assert_eq!(status.code(), Some(3));
    let line = region.daemons[0].logged("stop cut short by the second signal");
    let line = line.expect("the cut is logged");
    assert_eq!(line["requests"], 1, "{line}");
    assert!(slow.await.expect("caller").is_err());
}

/// Callers that send one request after another.
#[derive(Clone, Debug, Default)]
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    failures: Arc<Mutex<Vec<String>>>,
}

impl Load {
    /// Sends requests to one host until `stop` is set, or until the host refuses the connection
    /// or closes it while idle. A load balancer would then use another host. Any other failure is
    /// recorded.
    async fn run(self, address: SocketAddr) {
        let client = CallerClient::default();
        let keys = keys();
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let key = &keys[number % keys.len()];
            match client.get(address, key).await {
                Ok(result) if result.answered() => {
                    self.answered.fetch_add(1, Ordering::Relaxed);
                }
                Err(camphorcove_net::http::ExchangeError::NotSent { .. }) => return,
                other => {
                    let text = format!("{address} {key}: {other:?}");
                    self.failures.lock().expect("failures").push(text);
                }
            }
        }
    }
}
