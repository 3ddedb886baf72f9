#include "report/collect.h"

#include "http/httpclient.h"

#include <asio/io_context.hpp>

namespace kingcuphub::report {

namespace {

constexpr std::chrono::milliseconds AnswerTimeout(3000);
constexpr std::size_t MaxSnapshotBytes = 16U << 20U;
/// Of all processes of a deployment at once.
constexpr std::size_t MaxSnapshotsBytes = 1U << 30U;

void take(Collection &Into, const std::string &Source,
          const http::TransferResult &End, const http::Response &Whole) {
  if (End.End != http::TransferEnd::Complete || Whole.Status != 200) {
    Into.Missing.push_back(Source + " gave no metrics; check that the process "
                                    "runs and that the address is right");
    return;
  }
  nlohmann::json Body = nlohmann::json::parse(Whole.Body, nullptr, false);
  if (auto Parsed = parseSnapshot(Body))
    Into.Snapshots.push_back(*Parsed);
  else
    Into.Missing.push_back(Source + ": " + Parsed.error().Message);
}

} // namespace

Collection collect(const std::vector<base::Endpoint> &Sources) {
  asio::io_context Loop;
  auto Client = http::makeHttpClient(Loop, {MaxSnapshotsBytes});
  Collection Out;
  std::size_t Waiting = Sources.size();
  for (const base::Endpoint &Source : Sources) {
    http::ClientRequest Request;
    Request.Url = "http://" + Source.text() + "/metrics";
    Request.TotalTimeout = AnswerTimeout;
    Request.MaxBodyBytes = MaxSnapshotBytes;
    Client->fetch(Request,
                  [&Out, &Waiting, Source](const http::TransferResult &End,
                                           const http::Response &Whole) {
                    take(Out, Source.text(), End, Whole);
                    --Waiting;
                  });
  }
  while (Waiting > 0 && Loop.run_one() > 0) {
  }
  return Out;
}

} // namespace kingcuphub::report
