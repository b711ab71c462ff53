#include "entry/order_recorder.h"

#include <utility>

namespace sycamorebend::entry {

namespace {

constexpr Duration kRetryInterval = seconds(1);

// An outcome that is not recorded yet.
struct PendingOutcome {
  std::shared_ptr<OrderContext> context;
  OrderIdentity identity;
  OrderState state;
  HttpResponse response;
  std::function<void(bool)> done;
  TimePoint retry_until;
};

void NotifyDone(const std::shared_ptr<PendingOutcome>& pending, bool recorded) {
  if (pending->done) {
    std::exchange(pending->done, nullptr)(recorded);
  }
}

void SendFinish(const std::shared_ptr<PendingOutcome>& pending);

void OnResult(const std::shared_ptr<PendingOutcome>& pending,
              const Result<OrderRecord>& result) {
  OrderContext& context = *pending->context;
  // A missing record is retried too: a delayed order.begin can still create it.
  const bool retry = !result && (MayHaveExecuted(result.error().code) ||
                                 result.error().code == ResultCode::kNotFound);
  if (!retry || result.has_value() ||
      context.clock.Now() > pending->retry_until) {
    --context.unrecorded_outcomes;
    LogEvent(result ? Severity::kInfo : Severity::kWarning,
             Event::kOrderFinished,
             {{"key", pending->identity.key},
              {"attempt_id", pending->identity.attempt_id},
              {"state", pending->state == OrderState::kRan ? "ran" : "not_run"},
              {"recorded", result.has_value()},
              {"message", result ? std::string() : result.error().message}});
    NotifyDone(pending, result.has_value());
    return;
  }
  NotifyDone(pending, false);
  context.timers.SubscribeOnce(context.clock.Now() + kRetryInterval,
                               [pending] { SendFinish(pending); });
}

void SendFinish(const std::shared_ptr<PendingOutcome>& pending) {
  OrderContext& context = *pending->context;
  context.store.Finish(pending->identity, pending->state, pending->response,
                       context.clock.Now() + kRecordTimeout,
                       [pending](const Result<OrderRecord>& result) {
                         OnResult(pending, result);
                       });
}

}  // namespace

void RecordOutcome(std::shared_ptr<OrderContext> context,
                   OrderIdentity identity,
                   OrderState state,
                   HttpResponse response,
                   std::function<void(bool recorded)> done) {
  ++context->unrecorded_outcomes;
  const TimePoint retry_until = context->clock.Now() + kRecordRetryLimit;
  SendFinish(std::make_shared<PendingOutcome>(
      PendingOutcome{std::move(context), std::move(identity), state,
                     std::move(response), std::move(done), retry_until}));
}

}  // namespace sycamorebend::entry
