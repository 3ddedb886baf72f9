#ifndef KINGCUPHUB_GATEWAY_TESTS_FAKES_H
#define KINGCUPHUB_GATEWAY_TESTS_FAKES_H

/// \file
/// Small in-process stands for a gateway's agent and targets, and a fixture
/// that runs them with a gateway on one loop.

#include "base/hashing.h"
#include "gateway/gateway.h"
#include "http/httpclient.h"
#include "http/httpserver.h"
#include "messaging/messaging.h"
#include "state/configreducer.h"

#include <asio/steady_timer.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <link.pb.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuphub::gateway {

constexpr const char *ClientKey = "sk-test-secret";

/// Answers polls, credit and claim requests as a test says.
class FakeAgent {
public:
  explicit FakeAgent(asio::io_context &Loop);

  std::string endpoint() const { return this->Server->endpoint(); }
  /// Appends a change to the configuration.
  void change(const std::function<void(wire::Record &)> &Fill);
  void report(const std::string &Target, const std::string &Model);
  void setCold(const std::string &Target, bool Cold);
  /// Answers the claim that was asked for last.
  void answerLastClaim();
  /// Stops or resumes answering polls.
  bool AnswersPolls = true;
  std::int64_t ProofAgeMs = 0;
  /// Granted at each credit request; 0 refuses with RetryAfterMs.
  std::int64_t CreditFactor = 1;
  std::int64_t RetryAfterMs = 7000;
  /// Cold slots that it may still grant, of all targets.
  std::int64_t SlotsLeft = 0;
  std::uint64_t Generation = 0;
  /// Account tokens granted and given back.
  std::int64_t CreditsOut = 0;
  std::int64_t CreditsBack = 0;
  /// What is answered to a claim; no answer if empty.
  std::optional<wire::ClaimVerdict> Verdict = wire::ClaimVerdict();
  std::vector<wire::ClaimRequest> Claims;
  std::vector<wire::ClaimResult> Results;
  bool SeesDraining = false;

private:
  void receive(const messaging::ClientName &From, std::string_view Bytes);
  void answerPoll(const messaging::ClientName &From, const wire::Poll &Poll);
  void answerCredit(const messaging::ClientName &From,
                    const wire::CreditRequest &Request);
  void takeBack(const wire::CreditReturn &Return);
  void answerClaim(const messaging::ClientName &From,
                   const wire::ClaimRequest &Request);
  void send(const messaging::ClientName &To, const wire::AgentMessage &What);

  std::unique_ptr<messaging::Messaging> Context;
  std::unique_ptr<messaging::MessageServer> Server;
  state::ConfigReducer Reducer;
  wire::TargetReports Reports;
  messaging::ClientName Gateway;
  int Records = 0;
};

/// How a FakeEngine answers one request; the defaults make a whole answer.
struct EngineScript {
  int Status = 200;
  std::size_t Tokens = 5;
  /// After this many tokens it says nothing more, with the connection open.
  std::optional<std::size_t> SilentAfter;
  /// After this many tokens it closes the connection.
  std::optional<std::size_t> DropAfter;
  /// Leaves this token out, or sends it twice.
  std::optional<std::size_t> Skip;
  std::optional<std::size_t> Repeat;
  /// Answers in the name of another request.
  bool Crossed = false;
  /// Closes the answer without `finish_reason`.
  bool NoFinish = false;
  std::chrono::milliseconds TokenGap{0};
};

struct EngineCall {
  std::string RequestId;
  std::size_t FirstToken = 0;
  nlohmann::json Body;
  std::vector<http::Header> Headers;
};

/// A model engine; its token I is "<I>".
class FakeEngine {
public:
  explicit FakeEngine(asio::io_context &Loop);

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Server->port());
  }
  /// Scripts of the next calls in turn; the last one stays.
  std::vector<EngineScript> Scripts{EngineScript{}};
  std::vector<EngineCall> Calls;
  std::vector<std::string> Cancelled;
  std::size_t MostRunning = 0;
  void stop() { this->Server.reset(); }

private:
  void handle(const http::Request &Asked, http::ResponseWriterPtr Answer);
  void play(const EngineScript &Script, const EngineCall &Call,
            const http::ResponseWriterPtr &Answer, std::size_t Token);
  void writeToken(const std::string &Id, std::size_t Token,
                  const http::ResponseWriterPtr &Answer);
  void writeEnd(const EngineScript &Script, const std::string &Id,
                const http::ResponseWriterPtr &Answer);

  asio::io_context &Loop;
  std::unique_ptr<http::HttpServer> Server;
  std::vector<http::ResponseWriterPtr> Silent;
  std::size_t Running = 0;
};

/// A plain service that counts its executions.
class FakeService {
public:
  explicit FakeService(asio::io_context &Loop);

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->Server->port());
  }
  std::vector<http::Request> Calls;
  int Status = 200;
  /// Executes, then closes the connection without an answer.
  int LoseAnswers = 0;
  /// Executes, then never answers.
  bool Silent = false;
  /// Answers with neither a length nor chunks.
  bool Unframed = false;
  /// Written into the heads of its answers as they are.
  std::vector<http::Header> MoreHeaders;
  void stop() { this->Server.reset(); }

private:
  std::unique_ptr<http::HttpServer> Server;
  std::vector<http::ResponseWriterPtr> Kept;
};

/// A whole answer as a caller got it.
struct Got {
  http::TransferResult Result;
  http::Response Answer;
  nlohmann::json json() const {
    return nlohmann::json::parse(this->Answer.Body, nullptr, false);
  }
  std::string header(std::string_view Name) const {
    return std::string(http::findHeader(this->Answer.Headers, Name));
  }
  std::string errorCode() const;
  /// The contents of a stream's tokens, concatenated.
  std::string streamText() const;
};

class GatewayTest : public testing::Test {
protected:
  void SetUp() override;
  void TearDown() override;

  /// Starts the gateway and waits until it is ready.
  void startGateway();
  std::shared_ptr<std::optional<Got>> send(http::ClientRequest Request);
  Got call(http::ClientRequest Request);
  http::ClientRequest chat(bool Stream, const std::string &Model = "m1") const;
  http::ClientRequest service(const std::string &Path,
                              const std::string &IdempotencyKey = "") const;
  std::string url(const std::string &Path) const {
    return "http://" + this->Running->endpoint() + Path;
  }
  void putTarget(const std::string &Id, const std::string &Address,
                 wire::TargetKind Kind, const std::string &Zone = "a");

  template <typename Predicate>
  bool runUntil(Predicate Holds,
                std::chrono::milliseconds Within = std::chrono::seconds(20)) {
    auto Deadline = std::chrono::steady_clock::now() + Within;
    while (!Holds() && std::chrono::steady_clock::now() < Deadline)
      this->Loop.run_one_for(std::chrono::milliseconds(20));
    return Holds();
  }
  void runFor(std::chrono::milliseconds Span) {
    this->runUntil([] { return false; }, Span);
  }

  asio::io_context Loop;
  base::SystemClock Clock;
  gateway::Settings Options;
  std::unique_ptr<FakeAgent> Agent;
  std::unique_ptr<FakeEngine> Engine;
  std::unique_ptr<FakeEngine> Other;
  std::unique_ptr<FakeService> Service;
  std::unique_ptr<http::HttpClient> Client;
  std::unique_ptr<Gateway> Running;
};

} // namespace kingcuphub::gateway

#endif // KINGCUPHUB_GATEWAY_TESTS_FAKES_H
