// Shared test fixture: entry processes (by default four in three data centres),
// a few engines and a service, driven by the simulated clock of the fakes.
#pragma once

#include "world.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace endivewharf::fakes {

class WorldTest : public ::testing::Test {
protected:
  /// Time after which a process holds the lease, in ms.
  static constexpr Millis StartupTime = 8000;

  /// Builds the world, publishes a configuration and lets the startup time
  /// pass.
  /// @param EnginesPerCentre number of engines in each data centre
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

  /// @return index of the process that holds the lease, or -1 if there is none;
  /// a second holder is a test failure
  int leaseHolder() const;

  std::unique_ptr<World> World_;
};

} // namespace endivewharf::fakes
