#ifndef KINGCUPHUB_DISPATCH_PROMPTQUARANTINE_H
#define KINGCUPHUB_DISPATCH_PROMPTQUARANTINE_H

/// \file
/// An instance's side of the quarantine (see crashcorrelator.h): refuses
/// requests with quarantined parts, and collects the evidence for and against
/// suspected parts.
///
/// Load pattern: thousands of parts, most of them sound and served many times a
/// second, and callers that may send a new one with every request. No I/O and
/// no clock.

#include "dispatch/crashevidence.h"

#include <chrono>
#include <deque>
#include <variant>

namespace kingcuphub::dispatch {

struct PromptQuarantineSettings {
  base::InstanceId Self;
  /// An end is reported again for this long, as a report may be lost.
  std::chrono::milliseconds RepeatFor{3000};
  /// How long ends are kept for a new lease holder, and how many.
  base::Duration Retention = std::chrono::minutes(10);
  std::size_t MaxEnds = 64;
  /// Parts of which the last complete answer is remembered, at least.
  std::size_t MinServedParts = 4096;
};

struct NotQuarantined {};
/// The request is to be sent once, to find out whether it crashes its target.
struct OnTrial {
  PromptPartId Part;
};
struct Quarantined {
  PromptPartId Part;
  base::TimePoint NextTrialAt;
};
using QuarantineVerdict = std::variant<NotQuarantined, OnTrial, Quarantined>;

class PromptQuarantine {
public:
  explicit PromptQuarantine(PromptQuarantineSettings Settings)
      : Settings(std::move(Settings)) {}

  /// Sets the suspects as the lease holder publishes them. Returns whether
  /// there is an answer that speaks for one that is new.
  bool setSuspects(SuspectParts New);
  /// Decides on a new request; a trial is given out once.
  QuarantineVerdict admit(const PromptParts &Parts);
  /// Decides on a request that was admitted before.
  QuarantineVerdict check(const PromptParts &Parts) const;
  /// A target has answered completely. Returns whether the lease holder should
  /// know at once.
  bool onServed(const PromptParts &Parts, base::TimePoint Now);
  void onTargetEnd(TargetEnd End);
  /// All of the evidence is told to a new lease holder.
  void onNewHolder() { this->TellAll = true; }
  CrashEvidence takeEvidence(base::TimePoint Now);

private:
  struct Blocking {
    PromptPartId Part;
    const SuspectPart *Suspect = nullptr;
  };

  std::optional<Blocking> blocking(const PromptParts &Parts) const;
  std::optional<base::TimePoint> servedAt(PromptPartId Part) const;

  PromptQuarantineSettings Settings;
  SuspectParts Suspects;
  /// The last trial of each part that was given out here.
  std::map<PromptPartId, std::uint64_t> TrialsUsed;
  PromptParts Refused;
  std::deque<TargetEnd> Ends;
  /// When each part was last served. The older generation is dropped when the
  /// newer one is full.
  std::map<PromptPartId, base::TimePoint> Served;
  std::map<PromptPartId, base::TimePoint> ServedBefore;
  bool TellAll = false;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_PROMPTQUARANTINE_H
