#ifndef KINGCUPHUB_HTTP_HTTPMESSAGE_H
#define KINGCUPHUB_HTTP_HTTPMESSAGE_H

/// \file
/// The HTTP messages that pass between modules, free of any library's types.

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuphub::http {

class RequestMemory;

struct Header {
  std::string Name;
  std::string Value;
};

/// Whether a text is a token (RFC 9110, section 5.6.2), as the name of a header
/// has to be.
bool isToken(std::string_view Text);

/// Compares the names of headers, without case.
bool equalNames(std::string_view Left, std::string_view Right);

/// The first value of a header, its name compared without case; empty if
/// absent.
std::string_view findHeader(const std::vector<Header> &Headers,
                            std::string_view Name);

/// A whole request as the server read it.
struct Request {
  std::string Method;
  std::string Path;
  /// Without the question mark.
  std::string Query;
  std::vector<Header> Headers;
  std::string Body;
  /// Path and query byte for byte as the caller sent them.
  std::string Target;
  /// Reserved for the request as long as anything keeps it.
  std::shared_ptr<RequestMemory> Memory;

  std::string_view header(std::string_view Name) const {
    return findHeader(this->Headers, Name);
  }
  /// A parameter of the query, percent-decoded; empty if absent.
  std::string parameter(std::string_view Name) const;
};

/// What has ended a body.
enum class BodyEnd {
  /// The length or the last chunk of the message, or it has no body.
  Stated,
  /// Only the end of its connection, so that it may be cut.
  Connection,
};

/// A whole response.
struct Response {
  int Status = 200;
  std::vector<Header> Headers;
  std::string Body;
  BodyEnd EndedBy = BodyEnd::Stated;
};

/// A response with a JSON body.
Response jsonResponse(int Status, std::string Body);

} // namespace kingcuphub::http

#endif // KINGCUPHUB_HTTP_HTTPMESSAGE_H
