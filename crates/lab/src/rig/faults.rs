//! Applies the actions of an experiment's timeline to the running fleet.

use super::proposals::propose;
use super::{Rig, RigError, SHUTDOWN_TIMEOUT};
use crate::experiment::{Action, Parties};
use crate::gateway::ProcessState;
use crate::links::Fault;
use crate::stand_in::backend::BackendFault;
use std::collections::BTreeSet;
use tokio::task::spawn_local;
use tokio::time::timeout;

impl Rig {
    /// Applies one action to the fleet.
    pub async fn apply(&self, action: &Action) -> Result<(), RigError> {
        let action = &self.resolve(action).await?;
        self.actions.borrow_mut().push((self.elapsed(), format!("{action:?}")));
        match action {
            Action::Kill(parties) => self.kill(parties).await?,
            Action::Terminate(parties) => self.terminate(parties)?,
            Action::Start(parties) => self.start_parties(parties).await?,
            Action::Roll(parties) => self.roll(parties).await?,
            Action::Stop(parties) => {
                self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.stop())?
            }
            Action::Resume(parties) => {
                self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.resume())?
            }
            Action::Reload(parties) => {
                self.gateways_of(parties)?.iter().try_for_each(|gateway| gateway.reload())?
            }
            Action::Drain(parties) => self.set_phase(parties, "draining")?,
            Action::Undrain(parties) => self.set_phase(parties, "ready")?,
            Action::Slow { who, times } => self.set_backend_fault(who, BackendFault::Slow(*times))?,
            Action::Fail(parties) => self.set_backend_fault(parties, BackendFault::Failing)?,
            Action::Freeze(parties) => self.set_backend_fault(parties, BackendFault::Frozen)?,
            Action::Cure(parties) => self.set_backend_fault(parties, BackendFault::None)?,
            Action::Forget => self.counter.forget(),
            Action::Link { from, to, fault } => {
                self.links.set(&self.party_names(from)?, &self.party_names(to)?, *fault)
            }
            Action::Partition(groups) => self.partition(groups)?,
            Action::Heal => self.links.heal(),
            Action::Propose { section, key, value } => self.start_proposal(section, key, value),
        }
        Ok(())
    }

    async fn kill(&self, parties: &Parties) -> Result<(), RigError> {
        let names = self.party_names(parties)?;
        self.backends_of(parties)?.iter().for_each(|backend| backend.kill());
        if names.contains("counter") {
            self.counter.listener.close();
        }
        let gateways = self.gateways_of(parties)?;
        for gateway in gateways.iter().filter(|gateway| gateway.process_state.get() != ProcessState::Stopped)
        {
            gateway.kill().await?;
        }
        Ok(())
    }

    fn terminate(&self, parties: &Parties) -> Result<(), RigError> {
        for gateway in self.gateways_of(parties)? {
            self.terminated.borrow_mut().insert(gateway.name.clone());
            gateway.terminate()?;
        }
        Ok(())
    }

    async fn start_parties(&self, parties: &Parties) -> Result<(), RigError> {
        let names = self.party_names(parties)?;
        for backend in self.backends_of(parties)?.iter().filter(|backend| !backend.listener.is_open()) {
            backend.start(true).await?;
            self.discovery.set_phase(&backend.id, "ready");
        }
        if names.contains("counter") && !self.counter.listener.is_open() {
            self.counter.start().await?;
        }
        for gateway in self.gateways_of(parties)? {
            gateway.wait_for_end().await;
            self.terminated.borrow_mut().remove(&gateway.name);
            gateway.start().await?;
        }
        Ok(())
    }

    async fn roll(&self, parties: &Parties) -> Result<(), RigError> {
        for gateway in self.gateways_of(parties)? {
            gateway.terminate()?;
            let exited = timeout(SHUTDOWN_TIMEOUT, gateway.wait_for_end()).await;
            exited.map_err(|_| RigError::ExitTimeout(gateway.name.clone()))?;
            gateway.start().await?;
        }
        Ok(())
    }

    fn set_phase(&self, parties: &Parties, phase: &'static str) -> Result<(), RigError> {
        self.backends_of(parties)?.iter().for_each(|backend| self.discovery.set_phase(&backend.id, phase));
        Ok(())
    }

    fn set_backend_fault(&self, parties: &Parties, fault: BackendFault) -> Result<(), RigError> {
        self.backends_of(parties)?.iter().for_each(|backend| backend.fault.set(fault));
        Ok(())
    }

    fn partition(&self, groups: &[Parties]) -> Result<(), RigError> {
        let groups: Vec<BTreeSet<String>> =
            groups.iter().map(|group| self.party_names(group)).collect::<Result<_, _>>()?;
        let cut = Fault { cut: true, ..Fault::default() };
        for (index, from) in groups.iter().enumerate() {
            let others = groups.iter().enumerate().filter(|(other, _)| *other != index);
            others.for_each(|(_, to)| self.links.set(from, to, cut));
        }
        Ok(())
    }

    /// Starts a task that makes a proposal, so that the timeline continues meanwhile.
    fn start_proposal(&self, section: &str, key: &str, value: &str) {
        let (gateways, accepted) = (self.gateways.clone(), self.proposals.clone());
        let [section, key, value] = [section, key, value].map(str::to_string);
        let id = fastrand::Rng::with_seed(self.elapsed().as_nanos() as u64).u64(1..);
        spawn_local(async move {
            if let Some(index) = propose(&gateways, id, &section, &key, &value).await {
                accepted.borrow_mut().push((index, value));
            }
        });
    }
}
