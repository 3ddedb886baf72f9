#include "admission/creditbook.h"

#include "base/refusal.h"

#include <algorithm>
#include <utility>

namespace kingcuphub::admission {

namespace {

constexpr const char *TokensPrefix = "account/";
constexpr const char *TokensSuffix = "/tokens";

} // namespace

bool CreditBook::take(const base::QuantityId &Quantity, std::int64_t Amount,
                      base::TimePoint Now) {
  Holding &Each = this->Holdings[Quantity];
  this->rollWindow(Each, Now);
  Each.LastAccessAt = Now;
  if (Each.Balance + Each.Overdraft < Amount)
    return false;
  Each.Balance -= Amount;
  Each.UsedInWindow += Amount;
  for (std::int64_t Left = Amount; Left > 0 && !Each.Dated.empty();) {
    std::int64_t Part = std::min(Left, Each.Dated.front().Amount);
    Left -= Part;
    Each.Dated.front().Amount -= Part;
    if (Each.Dated.front().Amount == 0)
      Each.Dated.pop_front();
  }
  return true;
}

void CreditBook::putBack(const base::QuantityId &Quantity,
                         std::int64_t Amount) {
  this->Holdings[Quantity].Balance += Amount;
}

void CreditBook::setWanted(const base::QuantityId &Quantity,
                           std::int64_t Amount) {
  this->Holdings[Quantity].Wanted = Amount;
}

void CreditBook::setReserve(const base::QuantityId &Quantity,
                            std::int64_t Amount) {
  this->Holdings[Quantity].Reserve = Amount;
}

void CreditBook::setMaxAhead(const base::QuantityId &Quantity,
                             std::int64_t Amount) {
  this->Holdings[Quantity].MaxAhead = Amount;
}

void CreditBook::setOverdraft(const base::QuantityId &Quantity,
                              std::int64_t Amount) {
  this->Holdings[Quantity].Overdraft = Amount;
}

void CreditBook::keepFor(const base::QuantityId &Quantity,
                         std::chrono::milliseconds Time, base::TimePoint Until,
                         base::TimePoint Now) {
  Holding &Each = this->Holdings[Quantity];
  Each.KeepFor = Time;
  std::int64_t Undated = Each.Balance;
  for (const DatedCredit &Known : Each.Dated)
    Undated -= Known.Amount;
  if (Time.count() == 0 || Undated <= 0)
    return;
  std::int64_t Ahead = std::min(Undated, Each.AskedAhead);
  if (Undated > Ahead)
    Each.Dated.push_front({Undated - Ahead, Now});
  if (Ahead > 0)
    Each.Dated.push_back({Ahead, Until});
}

std::vector<CreditBook::CarriedCredit>
CreditBook::carryOver(base::TimePoint Until) {
  std::vector<CarriedCredit> Out;
  for (auto &[Quantity, Each] : this->Holdings) {
    Each.Balance = std::max<std::int64_t>(Each.Balance, 0);
    Each.PendingRequest = 0;
    Each.Refused = 0;
    Each.RetryAt = {};
    Each.Dated.clear();
    if (Each.Balance == 0)
      continue;
    Each.Dated.push_back({Each.Balance, Until});
    Out.push_back({Quantity, Each.Balance});
  }
  return Out;
}

std::optional<base::TimePoint>
CreditBook::credited(const base::QuantityId &Quantity, std::int64_t Amount,
                     std::uint64_t Request,
                     std::chrono::milliseconds RetryAfter,
                     base::TimePoint Now) {
  Holding &Each = this->Holdings[Quantity];
  Each.Balance += std::max<std::int64_t>(Amount, 0);
  if (Request != Each.PendingRequest)
    return std::nullopt;
  Each.PendingRequest = 0;
  bool Insufficient = RetryAfter.count() > 0;
  Each.RetryAt = Insufficient ? Now + RetryAfter : base::TimePoint{};
  Each.Refused = Insufficient ? Each.Asked - Amount : 0;
  return Each.AskedAt;
}

std::vector<CreditCommand> CreditBook::tick(base::TimePoint Now) {
  std::vector<CreditCommand> Out;
  for (auto &[Quantity, Each] : this->Holdings) {
    this->rollWindow(Each, Now);
    bool Recent = Now - Each.LastAccessAt <
                  (Each.KeepFor.count() > 0 ? this->Settings.IdleReturnWhenKept
                                            : this->Settings.IdleReturn);
    std::int64_t Ahead = std::max(Each.UsedInWindow, Each.UsedInPreviousWindow);
    if (Recent)
      Ahead = std::max(Ahead, Each.Reserve);
    Ahead = std::min(Ahead, Each.MaxAhead);
    std::int64_t Target = Each.Wanted + Ahead;
    if (std::int64_t Unneeded = this->takeUnneeded(Each, Ahead, Recent, Now);
        Unneeded > 0)
      Out.push_back(ReturnCredit{Quantity, Unneeded});
    bool Unanswered = Each.PendingRequest != 0 &&
                      Now - Each.AskedAt < this->Settings.AskTimeout;
    // Requests more at half of the target balance, so that the answer arrives
    // before the rest is used up.
    bool Low = Each.Balance < Each.Wanted || Each.Balance * 2 < Target;
    bool Due = Now >= Each.RetryAt;
    std::int64_t Shortfall = (Due ? Target : Each.Wanted) - Each.Balance;
    bool Worthwhile =
        Due || (Shortfall > 0 && !base::refusalCovers(Each.Refused, Shortfall));
    if (Low && !Unanswered && Worthwhile) {
      Each.PendingRequest = ++this->LastRequest;
      Each.AskedAt = Now;
      Each.Asked = Shortfall;
      std::int64_t Needed =
          std::max<std::int64_t>(Each.Wanted - Each.Balance, 0);
      Each.AskedAhead = Shortfall - Needed;
      Out.push_back(
          AskCredit{Quantity, Shortfall, Each.PendingRequest, Needed});
    }
  }
  return Out;
}

std::int64_t CreditBook::takeUnneeded(Holding &Each, std::int64_t Ahead,
                                      bool Recent, base::TimePoint Now) const {
  bool MayKeep = Ahead > 0 && Each.KeepFor.count() > 0;
  bool Idle = Each.Wanted == 0 && !MayKeep && Each.Balance > 0 && !Recent;
  if (Idle) {
    Each.Dated.clear();
    return std::exchange(Each.Balance, 0);
  }
  std::int64_t Out = 0;
  while (!Each.Dated.empty() && Each.Dated.front().Until <= Now) {
    Out += Each.Dated.front().Amount;
    Each.Dated.pop_front();
  }
  Out = std::clamp<std::int64_t>(Each.Balance, 0, Out);
  Each.Balance -= Out;
  return Out;
}

std::optional<base::TimePoint>
CreditBook::askedAt(const base::QuantityId &Quantity) const {
  auto Found = this->Holdings.find(Quantity);
  if (Found == this->Holdings.end() || Found->second.PendingRequest == 0)
    return std::nullopt;
  return Found->second.AskedAt;
}

std::int64_t CreditBook::held(const base::QuantityId &Quantity) const {
  auto Found = this->Holdings.find(Quantity);
  return Found == this->Holdings.end() ? 0 : Found->second.Balance;
}

std::optional<base::TimePoint>
CreditBook::retryAt(const base::QuantityId &Quantity,
                    std::int64_t Amount) const {
  auto Found = this->Holdings.find(Quantity);
  if (Found == this->Holdings.end() ||
      Found->second.RetryAt == base::TimePoint{} ||
      !base::refusalCovers(Found->second.Refused, Amount))
    return std::nullopt;
  return Found->second.RetryAt;
}

void CreditBook::rollWindow(Holding &Each, base::TimePoint Now) const {
  if (Now - Each.WindowStart < this->Settings.UsageWindow)
    return;
  bool Gap = Now - Each.WindowStart >= 2 * this->Settings.UsageWindow;
  Each.UsedInPreviousWindow = Gap ? 0 : Each.UsedInWindow;
  Each.UsedInWindow = 0;
  Each.WindowStart = Now;
}

base::QuantityId accountTokens(const base::AccountId &Account) {
  return {TokensPrefix + Account.Value + TokensSuffix};
}

base::AccountId accountOfTokens(const base::QuantityId &Quantity) {
  const std::string Prefix = TokensPrefix;
  const std::string Suffix = TokensSuffix;
  const std::string &Name = Quantity.Value;
  bool Counts =
      Name.size() > Prefix.size() + Suffix.size() &&
      Name.compare(0, Prefix.size(), Prefix) == 0 &&
      Name.compare(Name.size() - Suffix.size(), Suffix.size(), Suffix) == 0;
  if (!Counts)
    return {};
  return {
      Name.substr(Prefix.size(), Name.size() - Prefix.size() - Suffix.size())};
}

base::QuantityId coldSlots(const base::TargetId &Target) {
  return {"target/" + Target.Value + "/cold-slots"};
}

} // namespace kingcuphub::admission
