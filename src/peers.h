// Sends messages to peers and receives theirs, over one outgoing and one
// incoming link per peer. Messages may be lost; the reducer repeats those that
// matter.
#pragma once

#include "client.h"
#include "effect.h"
#include "link.h"
#include "settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace endivewharf {

/// Links to all peers.
class PeerLinks {
public:
  using MessageSink = std::function<void(PeerEnvelope)>;

  /// @param Io event loop on which `Sink` is called
  /// @param From settings with the listen address and the configured peers
  /// @param Self sender named in all messages
  /// @param Sink called with each message received
  PeerLinks(asio::io_context &Io, const Settings &From, InstanceId Self,
            MessageSink Sink);

  /// Starts to accept connections at the peer address of the settings.
  /// @return the error of nng if the address cannot be used
  tl::expected<void, LinkError> listen();

  /// Sends a message to one peer. It is dropped without an error if the peer is
  /// unknown or too many messages already wait for it.
  void send(const SendToPeer &E);
  /// Sends a message to several peers, encoded once.
  void send(const SendToPeers &E);

  /// Sets the address of a peer; an empty or invalid one removes the peer.
  void setPeerAddress(const SetPeerAddress &E);

  /// Closes the connection to a peer and drops the messages that wait for it;
  /// the next message opens a new connection.
  void reconnect(const std::string &Name);

  /// Bytes of all messages queued for sending since the start.
  std::int64_t bytesSent() const { return BytesSent_; }
  std::int64_t bytesReceived() const { return BytesReceived_; }
  /// Bytes sent, by message type.
  const std::map<std::string, std::int64_t> &bytesByType() const {
    return BytesByType_;
  }

private:
  struct PeerLink {
    SocketAddress Address_;
    /// Null until the first message is sent.
    std::unique_ptr<OutgoingLink> Link_;
  };

  void sendEncoded(const std::string &Name, const PeerMessage &Message,
                   const std::string &Bytes);
  void addIncomingLink(StreamPointer Stream);
  void deliverMessage(const std::string &Bytes);

  asio::io_context &Io_;
  Settings Settings_;
  InstanceId Self_;
  MessageSink Sink_;
  std::map<std::string, PeerLink> Peers_; ///< By name.
  std::map<std::uint64_t, std::unique_ptr<IncomingLink>> IncomingLinks_;
  std::uint64_t NextIncomingId_ = 1;
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::map<std::string, std::int64_t> BytesByType_;
  LinkListener Listener_;
};

} // namespace endivewharf
