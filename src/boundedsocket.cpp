// Keeps the account of the connections' bytes at the sockets.
#include "boundedsocket.h"

#include "client.h"
#include "logger.h"

#include <array>
#include <fmt/format.h>
#ifdef __GLIBC__
#include <malloc.h>
#endif

namespace endivewharf {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusHeadTooLarge = 431;
constexpr int StatusServiceUnavailable = 503;

/// A head is kept as the bytes of its fields and as their names and values.
constexpr std::size_t HeadCopies = 2;
/// A body is kept by the listener, by the call and by its attempt.
constexpr std::size_t BodyCopies = 3;
/// Bytes that a call needs beside its head and its body.
constexpr std::size_t CallBytes = 4 << 10;

/// Bytes of head, chunk lines, extensions and trailers that are allowed for
/// each byte of a body, and in addition to it. A chunk of one byte needs five.
constexpr std::size_t FramingBytesPerBodyByte = 16;
constexpr std::size_t FramingBytesAllowed = 256 << 10;

/// Most bytes that are discarded when a connection is closed.
constexpr std::size_t MaxDiscardedBytes = 256 << 10;

std::string_view reasonPhrase(int Status) {
  switch (Status) {
  case StatusBadRequest:
    return "Bad Request";
  case StatusHeadTooLarge:
    return "Request Header Fields Too Large";
  case StatusServiceUnavailable:
    return "Service Unavailable";
  default:
    return "Content Too Large";
  }
}

/// The answer to a request that was not read to its end and so has not run.
std::string refusalText(int Status) {
  const std::string_view Retry =
      Status == StatusServiceUnavailable ? "Retry-After: 1\r\n" : "";
  return fmt::format("HTTP/1.1 {} {}\r\nX-Run: not_run\r\n{}"
                     "Content-Length: 0\r\nConnection: close\r\n\r\n",
                     Status, reasonPhrase(Status), Retry);
}

/// @return status for what the parser found wrong; 0: nothing
int parserRefusal(const http_parser *Parser) {
  if (Parser == nullptr)
    return 0;
  const auto Error = HTTP_PARSER_ERRNO(Parser);
  if (Error == HPE_OK || Error == HPE_PAUSED)
    return 0;
  return Error == HPE_HEADER_OVERFLOW ? StatusHeadTooLarge : StatusBadRequest;
}

/// Releases a whole request's bytes when its last handle is released.
class RequestCount {
public:
  RequestCount(restinio::request_handle_t Request, const BoundedSocket &Socket)
      : Request_(std::move(Request)), Key_(Socket.key()),
        Bytes_(Socket.lastWholeBytes()) {}

  void operator()(restinio::request_t *) {
    if (BoundedSocket *Socket = CallerConnections::instance().find(Key_))
      Socket->releaseAccepted(Bytes_);
    Request_.reset();
  }

  ConnectionKey key() const { return Key_; }

private:
  restinio::request_handle_t Request_;
  ConnectionKey Key_;
  std::size_t Bytes_;
};

/// Releases an answer's bytes when it is destroyed.
class AnswerCount {
public:
  AnswerCount(ConnectionKey Key, std::size_t Bytes) : Key_(Key), Bytes_(Bytes) {
    if (BoundedSocket *Socket = CallerConnections::instance().find(Key_))
      Socket->addUnsent(Bytes_);
  }
  ~AnswerCount() {
    if (BoundedSocket *Socket = CallerConnections::instance().find(Key_))
      Socket->releaseUnsent(Bytes_);
  }
  AnswerCount(const AnswerCount &) = delete;
  AnswerCount &operator=(const AnswerCount &) = delete;

private:
  ConnectionKey Key_;
  std::size_t Bytes_;
};

} // namespace

CallerConnections &CallerConnections::instance() {
  static CallerConnections Connections;
  return Connections;
}

ConnectionKey CallerConnections::add(BoundedSocket &Socket) {
  const ConnectionKey Key = NextKey_++;
  Sockets_.emplace(Key, &Socket);
  Budget_.add(Key, monotonicNow());
  closeVictims();
  return Key;
}

void CallerConnections::remove(ConnectionKey Key) {
  Sockets_.erase(Key);
  Budget_.remove(Key);
}

BoundedSocket *CallerConnections::find(ConnectionKey Key) {
  const auto Found = Sockets_.find(Key);
  return Found == Sockets_.end() ? nullptr : Found->second;
}

void CallerConnections::setUse(ConnectionKey Key, const ConnectionUse &Use) {
  Budget_.setUse(Key, Use);
  closeVictims();
}

void CallerConnections::noteProgress(ConnectionKey Key) {
  Budget_.noteProgress(Key, monotonicNow());
}

void CallerConnections::closeVictims() {
  while (const auto Key = Budget_.victim(monotonicNow())) {
    BoundedSocket *Socket = find(*Key);
    remove(*Key);
    ++ClosedCount_;
    Socket->giveWay();
  }
}

void CallerConnections::maintain() {
  const Millis Now = monotonicNow();
  logClosed(Now);
  if (!Budget_.takeTrim(Now))
    return;
#ifdef __GLIBC__
  ::malloc_trim(0);
#endif
}

void CallerConnections::logClosed(Millis Now) {
  if (ClosedCount_ == LoggedCount_ || Now - LoggedAt_ < LogPeriod)
    return;
  writeLogLine(LogLevel::Warning, "caller_connections_closed",
               {{"count", std::to_string(ClosedCount_ - LoggedCount_)},
                {"open", std::to_string(Budget_.connectionCount())},
                {"bytes", std::to_string(Budget_.totalBytes())}});
  LoggedCount_ = ClosedCount_;
  LoggedAt_ = Now;
}

ConnectionTotals CallerConnections::totals() const {
  return {Budget_.connectionCount(), Budget_.totalBytes(), ClosedCount_,
          RefusedCount_};
}

std::unordered_map<const http_parser *, BoundedSocket *> &
BoundedSocket::byParser() {
  static std::unordered_map<const http_parser *, BoundedSocket *> Sockets;
  return Sockets;
}

BoundedSocket *BoundedSocket::ofParser(const http_parser *Parser) {
  const auto Found = byParser().find(Parser);
  return Found == byParser().end() ? nullptr : Found->second;
}

bool BoundedSocket::beginRequest(const http_parser *Parser) {
  BoundedSocket *Socket = ofParser(Parser);
  // The first bytes of a connection are parsed right after they were read.
  if (Socket == nullptr && Reading != nullptr) {
    Socket = Reading;
    Socket->Parser_ = Parser;
    byParser().emplace(Parser, Socket);
  }
  return Socket != nullptr && !Socket->GivenUp_;
}

BoundedSocket::~BoundedSocket() {
  leaveAccount();
  if (Parser_ != nullptr)
    byParser().erase(Parser_);
}

void BoundedSocket::joinAccount() {
  if (Key_ == 0 && !GivenUp_)
    Key_ = CallerConnections::instance().add(*this);
}

void BoundedSocket::leaveAccount() {
  if (Reading == this)
    Reading = nullptr;
  if (LastWhole == this)
    LastWhole = nullptr;
  CallerConnections::instance().remove(std::exchange(Key_, 0));
}

bool BoundedSocket::noteReceived(std::size_t Bytes) {
  if (GivenUp_)
    return false;
  CallerConnections::instance().noteProgress(Key_);
  ReceivedBytes_ += Bytes;
  if (!HeadRead_)
    HeadBytes_ += Bytes;
  const std::size_t FramingAllowed =
      BodyLength_ * FramingBytesPerBodyByte + FramingBytesAllowed;
  if (ReceivedBytes_ > BodyLength_ + FramingAllowed) {
    refuse(StatusBadRequest);
    return false;
  }
  return updateHalfSent();
}

bool BoundedSocket::noteTrailer(std::size_t Bytes) {
  HeadBytes_ += Bytes;
  return updateHalfSent();
}

bool BoundedSocket::noteBody(std::size_t Length, std::size_t Allocated) {
  BodyLength_ = Length;
  if (Allocated == BodyAllocated_)
    return true;
  BodyAllocated_ = Allocated;
  return updateHalfSent();
}

bool BoundedSocket::noteWhole(std::size_t BodyLength) {
  LastWholeBytes_ =
      HeadBytes_ * HeadCopies + BodyLength * BodyCopies + CallBytes;
  // It may still be refused as one that is not whole.
  Use_.HalfSent_ = LastWholeBytes_;
  if (!stateUse())
    return false;
  Use_.HalfSent_ = 0;
  Use_.Accepted_ += LastWholeBytes_;
  ReceivedBytes_ = HeadBytes_ = BodyLength_ = BodyAllocated_ = 0;
  HeadRead_ = false;
  LastWhole = this;
  return stateUse();
}

bool BoundedSocket::updateHalfSent() {
  Use_.HalfSent_ = HeadBytes_ * HeadCopies + BodyAllocated_;
  return stateUse();
}

bool BoundedSocket::stateUse() {
  if (!GivenUp_)
    CallerConnections::instance().setUse(Key_, Use_);
  return !GivenUp_;
}

void BoundedSocket::releaseAccepted(std::size_t Bytes) {
  Use_.Accepted_ -= Bytes;
  stateUse();
}

void BoundedSocket::addUnsent(std::size_t Bytes) {
  Use_.Unsent_ += Bytes;
  stateUse();
}

void BoundedSocket::releaseUnsent(std::size_t Bytes) {
  Use_.Unsent_ -= Bytes;
  stateUse();
}

void BoundedSocket::giveWay() {
  GivenUp_ = true;
  Key_ = 0;
  if (Use_.HalfSent_ > 0)
    sendRefusal(StatusServiceUnavailable);
  ::shutdown(native_handle(), SHUT_RDWR);
}

void BoundedSocket::refuse(int Status) {
  if (RefusalStatus_ == 0)
    RefusalStatus_ = Status;
}

void BoundedSocket::sendRefusal(int Status) {
  const bool AnswerPending = Writing_ || Use_.Accepted_ > 0 || Use_.Unsent_ > 0;
  if (AnswerPending)
    return;
  const std::string Text = refusalText(Status);
  ::send(native_handle(), Text.data(), Text.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
}

void BoundedSocket::discardReceived() {
  std::array<char, 16 << 10> Piece{};
  for (std::size_t Total = 0; Total < MaxDiscardedBytes;) {
    const ssize_t Got =
        ::recv(native_handle(), Piece.data(), Piece.size(), MSG_DONTWAIT);
    if (Got <= 0)
      return;
    Total += static_cast<std::size_t>(Got);
  }
}

void BoundedSocket::shutdown(shutdown_type What, asio::error_code &Error) {
  if (RefusalStatus_ == 0)
    RefusalStatus_ = parserRefusal(Parser_);
  if (RefusalStatus_ != 0 && !GivenUp_) {
    CallerConnections::instance().noteRefusal();
    sendRefusal(RefusalStatus_);
    discardReceived();
  }
  leaveAccount();
  GivenUp_ = true;
  CallerSocket::shutdown(What, Error);
}

restinio::request_handle_t
countRequest(const restinio::request_handle_t &Request) {
  const BoundedSocket *Socket = BoundedSocket::takeLastWhole();
  if (Socket == nullptr)
    return Request;
  return {Request.get(), RequestCount(Request, *Socket)};
}

std::shared_ptr<void> countAnswer(const restinio::request_handle_t &Request,
                                  std::size_t Bytes) {
  const auto *Count = std::get_deleter<RequestCount>(Request);
  if (Count == nullptr)
    return nullptr;
  return std::make_shared<AnswerCount>(Count->key(), Bytes);
}

} // namespace endivewharf
