#include <future>

#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

// Collects an answer for a waiting thread.
class CollectingObserver : public HttpObserver {
 public:
  void OnHeaders(int status, const HttpHeaders& headers) override {
    this->response.status = status;
    this->response.headers = headers;
  }
  void OnData(std::string_view data) override {
    this->response.body.append(data);
  }
  void OnDone(const HttpOutcome& outcome) override {
    this->done.set_value(outcome);
  }

  HttpResponse response;
  std::promise<HttpOutcome> done;
};

}  // namespace

Result<HttpResponse> HttpClient::Fetch(HttpCall call) {
  if (call.max_body_bytes == 0) {
    call.max_body_bytes = kMaxFetchedBytes;
  }
  auto observer = std::make_shared<CollectingObserver>();
  std::future<HttpOutcome> done = observer->done.get_future();
  this->Start(std::move(call), observer);
  const HttpOutcome outcome = done.get();
  if (outcome.code != ResultCode::kOk) {
    return MakeError(outcome.code, outcome.message);
  }
  return std::move(observer->response);
}

}  // namespace sycamorebend
