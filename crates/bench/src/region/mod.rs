//! A whole region as real processes on this machine.

mod backend_process;
mod bench_region;
mod child_process;
mod daemon_process;
mod platform_process;
mod process_usage;
mod programs;
mod region_plan;
mod wait;

pub use {
    backend_process::BackendProcess,
    bench_region::BenchRegion,
    child_process::ChildProcess,
    daemon_process::{DaemonPlan, DaemonProcess},
    platform_process::PlatformProcess,
    process_usage::ProcessUsage,
    programs::ProgramOptions,
    region_plan::{RegionPlan, ServerPlan, ServicePlan},
    wait::wait_for,
};
