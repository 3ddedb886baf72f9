#include "logservice/instancelist.h"

#include "platformcall.h"

#include <utility>

namespace kingcuphub::logservice {

namespace {

constexpr std::chrono::milliseconds ListTimeout{2000};

std::string textOf(const nlohmann::json &Item, const char *Name) {
  auto Found = Item.find(Name);
  bool Good = Found != Item.end() && Found->is_string();
  return Good ? Found->get<std::string>() : std::string();
}

base::Result<std::vector<ListedInstance>>
parseList(const http::Response &Answer) {
  auto Body = parseBody(Answer);
  if (!Body)
    return tl::unexpected<base::Error>(Body.error());
  auto Items = Body->find("instances");
  if (Items == Body->end() || !Items->is_array())
    return base::fail(PlatformErrc::BadAnswer,
                      "the platform's list has no instances; check "
                      "platform_url");
  std::vector<ListedInstance> Out;
  for (const nlohmann::json &Item : *Items)
    if (std::string Name = textOf(Item, "instance"); !Name.empty())
      Out.push_back(
          {{Name}, {textOf(Item, "zone")}, textOf(Item, "state") == "leaving"});
  return Out;
}

class HttpInstanceList final : public InstanceListClient {
public:
  HttpInstanceList(http::HttpClient &Http, std::string PlatformUrl)
      : Caller(Http, std::move(PlatformUrl)) {}

  void list(Done OnList) override {
    this->Caller.call(
        "GET", "/v1/instances", {}, ListTimeout,
        [OnList = std::move(OnList)](base::Result<http::Response> Answer) {
          OnList(Answer.and_then(parseList));
        });
  }

private:
  PlatformCaller Caller;
};

} // namespace

std::unique_ptr<InstanceListClient>
makeInstanceListClient(http::HttpClient &Http, std::string PlatformUrl) {
  return std::make_unique<HttpInstanceList>(Http, std::move(PlatformUrl));
}

} // namespace kingcuphub::logservice
