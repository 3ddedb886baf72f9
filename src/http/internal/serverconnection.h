#ifndef KINGCUPHUB_HTTP_INTERNAL_SERVERCONNECTION_H
#define KINGCUPHUB_HTTP_INTERNAL_SERVERCONNECTION_H

/// \file
/// One caller's connection: requests are read one after another, and the next
/// is handed over once the answer to the last is complete. A read is always
/// pending, so that the caller's departure is noticed at once.

#include "http/httpserver.h"
#include "http/messageparser.h"
#include "streamreader.h"
#include "streamwriter.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace kingcuphub::http {

class ServerConnection;

/// What the connections of one server share.
struct ServerState {
  CallerLimits Limits;
  ServerMemory Memory;
  RequestHandler Handler;
  /// Answers end their connections.
  bool Draining = false;
  std::set<std::shared_ptr<ServerConnection>> Connections;
  /// A check of the unsent bytes of all connections is scheduled.
  bool ChecksUnsent = false;
};

class ServerConnection final
    : public std::enable_shared_from_this<ServerConnection> {
public:
  class Answer;

  ServerConnection(asio::ip::tcp::socket Socket,
                   std::shared_ptr<ServerState> Shared);
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  void start();
  /// Closes at once; an answer that is not complete is cut.
  void close();
  /// Closes unless a request has begun to arrive or is being answered.
  void closeIfIdle();
  /// In bytes.
  std::size_t unsentMemory() const { return this->UnsentMemory.size(); }

private:
  enum class Phase {
    /// Between requests, or inside one that is being read.
    Reading,
    /// A request is with the handler.
    Answering,
    /// The last answer has been written; waits for the caller to close.
    Lingering,
    Closed,
  };

  void read();
  void onRead(asio::error_code Failed, std::string_view Bytes);
  void parse();
  void onHead(MessageHead Head);
  void onBody(std::string_view Piece);
  /// Makes room for a body of \p Least bytes, better \p Wanted; refuses the
  /// request and returns false if there is none.
  bool makeRoom(std::size_t Least, std::size_t Wanted);
  void refuseForMemory(MemoryRefusal Why);
  void dispatch();
  void reject(int Status);
  void respondAndLinger(const Response &Whole);
  void recordUnsent();
  void dropSlowReaders();
  void watch();
  bool overdue() const;

  // Called by the answer.
  void send(std::string Bytes);
  /// Until endSending(), the connection ends by a reset only.
  void endByReset();
  void endSending();
  void onAllSent();
  void answerDone();
  void linger();

  asio::ip::tcp::socket Socket;
  std::shared_ptr<ServerState> Shared;
  MessageParser Parser;
  StreamReader Reader;
  StreamWriter Writer;
  asio::steady_timer Timer;
  /// Bytes that were read and not parsed yet.
  std::string Backlog;
  base::MemoryReservation BacklogMemory;
  base::MemoryReservation UnsentMemory;
  Request Incoming;
  std::size_t IncomingHeadBytes = 0;
  bool KeepAlive = true;
  bool KnowsChunks = true;
  Phase At = Phase::Reading;
  /// When the phase, or the message that is being read, began.
  std::chrono::steady_clock::time_point Since;
  std::chrono::steady_clock::time_point LastReadAt;
  std::weak_ptr<Answer> Current;
};

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_INTERNAL_SERVERCONNECTION_H
