// Forwards bytes in both directions on a thread of its own. Faults are set from
// other threads by posting to that thread.
#include "relay.h"

#include <array>
#include <chrono>
#include <future>

namespace endivewharf::harness {

namespace {

constexpr auto RelayDelay = std::chrono::milliseconds(150);

} // namespace

struct Relay::ConnectionPair {
  explicit ConnectionPair(asio::io_context &Io)
      : ClientSocket_(Io), TargetSocket_(Io) {}
  asio::ip::tcp::socket ClientSocket_;
  asio::ip::tcp::socket TargetSocket_;
  std::array<char, 16384> ToTargetBuffer_{};
  std::array<char, 16384> ToClientBuffer_{};
  bool ForwardingStopped_ = false;
  bool HasLostBytes_ = false; ///< Bytes of this connection were discarded.

  void closeSockets(bool Reset) {
    asio::error_code Ignored;
    for (asio::ip::tcp::socket *Socket : {&ClientSocket_, &TargetSocket_}) {
      if (Reset)
        Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }
};

Relay::Relay(int Target)
    : TargetPort_(Target), Port_(0),
      Acceptor_(Io_, {asio::ip::make_address("127.0.0.1"), 0}) {
  Port_ = Acceptor_.local_endpoint().port();
  acceptNext();
  Thread_ = std::thread([this] { Io_.run(); });
}

Relay::~Relay() {
  Io_.stop();
  Thread_.join();
}

void Relay::acceptNext() {
  auto P = std::make_shared<ConnectionPair>(Io_);
  Acceptor_.async_accept(P->ClientSocket_,
                         [this, P](const asio::error_code &Error) {
                           if (Error)
                             return;
                           Connections_.push_back(P);
                           P->TargetSocket_.async_connect(
                               {asio::ip::make_address("127.0.0.1"),
                                static_cast<std::uint16_t>(TargetPort_)},
                               [this, P](const asio::error_code &Failed) {
                                 if (Failed)
                                   return; // The sockets close with the pair.
                                 startRead(P, true);
                                 startRead(P, false);
                               });
                           acceptNext();
                         });
}

void Relay::startRead(const std::shared_ptr<ConnectionPair> &P, bool ToTarget) {
  auto &From = ToTarget ? P->ClientSocket_ : P->TargetSocket_;
  auto &Buffer = ToTarget ? P->ToTargetBuffer_ : P->ToClientBuffer_;
  From.async_read_some(
      asio::buffer(Buffer),
      [this, P, ToTarget](const asio::error_code &Error, std::size_t Size) {
        if (P->ForwardingStopped_)
          return; // Bytes are discarded, sockets stay open.
        if (Error) {
          P->closeSockets(false);
          return;
        }
        if (Fault_ == RelayFault::AllBytesLost ||
            (Fault_ == RelayFault::TargetBytesLost && !ToTarget)) {
          P->HasLostBytes_ = true;
          startRead(P, ToTarget);
          return;
        }
        if (Fault_ != RelayFault::Delayed) {
          forwardBytes(P, ToTarget, Size);
          return;
        }
        auto Timer = std::make_shared<asio::steady_timer>(Io_, RelayDelay);
        Timer->async_wait([this, P, ToTarget, Size, Timer](const auto &) {
          forwardBytes(P, ToTarget, Size);
        });
      });
}

void Relay::forwardBytes(const std::shared_ptr<ConnectionPair> &P,
                         bool ToTarget, std::size_t Size) {
  auto &To = ToTarget ? P->TargetSocket_ : P->ClientSocket_;
  auto &Buffer = ToTarget ? P->ToTargetBuffer_ : P->ToClientBuffer_;
  asio::async_write(
      To, asio::buffer(Buffer.data(), Size),
      [this, P, ToTarget](const asio::error_code &Failed, std::size_t) {
        if (!Failed && !P->ForwardingStopped_)
          startRead(P, ToTarget);
      });
}

void Relay::runOnRelayThread(const std::function<void()> &Action) {
  std::promise<void> Done;
  asio::post(Io_, [&] {
    Action();
    Done.set_value();
  });
  Done.get_future().wait();
}

void Relay::stopForwarding() {
  runOnRelayThread([this] {
    for (const auto &Weak : Connections_)
      if (auto P = Weak.lock()) {
        P->ForwardingStopped_ = true;
        StoppedConnections_.push_back(P);
      }
    Connections_.clear();
  });
}

void Relay::stopForwardingAndAccepting() {
  stopForwarding();
  runOnRelayThread([this] { Acceptor_.close(); });
}

void Relay::setFault(RelayFault Fault) {
  runOnRelayThread([this, Fault] {
    Fault_ = Fault;
    for (const auto &Weak : Connections_)
      if (auto P = Weak.lock(); P && P->HasLostBytes_)
        P->closeSockets(true);
    std::erase_if(Connections_,
                  [](const auto &Weak) { return Weak.expired(); });
  });
}

void Relay::resetConnections() {
  runOnRelayThread([this] {
    for (const auto &Weak : Connections_)
      if (auto P = Weak.lock())
        P->closeSockets(true);
    Connections_.clear();
  });
}

} // namespace endivewharf::harness
