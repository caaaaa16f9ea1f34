// Links to other entry processes over nng: one socket that receives, one that
// sends to each peer. Messages may be lost; the core repeats what matters.
#pragma once

#include "client.h"
#include "effect.h"
#include "settings.h"

#include <functional>
#include <map>
#include <nng/nng.h>
#include <string>

namespace endivewharf {

class PeerLinks {
public:
  using MessageSink = std::function<void(PeerEnvelope)>;

  /// @param Io event loop on which `Sink` is called
  /// @param From own address and peers
  /// @param Self sender of all messages
  PeerLinks(asio::io_context &Io, const Settings &From, Life Self,
            MessageSink Sink);
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// Listens.
  /// @return false if the address can't be used
  bool open();

  void send(const SendToPeer &E);

  /// Remembers where a peer is reached, or forgets the peer.
  void know(const KnowPeer &E);

  /// Opens a new connection to a peer whose old one has gone silent.
  void reconnect(const std::string &Peer);

  std::int64_t bytesSent() const { return BytesSent_; }
  std::int64_t bytesReceived() const { return BytesReceived_; }
  const std::map<std::string, std::int64_t> &bytesByType() const {
    return BytesByType_;
  }

private:
  struct Link {
    nng_socket Socket_ = NNG_SOCKET_INITIALIZER;
    bool Open_ = false;
    SocketAddress Address_;
  };

  static void onReceived(void *User);
  void receiveNext();
  void deliver(const std::string &Bytes);
  bool openLink(Link &L);

  asio::io_context &Io_;
  Settings Settings_;
  Life Self_;
  MessageSink Sink_;
  nng_socket Receiver_ = NNG_SOCKET_INITIALIZER;
  nng_aio *ReceiveAio_ = nullptr;
  std::map<std::string, Link> Links_;
  std::int64_t BytesSent_ = 0;
  std::int64_t BytesReceived_ = 0;
  std::map<std::string, std::int64_t> BytesByType_;
};

} // namespace endivewharf
