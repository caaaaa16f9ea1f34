// Encodes and decodes peer messages and maps peer names to links.
#include "peers.h"

#include "codec.h"
#include "logger.h"

namespace endivewharf {

PeerLinks::PeerLinks(asio::io_context &Io, const Settings &From,
                     InstanceId Self, MessageSink Sink)
    : Io_(Io), Settings_(From), Self_(std::move(Self)), Sink_(std::move(Sink)),
      Listener_(Io, [this](StreamPointer Stream) {
        addIncomingLink(std::move(Stream));
      }) {
  for (const PeerSettings &Peer : Settings_.Peers_)
    Peers_[Peer.Name_].Address_ = Peer.Address_;
}

tl::expected<void, LinkError> PeerLinks::listen() {
  return Listener_.listen(Settings_.PeerListen_);
}

void PeerLinks::addIncomingLink(StreamPointer Stream) {
  const std::uint64_t Id = NextIncomingId_++;
  IncomingLinks_[Id] = std::make_unique<IncomingLink>(
      Io_, std::move(Stream),
      [this](const std::string &Bytes) { deliverMessage(Bytes); },
      [this, Id] { IncomingLinks_.erase(Id); });
}

void PeerLinks::deliverMessage(const std::string &Bytes) {
  BytesReceived_ += static_cast<std::int64_t>(Bytes.size());
  auto Envelope = decodeMessage(Bytes);
  if (!Envelope) {
    writeLogLine(LogLevel::Warning, "peer_message_skipped",
                 {{"bytes", std::to_string(Bytes.size())},
                  {"reason", std::string(name(Envelope.error()))}});
    return;
  }
  Sink_(std::move(*Envelope));
}

void PeerLinks::send(const SendToPeer &E) {
  sendEncoded(E.Peer_, E.Message_, encodeMessage({Self_, E.Message_}));
}

void PeerLinks::send(const SendToPeers &E) {
  const std::string Bytes = encodeMessage({Self_, E.Message_});
  for (const std::string &Name : E.Peers_)
    sendEncoded(Name, E.Message_, Bytes);
}

void PeerLinks::sendEncoded(const std::string &Name, const PeerMessage &Message,
                            const std::string &Bytes) {
  const auto Found = Peers_.find(Name);
  if (Found == Peers_.end())
    return;
  PeerLink &To = Found->second;
  if (!To.Link_)
    To.Link_ = std::make_unique<OutgoingLink>(Io_, To.Address_);
  // A message for a full backlog is dropped; later digests make up for it.
  if (!To.Link_->send(Bytes))
    return;
  BytesSent_ += static_cast<std::int64_t>(Bytes.size());
  BytesByType_[std::string(messageName(Message))] +=
      static_cast<std::int64_t>(Bytes.size());
}

void PeerLinks::setPeerAddress(const SetPeerAddress &E) {
  const auto Address = parseAddress(E.Address_);
  if (!Address) {
    Peers_.erase(E.Peer_);
    return;
  }
  PeerLink &Known = Peers_[E.Peer_];
  if (formatAddress(Known.Address_) == formatAddress(*Address))
    return;
  Known.Address_ = *Address;
  Known.Link_.reset();
}

void PeerLinks::reconnect(const std::string &Name) {
  const auto Found = Peers_.find(Name);
  if (Found != Peers_.end())
    Found->second.Link_.reset();
}

} // namespace endivewharf
