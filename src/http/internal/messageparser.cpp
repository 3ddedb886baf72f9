#include "http/messageparser.h"

#include "base/error.h"

#include <algorithm>
#include <array>
#include <http_parser.h>
#include <utility>

namespace kingcuphub::http {

namespace {

std::string textOf(int Code) {
  switch (static_cast<ParseErrc>(Code)) {
  case ParseErrc::Malformed:
    return "not an HTTP/1.1 message";
  case ParseErrc::AmbiguousLength:
    return "ambiguous length of the body";
  case ParseErrc::HeadTooLarge:
    return "head, chunk extensions or trailers too large";
  case ParseErrc::Truncated:
    return "the connection ended inside the message";
  }
  return "unknown parse error";
}

const base::EnumCategory Category("http-parse", textOf);

/// Longest framing of a chunk that is not counted: a size of 16 digits and two
/// ends of line.
constexpr std::size_t PlainChunkBytes = 20;
constexpr int FirstFinalStatus = 200;

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

std::size_t countHeader(const std::vector<Header> &Headers,
                        std::string_view Name) {
  return static_cast<std::size_t>(
      std::count_if(Headers.begin(), Headers.end(), [&](const Header &Each) {
        return equalNames(Each.Name, Name);
      }));
}

/// Whether the head leaves any doubt about where the body ends.
bool isLengthAmbiguous(const std::vector<Header> &Headers) {
  std::size_t Lengths = countHeader(Headers, "Content-Length");
  std::size_t Encodings = countHeader(Headers, "Transfer-Encoding");
  if (Lengths + Encodings > 1)
    return true;
  return Encodings == 1 &&
         !equalNames(trimmed(findHeader(Headers, "Transfer-Encoding")),
                     "chunked");
}

} // namespace

std::error_code make_error_code(ParseErrc Kind) {
  return {static_cast<int>(Kind), Category};
}

class MessageParser::State {
public:
  State(MessageKind Kind, std::size_t MaxHeadBytes, Handlers Take)
      : MaxHeadBytes(MaxHeadBytes), Kind(Kind), Take(std::move(Take)) {
    this->reset(true);
  }

  void reset(bool NewBodyExpected) {
    this->BodyExpected = NewBodyExpected;
    this->Begun = false;
    this->Complete = false;
    this->Failed = {};
    this->Overhead = 0;
    this->beginHead();
  }

  Progress feed(std::string_view Bytes) {
    if (this->Complete || this->Failed || Bytes.empty())
      return {0, this->Complete, this->Failed};
    std::size_t Consumed = 0;
    do {
      Consumed += this->parse(Bytes.substr(Consumed));
      if (std::exchange(this->InterimDone, false)) {
        this->Overhead += this->Framing;
        this->beginHead();
      }
    } while (!this->Complete && !this->Failed && Consumed < Bytes.size());
    return {Consumed, this->Complete, this->Failed};
  }

  Progress finish() {
    if (this->Complete || this->Failed)
      return {0, this->Complete, this->Failed};
    if (this->Begun)
      http_parser_execute(&this->Raw, &callbacks(), nullptr, 0);
    if (!this->Complete)
      this->Failed = make_error_code(ParseErrc::Truncated);
    return {0, this->Complete, this->Failed};
  }

  bool inMessage() const { return this->Begun && !this->Complete; }

  std::size_t MaxHeadBytes;

private:
  /// Also after an interim response, which shares its bound with the final one.
  void beginHead() {
    http_parser_init(&this->Raw, this->Kind == MessageKind::Request
                                     ? HTTP_REQUEST
                                     : HTTP_RESPONSE);
    this->Raw.data = this;
    this->Head = {};
    this->Framing = 0;
    this->ValueBegun = true;
    this->HeadDone = false;
  }

  std::size_t parse(std::string_view Bytes) {
    this->Reached = Bytes.data();
    std::size_t Consumed = http_parser_execute(&this->Raw, &callbacks(),
                                               Bytes.data(), Bytes.size());
    auto Error = HTTP_PARSER_ERRNO(&this->Raw);
    if (Error == HPE_OK || Error == HPE_PAUSED)
      this->countTo(Bytes.data() + Consumed);
    if (!this->Failed && Error == HPE_HEADER_OVERFLOW)
      this->Failed = make_error_code(ParseErrc::HeadTooLarge);
    if (!this->Failed && (Error == HPE_UNEXPECTED_CONTENT_LENGTH ||
                          Error == HPE_INVALID_TRANSFER_ENCODING ||
                          Error == HPE_INVALID_CONTENT_LENGTH))
      this->Failed = make_error_code(ParseErrc::AmbiguousLength);
    if (!this->Failed && Error != HPE_OK && Error != HPE_PAUSED)
      this->Failed = make_error_code(ParseErrc::Malformed);
    return Consumed;
  }

  static State &of(http_parser *Raw) {
    return *static_cast<State *>(Raw->data);
  }

  static const http_parser_settings &callbacks() {
    static const http_parser_settings Settings = [] {
      http_parser_settings Out;
      http_parser_settings_init(&Out);
      Out.on_message_begin = [](http_parser *Raw) {
        of(Raw).Begun = true;
        return 0;
      };
      Out.on_url = [](http_parser *Raw, const char *At, std::size_t Size) {
        return of(Raw).onTarget({At, Size});
      };
      Out.on_status = [](http_parser *Raw, const char *At, std::size_t Size) {
        return of(Raw).countTo(At + Size);
      };
      Out.on_header_field = [](http_parser *Raw, const char *At,
                               std::size_t Size) {
        return of(Raw).onName({At, Size});
      };
      Out.on_header_value = [](http_parser *Raw, const char *At,
                               std::size_t Size) {
        return of(Raw).onValue({At, Size});
      };
      Out.on_headers_complete = [](http_parser *Raw) {
        return of(Raw).onHeadComplete();
      };
      Out.on_body = [](http_parser *Raw, const char *At, std::size_t Size) {
        return of(Raw).onBody({At, Size});
      };
      Out.on_message_complete = [](http_parser *Raw) {
        of(Raw).onComplete();
        http_parser_pause(Raw, 1);
        return 0;
      };
      return Out;
    }();
    return Settings;
  }

  /// Counts the bytes up to \p End, none of which are body. Returns what a
  /// callback returns: 0 to go on.
  int countTo(const char *End) {
    auto Size = static_cast<std::size_t>(End - this->Reached);
    this->Reached = End;
    (this->HeadDone ? this->Framing : this->Overhead) += Size;
    if (this->Overhead + this->extraFraming() <= this->MaxHeadBytes)
      return 0;
    return this->fail(ParseErrc::HeadTooLarge);
  }

  /// Bytes since the last piece of the body that a plain chunk would not have.
  std::size_t extraFraming() const {
    return this->Framing - std::min(this->Framing, PlainChunkBytes);
  }

  int fail(ParseErrc Why) {
    if (!this->Failed)
      this->Failed = make_error_code(Why);
    return 1;
  }

  int onTarget(std::string_view Piece) {
    this->Head.Target.append(Piece);
    return this->countTo(Piece.data() + Piece.size());
  }

  /// The library lets blanks pass, and reads `Content-Length : 2` as a length
  /// that findHeader() does not find.
  int onName(std::string_view Piece) {
    if (!Piece.empty() && !isToken(Piece))
      return this->fail(ParseErrc::Malformed);
    // Trailers follow the body; nothing here uses them.
    if (!this->HeadDone) {
      if (std::exchange(this->ValueBegun, false)) {
        if (this->Head.Headers.size() == MaxHeaderLines)
          return this->fail(ParseErrc::HeadTooLarge);
        this->Head.Headers.emplace_back();
      }
      this->Head.Headers.back().Name.append(Piece);
    }
    return this->countTo(Piece.data() + Piece.size());
  }

  int onValue(std::string_view Piece) {
    if (!this->HeadDone) {
      this->ValueBegun = true;
      this->Head.Headers.back().Value.append(Piece);
    }
    return this->countTo(Piece.data() + Piece.size());
  }

  int onBody(std::string_view Piece) {
    if (int Stop = this->countTo(Piece.data()); Stop != 0)
      return Stop;
    this->Overhead += this->extraFraming();
    this->Framing = 0;
    this->Reached = Piece.data() + Piece.size();
    this->Take.OnBody(Piece);
    return 0;
  }

  void onComplete() {
    if (this->isInterim())
      this->InterimDone = true;
    else
      this->Complete = true;
  }

  bool isInterim() const {
    return this->Kind == MessageKind::Response &&
           this->Raw.status_code < FirstFinalStatus;
  }

  /// A status below 100 would otherwise pass as an interim response.
  bool hasValidStatus() const {
    return this->Kind == MessageKind::Request ||
           isValidStatus(this->Raw.status_code);
  }

  int onHeadComplete() {
    constexpr int SkipBody = 1;
    this->HeadDone = true;
    if (isLengthAmbiguous(this->Head.Headers)) {
      this->Failed = make_error_code(ParseErrc::AmbiguousLength);
      return -1;
    }
    if (this->Raw.http_major != 1 || this->Raw.http_minor > 1 ||
        !this->hasValidStatus()) {
      this->Failed = make_error_code(ParseErrc::Malformed);
      return -1;
    }
    if (this->isInterim())
      return SkipBody;
    if (this->Kind == MessageKind::Request)
      this->Head.Method =
          http_method_str(static_cast<http_method>(this->Raw.method));
    else
      this->Head.Status = this->Raw.status_code;
    this->Head.KeepAlive = http_should_keep_alive(&this->Raw) != 0;
    this->Head.Framing = this->framing();
    this->Head.KnowsChunks = this->Raw.http_minor > 0;
    this->Take.OnHead(std::move(this->Head));
    this->Head = {};
    return this->BodyExpected ? 0 : SkipBody;
  }

  BodyFraming framing() const {
    bool IsResponse = this->Kind == MessageKind::Response;
    if (IsResponse && isBodyless(this->Head.Status))
      return NoBody{};
    if ((this->Raw.flags & F_CHUNKED) != 0)
      return Chunks{};
    if ((this->Raw.flags & F_CONTENTLENGTH) != 0)
      return KnownLength{this->Raw.content_length};
    if (IsResponse && this->BodyExpected)
      return UntilClose{};
    return NoBody{};
  }

  MessageKind Kind;
  Handlers Take;
  http_parser Raw{};
  MessageHead Head;
  /// Up to where the bytes of this call are counted.
  const char *Reached = nullptr;
  /// Bytes since the last message that are not body, without plain chunks.
  std::size_t Overhead = 0;
  /// Of these, those since the head or the last piece of the body.
  std::size_t Framing = 0;
  /// The last header has its value, so that the next name begins another.
  bool ValueBegun = true;
  bool BodyExpected = true;
  bool Begun = false;
  bool HeadDone = false;
  bool InterimDone = false;
  bool Complete = false;
  std::error_code Failed;
};

MessageParser::MessageParser(MessageKind Kind, std::size_t MaxHeadBytes,
                             Handlers Take)
    : Current(std::make_unique<State>(Kind, MaxHeadBytes, std::move(Take))) {}

MessageParser::~MessageParser() = default;

MessageParser::Progress MessageParser::feed(std::string_view Bytes) {
  return this->Current->feed(Bytes);
}

MessageParser::Progress MessageParser::finish() {
  return this->Current->finish();
}

void MessageParser::reset(bool BodyExpected) {
  this->Current->reset(BodyExpected);
}

bool MessageParser::inMessage() const { return this->Current->inMessage(); }

void MessageParser::setMaxHeadBytes(std::size_t Bytes) {
  this->Current->MaxHeadBytes = Bytes;
}

bool isHopByHop(std::string_view Name, std::string_view Connection) {
  static constexpr std::array<std::string_view, 9> Fixed = {
      "Connection",       "Keep-Alive", "Proxy-Authenticate",
      "Proxy-Connection", "TE",         "Trailer",
      "Upgrade",          "Expect",     "Transfer-Encoding"};
  if (std::any_of(Fixed.begin(), Fixed.end(), [&](std::string_view Each) {
        return equalNames(Each, Name);
      }))
    return true;
  while (!Connection.empty()) {
    std::string_view Option = Connection.substr(0, Connection.find(','));
    Connection.remove_prefix(std::min(Connection.size(), Option.size() + 1));
    if (equalNames(trimmed(Option), Name))
      return true;
  }
  return false;
}

bool isValidStatus(int Status) {
  constexpr int First = 100;
  constexpr int Last = 599;
  return Status >= First && Status <= Last;
}

bool isBodyless(int Status) {
  return Status < 200 || Status == 204 || Status == 304;
}

std::string_view reasonOf(int Status) {
  switch (Status) {
#define KCH_REASON(Code, Name, Text)                                           \
  case Code:                                                                   \
    return #Text;
    HTTP_STATUS_MAP(KCH_REASON)
#undef KCH_REASON
  default:
    return {};
  }
}

} // namespace kingcuphub::http
