#include "explain/summary.h"

#include "logline.h"

#include <algorithm>
#include <iomanip>
#include <limits>
#include <sstream>
#include <utility>

namespace kingcuphub::explain {

namespace {

constexpr std::int64_t MillisPerSecond = 1000;
constexpr double Median = 0.5;
constexpr double TenthWorst = 0.9;
const char *const Answered = "answered";

double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  auto Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  auto At = Values.begin() + static_cast<std::ptrdiff_t>(Index);
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

/// Answered, or how it ended and why.
std::string endOf(const Step &Ended) {
  std::string Outcome = fieldOf(Ended, "outcome");
  std::string Reason = fieldOf(Ended, "reason");
  // Tells the causes of a refusal for the account's limit apart.
  if (std::string Credit = fieldOf(Ended, "credit"); !Credit.empty())
    Reason += " " + Credit;
  return Reason.empty() ? Outcome : Outcome + " " + Reason;
}

std::string itemOf(const Step &Of) {
  std::string Model = fieldOf(Of, "model");
  std::string Adapter = fieldOf(Of, "adapter");
  return Adapter.empty() ? Model : Model + "/" + Adapter;
}

struct Item {
  std::size_t Asked = 0;
  std::int64_t FirstMillis = 0;
  std::int64_t LastMillis = 0;
  Outcomes Ends;
  std::size_t LoadsOrdered = 0;
  std::size_t LoadsAccepted = 0;
};

/// Takes the lines one by one.
class Reader {
public:
  explicit Reader(const SummarySettings &Settings) : Settings(Settings) {}

  void read(const Step &Line) {
    if (Line.Event == "ended")
      this->readEnd(Line);
    else if (Line.Event == "order-sent" && fieldOf(Line, "kind") == "load")
      ++this->Items[itemOf(Line)].LoadsOrdered;
    else if (Line.Event == "order-answered")
      this->readOrderAnswer(Line);
  }

  Summary finish() {
    this->countSeconds();
    for (const auto &[Name, Times] : this->FirstBytes) {
      RouteSummary &Of = this->Out.Routes[Name];
      Of.FirstByteMedian = quantile(Times, Median);
      Of.FirstByteTenthWorst = quantile(Times, TenthWorst);
    }
    for (auto &[Name, Each] : this->Items) {
      bool Counts =
          Each.Asked >= this->Settings.LeastAsked &&
          Each.LastMillis - Each.FirstMillis >= this->Settings.LeastSpanMillis;
      if (!Counts)
        continue;
      ++this->Out.ItemsAsked;
      if (Each.Ends.count(Answered) == 0)
        this->Out.Unserved.push_back({Name, std::move(Each.Ends),
                                      Each.LoadsOrdered, Each.LoadsAccepted});
    }
    this->Out.Orders = this->OrderTimes.size();
    this->Out.OrderMedian = quantile(this->OrderTimes, Median);
    this->Out.OrderWorst = quantile(this->OrderTimes, 1);
    return std::move(this->Out);
  }

private:
  void countSeconds() {
    std::int64_t Start = std::numeric_limits<std::int64_t>::max();
    for (const auto &[Millis, End] : this->EndTimes)
      Start = std::min(Start, Millis);
    for (const auto &[Millis, End] : this->EndTimes)
      ++this->Out.Seconds[(Millis - Start) / MillisPerSecond][End];
  }

  void readEnd(const Step &Line) {
    std::string End = endOf(Line);
    ++this->Out.Requests;
    ++this->Out.Ends[End];
    this->EndTimes.emplace_back(Line.TimeMillis, End);
    if (std::string Route = fieldOf(Line, "route"); !Route.empty()) {
      ++this->Out.Routes[Route].Ends[End];
      if (End == Answered)
        this->FirstBytes[Route].push_back(numberOf(Line, "first_byte_ms"));
    }
    if (std::string Account = fieldOf(Line, "account"); !Account.empty())
      ++this->Out.Accounts[Account][End];
    if (fieldOf(Line, "model").empty())
      return;
    Item &Of = this->Items[itemOf(Line)];
    Of.FirstMillis = Of.Asked == 0 ? Line.TimeMillis
                                   : std::min(Of.FirstMillis, Line.TimeMillis);
    Of.LastMillis = std::max(Of.LastMillis, Line.TimeMillis);
    ++Of.Asked;
    ++Of.Ends[End];
  }

  void readOrderAnswer(const Step &Line) {
    this->OrderTimes.push_back(numberOf(Line, "after_ms"));
    if (fieldOf(Line, "kind") == "load" &&
        fieldOf(Line, "answer") == "accepted")
      ++this->Items[itemOf(Line)].LoadsAccepted;
  }

  SummarySettings Settings;
  Summary Out;
  /// In the order of the lines, which may be those of one instance after
  /// another's.
  std::vector<std::pair<std::int64_t, std::string>> EndTimes;
  std::map<std::string, Item> Items;
  std::map<std::string, std::vector<double>> FirstBytes;
  std::vector<double> OrderTimes;
};

void writeOutcomes(std::ostream &Out, const Outcomes &Of) {
  std::vector<std::pair<std::size_t, std::string>> ByCount;
  for (const auto &[Name, Count] : Of)
    ByCount.emplace_back(Count, Name);
  std::sort(ByCount.rbegin(), ByCount.rend());
  for (const auto &[Count, Name] : ByCount)
    Out << "  " << Name << " " << Count;
  Out << "\n";
}

} // namespace

Summary summarize(std::istream &Logs, const SummarySettings &Settings) {
  Reader All(Settings);
  for (std::string Line; std::getline(Logs, Line);)
    if (auto Parsed = parseLine(Line))
      All.read(*Parsed);
  return All.finish();
}

std::string describe(const Summary &What) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(0);
  Out << What.Requests << " requests\n";
  writeOutcomes(Out, What.Ends);
  for (const auto &[Name, Each] : What.Routes) {
    Out << "route " << Name << ", first byte " << Each.FirstByteMedian
        << " ms, a tenth later than " << Each.FirstByteTenthWorst << " ms\n";
    writeOutcomes(Out, Each.Ends);
  }
  for (const auto &[Name, Ends] : What.Accounts) {
    Out << "account " << Name << "\n";
    writeOutcomes(Out, Ends);
  }
  Out << "orders " << What.Orders << ", answered after " << What.OrderMedian
      << " ms at the median, " << What.OrderWorst << " ms at most\n";
  Out << "asked for through the time: " << What.ItemsAsked
      << " models or adapters, never answered: " << What.Unserved.size()
      << "\n";
  for (const UnservedItem &Each : What.Unserved) {
    Out << Each.Name << ", loads ordered " << Each.LoadsOrdered << ", accepted "
        << Each.LoadsAccepted << "\n";
    writeOutcomes(Out, Each.Ends);
  }
  for (const auto &[Second, Ends] : What.Seconds) {
    Out << "second " << Second << "\n";
    writeOutcomes(Out, Ends);
  }
  return Out.str();
}

nlohmann::json toJson(const Summary &What) {
  nlohmann::json Routes = nlohmann::json::object();
  for (const auto &[Name, Each] : What.Routes)
    Routes[Name] = {{"ends", Each.Ends},
                    {"first_byte_median_ms", Each.FirstByteMedian},
                    {"first_byte_tenth_worst_ms", Each.FirstByteTenthWorst}};
  nlohmann::json Unserved = nlohmann::json::array();
  for (const UnservedItem &Each : What.Unserved)
    Unserved.push_back({{"name", Each.Name},
                        {"ends", Each.Ends},
                        {"loads_ordered", Each.LoadsOrdered},
                        {"loads_accepted", Each.LoadsAccepted}});
  nlohmann::json Seconds = nlohmann::json::array();
  for (const auto &[Second, Ends] : What.Seconds)
    Seconds.push_back({{"second", Second}, {"ends", Ends}});
  return {{"requests", What.Requests},
          {"ends", What.Ends},
          {"routes", Routes},
          {"accounts", What.Accounts},
          {"seconds", Seconds},
          {"items_asked", What.ItemsAsked},
          {"items_never_answered", Unserved},
          {"orders", What.Orders},
          {"order_median_ms", What.OrderMedian},
          {"order_worst_ms", What.OrderWorst}};
}

} // namespace kingcuphub::explain
