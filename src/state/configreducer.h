#ifndef KINGCUPHUB_STATE_CONFIGREDUCER_H
#define KINGCUPHUB_STATE_CONFIGREDUCER_H

/// \file
/// The deterministic reducer of the `config` stream. Every reader of the same
/// records gets the same state and the same verdict on each record.

#include "base/error.h"
#include "state/config.h"

#include <deque>
#include <records.pb.h>
#include <string>
#include <string_view>
#include <variant>

namespace kingcuphub::state {

enum class StateErrc {
  NotARecord = 1,
  StaleBase,
  BadContent,
  Duplicate,
  UnknownVersion,
  BadSnapshot,
  WrongOffset,
};
std::error_code make_error_code(StateErrc Kind);

/// The highest record format that this build can reduce.
constexpr std::uint32_t RecordFormatVersion = 1;

struct Accepted {
  std::string RecordId;
};

struct Rejected {
  std::string RecordId;
  base::Error Why;
  /// With StaleBase: the author and offset of the record that was applied
  /// first.
  std::string WinnerAuthor;
  base::Offset WinnerOffset;
};

/// The record has a newer format. From here on the state is unknown, and the
/// reader must stop serving from it.
struct Unreadable {
  std::uint32_t FormatVersion = 0;
};

using Verdict = std::variant<Accepted, Rejected, Unreadable>;

class ConfigReducer {
public:
  /// Reduces the record at \p At, which must be next().
  Verdict reduce(base::Offset At, std::string_view Record);

  /// The offset of the next record to reduce.
  base::Offset next() const { return this->Working.Next; }
  /// The current state. It is copied only on the first call after a change.
  ConfigPtr config() const;
  /// False once a record was Unreadable.
  bool readable() const { return this->Readable; }

  /// The state in the form in which snapshots and peers transfer it.
  wire::ConfigState save() const;
  /// Replaces the state. Fails, without a change, if an object in it is invalid
  /// by itself; references between objects are not checked.
  base::Result<void> load(const wire::ConfigState &Saved);

private:
  struct Change {
    base::Offset At;
    std::string Author;
  };

  /// Checks and applies a parsed record.
  Verdict reduceParsed(base::Offset At, const wire::Record &Record);
  Verdict reject(const wire::Record &Record, StateErrc Kind,
                 std::string Message) const;
  /// Returns an error message and changes nothing if the content is invalid.
  std::optional<std::string> apply(Config &Next, const wire::Record &Record);
  void rememberRecordId(const std::string &RecordId);

  Config Working;
  /// A copy of Working; null if Working has changed since.
  mutable ConfigPtr Published;
  /// For each object, such as `account/acme`, the record that last changed it.
  std::map<std::string, Change> ChangedAt;
  /// Ids of the most recently reduced records, oldest first.
  std::deque<std::string> RecentOrder;
  std::set<std::string> RecentIds;
  bool Readable = true;
};

/// The object that a record changes, such as `account/acme`; empty if it
/// changes none.
std::string objectOf(const wire::Record &Record);

} // namespace kingcuphub::state

template <>
struct std::is_error_code_enum<kingcuphub::state::StateErrc> : std::true_type {
};

#endif // KINGCUPHUB_STATE_CONFIGREDUCER_H
