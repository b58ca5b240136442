//! Faults that a run injects, and guards that a run may remove.

/// A fault of a run.
#[derive(Clone, Debug)]
pub enum Fault {
    KillHost(usize),
    RestartHost(usize),
    PauseHost(usize, u64),
    /// The host stops after its machine decided and before anything is sent.
    FreezeBeforeSend(usize, u64),
    CutHost {
        host: usize,
        inbound: bool,
        outbound: bool,
    },
    /// Cuts a host off from the platform only.
    CutFromPlatform(usize),
    /// Requests of a host reach the platform, answers do not reach the host.
    LosePlatformAnswers(usize),
    /// The next writes take effect, but their answers are lost.
    LoseWriteAnswers(u32),
    /// Cuts a host off from the other hosts only.
    CutFromHosts(usize),
    /// Cuts a host off from one server.
    CutFromServer(usize, usize),
    KillServer(usize),
    RestartServer(usize),
    PauseServer(usize, u64),
    DrainServer(usize, bool),
    /// Configures only the first servers.
    ConfigureServers(usize),
    /// The load shifts to the shards of the first server.
    ShiftLoad,
    PlatformDown,
    PlatformSlow(u64),
    Loss(u32),
    Slow(u32, u64),
    Resign(usize),
    ConfirmLost,
    Heal,
    KillController,
    KillControllerAndServer(usize),
}

/// Guards of the protocol that a test removes to see whether the checker notices.
#[derive(Clone, Copy, Debug, Default)]
pub struct RemovedGuards {
    /// Electors support a successor while an older promise is still relied on.
    pub elector_wait: bool,
    /// A restarted elector promises at once.
    pub abstention: bool,
    /// A new controller does not wait out the grants of the old one.
    pub grant_grace: bool,
    /// Servers take orders past their deadline.
    pub deadline: bool,
    /// Clocks drift this many times further than the bound allows; 0 if they keep to it.
    pub drift_factor: i64,
}
