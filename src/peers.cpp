// nng sockets; its callbacks run on its own threads and only post to the loop.
#include "peers.h"

#include "codec.h"

#include <fmt/format.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

namespace endivewharf {

namespace {

constexpr int SendQueue = 128;               // messages to one peer
constexpr std::size_t MaxMessage = 16 << 20; // bytes
constexpr nng_duration MinReconnectMs = 100;
constexpr nng_duration MaxReconnectMs = 500;

std::string url(const SocketAddress &Address) {
  return fmt::format("tcp://{}", format(Address));
}

} // namespace

PeerLinks::PeerLinks(asio::io_context &Io, const Settings &From, Life Self,
                     MessageSink Sink)
    : Io_(Io), Settings_(From), Self_(std::move(Self)), Sink_(std::move(Sink)) {
  for (const PeerSettings &Peer : Settings_.Peers_)
    Links_[Peer.Name_].Address_ = Peer.Address_;
}

PeerLinks::~PeerLinks() {
  if (ReceiveAio_ != nullptr) {
    nng_close(Receiver_);
    nng_aio_stop(ReceiveAio_);
    nng_aio_free(ReceiveAio_);
  }
  for (auto &[Name, L] : Links_)
    if (L.Open_)
      nng_close(L.Socket_);
}

bool PeerLinks::open() {
  if (nng_pull0_open(&Receiver_) != 0)
    return false;
  nng_socket_set_size(Receiver_, NNG_OPT_RECVMAXSZ, MaxMessage);
  if (nng_listen(Receiver_, url(Settings_.PeerListen_).c_str(), nullptr, 0) !=
          0 ||
      nng_aio_alloc(&ReceiveAio_, &PeerLinks::onReceived, this) != 0)
    return false;
  receiveNext();
  return true;
}

void PeerLinks::receiveNext() { nng_recv_aio(Receiver_, ReceiveAio_); }

void PeerLinks::onReceived(void *User) {
  auto &Self = *static_cast<PeerLinks *>(User);
  if (nng_aio_result(Self.ReceiveAio_) != 0)
    return; // closed
  nng_msg *Message = nng_aio_get_msg(Self.ReceiveAio_);
  std::string Bytes(static_cast<const char *>(nng_msg_body(Message)),
                    nng_msg_len(Message));
  nng_msg_free(Message);
  asio::post(Self.Io_,
             [&Self, Bytes = std::move(Bytes)] { Self.deliver(Bytes); });
  Self.receiveNext();
}

void PeerLinks::deliver(const std::string &Bytes) {
  BytesReceived_ += static_cast<std::int64_t>(Bytes.size());
  auto Envelope = decodeMessage(Bytes);
  if (Envelope)
    Sink_(std::move(*Envelope));
}

bool PeerLinks::openLink(Link &L) {
  if (nng_push0_open(&L.Socket_) != 0)
    return false;
  nng_socket_set_int(L.Socket_, NNG_OPT_SENDBUF, SendQueue);
  nng_socket_set_ms(L.Socket_, NNG_OPT_RECONNMINT, MinReconnectMs);
  nng_socket_set_ms(L.Socket_, NNG_OPT_RECONNMAXT, MaxReconnectMs);
  L.Open_ = nng_dial(L.Socket_, url(L.Address_).c_str(), nullptr,
                     NNG_FLAG_NONBLOCK) == 0;
  if (!L.Open_)
    nng_close(L.Socket_);
  return L.Open_;
}

void PeerLinks::send(const SendToPeer &E) {
  const auto Found = Links_.find(E.Peer_);
  if (Found == Links_.end() ||
      (!Found->second.Open_ && !openLink(Found->second)))
    return;
  std::string Bytes = encodeMessage({Self_, E.Message_});
  BytesSent_ += static_cast<std::int64_t>(Bytes.size());
  BytesByType_[std::string(messageName(E.Message_))] +=
      static_cast<std::int64_t>(Bytes.size());
  // A full queue drops the message: a digest will bring what it said.
  nng_send(Found->second.Socket_, Bytes.data(), Bytes.size(),
           NNG_FLAG_NONBLOCK);
}

void PeerLinks::know(const KnowPeer &E) {
  const auto Address = parseAddress(E.Address_);
  const auto Found = Links_.find(E.Peer_);
  if (Found != Links_.end()) {
    const bool Same =
        Address && format(Found->second.Address_) == format(*Address);
    if (Same)
      return;
    reconnect(E.Peer_);
    Links_.erase(Found);
  }
  if (Address)
    Links_[E.Peer_].Address_ = *Address;
}

void PeerLinks::reconnect(const std::string &Peer) {
  const auto Found = Links_.find(Peer);
  if (Found == Links_.end() || !Found->second.Open_)
    return;
  nng_close(Found->second.Socket_);
  Found->second.Open_ = false;
}

} // namespace endivewharf
