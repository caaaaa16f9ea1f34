// Test of the links between processes while peers connect and disconnect at
// random.
#include "harness.h"
#include "peers.h"

#include <asio/executor_work_guard.hpp>
#include <atomic>
#include <chrono>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>
#include <thread>
#include <vector>

namespace endivewharf::harness {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int ProcessCount = 6;
constexpr auto ChurnTime = std::chrono::seconds(6);
constexpr auto SettleTime = std::chrono::seconds(3);
constexpr auto HangTimeout = std::chrono::seconds(30);
/// Kind of the messages that are sent after the churn.
constexpr std::uint64_t AfterChurn = 1;

std::string processName(int I) { return fmt::format("entry-{}", I); }

/// Opens and closes the links of one process at random, on its own event loop.
class PeerLinkDriver {
public:
  PeerLinkDriver(int Self, const std::vector<int> &Ports)
      : Self_(Self), Ports_(Ports),
        RandomGenerator_(static_cast<unsigned>(Self)) {}

  void churnThenSettle() {
    const auto End = Clock::now() + ChurnTime;
    while (Clock::now() < End) {
      openLinks();
      const auto Until = Clock::now() + drawMillis(20, 400);
      while (Clock::now() < std::min(Until, End))
        sendAndReconnect();
      Links_.reset();
      std::this_thread::sleep_for(drawMillis(0, 150));
    }
    openLinks();
    const auto SettleEnd = Clock::now() + SettleTime;
    while (Clock::now() < SettleEnd) {
      sendToAll(AfterChurn);
      Io_.run_for(std::chrono::milliseconds(50));
    }
    Links_.reset();
  }

  /// Peers from which a message sent after the churn has arrived.
  std::set<std::string> ReceivedFrom_;

private:
  std::chrono::milliseconds drawMillis(int From, int To) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution(From, To)(RandomGenerator_));
  }

  void openLinks() {
    Settings S;
    S.Name_ = processName(Self_);
    S.PeerListen_ = {"127.0.0.1", Ports_[Self_]};
    for (int I = 0; I < ProcessCount; ++I)
      if (I != Self_)
        S.Peers_.push_back({processName(I), {"127.0.0.1", Ports_[I]}, "", ""});
    Links_ = std::make_unique<PeerLinks>(
        Io_, S, InstanceId{S.Name_, 1}, [this](const PeerEnvelope &E) {
          if (const auto *Found = std::get_if<FindCallMessage>(&E.Message_);
              Found != nullptr && Found->RequestId_.ends_with(" calm"))
            ReceivedFrom_.insert(E.Sender_.Name_);
        });
    while (!Links_->listen())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  void sendToAll(std::uint64_t Kind) {
    FindCallMessage Message;
    Message.RequestId_ = std::string(RandomGenerator_() % 3000, 'x');
    Message.RequestId_ += Kind == AfterChurn ? " calm" : "";
    for (int I = 0; I < ProcessCount; ++I)
      if (I != Self_)
        Links_->send({processName(I), Message});
  }

  void sendAndReconnect() {
    sendToAll(0);
    if (RandomGenerator_() % 8 == 0)
      Links_->reconnect(
          processName(static_cast<int>(RandomGenerator_() % ProcessCount)));
    Io_.run_for(drawMillis(0, 10));
  }

  int Self_;
  const std::vector<int> &Ports_;
  std::mt19937 RandomGenerator_;
  asio::io_context Io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard_ =
      asio::make_work_guard(Io_);
  std::unique_ptr<PeerLinks> Links_;
};

} // namespace

TEST(PeerLinksTest, peers_comeAndGo_noCallHangsAndLinksComeBack) {
  std::vector<int> Ports;
  for (int I = 0; I < ProcessCount; ++I)
    Ports.push_back(freePort());
  std::vector<std::unique_ptr<PeerLinkDriver>> Drivers;
  std::vector<std::future<void>> Results;
  for (int I = 0; I < ProcessCount; ++I)
    Drivers.push_back(std::make_unique<PeerLinkDriver>(I, Ports));
  for (auto &Driver : Drivers)
    Results.push_back(std::async(std::launch::async,
                                 [&Driver] { Driver->churnThenSettle(); }));
  const auto Limit = Clock::now() + HangTimeout;
  for (auto &E : Results)
    if (E.wait_until(Limit) != std::future_status::ready) {
      // A thread that hangs cannot be joined, so the process exits here.
      fmt::print("a call on a peer link did not return within 30 s\n");
      std::fflush(stdout);
      std::_Exit(1);
    }
  for (const auto &Driver : Drivers)
    EXPECT_EQ(Driver->ReceivedFrom_.size(), ProcessCount - 1);
}

} // namespace endivewharf::harness
