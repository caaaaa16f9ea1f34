// Shared fixture: four entry processes in three data centres, a few engines
// and a service, on the fakes' clock.
#pragma once

#include "world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace endivewharf::fakes {

class WorldTest : public ::testing::Test {
protected:
  static constexpr Millis StartupTime = 8000; // ms until a lease is held

  World &startProcesses(const WorldOptions &Options = {},
                        int EnginesPerCentre = 2) {
    World_ = std::make_unique<World>(Options);
    World &W = *World_;
    for (int I = 0; I < EnginesPerCentre * Options.DataCentreCount_; ++I)
      W.addEngine(fmt::format("e{}", I), W.dataCentre(I), {{"m", "v1"}});
    for (int I = 0; I < Options.DataCentreCount_; ++I)
      W.addService(fmt::format("s{}", I), "desk", W.dataCentre(I));
    W.publishConfig(exampleConfig({"m"}));
    W.runFor(StartupTime);
    return W;
  }

  static CallRequest makePromptRequest(std::string Text,
                                       std::int64_t Tokens = 20) {
    return World::makeCompletionRequest("k0", "m", std::move(Text), Tokens);
  }

  static CallRequest makeServiceRequest(std::string Key) {
    return World::makeServiceRequest("k0", "desk", std::move(Key));
  }

  /// Index of the only process that holds the lease; -1 if there is none.
  int leaseHolder() const;

  std::unique_ptr<World> World_;
};

} // namespace endivewharf::fakes
