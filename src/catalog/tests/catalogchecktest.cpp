#include "catalog/catalogcheck.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

using namespace kingcuphub;
using namespace kingcuphub::catalog;
using std::chrono::milliseconds;

namespace {

Catalog sound() {
  Catalog Out;
  Out.Version = {7};
  Route Drafts;
  Drafts.Id = {"drafts"};
  Drafts.Host = "h";
  Drafts.PathPrefix = "/d/";
  Drafts.Services = {{{"llm"}, 1}};
  Out.Routes = {Drafts};
  Service Llm;
  Llm.Id = {"llm"};
  Llm.Engine.emplace();
  Llm.Engine->BatchSlots = 12;
  Llm.Engine->WeightsMb = 100;
  Llm.Engine->AdapterSlots = 2;
  Model Large;
  Large.Id = {"m"};
  Large.WeightsMb = 70;
  Large.Adapters = 3;
  Large.AdapterMb = 10;
  Llm.Engine->Models[Large.Id] = Large;
  Out.Services[Llm.Id] = Llm;
  Account Acme;
  Acme.Id = {"acme"};
  Acme.RatePerSecond = 100;
  Acme.Burst = 50;
  Out.Accounts[Acme.Id] = Acme;
  Out.AccountByKeyHash[keyHash("secret-1")] = Acme.Id;
  return Out;
}

/// Whether a finding about \p Entry has \p Text.
bool finds(const std::vector<Finding> &All, const std::string &Entry,
           const std::string &Text) {
  return std::any_of(All.begin(), All.end(), [&](const Finding &Each) {
    return Each.Entry == Entry && Each.Problem.find(Text) != std::string::npos;
  });
}

} // namespace

TEST(CatalogCheckTest, NothingIsFoundInASoundConfiguration) {
  EXPECT_TRUE(checkCatalog(sound()).empty());
}

TEST(CatalogCheckTest, EachFaultIsFoundWithItsEntry) {
  struct Case {
    std::function<void(Catalog &)> Spoil;
    std::string Entry;
    std::string Text;
  };
  auto Engine = [](Catalog &Of) -> catalog::Engine & {
    return *Of.Services.at({"llm"}).Engine;
  };
  const std::vector<Case> Cases = {
      {[](Catalog &Of) { Of.Routes.push_back(Of.Routes[0]); }, "route drafts",
       "twice"},
      {[](Catalog &Of) {
         Of.Routes.push_back(Of.Routes[0]);
         Of.Routes[1].Id = {"late"};
       },
       "route late", "never matches"},
      {[](Catalog &Of) { Of.Routes[0].PathPrefix = "d"; }, "route drafts",
       "slash"},
      {[](Catalog &Of) { Of.Routes[0].Services[0].Service = {"x"}; },
       "route drafts", "x does not exist"},
      {[](Catalog &Of) {
         Of.Routes[0].Services.push_back({{"llm"}, 0});
       },
       "route drafts", "weight 0"},
      {[](Catalog &Of) { Of.Routes[0].Objective = milliseconds(40000); },
       "route drafts", "above the timeout"},
      {[](Catalog &Of) { Of.Routes[0].MaxAttempts = 3; }, "route drafts",
       "may run once"},
      {[](Catalog &Of) { Of.Routes[0].Repeats = Repetition::Resumable; },
       "route drafts", "1 attempt"},
      {[](Catalog &Of) { Of.Services[{"app"}].Id = {"app"}; }, "service app",
       "no route"},
      {[](Catalog &Of) {
         Of.Services.at({"llm"}).ColdStart = milliseconds(3000);
       },
       "service llm", "cold"},
      {[](Catalog &Of) { Of.Services.at({"llm"}).Scaling.emplace(); },
       "service llm", "no target"},
      {[&](Catalog &Of) { Engine(Of).WeightsMb = 60; }, "model llm/m",
       "larger"},
      {[&](Catalog &Of) { Engine(Of).WeightsMb = 75; }, "model llm/m",
       "no memory for any"},
      {[&](Catalog &Of) { Engine(Of).AdapterSlots = 0; }, "model llm/m",
       "no places"},
      {[&](Catalog &Of) { Engine(Of).StoreLoadsPerSecond = 0; }, "service llm",
       "never be loaded"},
      {[](Catalog &Of) { Of.AccountByKeyHash.clear(); }, "account acme",
       "no key"},
      {[](Catalog &Of) { Of.Accounts.at({"acme"}).RatePerSecond = 0; },
       "account acme", "no rate"},
      {[](Catalog &Of) {
         Of.Accounts.at({"acme"}).CountsTokens = true;
         Of.Accounts.at({"acme"}).DefaultTokens = 200;
       },
       "account acme", "charged 200"},
  };
  for (const Case &Each : Cases) {
    Catalog Spoilt = sound();
    Each.Spoil(Spoilt);
    EXPECT_TRUE(finds(checkCatalog(Spoilt), Each.Entry, Each.Text))
        << Each.Entry << ": " << Each.Text;
  }
}

TEST(CatalogCheckTest, DifferencesAreNamedByEntryAndField) {
  Catalog After = sound();
  After.Routes[0].Timeout = milliseconds(8000);
  After.Services.at({"llm"}).Engine->Models.clear();
  Account Bolt;
  Bolt.Id = {"bolt"};
  After.Accounts[Bolt.Id] = Bolt;
  const std::vector<Difference> Expected = {
      {ChangeKind::Removed, "model llm/m", ""},
      {ChangeKind::Added, "account bolt", ""},
      {ChangeKind::Changed, "route drafts", "timeout: 30000 ms -> 8000 ms"},
  };
  EXPECT_EQ(compareCatalogs(sound(), After), Expected);
  EXPECT_TRUE(compareCatalogs(sound(), sound()).empty());
}

// Guards against keys, or their hashes, in what an operator prints.
TEST(CatalogCheckTest, KeysAreCountedAndNeverShown) {
  Catalog After = sound();
  After.AccountByKeyHash.clear();
  After.AccountByKeyHash[keyHash("secret-2")] = {"acme"};
  const std::vector<Difference> Expected = {
      {ChangeKind::Changed, "account acme", "keys: 1 added, 1 removed"}};
  EXPECT_EQ(compareCatalogs(sound(), After), Expected);
}
