#ifndef KINGCUPHUB_LOGSERVICE_LOGCLIENT_H
#define KINGCUPHUB_LOGSERVICE_LOGCLIENT_H

/// \file
/// The platform's append-only log. Callbacks come on the loop's thread, once
/// each; a client that is destroyed calls none.

#include "base/ids.h"
#include "http/httpclient.h"
#include "logservice/platformerror.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace kingcuphub::logservice {

/// The streams that the system keeps.
constexpr const char *ConfigStream = "config";
constexpr const char *SystemStream = "system";
constexpr const char *ClaimsStream = "claims";

struct LogRecord {
  base::Offset At;
  std::string Data;
};

/// Where and how long to read.
struct LogRead {
  std::string Stream;
  base::Offset From;
  std::size_t MaxRecords = 1000;
  /// How long the platform waits for a record where there is none.
  std::chrono::milliseconds Wait{0};
};

struct LogPage {
  /// The oldest record that is kept.
  base::Offset First;
  /// Where to read on.
  base::Offset Next;
  /// The offset after the newest record.
  base::Offset Tail;
  std::vector<LogRecord> Records;
};

/// The records from the asked offset are no longer kept.
struct LogExpired {
  base::Offset First;
};

using LogAnswer = std::variant<LogPage, LogExpired>;

class LogClient {
public:
  using AppendDone = std::function<void(base::Result<base::Offset>)>;
  using ReadDone = std::function<void(base::Result<LogAnswer>)>;

  virtual ~LogClient() = default;
  /// Fails with Unavailable only if the record is certainly not appended.
  virtual void append(const std::string &Stream, std::string Record,
                      AppendDone Done) = 0;
  virtual void read(const LogRead &Where, ReadDone Done) = 0;
};

/// A client of the log at \p PlatformUrl, as in `http://127.0.0.1:8080`;
/// \p Http outlives it.
std::unique_ptr<LogClient> makeLogClient(http::HttpClient &Http,
                                         std::string PlatformUrl);

} // namespace kingcuphub::logservice

#endif // KINGCUPHUB_LOGSERVICE_LOGCLIENT_H
