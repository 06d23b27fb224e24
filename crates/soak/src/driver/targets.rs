//! Injects faults into targets.

use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos::log::unix_now_us;
use sassafrasspool_bench::load::OutageKind;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::history::Event;

use super::Driver;
use super::lock;
use super::switches::statement_switches;
use super::switches::target_switches;
use crate::schedule::TargetFault;
use crate::verdict::StatedSpan;
use crate::verdict::Statement;

impl Driver {
    /// Applies a fault to a target.
    pub(super) async fn apply_target_fault(
        &self,
        n: usize,
        fault: TargetFault,
        length: Duration,
    ) -> miette::Result<()> {
        let target = &self.member(n).target;
        match fault {
            TargetFault::Crash => self.crash(n, length).await,
            TargetFault::Freeze => {
                let from_us = unix_now_us();
                target.set_frozen(true).into_diagnostic()?;
                tokio::time::sleep(length).await;
                target.set_frozen(false).into_diagnostic()?;
                self.record_stall(n, from_us);
                Ok(())
            }
            TargetFault::Replace => {
                self.publish_state(n, None).await?;
                tokio::time::sleep(length).await;
                self.crash(n, Duration::ZERO).await?;
                self.publish_state(n, Some(InstanceState::Live)).await
            }
            _ => {
                let from_us = unix_now_us();
                target.set_switches(&target_switches(fault, true)).await?;
                tokio::time::sleep(length).await;
                target.set_switches(&target_switches(fault, false)).await?;
                if fault == TargetFault::CutAnswers {
                    self.record_outage(n, OutageKind::AnswersCut, from_us);
                }
                Ok(())
            }
        }
    }

    /// Lets a target state something about itself for a time. One that leaves is then
    /// replaced.
    pub(super) async fn apply_statement(
        &self,
        n: usize,
        statement: Statement,
        length: Duration,
    ) -> miette::Result<()> {
        let target = &self.member(n).target;
        target
            .set_switches(&statement_switches(statement, true))
            .await?;
        let from_us = unix_now_us();
        tokio::time::sleep(length).await;
        lock(&self.stated).push(StatedSpan {
            instance: n,
            statement,
            from_us,
            to_us: unix_now_us(),
        });
        if statement == Statement::RateLimit {
            return target
                .set_switches(&statement_switches(statement, false))
                .await;
        }
        self.publish_state(n, None).await?;
        target
            .set_switches(&statement_switches(statement, false))
            .await?;
        self.crash(n, Duration::ZERO).await?;
        self.publish_state(n, Some(InstanceState::Live)).await
    }

    async fn crash(&self, n: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(n);
        let from_us = unix_now_us();
        member.target.crash().await?;
        self.log.record(Event::Crashed { target: self.id(n) });
        tokio::time::sleep(down).await;
        member.target.restart().await?;
        self.record_outage(n, OutageKind::TargetCrashed, from_us);
        Ok(())
    }
}
