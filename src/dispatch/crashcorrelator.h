#ifndef KINGCUPHUB_DISPATCH_CRASHCORRELATOR_H
#define KINGCUPHUB_DISPATCH_CRASHCORRELATOR_H

/// \file
/// The lease holder's decision which parts of prompts to quarantine, because
/// they crash the targets that run them.
///
/// Load pattern: a few requests a second share one part, and each of them ends
/// the target that begins to answer it, with all that the target runs. A target
/// runs for many instances, most of its requests are sound, and targets crash
/// for other reasons too, several at a time.
///
/// A part is suspected while each request with it ended with its target; one
/// complete answer clears it. No I/O and no clock.

#include "dispatch/crashevidence.h"

#include <array>
#include <chrono>
#include <deque>
#include <string_view>

namespace kingcuphub::dispatch {

struct CrashCorrelatorSettings {
  /// A part is quarantined after so many ends that are apart, as targets of one
  /// rack may end together for another reason. They must be at least this share
  /// of all ends since the first of them, as targets that end for another
  /// reason take requests with many parts along.
  unsigned SeparateEnds = 3;
  double MinShareOfEnds = 0.5;
  std::chrono::milliseconds Separation{250};
  /// After so many ends it is quarantined in any case.
  unsigned Ends = 5;
  /// So many targets that end within Separation of each other count as one end
  /// for a part that was answered before: they have another cause in common,
  /// such as a rack or a release, and a part that most requests share is found
  /// at all of them. Where instances send their requests to the same targets
  /// and repeat them, a part that was never answered can end 14 in 340 ms.
  unsigned EndsAtOnce = 8;
  /// Instances are asked for complete answers with a part this long before it
  /// is quarantined.
  std::chrono::milliseconds ObjectionTime{150};
  /// Ends from which on instances are asked.
  unsigned EndsToAsk = 2;
  /// A suspicion lapses this long after the last end.
  base::Duration Retention = std::chrono::minutes(10);
  /// A quarantine lapses if no request was refused by it for this long.
  base::Duration QuarantineRetention = std::chrono::hours(24);
  /// How long after an end a trial follows: the first after as many ends as
  /// quarantine a part, the next ones after an end more each.
  std::array<base::Duration, 5> TrialDelays{
      std::chrono::seconds(3), std::chrono::seconds(10),
      std::chrono::seconds(90), std::chrono::minutes(15),
      std::chrono::hours(24)};
  /// Trials after which the delay grows in any case, as the end of a target may
  /// have gone unnoticed.
  unsigned TrialsPerDelay = 3;
  /// A trial is given to an instance that refused a request within this time.
  std::chrono::milliseconds TrialDemandAge{2000};
  /// After this time the instance no longer lets a request through, nor does
  /// its next process.
  std::chrono::milliseconds TrialValidFor{10000};
  /// How long the outcome of a trial is waited for after that.
  std::chrono::milliseconds TrialOutcomeTime{3000};
  std::size_t MaxSuspects = 512;
  /// Ends that are kept to compare with those of a suspect.
  std::size_t MaxKnownEnds = 256;
  /// Parts of which the last complete answer is remembered.
  std::size_t MaxServed = 4096;
  /// Suspects that instances are told of; quarantined ones go first.
  std::size_t MaxPublished = 64;
};

enum class QuarantineChangeKind {
  /// The part is quarantined, together with those it always came with.
  Quarantined,
  TrialGranted,
  /// Another part that came with it has turned out to be the cause.
  Narrowed,
  /// An answer with the part was complete.
  Cleared,
  Lapsed,
};
std::string_view quarantineChangeName(QuarantineChangeKind Kind);

/// For the log.
struct QuarantineChange {
  QuarantineChangeKind Kind = QuarantineChangeKind::Quarantined;
  PromptPartId Part;
  PromptParts Together;
  /// The ends that the part is accused of.
  std::vector<std::pair<base::TargetId, catalog::Lifetime>> Ends;
  QuarantineTrial Trial;
};

class CrashCorrelator {
public:
  explicit CrashCorrelator(CrashCorrelatorSettings Settings = {})
      : Settings(Settings) {}

  /// Several instances may report the same end, each with its own requests, and
  /// more than once.
  void onTargetEnd(const TargetEnd &End);
  void onServed(const ServedPart &Served);
  /// A request was refused because of this quarantined part.
  void onRefused(PromptPartId Part, const base::InstanceId &By,
                 base::TimePoint Now);
  /// Takes over the quarantined parts of a previous holder.
  void restore(const SuspectParts &Quarantined, base::TimePoint Now);
  /// Forgets everything, as this instance is no longer the holder.
  void clear();

  /// Quarantines and releases parts, and grants trials; to be called after each
  /// report and regularly.
  std::vector<QuarantineChange> decide(base::TimePoint Now);
  /// What instances have to know.
  SuspectParts published() const;
  /// What the next holder has to know.
  SuspectParts quarantined() const;

private:
  struct End {
    base::TargetId Target;
    catalog::Lifetime Lifetime;
    base::TimePoint At;
  };
  struct Suspect {
    SuspectPart State;
    /// In order of time.
    std::vector<End> Ends;
    std::optional<base::TimePoint> AskedAt;
    /// It was answered completely before its first end.
    bool ServedBefore = false;
    base::TimePoint QuarantinedAt;
    base::TimePoint TrialGrantedAt;
    /// Nothing is known yet of the outcome of the last trial.
    bool TrialPending = false;
    base::TimePoint RefusedAt;
    base::InstanceId RefusedBy;
  };
  using SuspectMap = std::map<PromptPartId, Suspect>;

  void record(const TargetEnd &New);
  /// Whether a quarantined part accounts for the end of the prompt's request.
  bool isExplained(PromptPartId Part, const PromptParts &Prompt,
                   const TargetEnd &By) const;
  void accuse(PromptPartId Part, const PromptParts &Prompt,
              const TargetEnd &By);
  void makeRoom();
  base::Duration trialDelay(const Suspect &Of) const;
  /// Takes the ends that \p Cause accounts for off the other suspects.
  void explainEnds(PromptPartId Cause);
  void clearIfNotConvicted(PromptPartId Part, Suspect &Of);
  /// Its ends, of which those of many targets at once count as one where the
  /// part was answered before.
  std::size_t independentEnds(const Suspect &Of) const;
  /// Whether its ends are enough for a quarantine.
  bool isConvicted(const Suspect &Of) const;
  /// Whether each request with all of \p Together is refused for fewer parts.
  bool isCovered(PromptPartId Part, const PromptParts &Together) const;
  void lapse(base::TimePoint Now);
  void quarantine(base::TimePoint Now);
  void updateTrials(base::TimePoint Now);
  bool hasLapsed(const Suspect &Of, base::TimePoint Now) const;
  static QuarantineChange change(QuarantineChangeKind Kind, PromptPartId Part,
                                 const Suspect &Of);

  CrashCorrelatorSettings Settings;
  SuspectMap Suspects;
  /// All ends that were reported, whatever the prompts.
  std::deque<End> AllEnds;
  /// When suspects were last answered: ends before that are told more than once
  /// and must not be counted again.
  std::map<PromptPartId, base::TimePoint> ServedAt;
  /// Since the last decide().
  std::vector<QuarantineChange> Changes;
};

} // namespace kingcuphub::dispatch

#endif // KINGCUPHUB_DISPATCH_CRASHCORRELATOR_H
