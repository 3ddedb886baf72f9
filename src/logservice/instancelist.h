#ifndef KINGCUPHUB_LOGSERVICE_INSTANCELIST_H
#define KINGCUPHUB_LOGSERVICE_INSTANCELIST_H

/// \file
/// The platform's list of the system's instances. It lags behind what is.

#include "base/ids.h"
#include "http/httpclient.h"
#include "logservice/platformerror.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuphub::logservice {

struct ListedInstance {
  base::InstanceId Instance;
  base::ZoneId Zone;
  bool Leaving = false;
};

class InstanceListClient {
public:
  using Done = std::function<void(base::Result<std::vector<ListedInstance>>)>;

  virtual ~InstanceListClient() = default;
  virtual void list(Done OnList) = 0;
};

/// A client of the list at \p PlatformUrl; \p Http outlives it.
std::unique_ptr<InstanceListClient>
makeInstanceListClient(http::HttpClient &Http, std::string PlatformUrl);

} // namespace kingcuphub::logservice

#endif // KINGCUPHUB_LOGSERVICE_INSTANCELIST_H
