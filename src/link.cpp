// nng's callbacks run on its own threads and only post to the loop.
#include "link.h"

#include "logger.h"

#include <algorithm>
#include <asio/post.hpp>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::size_t MaxWaiting = 128;        // messages of one link
constexpr std::uint32_t MaxMessage = 16 << 20; // bytes
constexpr nng_duration MinPauseMs = 100;       // between dials
constexpr nng_duration MaxPauseMs = 500;
constexpr nng_duration AcceptPauseMs = 100; // e.g. no descriptor is left

std::string url(const SocketAddress &Address) {
  return fmt::format("tcp://{}", format(Address));
}

} // namespace

LengthField encodeLength(std::uint32_t Length) {
  return {static_cast<std::uint8_t>(Length >> 24),
          static_cast<std::uint8_t>(Length >> 16),
          static_cast<std::uint8_t>(Length >> 8),
          static_cast<std::uint8_t>(Length)};
}

std::uint32_t decodeLength(const LengthField &Field) {
  std::uint32_t Length = 0;
  for (const std::uint8_t Byte : Field)
    Length = Length << 8 | Byte;
  return Length;
}

std::string describe(const LinkError &Error) {
  return nng_strerror(Error.Code_);
}

// --- StreamTask ---

StreamTask::StreamTask(asio::io_context &Io, std::function<void(int)> Done)
    : Io_(Io),
      Done_(std::make_shared<std::function<void(int)>>(std::move(Done))) {
  if (nng_aio_alloc(&Aio_, &StreamTask::ended, this) != 0)
    throw std::bad_alloc();
}

StreamTask::~StreamTask() {
  nng_aio_stop(Aio_); // waits for a callback that runs
  takeStream();
  nng_aio_free(Aio_);
}

StreamPointer StreamTask::takeStream() {
  StreamPointer Made(static_cast<nng_stream *>(nng_aio_get_output(Aio_, 0)));
  nng_aio_set_output(Aio_, 0, nullptr);
  return Made;
}

void StreamTask::setBytes(void *Data, std::size_t Size) {
  const nng_iov Bytes{Data, Size};
  nng_aio_set_iov(Aio_, 1, &Bytes);
}

void StreamTask::ended(void *User) {
  auto &Self = *static_cast<StreamTask *>(User);
  const int Error = nng_aio_result(Self.Aio_);
  asio::post(Self.Io_, [Error, Kept = std::weak_ptr<std::function<void(int)>>(
                                   Self.Done_)] {
    if (const auto Done = Kept.lock())
      (*Done)(Error);
  });
}

// --- OutgoingLink ---

OutgoingLink::OutgoingLink(asio::io_context &Io, const SocketAddress &To)
    : Io_(Io), Connect_(std::make_unique<StreamTask>(
                   Io, [this](int Error) { dialEnded(Error); })),
      PauseMs_(MinPauseMs) {
  if (nng_stream_dialer_alloc(&Dialer_, url(To).c_str()) != 0)
    throw std::bad_alloc();
  nng_stream_dialer_set_bool(Dialer_, NNG_OPT_TCP_NODELAY, true);
}

OutgoingLink::~OutgoingLink() {
  Connect_.reset();
  Write_.reset();
  Watch_.reset();
  Stream_.reset();
  nng_stream_dialer_free(Dialer_);
}

bool OutgoingLink::send(std::string_view Message) {
  if (Waiting_.size() >= MaxWaiting)
    return false;
  const LengthField Length =
      encodeLength(static_cast<std::uint32_t>(Message.size()));
  std::string Bytes;
  Bytes.reserve(LengthBytes + Message.size());
  Bytes.append(Length.begin(), Length.end());
  Bytes += Message;
  Waiting_.push_back(std::move(Bytes));
  if (Phase_ == Phase::Idle)
    dial();
  else if (Phase_ == Phase::Open)
    writeNext();
  return true;
}

void OutgoingLink::dial() {
  Phase_ = Phase::Dialing;
  nng_stream_dialer_dial(Dialer_, Connect_->aio());
}

void OutgoingLink::dialEnded(int Error) {
  if (Phase_ == Phase::Pausing) {
    Phase_ = Phase::Idle;
    if (!Waiting_.empty())
      dial();
    return;
  }
  if (Error != 0) {
    pause();
    return;
  }
  Stream_ = Connect_->takeStream();
  Phase_ = Phase::Open;
  PauseMs_ = MinPauseMs;
  Write_ =
      std::make_unique<StreamTask>(Io_, [this](int End) { writeEnded(End); });
  Watch_ = std::make_unique<StreamTask>(Io_, [this](int) { broken(); });
  watch();
  writeNext();
}

void OutgoingLink::pause() {
  Phase_ = Phase::Pausing;
  nng_sleep_aio(PauseMs_, Connect_->aio());
  PauseMs_ = std::min(2 * PauseMs_, MaxPauseMs);
}

void OutgoingLink::writeNext() {
  if (Writing_ || Waiting_.empty())
    return;
  Writing_ = true;
  std::string &First = Waiting_.front();
  Write_->setBytes(First.data() + Written_, First.size() - Written_);
  nng_stream_send(Stream_.get(), Write_->aio());
}

void OutgoingLink::writeEnded(int Error) {
  Writing_ = false;
  if (Error != 0) {
    broken();
    return;
  }
  Written_ += nng_aio_count(Write_->aio());
  if (Written_ >= Waiting_.front().size()) {
    Waiting_.pop_front();
    Written_ = 0;
  }
  writeNext();
}

/// Nothing is ever sent back: any end of this read is the connection's.
void OutgoingLink::watch() {
  Watch_->setBytes(&Unexpected_, sizeof(Unexpected_));
  nng_stream_recv(Stream_.get(), Watch_->aio());
}

void OutgoingLink::broken() {
  Write_.reset();
  Watch_.reset();
  Stream_.reset();
  Writing_ = false;
  if (Written_ > 0)
    Waiting_.pop_front(); // a part of it may have arrived
  Written_ = 0;
  pause();
}

// --- IncomingLink ---

IncomingLink::IncomingLink(asio::io_context &Io, StreamPointer Stream,
                           std::function<void(std::string)> OnMessage,
                           std::function<void()> OnEnd)
    : Stream_(std::move(Stream)), OnMessage_(std::move(OnMessage)),
      OnEnd_(std::move(OnEnd)),
      Read_(Io, [this](int Error) { readEnded(Error); }) {
  readNext();
}

void IncomingLink::readNext() {
  if (InBody_)
    Read_.setBytes(Body_.data() + Got_, Body_.size() - Got_);
  else
    Read_.setBytes(Length_.data() + Got_, LengthBytes - Got_);
  nng_stream_recv(Stream_.get(), Read_.aio());
}

void IncomingLink::readEnded(int Error) {
  if (Error != 0) {
    end();
    return;
  }
  Got_ += nng_aio_count(Read_.aio());
  if (!InBody_ && Got_ == LengthBytes && !takeLength()) {
    end();
    return;
  }
  if (InBody_ && Got_ == Body_.size()) {
    InBody_ = false;
    Got_ = 0;
    OnMessage_(std::exchange(Body_, {}));
  }
  readNext();
}

/// The callback destroys this object, so that it may not live in it.
void IncomingLink::end() {
  const auto OnEnd = std::move(OnEnd_);
  OnEnd();
}

/// @return false if no message is as long as that
bool IncomingLink::takeLength() {
  const std::uint32_t Length = decodeLength(Length_);
  if (Length == 0 || Length > MaxMessage) {
    writeLogLine(LogLevel::Warning, "peer_message_refused",
                 {{"bytes", std::to_string(Length)}});
    return false;
  }
  Body_.resize(Length);
  InBody_ = true;
  Got_ = 0;
  return true;
}

// --- LinkListener ---

LinkListener::LinkListener(asio::io_context &Io,
                           std::function<void(StreamPointer)> OnStream)
    : OnStream_(std::move(OnStream)),
      Accept_(Io, [this](int Error) { acceptEnded(Error); }) {}

LinkListener::~LinkListener() {
  if (Listener_ == nullptr)
    return;
  nng_stream_listener_close(Listener_);
  nng_aio_stop(Accept_.aio());
  nng_stream_listener_free(Listener_);
}

tl::expected<void, LinkError> LinkListener::listen(const SocketAddress &At) {
  int Error = nng_stream_listener_alloc(&Listener_, url(At).c_str());
  if (Error == 0)
    Error = nng_stream_listener_listen(Listener_);
  if (Error != 0)
    return tl::unexpected(LinkError{Error});
  acceptNext();
  return {};
}

void LinkListener::acceptNext() {
  nng_stream_listener_accept(Listener_, Accept_.aio());
}

void LinkListener::acceptEnded(int Error) {
  if (std::exchange(Pausing_, false)) {
    acceptNext();
    return;
  }
  if (Error != 0) {
    writeLogLine(LogLevel::Warning, "peer_accept_failed",
                 {{"reason", describe(LinkError{Error})}});
    Pausing_ = true;
    nng_sleep_aio(AcceptPauseMs, Accept_.aio());
    return;
  }
  StreamPointer Accepted = Accept_.takeStream();
  acceptNext();
  OnStream_(std::move(Accepted));
}

} // namespace endivewharf
