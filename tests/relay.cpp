// Pumps bytes both ways; faults are switched from other threads.
#include "relay.h"

#include <array>
#include <chrono>
#include <future>

namespace endivewharf::harness {

namespace {

constexpr auto RelayDelay = std::chrono::milliseconds(150);

} // namespace

struct Relay::Pipe {
  explicit Pipe(asio::io_context &Io) : Near_(Io), Far_(Io) {}
  asio::ip::tcp::socket Near_;
  asio::ip::tcp::socket Far_;
  std::array<char, 16384> Forth_{};
  std::array<char, 16384> Back_{};
  bool Silent_ = false;
  bool Lossy_ = false; ///< Bytes of it were lost.

  void close(bool Reset) {
    asio::error_code Ignored;
    for (asio::ip::tcp::socket *Socket : {&Near_, &Far_}) {
      if (Reset)
        Socket->set_option(asio::socket_base::linger(true, 0), Ignored);
      Socket->close(Ignored);
    }
  }
};

Relay::Relay(int Target)
    : Target_(Target), Port_(0),
      Acceptor_(Io_, {asio::ip::make_address("127.0.0.1"), 0}) {
  Port_ = Acceptor_.local_endpoint().port();
  accept();
  Thread_ = std::thread([this] { Io_.run(); });
}

Relay::~Relay() {
  Io_.stop();
  Thread_.join();
}

void Relay::accept() {
  auto P = std::make_shared<Pipe>(Io_);
  Acceptor_.async_accept(P->Near_, [this, P](const asio::error_code &Error) {
    if (Error)
      return;
    Pipes_.push_back(P);
    P->Far_.async_connect({asio::ip::make_address("127.0.0.1"),
                           static_cast<std::uint16_t>(Target_)},
                          [this, P](const asio::error_code &Failed) {
                            if (Failed)
                              return; // both ends close
                            pump(P, true);
                            pump(P, false);
                          });
    accept();
  });
}

void Relay::pump(const std::shared_ptr<Pipe> &P, bool Forth) {
  auto &From = Forth ? P->Near_ : P->Far_;
  auto &Buffer = Forth ? P->Forth_ : P->Back_;
  From.async_read_some(
      asio::buffer(Buffer),
      [this, P, Forth](const asio::error_code &Error, std::size_t Size) {
        if (P->Silent_)
          return; // what came is lost, nobody is told
        if (Error) {
          P->close(false);
          return;
        }
        if (Fault_ == RelayFault::Silent ||
            (Fault_ == RelayFault::OneWay && !Forth)) {
          P->Lossy_ = true;
          pump(P, Forth);
          return;
        }
        if (Fault_ != RelayFault::Delayed) {
          pass(P, Forth, Size);
          return;
        }
        auto Timer = std::make_shared<asio::steady_timer>(Io_, RelayDelay);
        Timer->async_wait([this, P, Forth, Size, Timer](const auto &) {
          pass(P, Forth, Size);
        });
      });
}

void Relay::pass(const std::shared_ptr<Pipe> &P, bool Forth, std::size_t Size) {
  auto &To = Forth ? P->Far_ : P->Near_;
  auto &Buffer = Forth ? P->Forth_ : P->Back_;
  asio::async_write(
      To, asio::buffer(Buffer.data(), Size),
      [this, P, Forth](const asio::error_code &Failed, std::size_t) {
        if (!Failed && !P->Silent_)
          pump(P, Forth);
      });
}

void Relay::run(const std::function<void()> &Action) {
  std::promise<void> Done;
  asio::post(Io_, [&] {
    Action();
    Done.set_value();
  });
  Done.get_future().wait();
}

void Relay::silence() {
  run([this] {
    for (const auto &Weak : Pipes_)
      if (auto P = Weak.lock()) {
        P->Silent_ = true;
        Silent_.push_back(P);
      }
    Pipes_.clear();
  });
}

void Relay::block() {
  silence();
  run([this] { Acceptor_.close(); });
}

void Relay::setFault(RelayFault Fault) {
  run([this, Fault] {
    Fault_ = Fault;
    for (const auto &Weak : Pipes_)
      if (auto P = Weak.lock(); P && P->Lossy_)
        P->close(true);
    std::erase_if(Pipes_, [](const auto &Weak) { return Weak.expired(); });
  });
}

void Relay::reset() {
  run([this] {
    for (const auto &Weak : Pipes_)
      if (auto P = Weak.lock())
        P->close(true);
    Pipes_.clear();
  });
}

} // namespace endivewharf::harness
