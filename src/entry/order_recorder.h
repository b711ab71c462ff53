// Records the outcome of an order at the control replicas, with retries while
// they cannot be reached.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_

#include <functional>
#include <memory>

#include "entry/order_session.h"

namespace sycamorebend::entry {

// Timeout of each order.finish call. The first one delays the response to the
// caller.
inline constexpr Duration kRecordTimeout = seconds(2);
// Retries end after this time. The record then stays "started", which callers
// see as an unknown outcome.
inline constexpr Duration kRecordRetryLimit = std::chrono::minutes(10);

// Calls order.finish until it succeeds, fails for good or kRecordRetryLimit has
// passed.
// @param done may be null. It runs once, on any thread, when the outcome is
// recorded, or with false when the first call fails. Retries follow in the
// background.
void RecordOutcome(std::shared_ptr<OrderContext> context,
                   OrderIdentity identity,
                   OrderState state,
                   HttpResponse response,
                   std::function<void(bool recorded)> done);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_
