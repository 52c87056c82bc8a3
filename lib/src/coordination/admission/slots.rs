//! Assignment of free slots to queued calls.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::admission::Admission;
use crate::coordination::admission::decision::QueueDecision;
use crate::coordination::admission::decision::SlotGrant;
use crate::coordination::admission::shedding::priority_slot_limit;
use crate::coordination::execution_progress::Execution;
use crate::coordination::near_capacity::is_near_capacity;
use crate::coordination::priority_queue::CallerKey;
use crate::coordination::priority_queue::Pace;
use crate::coordination::priority_queue::StartLimits;
use crate::coordination::slot_balances::PrioritySlotUsage;
use crate::protocol::call_head::CallOrigin;

/// All slots, in percent.
pub(super) const FULL_PERCENT: u32 = 100;
/// Time for which a lack of slots is expected to last, in mean service times.
pub(super) const SHORTAGE_SERVICE_TIMES: u32 = 2;

impl Admission {
    /// Returns the number of slots in use, by any priority, at which calls of this priority and origin have to wait.
    pub(super) fn slot_limit_for(&self, index: usize, origin: CallOrigin, now: Instant) -> u32 {
        let slots = self.slots();
        let usable = self.usable_slots(now);
        let rule_percent = self.queues[index].rule().usable_slots_percent;
        let mut urgent_peaks = self.slot_peaks[..index].iter().map(|peak| peak.slots(now));
        let urgent_peak = urgent_peaks.find(|peak| *peak > 0).unwrap_or(0);
        priority_slot_limit(self.shedding, slots, rule_percent, urgent_peak, origin)
            .clamp(usable.min(1), usable)
    }

    /// Accounts the slot time used by each priority since the last change.
    pub(super) fn account_slot_time(&mut self, now: Instant) {
        let uses = self.queues.iter().map(|queue| PrioritySlotUsage {
            running: queue.running(),
            has_queued_calls: queue.has_queued(),
            share_percent: queue.rule().min_share_percent,
        });
        let service_time = Duration::from_micros(self.estimate.mean_service_us());
        self.balances.update_balances(uses, self.slots(), service_time, now);
    }

    /// Grants free slots to queued calls, and returns the decisions.
    pub(super) fn fill_slots(&mut self, now: Instant) -> Vec<QueueDecision> {
        let pace = self.pace(now);
        let longest_call = self.estimate.longest_call_to_start(now);
        let mut decisions = Vec::new();
        self.reject_superseded_calls(pace, now, &mut decisions);
        while self.running < self.usable_slots(now) && self.start_delay(0, now).is_zero() {
            let Some(index) = self.next_queue(pace, longest_call, now) else {
                break;
            };
            let max_late = self.slots() as usize;
            let nested_only = self.running >= self.slot_limit_for(index, CallOrigin::Caller, now);
            let limits = StartLimits { pace, longest_call, max_late, shedding: self.shedding, nested_only };
            let next = self.queues[index].next(limits, now, &mut decisions);
            let Some((key, call)) = next else {
                continue;
            };
            let grant = self.start(index, call.caller, call.typical_time, now);
            decisions.push(QueueDecision::Admit(key, grant));
        }
        decisions
    }

    /// Rejects late calls while calls of the same or a more urgent priority that can be on time lack slots.
    ///
    /// Those start first, so under a lasting overload the late ones would wait until their deadlines in vain.
    /// Rejected now, they leave their callers time to come back.
    fn reject_superseded_calls(&mut self, pace: Pace, now: Instant, rejections: &mut Vec<QueueDecision>) {
        let mut short_of_slots = false;
        for queue in self.queues.iter_mut().filter(|queue| queue.rule().serve_late) {
            short_of_slots |= queue.was_short_of_slots(pace.service_time * SHORTAGE_SERVICE_TIMES, now)
                && queue.has_call_on_time(pace, now);
            if short_of_slots {
                queue.reject_late(pace, now, rejections);
            }
        }
    }

    /// Returns the most urgent waiting queue with a positive balance, otherwise the most urgent one.
    ///
    /// Queues with a call that can still meet its objective precede queues with only late calls.
    fn next_queue(&self, pace: Pace, longest_call: Option<Duration>, now: Instant) -> Option<usize> {
        let has_call_on_time = |index: &usize| {
            let queue = &self.queues[*index];
            !queue.rule().serve_late || queue.has_call_on_time(pace, now)
        };
        let waiting: Vec<usize> =
            (0..self.queues.len()).filter(|index| self.may_start_from(*index, longest_call, now)).collect();
        let on_time_queues = waiting.iter().copied().filter(has_call_on_time);
        let on_time_queues: Vec<usize> = on_time_queues.collect();
        let candidates = if on_time_queues.is_empty() { waiting } else { on_time_queues };
        candidates
            .iter()
            .find(|index| self.balances.has_positive_balance(**index))
            .or(candidates.first())
            .copied()
    }

    /// Returns whether a queued call of the priority may start in one of the slots that are free.
    pub(super) fn may_start_from(&self, index: usize, longest_call: Option<Duration>, now: Instant) -> bool {
        let has_slot = |origin| self.running < self.slot_limit_for(index, origin, now);
        let queue = &self.queues[index];
        (queue.has_call_to_start(longest_call) && has_slot(CallOrigin::Caller))
            || (queue.has_nested_call_to_start(longest_call) && has_slot(CallOrigin::Upstream))
    }

    pub(super) fn start(
        &mut self,
        index: usize,
        caller: CallerKey,
        typical_time: Option<Duration>,
        now: Instant,
    ) -> SlotGrant {
        self.running += 1;
        self.start_rate.record_start(now);
        self.cold_limit.record_start(now);
        let execution = Execution {
            started: now,
            typical_time,
            slowdown_percent: self.estimate.slowdown_percent(now),
            slots_in_use: self.running,
            near_capacity: is_near_capacity(self.running, self.slots()),
        };
        self.queues[index].start(caller);
        self.slot_peaks[index].record(self.queues[index].running(), now);
        self.estimate.start(execution);
        SlotGrant { queue_index: index, caller, execution }
    }
}
