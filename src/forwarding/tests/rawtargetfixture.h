#ifndef KINGCUPHUB_FORWARDING_TESTS_RAWTARGETFIXTURE_H
#define KINGCUPHUB_FORWARDING_TESTS_RAWTARGETFIXTURE_H

#include "common/rawcaller.h"
#include "common/rawserver.h"
#include "common/understood.h"
#include "forwarderfixture.h"

namespace kingcuphub::forwarding {

using standin::RawCaller;
using standin::RawConnection;
using standin::Seen;
using standin::understand;
using standin::Understood;

inline constexpr const char *Unframed = "";
inline constexpr const char *Chunked = "Transfer-Encoding: chunked\r\n";
inline constexpr const char *LastChunk = "0\r\n\r\n";

inline std::string lengthHeader(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

inline std::string headOf(const http::Request &Asked,
                          const std::string &Framing) {
  return "HTTP/1.1 200 OK\r\nId: " + std::string(Asked.header("Id")) +
         "\r\nProof: p\r\n" + Framing + "\r\n";
}

inline std::string chunk(const std::string &Bytes) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Bytes.size());
  return Size.data() + Bytes + "\r\n";
}

inline std::string event(int Id) {
  return "id: " + std::to_string(Id) + "\ndata: x\n\n";
}

/// Targets that write their answers byte by byte.
class RawTargetTest : public ForwarderTest {
protected:
  using Behaviour = std::function<void(const http::Request &, RawConnection &)>;

  void SetUp() override {
    ForwarderTest::SetUp();
    for (auto &Each : this->RawTargets)
      Each = std::make_unique<standin::RawServer>(
          this->Loop, [this](const http::Request &Asked,
                             const std::shared_ptr<RawConnection> &Answer) {
            this->Arrived.push_back(Asked);
            std::size_t Turn =
                std::min(this->Arrived.size(), this->Turns.size()) - 1;
            this->Turns[Turn](Asked, *Answer);
          });
  }

  std::uint16_t targetPort(std::size_t Index) const override {
    return this->RawTargets[Index]->port();
  }

  /// Sends a request whose first attempt meets the first behaviour, and so on;
  /// the last one goes on.
  Understood ask(std::vector<Behaviour> NewTurns,
                 const std::string &Method = "POST") {
    this->Turns = std::move(NewTurns);
    this->Arrived.clear();
    this->Caller =
        std::make_unique<RawCaller>(this->Loop, this->FrontServer->port());
    this->Caller->send(Method + " /x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: q" +
                       std::to_string(++this->SentRequests) +
                       "\r\nKey: k\r\nModel: " + this->Model + "\r\nParts: " +
                       this->Parts + "\r\nContent-Length: 0\r\n\r\n");
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    Understood Out;
    while (Out.End == Seen::Pending &&
           std::chrono::steady_clock::now() < Deadline) {
      this->Loop.run_one_for(milliseconds(20));
      Out = understand(*this->Caller, Method != "HEAD");
    }
    return Out;
  }

  static Behaviour inOrder(const std::string &Framing,
                           const std::string &Bytes) {
    return [=](const http::Request &Asked, RawConnection &Answer) {
      Answer.write(headOf(Asked, Framing) + Bytes);
      Answer.close();
    };
  }

  std::array<std::unique_ptr<standin::RawServer>, 2> RawTargets;
  std::vector<Behaviour> Turns;
  std::vector<http::Request> Arrived;
  std::unique_ptr<RawCaller> Caller;
  /// Of the requests' prompts, a letter each.
  std::string Parts;
};

} // namespace kingcuphub::forwarding

#endif // KINGCUPHUB_FORWARDING_TESTS_RAWTARGETFIXTURE_H
