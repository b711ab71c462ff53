// Records the outcome of an order, also while the control replicas cannot be
// reached.
#ifndef SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_
#define SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_

#include <functional>
#include <memory>

#include "entry/order_session.h"

namespace sycamorebend::entry {

// Longest time that a caller waits for its outcome to be recorded.
inline constexpr Duration kRecordWait = seconds(2);
// Time after which an outcome that cannot be recorded is given up; the order
// stays started, which callers see as unknown.
inline constexpr Duration kRecordGiveUp = std::chrono::minutes(10);

// Sends order.finish until it is answered.
// @param done runs once, on any thread, when the outcome is recorded or cannot
// be recorded within kRecordWait. The attempts go on in the latter case.
void RecordOutcome(std::shared_ptr<OrderContext> context,
                   OrderIdentity identity,
                   OrderState state,
                   HttpResponse response,
                   std::function<void(bool recorded)> done);

}  // namespace sycamorebend::entry

#endif  // SYCAMOREBEND_SRC_ENTRY_ORDER_RECORDER_H_
