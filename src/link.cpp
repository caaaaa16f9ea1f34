// nng calls back on its own threads; each callback only posts its result to the
// event loop, where all other code runs.
#include "link.h"

#include "logger.h"

#include <algorithm>
#include <asio/post.hpp>
#include <fmt/format.h>

namespace endivewharf {

namespace {

constexpr std::size_t MaxBacklogMessages = 128; // per link
constexpr std::uint32_t MaxMessageBytes = 16 << 20;
constexpr nng_duration MinBackoffMs = 100; // between dials
constexpr nng_duration MaxBackoffMs = 500; // between dials
// An accept fails, for example, when the process has no descriptor left.
constexpr nng_duration AcceptRetryDelayMs = 100;

std::string url(const SocketAddress &Address) {
  return fmt::format("tcp://{}", formatAddress(Address));
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

// --- StreamOperation ---

StreamOperation::StreamOperation(asio::io_context &Io,
                                 std::function<void(int)> OnComplete)
    : Io_(Io), OnComplete_(std::make_shared<std::function<void(int)>>(
                   std::move(OnComplete))) {
  if (nng_aio_alloc(&Aio_, &StreamOperation::onAioComplete, this) != 0)
    throw std::bad_alloc();
}

StreamOperation::~StreamOperation() {
  nng_aio_stop(Aio_); // Waits until a running callback has returned.
  extractStream();
  nng_aio_free(Aio_);
}

StreamPointer StreamOperation::extractStream() {
  StreamPointer Stream(static_cast<nng_stream *>(nng_aio_get_output(Aio_, 0)));
  nng_aio_set_output(Aio_, 0, nullptr);
  return Stream;
}

void StreamOperation::setBuffer(void *Data, std::size_t Size) {
  const nng_iov Buffer{Data, Size};
  nng_aio_set_iov(Aio_, 1, &Buffer);
}

void StreamOperation::onAioComplete(void *User) {
  auto &Self = *static_cast<StreamOperation *>(User);
  const int Error = nng_aio_result(Self.Aio_);
  asio::post(Self.Io_,
             [Error, Callback = std::weak_ptr<std::function<void(int)>>(
                         Self.OnComplete_)] {
               if (const auto OnComplete = Callback.lock())
                 (*OnComplete)(Error);
             });
}

// --- OutgoingLink ---

OutgoingLink::OutgoingLink(asio::io_context &Io, const SocketAddress &To)
    : Io_(Io), ConnectOperation_(std::make_unique<StreamOperation>(
                   Io, [this](int Error) { onConnectComplete(Error); })),
      BackoffMs_(MinBackoffMs) {
  if (nng_stream_dialer_alloc(&Dialer_, url(To).c_str()) != 0)
    throw std::bad_alloc();
  nng_stream_dialer_set_bool(Dialer_, NNG_OPT_TCP_NODELAY, true);
}

OutgoingLink::~OutgoingLink() {
  ConnectOperation_.reset();
  WriteOperation_.reset();
  CloseWatch_.reset();
  Stream_.reset();
  nng_stream_dialer_free(Dialer_);
}

bool OutgoingLink::send(std::string_view Message) {
  if (Backlog_.size() >= MaxBacklogMessages)
    return false;
  const LengthField Length =
      encodeLength(static_cast<std::uint32_t>(Message.size()));
  std::string Bytes;
  Bytes.reserve(LengthBytes + Message.size());
  Bytes.append(Length.begin(), Length.end());
  Bytes += Message;
  Backlog_.push_back(std::move(Bytes));
  if (Phase_ == Phase::Idle)
    dial();
  else if (Phase_ == Phase::Open)
    writeNext();
  return true;
}

void OutgoingLink::dial() {
  Phase_ = Phase::Dialing;
  nng_stream_dialer_dial(Dialer_, ConnectOperation_->aio());
}

void OutgoingLink::onConnectComplete(int Error) {
  if (Phase_ == Phase::BackingOff) {
    Phase_ = Phase::Idle;
    if (!Backlog_.empty())
      dial();
    return;
  }
  if (Error != 0) {
    backOff();
    return;
  }
  Stream_ = ConnectOperation_->extractStream();
  Phase_ = Phase::Open;
  BackoffMs_ = MinBackoffMs;
  WriteOperation_ = std::make_unique<StreamOperation>(
      Io_, [this](int End) { onWriteComplete(End); });
  CloseWatch_ = std::make_unique<StreamOperation>(
      Io_, [this](int) { onConnectionLost(); });
  watchForClose();
  writeNext();
}

void OutgoingLink::backOff() {
  Phase_ = Phase::BackingOff;
  nng_sleep_aio(BackoffMs_, ConnectOperation_->aio());
  BackoffMs_ = std::min(2 * BackoffMs_, MaxBackoffMs);
}

void OutgoingLink::writeNext() {
  if (Writing_ || Backlog_.empty())
    return;
  Writing_ = true;
  std::string &Message = Backlog_.front();
  WriteOperation_->setBuffer(Message.data() + BytesWritten_,
                             Message.size() - BytesWritten_);
  nng_stream_send(Stream_.get(), WriteOperation_->aio());
}

void OutgoingLink::onWriteComplete(int Error) {
  Writing_ = false;
  if (Error != 0) {
    onConnectionLost();
    return;
  }
  BytesWritten_ += nng_aio_count(WriteOperation_->aio());
  if (BytesWritten_ >= Backlog_.front().size()) {
    Backlog_.pop_front();
    BytesWritten_ = 0;
  }
  writeNext();
}

/// Starts a read that ends only when the connection does, because the other end
/// never sends anything.
void OutgoingLink::watchForClose() {
  CloseWatch_->setBuffer(&UnexpectedByte_, sizeof(UnexpectedByte_));
  nng_stream_recv(Stream_.get(), CloseWatch_->aio());
}

void OutgoingLink::onConnectionLost() {
  WriteOperation_.reset();
  CloseWatch_.reset();
  Stream_.reset();
  Writing_ = false;
  if (BytesWritten_ > 0)
    Backlog_.pop_front(); // A part of it may have arrived already.
  BytesWritten_ = 0;
  backOff();
}

// --- IncomingLink ---

IncomingLink::IncomingLink(asio::io_context &Io, StreamPointer Stream,
                           std::function<void(std::string)> OnMessage,
                           std::function<void()> OnEnd)
    : Stream_(std::move(Stream)), OnMessage_(std::move(OnMessage)),
      OnEnd_(std::move(OnEnd)),
      ReadOperation_(Io, [this](int Error) { onReadComplete(Error); }) {
  readNext();
}

void IncomingLink::readNext() {
  if (ReadingBody_)
    ReadOperation_.setBuffer(Body_.data() + BytesRead_,
                             Body_.size() - BytesRead_);
  else
    ReadOperation_.setBuffer(Length_.data() + BytesRead_,
                             LengthBytes - BytesRead_);
  nng_stream_recv(Stream_.get(), ReadOperation_.aio());
}

void IncomingLink::onReadComplete(int Error) {
  if (Error != 0) {
    notifyEnd();
    return;
  }
  BytesRead_ += nng_aio_count(ReadOperation_.aio());
  if (!ReadingBody_ && BytesRead_ == LengthBytes && !parseLength()) {
    notifyEnd();
    return;
  }
  if (ReadingBody_ && BytesRead_ == Body_.size()) {
    ReadingBody_ = false;
    BytesRead_ = 0;
    OnMessage_(std::exchange(Body_, {}));
  }
  readNext();
}

/// Moves the callback out of this object first, because the callback destroys
/// the object.
void IncomingLink::notifyEnd() {
  const auto OnEnd = std::move(OnEnd_);
  OnEnd();
}

/// Prepares to read the body.
/// @return false if the length is 0 or above MaxMessageBytes
bool IncomingLink::parseLength() {
  const std::uint32_t Length = decodeLength(Length_);
  if (Length == 0 || Length > MaxMessageBytes) {
    writeLogLine(LogLevel::Warning, "peer_message_refused",
                 {{"bytes", std::to_string(Length)}});
    return false;
  }
  Body_.resize(Length);
  ReadingBody_ = true;
  BytesRead_ = 0;
  return true;
}

// --- LinkListener ---

LinkListener::LinkListener(asio::io_context &Io,
                           std::function<void(StreamPointer)> OnStream)
    : OnStream_(std::move(OnStream)),
      AcceptOperation_(Io, [this](int Error) { onAcceptComplete(Error); }) {}

LinkListener::~LinkListener() {
  if (Listener_ == nullptr)
    return;
  nng_stream_listener_close(Listener_);
  nng_aio_stop(AcceptOperation_.aio());
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
  nng_stream_listener_accept(Listener_, AcceptOperation_.aio());
}

void LinkListener::onAcceptComplete(int Error) {
  if (std::exchange(BackingOff_, false)) {
    acceptNext();
    return;
  }
  if (Error != 0) {
    writeLogLine(LogLevel::Warning, "peer_accept_failed",
                 {{"reason", describe(LinkError{Error})}});
    BackingOff_ = true;
    nng_sleep_aio(AcceptRetryDelayMs, AcceptOperation_.aio());
    return;
  }
  StreamPointer Accepted = AcceptOperation_.extractStream();
  acceptNext();
  OnStream_(std::move(Accepted));
}

} // namespace endivewharf
