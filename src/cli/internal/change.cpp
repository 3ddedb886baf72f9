#include "cli/change.h"

#include "base/hashing.h"

#include <algorithm>
#include <thread>

namespace kingcuphub::cli {

namespace {

constexpr std::size_t RecordIdBytes = 16;
constexpr std::chrono::milliseconds ReachPoll(50);

std::vector<std::string> textsOf(const nlohmann::json &Body, const char *Name) {
  std::vector<std::string> Out;
  if (!Body.contains(Name) || !Body[Name].is_array())
    return Out;
  for (const nlohmann::json &Each : Body[Name])
    if (Each.is_string())
      Out.push_back(Each.get<std::string>());
  return Out;
}

std::string join(const std::vector<std::string> &Words) {
  std::string Out;
  for (const std::string &Word : Words)
    Out += (Out.empty() ? "" : ", ") + Word;
  return Out;
}

ChangeReport parseAnswer(const nlohmann::json &Body) {
  ChangeReport Out;
  Out.Record = Body.value("record", "");
  Out.Offset = Body.value("offset", std::uint64_t{0});
  Out.Why = Body.value("why", "");
  Out.Winner = Body.value("winner", "");
  Out.WaitingFor = textsOf(Body, "waiting_for");
  std::string Outcome = Body.value("outcome", "");
  if (Outcome == "accepted")
    Out.State = ChangeState::Accepted;
  else if (Outcome == "rejected")
    Out.State =
        Out.Winner.empty() ? ChangeState::Rejected : ChangeState::LostRace;
  return Out;
}

/// Asks until no instance lags or the wait has ended.
void waitForReach(ApiClient &Api, const base::Clock &Clock,
                  base::TimePoint Until, ChangeReport &Report) {
  std::string Path = "/v1/reach?offset=" + std::to_string(Report.Offset);
  do {
    if (auto Reach = Api.get(Path)) {
      Report.InForce = textsOf(*Reach, "in_force");
      Report.Lagging = textsOf(*Reach, "lagging");
      if (Report.Lagging.empty() && !Report.InForce.empty())
        return;
    }
    std::this_thread::sleep_for(ReachPoll);
  } while (Clock.now() < Until);
}

} // namespace

base::Result<ChangeReport> submitChange(ApiClient &Api,
                                        const base::Clock &Clock,
                                        const Change &Wanted,
                                        std::chrono::milliseconds Wait) {
  base::TimePoint Until = Clock.now() + Wait;
  nlohmann::json Body = Wanted.Body;
  Body["id"] = base::randomHex(RecordIdBytes);
  if (Wanted.BaseOffset > 0)
    Body["base_offset"] = Wanted.BaseOffset;
  auto Answer = Api.post("/v1/changes", Body, Wait);
  if (!Answer && Answer.error().Code == ApiErrc::NoAnswer) {
    ChangeReport Unknown;
    Unknown.Record = Body["id"];
    Unknown.Why = Answer.error().Message;
    return Unknown;
  }
  if (!Answer)
    return tl::unexpected(Answer.error());
  ChangeReport Report = parseAnswer(*Answer);
  if (Report.State == ChangeState::Accepted)
    waitForReach(Api, Clock, Until, Report);
  return Report;
}

ExitCode exitCodeOf(const ChangeReport &Report) {
  switch (Report.State) {
  case ChangeState::Accepted:
    return Report.Lagging.empty() && !Report.InForce.empty()
               ? ExitCode::Ok
               : ExitCode::NotEverywhere;
  case ChangeState::Rejected:
    return ExitCode::Failed;
  case ChangeState::LostRace:
    return ExitCode::LostRace;
  case ChangeState::Pending:
    return ExitCode::Pending;
  }
  return ExitCode::Failed;
}

void printReport(std::ostream &Out, const Change &Wanted,
                 const ChangeReport &Report) {
  std::size_t All = Report.InForce.size() + Report.Lagging.size();
  switch (Report.State) {
  case ChangeState::Accepted:
    Out << Wanted.Subject << ": accepted; in force on " << Report.InForce.size()
        << " of " << All << " instances\n";
    if (!Report.Lagging.empty())
      Out << "still waiting for: " << join(Report.Lagging)
          << "\nthe change stands and will reach them; see `kingcuphub "
             "status`\n";
    return;
  case ChangeState::Rejected:
    Out << Wanted.Subject << ": rejected, nothing was changed: " << Report.Why
        << '\n';
    return;
  case ChangeState::LostRace:
    Out << Wanted.Subject
        << ": lost the race, nothing was changed: " << Report.Winner
        << " changed it first\nlook at it with `kingcuphub "
        << Wanted.LookCommand
        << "` and run your command again if you still want it\n";
    return;
  case ChangeState::Pending:
    Out << Wanted.Subject << ": pending, it may still take effect"
        << (Report.Why.empty() ? "" : ": " + Report.Why) << '\n';
    if (!Report.WaitingFor.empty())
      Out << "waiting for: " << join(Report.WaitingFor) << '\n';
    Out << "look at it with `kingcuphub " << Wanted.LookCommand
        << "` before you run the command again\n";
    return;
  }
}

nlohmann::json reportJson(const ChangeReport &Report) {
  static constexpr const char *Names[] = {"accepted", "rejected", "lost_race",
                                          "pending"};
  return {{"outcome", Names[static_cast<int>(Report.State)]},
          {"offset", Report.Offset},
          {"record", Report.Record},
          {"why", Report.Why},
          {"winner", Report.Winner},
          {"waiting_for", Report.WaitingFor},
          {"in_force", Report.InForce},
          {"lagging", Report.Lagging}};
}

} // namespace kingcuphub::cli
