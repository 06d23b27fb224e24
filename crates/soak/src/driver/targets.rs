//! Injects faults into targets.

use std::time::Duration;

use miette::IntoDiagnostic;
use sassafrasspool_bench::chaos::log::now_us;
use sassafrasspool_bench::load::OutageKind;
use sassafrasspool_core::InstanceState;
use sassafrasspool_core::history::Event;

use super::Driver;
use super::switches::of_target;
use crate::schedule::TargetFault;

impl Driver {
    /// Applies a fault to a target.
    pub(super) async fn of_target(
        &self,
        n: usize,
        what: TargetFault,
        length: Duration,
    ) -> miette::Result<()> {
        let target = &self.member(n).target;
        match what {
            TargetFault::Crash => self.crash(n, length).await,
            TargetFault::Freeze => {
                let from_us = now_us();
                target.freeze(true).into_diagnostic()?;
                tokio::time::sleep(length).await;
                target.freeze(false).into_diagnostic()?;
                self.note_stall(n, from_us);
                Ok(())
            }
            TargetFault::Replace => {
                self.list_as(n, None).await?;
                tokio::time::sleep(length).await;
                self.crash(n, Duration::ZERO).await?;
                self.list_as(n, Some(InstanceState::Live)).await
            }
            _ => {
                let from_us = now_us();
                target.switch(&of_target(what, true)).await?;
                tokio::time::sleep(length).await;
                target.switch(&of_target(what, false)).await?;
                if what == TargetFault::CutAnswers {
                    self.note(n, OutageKind::AnswersCut, from_us);
                }
                Ok(())
            }
        }
    }

    async fn crash(&self, n: usize, down: Duration) -> miette::Result<()> {
        let member = self.member(n);
        let from_us = now_us();
        member.target.crash().await?;
        self.log.record(Event::Crashed { target: self.id(n) });
        tokio::time::sleep(down).await;
        member.target.restart().await?;
        self.note(n, OutageKind::TargetCrashed, from_us);
        Ok(())
    }
}
