#ifndef KINGCUPHUB_ADMISSION_CREDITBOOK_H
#define KINGCUPHUB_ADMISSION_CREDITBOOK_H

/// \file
/// A gateway's credit for shared quantities such as rate-limit tokens. The
/// agent grants the credit, and only this gateway spends it. Amounts are
/// deducted before they are used, so that nothing is spent twice; credit that
/// is lost in transit is not recovered. Does no I/O and reads no clock.

#include "base/clock.h"
#include "base/ids.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace kingcuphub::admission {

/// Asks the agent for more of a quantity.
struct AskCredit {
  base::QuantityId Quantity;
  std::int64_t Amount = 0;
  std::uint64_t Request = 0;
  /// The part of the amount that waiting requests need; the rest is to be held
  /// in advance.
  std::int64_t Needed = 0;
};

/// Returns unneeded credit to the agent.
struct ReturnCredit {
  base::QuantityId Quantity;
  std::int64_t Amount = 0;
};

using CreditCommand = std::variant<AskCredit, ReturnCredit>;

/// How much credit a gateway holds in advance, and how long it keeps credit
/// that it does not use.
struct CreditBookSettings {
  /// The credit held in advance equals the use in a recent window of this
  /// length.
  std::chrono::milliseconds UsageWindow{200};
  /// A request for credit that is unanswered for this long is repeated.
  std::chrono::milliseconds AskTimeout{100};
  /// Credit that take() was not called for in this time is returned.
  std::chrono::milliseconds IdleReturn{3000};
  /// The same while the agent grants credit to be kept.
  std::chrono::milliseconds IdleReturnWhenKept{3000};
};

class CreditBook {
public:
  explicit CreditBook(CreditBookSettings Settings) : Settings(Settings) {}

  /// Deducts \p Amount from the balance. Returns false and deducts nothing if
  /// the balance, with the overdraft, is too low.
  bool take(const base::QuantityId &Quantity, std::int64_t Amount,
            base::TimePoint Now);

  /// Returns an amount to the balance that was taken but not used.
  void putBack(const base::QuantityId &Quantity, std::int64_t Amount);

  /// Sets the amount that waiting requests need, until the next call.
  void setWanted(const base::QuantityId &Quantity, std::int64_t Amount);

  /// Sets the amount to hold between uses, so that a few requests can start
  /// without asking the agent first. It is returned with the rest once idle.
  void setReserve(const base::QuantityId &Quantity, std::int64_t Amount);

  /// Limits the credit held beyond what waiting requests need.
  void setMaxAhead(const base::QuantityId &Quantity, std::int64_t Amount);

  /// Allows the balance to fall below zero by \p Amount. The agent is asked for
  /// what is overdrawn.
  void setOverdraft(const base::QuantityId &Quantity, std::int64_t Amount);

  /// Sets for how long credit is kept in advance of its use, as granted with
  /// the last answer; zero if it is to be returned once idle. Of what is held
  /// now, the part that was asked for in advance is returned if it is not used
  /// by \p Until, and the rest if no waiting request needs it.
  void keepFor(const base::QuantityId &Quantity, std::chrono::milliseconds Time,
               base::TimePoint Until, base::TimePoint Now);

  /// Credit that is kept although the grantor has changed.
  struct CarriedCredit {
    base::QuantityId Quantity;
    std::int64_t Amount = 0;
  };
  /// Drops pending requests and negative balances, for when another grantor
  /// takes over that is told of all uses so far and of the returned credit,
  /// which is kept until \p Until at the latest.
  std::vector<CarriedCredit> carryOver(base::TimePoint Until);

  /// Processes the agent's answer to a request for credit. Returns when that
  /// was sent, if it is the pending one.
  std::optional<base::TimePoint> credited(const base::QuantityId &Quantity,
                                          std::int64_t Amount,
                                          std::uint64_t Request,
                                          std::chrono::milliseconds RetryAfter,
                                          base::TimePoint Now);

  /// Returns the commands to send to the agent now.
  std::vector<CreditCommand> tick(base::TimePoint Now);

  std::int64_t held(const base::QuantityId &Quantity) const;
  /// Returns when the pending request for credit was sent, if there is one.
  std::optional<base::TimePoint>
  askedAt(const base::QuantityId &Quantity) const;
  /// Returns the time from which the agent's last answer allows another request
  /// for \p Amount. Returns nothing if that answer named no such time, or if
  /// the refused amount was so much larger that \p Amount may still be granted.
  std::optional<base::TimePoint> retryAt(const base::QuantityId &Quantity,
                                         std::int64_t Amount) const;

private:
  struct DatedCredit {
    std::int64_t Amount = 0;
    base::TimePoint Until;
  };
  struct Holding {
    std::int64_t Balance = 0;
    std::int64_t Wanted = 0;
    std::int64_t Reserve = 0;
    std::int64_t MaxAhead = std::numeric_limits<std::int64_t>::max();
    std::int64_t Overdraft = 0;
    std::chrono::milliseconds KeepFor{0};
    /// Parts of the balance that are returned if they are not used in time, the
    /// oldest first.
    std::deque<DatedCredit> Dated;
    std::uint64_t PendingRequest = 0;
    /// The amount of the last request for credit, and how much of it the agent
    /// refused.
    std::int64_t Asked = 0;
    std::int64_t AskedAhead = 0;
    std::int64_t Refused = 0;
    base::TimePoint AskedAt{};
    base::TimePoint RetryAt{};
    base::TimePoint LastAccessAt{};
    /// Amounts used in the current window and in the previous one.
    std::int64_t UsedInWindow = 0;
    std::int64_t UsedInPreviousWindow = 0;
    base::TimePoint WindowStart{};
  };

  void rollWindow(Holding &Each, base::TimePoint Now) const;
  /// Removes what is to be returned now, and returns how much that is.
  std::int64_t takeUnneeded(Holding &Each, std::int64_t Ahead, bool Recent,
                            base::TimePoint Now) const;

  CreditBookSettings Settings;
  std::map<base::QuantityId, Holding> Holdings;
  std::uint64_t LastRequest = 0;
};

/// Returns the quantity that counts the account's tokens.
base::QuantityId accountTokens(const base::AccountId &Account);
/// Returns the account whose tokens \p Quantity counts; empty for other
/// quantities.
base::AccountId accountOfTokens(const base::QuantityId &Quantity);
/// Returns the quantity that counts the requests a cold target may have in
/// flight.
base::QuantityId coldSlots(const base::TargetId &Target);

} // namespace kingcuphub::admission

#endif // KINGCUPHUB_ADMISSION_CREDITBOOK_H
