// TCP relay between two processes that injects network faults.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace endivewharf::harness {

/// Fault that a relay applies to its connections.
enum class RelayFault {
  None,
  Delayed,         ///< Bytes are forwarded after a delay.
  TargetBytesLost, ///< Bytes sent by the target are discarded.
  AllBytesLost     ///< All bytes are discarded; connections stay open.
};

/// TCP relay that can delay, discard (in one or both directions) or reset the
/// traffic of its connections. The functions may be called from any thread.
class Relay {
public:
  /// @param Target port of 127.0.0.1 to which connections are forwarded
  explicit Relay(int Target);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// @return port on which the relay accepts connections
  int port() const { return Port_; }
  /// Stops forwarding on all open connections without closing them. New
  /// connections are forwarded.
  void stopForwarding();
  /// Stops forwarding on all open connections and accepts no new ones, for the
  /// rest of the relay's lifetime.
  void stopForwardingAndAccepting();
  /// Applies a fault to all open and future connections. Connections that lost
  /// bytes under an earlier fault are reset, because their streams have gaps.
  void setFault(RelayFault Fault);
  /// Resets all open connections.
  void resetConnections();

private:
  struct ConnectionPair;
  void acceptNext();
  void startRead(const std::shared_ptr<ConnectionPair> &P, bool ToTarget);
  void forwardBytes(const std::shared_ptr<ConnectionPair> &P, bool ToTarget,
                    std::size_t Size);
  /// Runs an action on the relay's thread and waits until it is done.
  void runOnRelayThread(const std::function<void()> &Action);

  int TargetPort_;
  int Port_;
  asio::io_context Io_;
  asio::ip::tcp::acceptor Acceptor_;
  std::vector<std::weak_ptr<ConnectionPair>> Connections_;
  std::vector<std::shared_ptr<ConnectionPair>>
      StoppedConnections_; ///< Kept open.
  RelayFault Fault_ = RelayFault::None;
  std::thread Thread_;
};

} // namespace endivewharf::harness
