#include "entry/order_recorder.h"

#include <utility>

namespace sycamorebend::entry {

namespace {

constexpr Duration kRetryInterval = seconds(1);

// One outcome that is being recorded.
struct Recording {
  std::shared_ptr<OrderContext> context;
  OrderIdentity identity;
  OrderState state;
  HttpResponse response;
  std::function<void(bool)> done;
  TimePoint give_up;
};

void Finish(const std::shared_ptr<Recording>& recording, bool recorded) {
  if (recording->done) {
    std::exchange(recording->done, nullptr)(recorded);
  }
}

void Try(const std::shared_ptr<Recording>& recording);

void OnResult(const std::shared_ptr<Recording>& recording,
              const Result<OrderRecord>& result) {
  OrderContext& context = *recording->context;
  // A record that was not begun yet can still appear, because order.begin may
  // have been delayed.
  const bool again = !result && (MayHaveExecuted(result.error().code) ||
                                 result.error().code == ResultCode::kNotFound);
  if (!again || result.has_value() ||
      context.clock.Now() > recording->give_up) {
    --context.unrecorded;
    LogEvent(
        result ? Severity::kInfo : Severity::kWarning, Event::kOrderFinished,
        {{"key", recording->identity.key},
         {"attempt_id", recording->identity.attempt_id},
         {"state", recording->state == OrderState::kRan ? "ran" : "not_run"},
         {"recorded", result.has_value()},
         {"message", result ? std::string() : result.error().message}});
    Finish(recording, result.has_value());
    return;
  }
  Finish(recording, false);
  context.timers.SubscribeOnce(context.clock.Now() + kRetryInterval,
                               [recording] { Try(recording); });
}

void Try(const std::shared_ptr<Recording>& recording) {
  OrderContext& context = *recording->context;
  context.ledger.Finish(recording->identity, recording->state,
                        recording->response, context.clock.Now() + kRecordWait,
                        [recording](const Result<OrderRecord>& result) {
                          OnResult(recording, result);
                        });
}

}  // namespace

void RecordOutcome(std::shared_ptr<OrderContext> context,
                   OrderIdentity identity,
                   OrderState state,
                   HttpResponse response,
                   std::function<void(bool recorded)> done) {
  ++context->unrecorded;
  const TimePoint give_up = context->clock.Now() + kRecordGiveUp;
  Try(std::make_shared<Recording>(
      Recording{std::move(context), std::move(identity), state,
                std::move(response), std::move(done), give_up}));
}

}  // namespace sycamorebend::entry
