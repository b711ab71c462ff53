#include <curl/curl.h>
#include <fmt/format.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

#include "sycamorebend/http.h"

namespace sycamorebend {

namespace {

// Resolution of the timeouts that libcurl does not offer.
constexpr int kPollMs = 20;
constexpr long kIdleConnections = 256;
constexpr int kMaxStatusDigits = 3;
// Returned by a callback of libcurl to end the transfer with an error.
constexpr std::size_t kAbort = 0;
// Limit on the headers and trailers of a response. libcurl bounds only headers.
constexpr std::size_t kMaxHeaderBytes = 256 << 10;

using Headers = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

// One call on a libcurl handle. Used by one traffic thread only.
class Transfer {
 public:
  Transfer(HttpCallId id,
           HttpCall call,
           std::shared_ptr<HttpObserver> observer,
           const Clock& clock)
      : id(id),
        call(std::move(call)),
        observer(std::move(observer)),
        clock(clock),
        easy(curl_easy_init()),
        header_list(nullptr, &curl_slist_free_all),
        started(clock.Now()),
        last_data(started) {
    this->Configure();
  }

  ~Transfer() { curl_easy_cleanup(this->easy); }
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;

  CURL* Handle() const { return this->easy; }
  HttpCallId Id() const { return this->id; }

  // @return the code of the timeout that has passed, or kOk.
  ResultCode CheckTimeouts(TimePoint now) const {
    if (now - this->started > this->call.total_timeout) {
      return ResultCode::kTransportTimeout;
    }
    if (!this->received_data) {
      return now - this->started > this->call.first_byte_timeout
                 ? ResultCode::kServerFirstByteTimeout
                 : ResultCode::kOk;
    }
    return now - this->last_data > this->call.gap_timeout
               ? ResultCode::kServerStalled
               : ResultCode::kOk;
  }

  void Finish(CURLcode result) {
    HttpOutcome outcome = this->BuildOutcome();
    if (result != CURLE_OK) {
      outcome.code = this->Classify(result);
      outcome.message = fmt::format("{} {}: {}", this->call.method,
                                    this->call.url, curl_easy_strerror(result));
    } else if (!this->head_complete) {
      // libcurl reports success if the connection closes in the headers.
      outcome.code = ResultCode::kServerCrashed;
      outcome.message =
          fmt::format("{} {}: the connection closed in the response headers",
                      this->call.method, this->call.url);
    }
    this->observer->OnDone(outcome);
  }

  void Fail(ResultCode code) {
    this->Fail(code, std::string(GetResultCodeInfo(code).message));
  }
  void Fail(ResultCode code, const std::string& reason) {
    HttpOutcome outcome = this->BuildOutcome();
    outcome.code = code;
    outcome.message =
        fmt::format("{} {}: {}", this->call.method, this->call.url, reason);
    this->observer->OnDone(outcome);
  }

  // libcurl writes the method and the headers as they are.
  // @return why the head cannot be written; empty if it can.
  std::string FindInvalidHead() const {
    if (!IsHeaderName(this->call.method)) {
      return "the method has characters of no method";
    }
    const auto invalid = std::find_if_not(
        this->call.headers.begin(), this->call.headers.end(), IsValidHeader);
    return invalid == this->call.headers.end()
               ? std::string()
               : fmt::format(
                     "header \"{}\" would end its line early and was not sent",
                     invalid->name);
  }

 private:
  void Configure() {
    CURL* const handle = this->easy;
    curl_easy_setopt(handle, CURLOPT_URL, this->call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http,https");
    // Traffic between the daemons and to backend servers never uses a proxy
    // from the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(
        handle, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(ToMilliseconds(this->call.connect_timeout)));
    curl_easy_setopt(handle, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &Transfer::OnHeaderLine);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &Transfer::OnBeforeSend);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    if (this->call.accept_compressed) {
      curl_easy_setopt(handle, CURLOPT_ACCEPT_ENCODING, "gzip");
    }
    if (this->call.fresh_connection) {
      curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    }
    this->ConfigureRequest();
  }

  void ConfigureRequest() {
    CURL* const handle = this->easy;
    if (this->call.method == "HEAD") {
      curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (!this->call.body.empty() || this->call.method == "POST" ||
               this->call.method == "PUT" || this->call.method == "PATCH") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(this->call.body.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, this->call.body.c_str());
    }
    if (this->call.method != "HEAD") {
      curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST,
                       this->call.method.c_str());
    }
    // Without this, libcurl waits for "100 Continue" before larger bodies.
    this->AddHeader("Expect:");
    // libcurl adds these on its own; a call has the caller's headers only.
    for (const char* const name : {"Accept", "Content-Type"}) {
      if (!FindHeader(this->call.headers, name)) {
        this->AddHeader(std::string(name) + ":");
      }
    }
    for (const HttpHeader& header : this->call.headers) {
      this->AddHeader(header.value.empty() ? header.name + ";"
                                           : header.name + ": " + header.value);
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, this->header_list.get());
  }

  void AddHeader(const std::string& line) {
    curl_slist* const list =
        curl_slist_append(this->header_list.release(), line.c_str());
    this->header_list.reset(list);
  }

  static int OnBeforeSend(void* context,
                          char* /*remote_address*/,
                          char* /*local_address*/,
                          int /*remote_port*/,
                          int /*local_port*/) {
    auto* const transfer = static_cast<Transfer*>(context);
    if (transfer->call.before_send && !transfer->call.before_send()) {
      return CURL_PREREQFUNC_ABORT;
    }
    transfer->sending = true;
    return CURL_PREREQFUNC_OK;
  }

  static std::size_t OnHeaderLine(char* data,
                                  std::size_t size,
                                  std::size_t count,
                                  void* context) {
    auto* const transfer = static_cast<Transfer*>(context);
    transfer->header_bytes += size * count;
    if (transfer->header_bytes > kMaxHeaderBytes) {
      return kAbort;
    }
    return transfer->AddHeaderLine(std::string_view(data, size * count))
               ? size * count
               : kAbort;
  }

  // @return false if it is a status line without a status code.
  bool AddHeaderLine(std::string_view line) {
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
      line.remove_suffix(1);
    }
    if (line.substr(0, 5) == "HTTP/") {
      this->response_headers.clear();
      const std::size_t space = line.find(' ');
      if (space != std::string_view::npos) {
        const std::string_view digits =
            line.substr(space + 1, kMaxStatusDigits);
        std::from_chars(digits.data(), digits.data() + digits.size(),
                        this->status);
      }
      return IsStatusCode(this->status);
    }
    if (line.empty()) {
      if (this->status >= 200) {
        this->head_complete = true;
        this->observer->OnHeaders(this->status, this->response_headers);
      }
      return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      return true;
    }
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t')) {
      value.remove_prefix(1);
    }
    this->response_headers.push_back(
        {std::string(line.substr(0, colon)), std::string(value)});
    return true;
  }

  static std::size_t OnBody(char* data,
                            std::size_t size,
                            std::size_t count,
                            void* context) {
    auto* const transfer = static_cast<Transfer*>(context);
    transfer->body_bytes += size * count;
    const std::size_t max_body_bytes = transfer->call.max_body_bytes;
    if (max_body_bytes > 0 && transfer->body_bytes > max_body_bytes) {
      return kAbort;
    }
    transfer->received_data = true;
    transfer->last_data = transfer->clock.Now();
    transfer->observer->OnData(std::string_view(data, size * count));
    return size * count;
  }

  HttpOutcome BuildOutcome() const {
    HttpOutcome outcome;
    outcome.status = this->status;
    outcome.nothing_sent = !this->sending;
    long request_headers = 0;
    long response_headers = 0;
    curl_off_t uploaded = 0;
    curl_off_t downloaded = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &request_headers);
    curl_easy_getinfo(this->easy, CURLINFO_HEADER_SIZE, &response_headers);
    curl_easy_getinfo(this->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
    curl_easy_getinfo(this->easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
    outcome.bytes_sent = static_cast<std::uint64_t>(request_headers + uploaded);
    outcome.bytes_received =
        static_cast<std::uint64_t>(response_headers + downloaded);
    return outcome;
  }

  ResultCode Classify(CURLcode result) const {
    if (!this->sending) {
      return result == CURLE_ABORTED_BY_CALLBACK ? ResultCode::kCancelled
                                                 : ResultCode::kConnectFailed;
    }
    switch (result) {
      case CURLE_OPERATION_TIMEDOUT:
        return ResultCode::kTransportTimeout;
      case CURLE_GOT_NOTHING:
      case CURLE_PARTIAL_FILE:
      case CURLE_RECV_ERROR:
      case CURLE_SEND_ERROR:
        return ResultCode::kServerCrashed;
      default:
        return ResultCode::kProtocolError;
    }
  }

  const HttpCallId id;
  const HttpCall call;
  const std::shared_ptr<HttpObserver> observer;
  const Clock& clock;
  CURL* const easy;
  Headers header_list;
  HttpHeaders response_headers;
  int status = 0;
  bool sending = false;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  bool head_complete = false;  // That of the final response.
  bool received_data = false;
  TimePoint started;
  TimePoint last_data;
};

// One traffic thread with its own connections.
class TrafficThread {
 public:
  TrafficThread() : multi(curl_multi_init()) {
    curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~TrafficThread() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    curl_multi_wakeup(this->multi);
    this->thread.join();
    curl_multi_cleanup(this->multi);
  }

  void Start(HttpCallId id,
             HttpCall call,
             std::shared_ptr<HttpObserver> observer) {
    {
      std::lock_guard lock(this->mutex);
      this->added.push_back({id, std::move(call), std::move(observer)});
    }
    curl_multi_wakeup(this->multi);
  }

  void Cancel(HttpCallId id) {
    {
      std::lock_guard lock(this->mutex);
      this->cancelled.push_back(id);
    }
    curl_multi_wakeup(this->multi);
  }

 private:
  struct NewCall {
    HttpCallId id;
    HttpCall call;
    std::shared_ptr<HttpObserver> observer;
  };

  void Run() {
    while (this->TakeCommands()) {
      int running = 0;
      curl_multi_perform(this->multi, &running);
      this->ReapFinished();
      this->ReapTimedOut();
      curl_multi_poll(this->multi, nullptr, 0, kPollMs, nullptr);
    }
    while (!this->transfers.empty()) {
      this->Remove(this->transfers.begin()->first, ResultCode::kCancelled);
    }
  }

  // @return false when the thread must end.
  bool TakeCommands() {
    std::vector<NewCall> new_calls;
    std::vector<HttpCallId> cancelled_ids;
    {
      std::lock_guard lock(this->mutex);
      new_calls.swap(this->added);
      cancelled_ids.swap(this->cancelled);
      if (this->stopping && new_calls.empty()) {
        return false;
      }
    }
    for (NewCall& call : new_calls) {
      auto transfer = std::make_unique<Transfer>(
          call.id, std::move(call.call), std::move(call.observer), this->clock);
      const std::string invalid = transfer->FindInvalidHead();
      if (!invalid.empty()) {
        transfer->Fail(ResultCode::kMalformedRequest, invalid);
        continue;
      }
      curl_multi_add_handle(this->multi, transfer->Handle());
      this->transfers.emplace(call.id, std::move(transfer));
    }
    for (const HttpCallId id : cancelled_ids) {
      this->Remove(id, ResultCode::kCancelled);
    }
    return true;
  }

  void Remove(HttpCallId id, ResultCode code) {
    const auto found = this->transfers.find(id);
    if (found == this->transfers.end()) {
      return;
    }
    const std::unique_ptr<Transfer> transfer = std::move(found->second);
    this->transfers.erase(found);
    curl_multi_remove_handle(this->multi, transfer->Handle());
    transfer->Fail(code);
  }

  void ReapFinished() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode result = message->data.result;
      Transfer* finished = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &finished);
      curl_multi_remove_handle(this->multi, finished->Handle());
      const auto found = this->transfers.find(finished->Id());
      const std::unique_ptr<Transfer> transfer = std::move(found->second);
      this->transfers.erase(found);
      transfer->Finish(result);
    }
  }

  void ReapTimedOut() {
    const TimePoint now = this->clock.Now();
    if (now - this->last_timeout_check < milliseconds(kPollMs)) {
      return;
    }
    this->last_timeout_check = now;
    std::vector<std::pair<HttpCallId, ResultCode>> late;
    for (const auto& [id, transfer] : this->transfers) {
      const ResultCode code = transfer->CheckTimeouts(now);
      if (code != ResultCode::kOk) {
        late.emplace_back(id, code);
      }
    }
    for (const auto& [id, code] : late) {
      this->Remove(id, code);
    }
  }

  SystemClock clock;
  CURLM* const multi;
  std::mutex mutex;
  std::vector<NewCall> added;
  std::vector<HttpCallId> cancelled;
  bool stopping = false;
  std::unordered_map<HttpCallId, std::unique_ptr<Transfer>> transfers;
  TimePoint last_timeout_check;
  std::thread thread;
};

class CurlClient : public HttpClient {
 public:
  explicit CurlClient(int thread_count) {
    for (int i = 0; i < thread_count; ++i) {
      this->threads.push_back(std::make_unique<TrafficThread>());
    }
  }

  HttpCallId Start(HttpCall call,
                   std::shared_ptr<HttpObserver> observer) override {
    const HttpCallId id = this->next_id.fetch_add(1);
    this->ThreadOf(id).Start(id, std::move(call), std::move(observer));
    return id;
  }

  void Cancel(HttpCallId id) override { this->ThreadOf(id).Cancel(id); }

 private:
  TrafficThread& ThreadOf(HttpCallId id) {
    return *this->threads[id % this->threads.size()];
  }

  std::vector<std::unique_ptr<TrafficThread>> threads;
  std::atomic<HttpCallId> next_id{1};
};

}  // namespace

std::unique_ptr<HttpClient> HttpClient::Create(int threads) {
  static std::once_flag initialized;
  std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_ALL); });
  return std::make_unique<CurlClient>(threads);
}

}  // namespace sycamorebend
