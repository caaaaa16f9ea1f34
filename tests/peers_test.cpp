// Links between processes whose peers come and go.
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

constexpr int Processes = 6;
constexpr auto ChurnTime = std::chrono::seconds(6);
constexpr auto SettleTime = std::chrono::seconds(3);
constexpr auto HangLimit = std::chrono::seconds(30);
constexpr std::uint64_t Calm = 1; // number of messages sent after the churn

std::string nameOf(int I) { return fmt::format("entry-{}", I); }

/// One process's links on a loop of their own, opened and closed at random.
class Player {
public:
  Player(int Self, const std::vector<int> &Ports)
      : Self_(Self), Ports_(Ports), Random_(static_cast<unsigned>(Self)) {}

  void play() {
    const auto End = Clock::now() + ChurnTime;
    while (Clock::now() < End) {
      open();
      const auto Until = Clock::now() + draw(20, 400);
      while (Clock::now() < std::min(Until, End))
        step();
      Links_.reset();
      std::this_thread::sleep_for(draw(0, 150));
    }
    open();
    const auto Last = Clock::now() + SettleTime;
    while (Clock::now() < Last) {
      tell(Calm);
      Io_.run_for(std::chrono::milliseconds(50));
    }
    Links_.reset();
  }

  /// Others from which a message of the calm time has arrived.
  std::set<std::string> Heard_;

private:
  std::chrono::milliseconds draw(int From, int To) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution(From, To)(Random_));
  }

  void open() {
    Settings S;
    S.Name_ = nameOf(Self_);
    S.PeerListen_ = {"127.0.0.1", Ports_[Self_]};
    for (int I = 0; I < Processes; ++I)
      if (I != Self_)
        S.Peers_.push_back({nameOf(I), {"127.0.0.1", Ports_[I]}, "", ""});
    Links_ = std::make_unique<PeerLinks>(
        Io_, S, Life{S.Name_, 1}, [this](const PeerEnvelope &E) {
          if (const auto *Found = std::get_if<FindCallMessage>(&E.Message_);
              Found != nullptr && Found->RequestId_.ends_with(" calm"))
            Heard_.insert(E.From_.Name_);
        });
    while (!Links_->open())
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }

  void tell(std::uint64_t Kind) {
    FindCallMessage Message;
    Message.RequestId_ = std::string(Random_() % 3000, 'x');
    Message.RequestId_ += Kind == Calm ? " calm" : "";
    for (int I = 0; I < Processes; ++I)
      if (I != Self_)
        Links_->send({nameOf(I), Message});
  }

  void step() {
    tell(0);
    if (Random_() % 8 == 0)
      Links_->reconnect(nameOf(static_cast<int>(Random_() % Processes)));
    Io_.run_for(draw(0, 10));
  }

  int Self_;
  const std::vector<int> &Ports_;
  std::mt19937 Random_;
  asio::io_context Io_{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work_ =
      asio::make_work_guard(Io_);
  std::unique_ptr<PeerLinks> Links_;
};

} // namespace

TEST(PeerLinksTest, peers_comeAndGo_noCallHangsAndLinksComeBack) {
  std::vector<int> Ports;
  for (int I = 0; I < Processes; ++I)
    Ports.push_back(freePort());
  std::vector<std::unique_ptr<Player>> Players;
  std::vector<std::future<void>> Ended;
  for (int I = 0; I < Processes; ++I)
    Players.push_back(std::make_unique<Player>(I, Ports));
  for (auto &P : Players)
    Ended.push_back(std::async(std::launch::async, [&P] { P->play(); }));
  const auto Limit = Clock::now() + HangLimit;
  for (auto &E : Ended)
    if (E.wait_until(Limit) != std::future_status::ready) {
      // A thread that hangs can't be joined.
      fmt::print("a call on a link hangs\n");
      std::fflush(stdout);
      std::_Exit(1);
    }
  for (const auto &P : Players)
    EXPECT_EQ(P->Heard_.size(), Processes - 1);
}

} // namespace endivewharf::harness
