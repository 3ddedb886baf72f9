#include "http/httpclient.h"

#include "discardunsent.h"
#include "http/messageparser.h"

#include <algorithm>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>

namespace kingcuphub::http {

namespace {

constexpr long MaxIdleConnections = 4096;
/// Keep-alive probes, in seconds, and how many of them go unanswered before a
/// connection is given up.
constexpr long ProbeSeconds = 1;
constexpr int ProbeCount = 2;

/// Sets what libcurl has no options for; \p Owner is the ClientRequest.
int setSocketOptions(void *Owner, curl_socket_t Socket, curlsocktype) {
  // Without the options a silent connection is found later, by the timeout.
  setsockopt(Socket, IPPROTO_TCP, TCP_KEEPCNT, &ProbeCount, sizeof(ProbeCount));
  auto Unacknowledged = static_cast<unsigned>(
      static_cast<ClientRequest *>(Owner)->UnacknowledgedTimeout.count());
  if (Unacknowledged > 0)
    setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &Unacknowledged,
               sizeof(Unacknowledged));
  return CURL_SOCKOPT_OK;
}

int closeSocket(void *, curl_socket_t Socket) {
  discardUnsentOnClose(Socket);
  return close(Socket);
}

/// libcurl's global state, set up before the first handle.
struct CurlLibrary {
  CurlLibrary() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

class CurlClient;

/// Why a client ends a transfer by itself, and as what.
struct DropReason {
  TransferEnd End = TransferEnd::TooLarge;
  std::string Detail;
};

struct Transfer {
  TransferId Id;
  CurlClient *Owner = nullptr;
  ClientRequest Request;
  TransferCallbacks Callbacks;
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  std::vector<Header> Head;
  /// Between a status line and the empty line of that head.
  bool InHead = false;
  /// The final head has arrived.
  bool HeadDone = false;
  /// Counted against the bounds; a body without bound is not.
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  /// Set once the client has dropped it.
  std::optional<DropReason> Dropped;
  /// No longer one of its client's, but not yet out of libcurl.
  bool Taken = false;

  std::size_t bytes() const { return this->HeadBytes + this->BodyBytes; }
  /// How much of its bounds it has used.
  double share() const {
    return static_cast<double>(this->bytes()) /
           static_cast<double>(std::max<std::size_t>(
               1, this->Request.MaxHeadBytes +
                      this->Request.MaxBodyBytes.value_or(0)));
  }

  ~Transfer() {
    curl_slist_free_all(this->HeaderList);
    if (this->Easy != nullptr)
      curl_easy_cleanup(this->Easy);
  }
};

/// A socket of libcurl's, watched on the loop but not owned by it.
struct Watch {
  explicit Watch(asio::io_context &Loop, curl_socket_t Socket)
      : Descriptor(Loop, Socket) {}
  asio::posix::stream_descriptor Descriptor;
  int Wanted = 0;
  bool Reading = false;
  bool Writing = false;
};

bool hasBody(const Transfer &Of, int Status) {
  return Of.Request.Method != "HEAD" && !isBodyless(Status);
}

bool hasStatedEnd(const Transfer &Of, int Status) {
  return !hasBody(Of, Status) ||
         !findHeader(Of.Head, "Content-Length").empty() ||
         !findHeader(Of.Head, "Transfer-Encoding").empty();
}

DropReason boundPassed(const char *By, std::size_t Bytes) {
  return {TransferEnd::TooLarge, std::string("the ") + By + " passed " +
                                     std::to_string(Bytes) + " bytes"};
}

DropReason malformed(std::string Detail) {
  return {TransferEnd::Cut, std::move(Detail)};
}

std::string_view withoutBlanksBefore(std::string_view Text) {
  return Text.substr(std::min(Text.size(), Text.find_first_not_of(" \t")));
}

/// libcurl hands on whole lines only and bounds a single one by itself, with a
/// code that depends on its version.
bool isLineTooLong(CURLcode Code) {
#if LIBCURL_VERSION_NUM >= 0x080600
  if (Code == CURLE_TOO_LARGE)
    return true;
#endif
  return Code == CURLE_OUT_OF_MEMORY;
}

TransferEnd endOf(CURLcode Code) {
  switch (Code) {
  case CURLE_OK:
    return TransferEnd::Complete;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
  case CURLE_UNSUPPORTED_PROTOCOL:
    return TransferEnd::CannotConnect;
  case CURLE_OPERATION_TIMEDOUT:
    return TransferEnd::TimedOut;
  default:
    return TransferEnd::Cut;
  }
}

class CurlClient final : public HttpClient {
public:
  CurlClient(asio::io_context &Loop, HttpClientSettings Settings)
      : Loop(Loop), Settings(Settings), Timer(Loop),
        Alive(std::make_shared<bool>(true)) {
    static CurlLibrary Library;
    this->Multi = curl_multi_init();
    curl_multi_setopt(this->Multi, CURLMOPT_SOCKETFUNCTION, socketCallback);
    curl_multi_setopt(this->Multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->Multi, CURLMOPT_TIMERFUNCTION, timerCallback);
    curl_multi_setopt(this->Multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    curl_multi_setopt(this->Multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  CurlClient(const CurlClient &) = delete;
  CurlClient &operator=(const CurlClient &) = delete;

  ~CurlClient() override {
    *this->Alive = false;
    for (auto &[Easy, Each] : this->Transfers)
      curl_multi_remove_handle(this->Multi, Easy);
    this->Transfers.clear();
    curl_multi_cleanup(this->Multi);
    for (auto &[Socket, Each] : this->Watches)
      Each->Descriptor.release();
  }

  TransferId start(ClientRequest Request,
                   TransferCallbacks Callbacks) override {
    auto New = std::make_unique<Transfer>();
    New->Id = TransferId{++this->LastId};
    New->Request = std::move(Request);
    New->Callbacks = std::move(Callbacks);
    New->Owner = this;
    New->Easy = curl_easy_init();
    this->configure(*New);
    CURL *Easy = New->Easy;
    TransferId Id = New->Id;
    this->ById[Id.Value] = Easy;
    this->Transfers.emplace(Easy, std::move(New));
    if (this->CallbackDepth == 0) {
      curl_multi_add_handle(this->Multi, Easy);
      return Id;
    }
    // libcurl refuses new handles inside its own callbacks.
    asio::post(this->Loop, [this, Easy, Live = this->Alive] {
      if (*Live && this->Transfers.count(Easy) != 0)
        curl_multi_add_handle(this->Multi, Easy);
    });
    return Id;
  }

  void cancel(TransferId Id) override {
    auto Found = this->ById.find(Id.Value);
    if (Found == this->ById.end())
      return;
    CURL *Easy = Found->second;
    std::shared_ptr<Transfer> Held = this->take(Easy);
    Held->Callbacks = {};
    // libcurl forbids removal inside its own callbacks, so the handle goes
    // from the loop.
    asio::post(this->Loop, [this, Held, Live = this->Alive] {
      if (*Live)
        curl_multi_remove_handle(this->Multi, Held->Easy);
    });
  }

  std::size_t running() const override { return this->Transfers.size(); }

private:
  /// Marks that libcurl is calling back.
  class CallbackScope {
  public:
    explicit CallbackScope(CurlClient &Of) : Of(Of) { ++Of.CallbackDepth; }
    CallbackScope(const CallbackScope &) = delete;
    CallbackScope &operator=(const CallbackScope &) = delete;
    ~CallbackScope() { --this->Of.CallbackDepth; }

  private:
    CurlClient &Of;
  };

  void configure(Transfer &New) {
    const ClientRequest &Request = New.Request;
    CURL *Easy = New.Easy;
    curl_easy_setopt(Easy, CURLOPT_URL, Request.Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    // A connection that goes silent is found while an answer is waited for.
    curl_easy_setopt(Easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(Easy, CURLOPT_TCP_KEEPIDLE, ProbeSeconds);
    curl_easy_setopt(Easy, CURLOPT_TCP_KEEPINTVL, ProbeSeconds);
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTFUNCTION, setSocketOptions);
    curl_easy_setopt(Easy, CURLOPT_SOCKOPTDATA, &New.Request);
    curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION, closeSocket);
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, &New);
    curl_easy_setopt(Easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(Request.ConnectTimeout.count()));
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(Request.TotalTimeout.count()));
    if (Request.MayStillSend) {
      curl_easy_setopt(Easy, CURLOPT_PREREQFUNCTION, beforeRequest);
      curl_easy_setopt(Easy, CURLOPT_PREREQDATA, &New);
    }
    if (Request.FreshConnection) {
      curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
    }
    this->configureBody(New);
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, dataCallback);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, &New);
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, headerCallback);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, &New);
  }

  void configureBody(Transfer &New) {
    const ClientRequest &Request = New.Request;
    CURL *Easy = New.Easy;
    bool HasBody = !Request.Body.empty() || Request.Method == "POST" ||
                   Request.Method == "PUT" || Request.Method == "PATCH";
    if (HasBody) {
      curl_easy_setopt(Easy, CURLOPT_POST, 1L);
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.data());
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Request.Body.size()));
    }
    if (Request.Method == "HEAD")
      curl_easy_setopt(Easy, CURLOPT_NOBODY, 1L);
    else if (Request.Method != (HasBody ? "POST" : "GET"))
      curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
    curl_slist *List = curl_slist_append(nullptr, "Expect:");
    for (const Header &Each : Request.Headers)
      List = curl_slist_append(List, (Each.Name + ": " + Each.Value).c_str());
    New.HeaderList = List;
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, List);
  }

  static int beforeRequest(void *Owner, char *, char *, int, int) {
    auto *Each = static_cast<Transfer *>(Owner);
    CallbackScope Inside(*Each->Owner);
    return Each->Request.MayStillSend() ? CURL_PREREQFUNC_OK
                                        : CURL_PREREQFUNC_ABORT;
  }

  /// No transfer of the client's any more; nothing if it was none.
  std::unique_ptr<Transfer> take(CURL *Easy) {
    auto Node = this->Transfers.extract(Easy);
    if (Node.empty())
      return nullptr;
    this->ById.erase(Node.mapped()->Id.Value);
    this->BytesUnderWay -= Node.mapped()->bytes();
    Node.mapped()->Taken = true;
    return std::move(Node.mapped());
  }

  /// Counts \p Bytes more of a head or body. False if that passes \p Most or
  /// has the transfer dropped.
  bool admit(Transfer &Each, std::size_t &Counted, std::size_t Bytes,
             std::size_t Most, const char *Part) {
    if (Each.Dropped)
      return false;
    if (Bytes > Most || Counted > Most - Bytes) {
      this->drop(Each, boundPassed(Part, Most));
      return false;
    }
    Counted += Bytes;
    this->BytesUnderWay += Bytes;
    this->keepWithinMemory();
    return !Each.Dropped;
  }

  /// False if the body that the head announces passes its bound.
  bool admitLength(Transfer &Each, long Status) {
    const auto &Most = Each.Request.MaxBodyBytes;
    if (!Most || !hasBody(Each, static_cast<int>(Status)))
      return true;
    std::string_view Text = findHeader(Each.Head, "Content-Length");
    std::uint64_t Length = 0;
    auto Read =
        std::from_chars(Text.data(), Text.data() + Text.size(), Length).ec;
    if (Read != std::errc::result_out_of_range && Length <= *Most)
      return true;
    this->drop(Each, boundPassed("body", *Most));
    return false;
  }

  void keepWithinMemory() {
    while (this->BytesUnderWay > this->Settings.MaxBytesUnderWay) {
      Transfer *Most = nullptr;
      for (auto &[Easy, Each] : this->Transfers)
        if (!Each->Dropped &&
            (Most == nullptr || Each->share() > Most->share()))
          Most = Each.get();
      if (Most == nullptr)
        return;
      this->drop(*Most, boundPassed("bytes of all transfers",
                                    this->Settings.MaxBytesUnderWay));
    }
  }

  /// Ends a transfer; from the loop, as libcurl forbids removal inside its own
  /// callbacks.
  void drop(Transfer &Each, DropReason Why) {
    if (Each.Taken)
      return;
    Each.Dropped = std::move(Why);
    this->BytesUnderWay -= Each.bytes();
    Each.HeadBytes = Each.BodyBytes = 0;
    asio::post(this->Loop, [this, Id = Each.Id, Live = this->Alive] {
      if (!*Live)
        return;
      if (auto Found = this->ById.find(Id.Value); Found != this->ById.end())
        this->finish(Found->second, CURLE_ABORTED_BY_CALLBACK);
    });
  }

  static std::size_t dataCallback(char *Data, std::size_t Size,
                                  std::size_t Count, void *Owner) {
    auto *Each = static_cast<Transfer *>(Owner);
    CallbackScope Inside(*Each->Owner);
    if (const auto &Most = Each->Request.MaxBodyBytes;
        Most && !Each->Taken &&
        !Each->Owner->admit(*Each, Each->BodyBytes, Size * Count, *Most,
                            "body"))
      return 0;
    if (auto OnData = Each->Callbacks.OnData)
      OnData(std::string_view(Data, Size * Count));
    return Size * Count;
  }

  static std::size_t headerCallback(char *Data, std::size_t Size,
                                    std::size_t Count, void *Owner) {
    auto *Each = static_cast<Transfer *>(Owner);
    CallbackScope Inside(*Each->Owner);
    std::string_view Line(Data, Size * Count);
    if (!Each->Taken &&
        !Each->Owner->admit(*Each, Each->HeadBytes, Line.size() + HeadLineCost,
                            Each->Request.MaxHeadBytes, "head"))
      return 0;
    while (!Line.empty() && (Line.back() == '\n' || Line.back() == '\r'))
      Line.remove_suffix(1);
    bool MayBegin = !Each->InHead && !Each->HeadDone;
    if (MayBegin && Line.substr(0, 5) == "HTTP/") {
      Each->InHead = true;
      Each->Head.clear();
      return Size * Count;
    }
    if (!Line.empty()) {
      if (addLine(Each->Head, Line))
        return Size * Count;
      Each->Owner->drop(*Each, malformed("a line of the head has no name"));
      return 0;
    }
    Each->InHead = false;
    long Status = 0;
    curl_easy_getinfo(Each->Easy, CURLINFO_RESPONSE_CODE, &Status);
    if (!isValidStatus(static_cast<int>(Status))) {
      Each->Owner->drop(*Each, malformed("a status that does not exist"));
      return 0;
    }
    if (Status < 200 || std::exchange(Each->HeadDone, true))
      return Size * Count;
    if (!Each->Taken && !Each->Owner->admitLength(*Each, Status))
      return 0;
    if (auto OnHead = Each->Callbacks.OnHead)
      OnHead(static_cast<int>(Status), Each->Head);
    return Size * Count;
  }

  /// libcurl hands lines on as they are. False for one that neither begins with
  /// a name nor continues the line before.
  static bool addLine(std::vector<Header> &Head, std::string_view Line) {
    if (!Head.empty() && (Line.front() == ' ' || Line.front() == '\t')) {
      Head.back().Value.append(" ").append(withoutBlanksBefore(Line));
      return true;
    }
    std::size_t Colon = Line.find(':');
    std::string_view Name = Line.substr(0, Colon);
    if (Colon == std::string_view::npos || !isToken(Name))
      return false;
    Head.push_back({std::string(Name),
                    std::string(withoutBlanksBefore(Line.substr(Colon + 1)))});
    return true;
  }

  static int socketCallback(CURL *, curl_socket_t Socket, int What, void *Owner,
                            void *) {
    static_cast<CurlClient *>(Owner)->watchSocket(Socket, What);
    return 0;
  }

  static int timerCallback(CURLM *, long Millis, void *Owner) {
    static_cast<CurlClient *>(Owner)->setTimer(Millis);
    return 0;
  }

  void watchSocket(curl_socket_t Socket, int What) {
    auto Found = this->Watches.find(Socket);
    if (What == CURL_POLL_REMOVE) {
      if (Found == this->Watches.end())
        return;
      Found->second->Wanted = 0;
      Found->second->Descriptor.release();
      this->Watches.erase(Found);
      return;
    }
    if (Found == this->Watches.end())
      Found = this->Watches
                  .emplace(Socket, std::make_shared<Watch>(this->Loop, Socket))
                  .first;
    Found->second->Wanted = What;
    this->arm(Socket, Found->second);
  }

  void arm(curl_socket_t Socket, const std::shared_ptr<Watch> &Each) {
    bool WantRead = (Each->Wanted & CURL_POLL_IN) != 0;
    bool WantWrite = (Each->Wanted & CURL_POLL_OUT) != 0;
    if (WantRead && !std::exchange(Each->Reading, true))
      Each->Descriptor.async_wait(
          asio::posix::stream_descriptor::wait_read,
          [this, Socket, Each, Live = this->Alive](asio::error_code Failed) {
            Each->Reading = false;
            if (*Live)
              this->ready(Socket, Each, CURL_CSELECT_IN, CURL_POLL_IN, Failed);
          });
    if (WantWrite && !std::exchange(Each->Writing, true))
      Each->Descriptor.async_wait(
          asio::posix::stream_descriptor::wait_write,
          [this, Socket, Each, Live = this->Alive](asio::error_code Failed) {
            Each->Writing = false;
            if (*Live)
              this->ready(Socket, Each, CURL_CSELECT_OUT, CURL_POLL_OUT,
                          Failed);
          });
  }

  void ready(curl_socket_t Socket, const std::shared_ptr<Watch> &Each,
             int Event, int Needed, asio::error_code Failed) {
    if (Failed || (Each->Wanted & Needed) == 0)
      return;
    int Running = 0;
    curl_multi_socket_action(this->Multi, Socket, Event, &Running);
    this->reap();
    if (auto Found = this->Watches.find(Socket);
        Found != this->Watches.end() && Found->second == Each)
      this->arm(Socket, Each);
  }

  void setTimer(long Millis) {
    if (Millis < 0) {
      this->Timer.cancel();
      return;
    }
    this->Timer.expires_after(std::chrono::milliseconds(Millis));
    this->Timer.async_wait([this, Live = this->Alive](asio::error_code Failed) {
      if (Failed || !*Live)
        return;
      int Running = 0;
      curl_multi_socket_action(this->Multi, CURL_SOCKET_TIMEOUT, 0, &Running);
      this->reap();
    });
  }

  void reap() {
    int Left = 0;
    while (CURLMsg *Message = curl_multi_info_read(this->Multi, &Left))
      if (Message->msg == CURLMSG_DONE)
        this->finish(Message->easy_handle, Message->data.result);
  }

  void finish(CURL *Easy, CURLcode Code) {
    std::unique_ptr<Transfer> Done = this->take(Easy);
    if (!Done)
      return;
    TransferResult Result;
    Result.End = endOf(Code);
    long Status = 0;
    long Sent = 0;
    curl_easy_getinfo(Easy, CURLINFO_RESPONSE_CODE, &Status);
    curl_easy_getinfo(Easy, CURLINFO_REQUEST_SIZE, &Sent);
    if (Done->HeadDone)
      Result.Status = static_cast<int>(Status);
    if (Result.Status != 0 && !hasStatedEnd(*Done, Result.Status))
      Result.EndedBy = BodyEnd::Connection;
    Result.MayHaveBeenSent = Sent > 0 && Code != CURLE_COULDNT_CONNECT;
    Result.Detail = curl_easy_strerror(Code);
    // The protocol of an answer that is no HTTP.
    if (Result.End == TransferEnd::CannotConnect && Result.MayHaveBeenSent)
      Result.End = TransferEnd::Cut;
    if (!Done->HeadDone && isLineTooLong(Code))
      Done->Dropped = {TransferEnd::TooLarge,
                       "a line of the head passed libcurl's bound"};
    // libcurl takes the end of the connection for the end of a head.
    if (Result.End == TransferEnd::Complete && !Done->HeadDone)
      Done->Dropped = malformed("head cut short");
    if (Done->Dropped) {
      Result.End = Done->Dropped->End;
      Result.Detail = std::move(Done->Dropped->Detail);
    }
    curl_multi_remove_handle(this->Multi, Easy);
    if (Done->Callbacks.OnDone)
      Done->Callbacks.OnDone(Result);
  }

  asio::io_context &Loop;
  HttpClientSettings Settings;
  asio::steady_timer Timer;
  std::shared_ptr<bool> Alive;
  CURLM *Multi = nullptr;
  std::uint64_t LastId = 0;
  int CallbackDepth = 0;
  std::size_t BytesUnderWay = 0;
  std::unordered_map<CURL *, std::unique_ptr<Transfer>> Transfers;
  std::unordered_map<std::uint64_t, CURL *> ById;
  std::unordered_map<curl_socket_t, std::shared_ptr<Watch>> Watches;
};

} // namespace

TransferId
HttpClient::fetch(ClientRequest Request,
                  std::function<void(const TransferResult &, Response)> Done) {
  if (!Request.MaxBodyBytes)
    Request.MaxBodyBytes = DefaultMaxBodyBytes;
  auto Whole = std::make_shared<Response>();
  Whole->Status = 0;
  TransferCallbacks Callbacks;
  Callbacks.OnHead = [Whole](int Status, const std::vector<Header> &Headers) {
    Whole->Status = Status;
    Whole->Headers = Headers;
  };
  Callbacks.OnData = [Whole](std::string_view Data) { Whole->Body += Data; };
  Callbacks.OnDone = [Whole,
                      Done = std::move(Done)](const TransferResult &Result) {
    Whole->EndedBy = Result.EndedBy;
    if (Result.End == TransferEnd::TooLarge)
      *Whole = {0, {}, "", Result.EndedBy};
    Done(Result, std::move(*Whole));
  };
  return this->start(std::move(Request), std::move(Callbacks));
}

std::unique_ptr<HttpClient> makeHttpClient(asio::io_context &Loop,
                                           HttpClientSettings Settings) {
  return std::make_unique<CurlClient>(Loop, Settings);
}

} // namespace kingcuphub::http
