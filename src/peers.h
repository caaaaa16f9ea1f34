// Links to other entry processes: one that sends to each peer, one that
// receives from each. Messages may be lost; the core repeats what matters.
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

class PeerLinks {
public:
  using MessageSink = std::function<void(PeerEnvelope)>;

  /// @param Io event loop on which `Sink` is called
  /// @param From own address and peers
  /// @param Self sender of all messages
  PeerLinks(asio::io_context &Io, const Settings &From, InstanceId Self,
            MessageSink Sink);

  /// Listens.
  tl::expected<void, LinkError> listen();

  void send(const SendToPeer &E);
  void send(const SendToPeers &E);

  /// Remembers where a peer is reached, or forgets the peer.
  void setPeerAddress(const SetPeerAddress &E);

  /// Opens a new connection to a peer whose old one has gone silent.
  void reconnect(const std::string &Peer);

  std::int64_t bytesSent() const { return BytesSent_; }
  std::int64_t bytesReceived() const { return BytesReceived_; }
  const std::map<std::string, std::int64_t> &bytesByType() const {
    return BytesByType_;
  }

private:
  struct Peer {
    SocketAddress Address_;
    std::unique_ptr<OutgoingLink> Link_; ///< Null until something is sent.
  };

  void sendEncoded(const std::string &To, const PeerMessage &Message,
                   const std::string &Bytes);
  void addIncomingLink(StreamPointer Stream);
  void deliverMessage(const std::string &Bytes);

  asio::io_context &Io_;
  Settings Settings_;
  InstanceId Self_;
  MessageSink Sink_;
  std::map<std::string, Peer> Peers_;
  std::map<std::uint64_t, std::unique_ptr<IncomingLink>> IncomingLinks_;
  std::uint64_t NextIncomingId_ = 1;
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::map<std::string, std::int64_t> BytesByType_;
  LinkListener Listener_;
};

} // namespace endivewharf
