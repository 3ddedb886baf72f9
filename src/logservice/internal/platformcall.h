#ifndef KINGCUPHUB_LOGSERVICE_INTERNAL_PLATFORMCALL_H
#define KINGCUPHUB_LOGSERVICE_INTERNAL_PLATFORMCALL_H

/// \file
/// What the platform's clients share: transfers that end with their owner,
/// and the reading of answers.

#include "http/httpclient.h"
#include "logservice/platformerror.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace kingcuphub::logservice {

/// One answer of the platform, or why there is none.
using CallDone = std::function<void(base::Result<http::Response>)>;

/// Makes calls; drops their callbacks when it is destroyed.
class PlatformCaller {
public:
  PlatformCaller(http::HttpClient &Http, std::string PlatformUrl);
  PlatformCaller(const PlatformCaller &) = delete;
  PlatformCaller &operator=(const PlatformCaller &) = delete;
  ~PlatformCaller();

  void call(const std::string &Method, const std::string &PathAndQuery,
            std::string Body, std::chrono::milliseconds Timeout, CallDone Done);

private:
  http::HttpClient &Http;
  std::string PlatformUrl;
  std::shared_ptr<bool> Alive;
};

/// A body as a JSON object; fails with BadAnswer.
base::Result<nlohmann::json> parseBody(const http::Response &Answer);

/// A whole number of \p Object; fails with BadAnswer.
base::Result<std::uint64_t> readNumber(const nlohmann::json &Object,
                                       const char *Name);

} // namespace kingcuphub::logservice

#endif // KINGCUPHUB_LOGSERVICE_INTERNAL_PLATFORMCALL_H
