#ifndef KINGCUPHUB_BASE_ERROR_H
#define KINGCUPHUB_BASE_ERROR_H

/// \file
/// Results as values. An error has a typed code and a message that names the
/// remedy; a module declares its codes as an enum and its category with
/// EnumCategory.

#include <string>
#include <system_error>
#include <tl/expected.hpp>
#include <utility>

namespace kingcuphub::base {

/// What went wrong and what to do about it.
struct Error {
  std::error_code Code;
  /// What was found and the remedy, in a sentence or two.
  std::string Message;
};

template <typename T> using Result = tl::expected<T, Error>;

/// The failed half of a Result.
template <typename Code>
tl::unexpected<Error> fail(Code Kind, std::string Message) {
  return tl::unexpected<Error>(
      Error{make_error_code(Kind), std::move(Message)});
}

/// An error category for a module's enum.
class EnumCategory final : public std::error_category {
public:
  using TextOf = std::string (*)(int);
  constexpr EnumCategory(const char *Name, TextOf Text)
      : CategoryName(Name), Text(Text) {}
  const char *name() const noexcept override { return this->CategoryName; }
  std::string message(int Code) const override { return this->Text(Code); }

private:
  const char *CategoryName;
  TextOf Text;
};

} // namespace kingcuphub::base

#endif // KINGCUPHUB_BASE_ERROR_H
