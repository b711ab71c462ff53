// An exchange whose answers are not streamed, for tests of handlers.
#ifndef SYCAMOREBEND_TESTS_WHOLE_RESPONSE_EXCHANGE_H_
#define SYCAMOREBEND_TESTS_WHOLE_RESPONSE_EXCHANGE_H_

#include <functional>
#include <string_view>
#include <utility>

#include "sycamorebend/http.h"

namespace sycamorebend {

class WholeResponseExchange : public HttpExchange {
 public:
  explicit WholeResponseExchange(HttpRequest request)
      : request(std::move(request)) {}

  const HttpRequest& Request() const override { return this->request; }
  void StartStream(int, HttpHeaders) override {}
  void Write(std::string_view) override {}
  void FinishStream() override {}
  void AbortStream() override {}
  void OnCallerDisconnected(std::function<void()>) override {}
  std::size_t PendingBytes() const override { return 0; }

  HttpRequest request;
};

}  // namespace sycamorebend

#endif  // SYCAMOREBEND_TESTS_WHOLE_RESPONSE_EXCHANGE_H_
