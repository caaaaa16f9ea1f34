// TCP relay between two processes, with the faults of a network.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace endivewharf::harness {

/// What a relay does to its connections.
enum class RelayFault {
  None,
  Delayed,         ///< Bytes pass, but late.
  TargetBytesLost, ///< Bytes of the target are lost.
  AllBytesLost     ///< All bytes are lost, nobody is told.
};

/// TCP relay whose connections can be delayed, silenced, cut one way or reset.
class Relay {
public:
  explicit Relay(int Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  int port() const { return Port_; }
  /// Stops forwarding on all connections that are open now.
  void stopForwarding();
  /// Does so for good, and takes no new ones either.
  void stopForwardingAndAccepting();
  /// Puts all connections under a fault, new ones too. Those that have lost
  /// bytes are reset when it ends.
  void setFault(RelayFault Fault);
  /// Resets all connections that are open now.
  void resetConnections();

private:
  struct ConnectionPair;
  void acceptNext();
  void startRead(const std::shared_ptr<ConnectionPair> &P, bool Forth);
  void forwardBytes(const std::shared_ptr<ConnectionPair> &P, bool Forth,
                    std::size_t Size);
  void runOnRelayThread(const std::function<void()> &Action);

  int TargetPort_;
  int Port_;
  asio::io_context Io_;
  asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::weak_ptr<ConnectionPair>> Connections_;
  std::vector<std::shared_ptr<ConnectionPair>> StoppedConnections_;
  RelayFault Fault_ = RelayFault::None;
  std::thread Thread_;
};

} // namespace endivewharf::harness
