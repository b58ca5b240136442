//! Injection of faults, and what tests read from and send to the simulation.

use super::prelude::*;

impl Simulation {
    /// Injects a fault now.
    pub fn apply_fault(&mut self, fault: &Fault) {
        let micros = self.micros;
        self.log_event(format!("{fault:?}"));
        match *fault {
            Fault::KillHost(host) => self.hosts[host].alive = false,
            Fault::RestartHost(host) => self.restart_host(host),
            Fault::PauseHost(host, span) => self.hosts[host].paused_until = micros + span,
            Fault::FreezeBeforeSend(host, span) => self.hosts[host].pause_before_send = span,
            Fault::CutHost {
                host,
                inbound,
                outbound,
            } => {
                let nodes = self.nodes();
                self.network
                    .cut(Node::Host(host), &nodes, inbound, outbound);
            }
            Fault::CutFromPlatform(host) => {
                let others = [Node::Platform];
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::LosePlatformAnswers(host) => {
                let link = (Node::Platform, Node::Host(host));
                self.network.blocked.insert(link);
            }
            Fault::LoseWriteAnswers(count) => self.write_answers_to_lose = count,
            Fault::CutFromHosts(host) => {
                let others: Vec<Node> = (0..self.hosts.len()).map(Node::Host).collect();
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::CutFromServer(host, server) => {
                let others = [Node::Server(server)];
                self.network.cut(Node::Host(host), &others, true, true);
            }
            Fault::KillServer(server) => self.servers[server].alive = false,
            Fault::RestartServer(server) => self.servers[server].restart(),
            Fault::PauseServer(server, span) => self.servers[server].paused_until = micros + span,
            Fault::DrainServer(server, draining) => self.servers[server].draining = draining,
            Fault::ConfigureServers(count) => {
                let mut spec = self.spec.as_ref().clone();
                spec.version.0 += 1;
                spec.service.servers = (0..count).map(server_config).collect();
                self.set_spec(spec);
            }
            Fault::ShiftLoad => self.shift_load(),
            Fault::PlatformDown => self.network.platform_down = true,
            Fault::PlatformSlow(delay) => self.network.platform_delay = delay,
            Fault::LoseMessages(percent) => self.network.loss_percent = percent,
            Fault::DelayMessages(percent, delay) => {
                self.network.delayed_percent = percent;
                self.network.max_extra_delay = delay;
            }
            Fault::Resign(host) => {
                self.hosts[host].resigned = true;
                self.send_event(host, ScopeEvent::ShutdownRequested);
            }
            Fault::ConfirmLost => {
                for host in 0..self.hosts.len() {
                    self.send_event(host, ScopeEvent::ConfirmLost);
                }
            }
            Fault::Heal => self.network.heal(),
            Fault::KillController => {
                if let Some(host) = self.controller() {
                    self.hosts[host].alive = false;
                }
            }
            Fault::KillControllerAndServer(server) => {
                self.servers[server].alive = false;
                self.apply_fault(&Fault::KillController);
            }
        }
    }

    fn shift_load(&mut self) {
        let Some((controller, state)) = self.controller().zip(self.scope_object.as_ref()) else {
            return;
        };
        let first = server_id(0);
        let mut rates = Vec::new();
        for (index, shard) in state.1.shards.iter().enumerate() {
            let busy = matches!(shard, ShardState::Owned { server, .. } if *server == first);
            let id = ShardId(u32::try_from(index).unwrap());
            rates.push((id, if busy { 10.0 } else { 1.0 }));
        }
        self.send_event(controller, ScopeEvent::LoadObserved(rates));
    }

    /// Replaces a host by a new process under the same id and on the same clock.
    pub(super) fn restart_host(&mut self, index: usize) {
        let old = &self.hosts[index];
        let host = new_host(
            index,
            old.clock,
            old.process + 1,
            self.micros,
            self.disabled,
        );
        self.hosts[index] = host;
        self.start_host(index);
    }

    pub fn host_index(&self, id: &HostId) -> usize {
        self.hosts
            .iter()
            .position(|host| host.info.id == *id)
            .unwrap()
    }

    /// Live host that currently has authority as the controller.
    pub fn controller(&self) -> Option<usize> {
        (0..self.hosts.len()).find(|&index| {
            let host = &self.hosts[index];
            host.alive
                && host.machine.role() == ScopeRole::Controller
                && host.machine.authority_end() > self.host_time(index)
        })
    }

    /// Number of shards that are served: the owner in the scope object is neither dead nor
    /// paused, and holds an unexpired grant under the written token.
    pub fn served_shards(&self) -> usize {
        let Some((_, state)) = &self.scope_object else {
            return 0;
        };
        let mut served = 0;
        for (index, shard) in state.shards.iter().enumerate() {
            let ShardState::Owned { server, token } = shard else {
                continue;
            };
            let server = &self.servers[server_index(server)];
            let id = ShardId(u32::try_from(index).unwrap());
            if server.paused_until <= self.micros
                && server.live_token(id, self.micros) == Some(*token)
            {
                served += 1;
            }
        }
        served
    }

    pub fn all_served(&self) -> bool {
        self.served_shards() == self.spec.service.shards as usize
    }

    /// Sends a new configuration of the scope to all hosts.
    pub fn set_spec(&mut self, spec: ScopeSpec) {
        self.spec = Arc::new(spec);
        for index in 0..self.hosts.len() {
            let process = self.hosts[index].process;
            let event = ScopeEvent::SpecChanged(self.spec.clone());
            let step = Step::Event(Box::new(event));
            self.push(1_000, Message::Host(index, process, step));
        }
    }

    /// Delivers an event to a host now.
    pub fn send_event(&mut self, index: usize, event: ScopeEvent) {
        let process = self.hosts[index].process;
        let step = Step::Event(Box::new(event));
        self.push(0, Message::Host(index, process, step));
    }

    /// All ends of links: platform, hosts and servers.
    pub fn nodes(&self) -> Vec<Node> {
        let mut nodes = vec![Node::Platform];
        nodes.extend((0..self.hosts.len()).map(Node::Host));
        nodes.extend((0..self.servers.len()).map(Node::Server));
        nodes
    }
}
