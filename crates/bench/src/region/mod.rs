//! A region run as processes on this machine: daemons, and simulated backend servers and a
//! simulated platform (stand-ins).

mod backend_process;
mod bench_region;
mod child_process;
mod daemon_process;
mod platform_process;
mod process_usage;
mod program_options;
mod region_plan;
mod wait;

pub use {
    backend_process::BackendProcess,
    bench_region::BenchRegion,
    child_process::ChildProcess,
    daemon_process::{DaemonPlan, DaemonProcess},
    platform_process::PlatformProcess,
    process_usage::ProcessUsage,
    program_options::ProgramOptions,
    region_plan::{RegionPlan, ServerPlan, ServicePlan},
    wait::wait_for,
};
