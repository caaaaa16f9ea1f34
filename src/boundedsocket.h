// Socket of a connection of a caller. It states to the one account of all
// connections what its connection holds, and is closed when that account says
// so.
#pragma once

#include "callersocket.h"
#include "connectionbudget.h"
#include "metrics.h"

#include <memory>
#include <restinio/all.hpp>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace endivewharf {

class BoundedSocket;

/// All connections of the process and their account. Its functions may be
/// called on the event loop only.
class CallerConnections {
public:
  /// @return the one account of the process
  static CallerConnections &instance();

  void setLimits(const ConnectionLimits &Limits) { Budget_.setLimits(Limits); }

  /// Adds a connection and closes others if there are too many.
  ConnectionKey add(BoundedSocket &Socket);
  void remove(ConnectionKey Key);
  /// @return null if the connection is closed
  BoundedSocket *find(ConnectionKey Key);
  /// States what a connection holds; connections are closed until all together
  /// are within the limits.
  void setUse(ConnectionKey Key, const ConnectionUse &Use);
  void noteProgress(ConnectionKey Key);
  void noteRefusal() { ++RefusedCount_; }

  /// Has the allocator give back memory if much has been freed, and writes a
  /// log line if connections have been closed; to be called at short intervals.
  void maintain();

  ConnectionTotals totals() const;

private:
  static constexpr Millis LogPeriod = 1000;

  CallerConnections() : Budget_(ConnectionLimits{SIZE_MAX, SIZE_MAX}) {}
  void closeVictims();
  void logClosed(Millis Now);

  ConnectionBudget Budget_;
  std::unordered_map<ConnectionKey, BoundedSocket *> Sockets_;
  ConnectionKey NextKey_ = 1;
  std::int64_t ClosedCount_ = 0;
  std::int64_t RefusedCount_ = 0;
  std::int64_t LoggedCount_ = 0;
  Millis LoggedAt_ = 0;
};

/// Reads and writes for RESTinio, with the functions that it calls; the request
/// reader (requestreader.h) states what it has read.
class BoundedSocket : public CallerSocket {
public:
  using CallerSocket::CallerSocket;
  BoundedSocket(BoundedSocket &&Other) noexcept
      : CallerSocket(std::move(Other)) {}
  BoundedSocket &operator=(BoundedSocket &&Other) noexcept {
    CallerSocket::operator=(std::move(Other));
    return *this;
  }
  ~BoundedSocket();

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) {
    joinAccount();
    const auto Executor = asio::get_associated_executor(OnRead, get_executor());
    CallerSocket::async_read_some(
        Target,
        asio::bind_executor(
            Executor,
            [this, OnRead = std::forward<Handler>(OnRead)](
                const asio::error_code &Error, std::size_t Bytes) mutable {
              if (Error)
                return OnRead(Error, Bytes);
              if (!noteReceived(Bytes))
                return OnRead(asio::error::connection_reset, std::size_t{0});
              Reading = this;
              OnRead(Error, Bytes);
              Reading = nullptr;
            }));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Source, Handler &&OnWritten) {
    Writing_ = true;
    const auto Executor =
        asio::get_associated_executor(OnWritten, get_executor());
    CallerSocket::async_write_some(
        Source,
        asio::bind_executor(
            Executor,
            [this, OnWritten = std::forward<Handler>(OnWritten)](
                const asio::error_code &Error, std::size_t Bytes) mutable {
              Writing_ = false;
              CallerConnections::instance().noteProgress(Key_);
              OnWritten(Error, Bytes);
            }));
  }

  /// RESTinio's end of a connection: tells the caller why, if its request was
  /// refused or malformed.
  void shutdown(shutdown_type What, asio::error_code &Error);

  /// @return socket of a request that a parser reads; null if there is none
  static BoundedSocket *ofParser(const http_parser *Parser);
  /// Remembers which parser reads the bytes of a socket: both are parts of one
  /// connection.
  /// @return false if the connection has given way
  static bool beginRequest(const http_parser *Parser);
  /// @return socket whose request became whole last; null if that request has
  ///         been taken by an earlier call
  static BoundedSocket *takeLastWhole() {
    return std::exchange(LastWhole, nullptr);
  }

  // Called by the request reader. Those that return a value return false if the
  // connection has to give way.

  void endHead() { HeadRead_ = true; }
  /// @param Bytes of a field that follows a body in chunks
  bool noteTrailer(std::size_t Bytes);
  /// @param Length bytes of the body so far
  /// @param Allocated bytes that are allocated for them
  bool noteBody(std::size_t Length, std::size_t Allocated);
  /// @param BodyLength of the whole body
  bool noteWhole(std::size_t BodyLength);
  /// The request is refused; its connection is about to be closed.
  /// @param Status of the answer
  void refuse(int Status);

  // Called for whole requests and for answers.

  ConnectionKey key() const { return Key_; }
  /// @return bytes that the request that became whole last counts for
  std::size_t lastWholeBytes() const { return LastWholeBytes_; }
  void releaseAccepted(std::size_t Bytes);
  void addUnsent(std::size_t Bytes);
  void releaseUnsent(std::size_t Bytes);
  /// Closes the connection; a request that has not arrived whole is refused.
  void giveWay();

private:
  void joinAccount();
  void leaveAccount();
  bool noteReceived(std::size_t Bytes);
  /// Computes the bytes of the request that is being read.
  /// @return false if the connection has to give way
  bool updateHalfSent();
  /// @return false if the connection has given way
  bool stateUse();
  /// Sends an answer with a status unless it could be taken for the answer to
  /// another request.
  void sendRefusal(int Status);
  /// Discards what has been received; closing with unread bytes would reset the
  /// connection before its caller has read the answer.
  void discardReceived();

  /// Sockets by the parser of their connection.
  static std::unordered_map<const http_parser *, BoundedSocket *> &byParser();

  /// Socket whose bytes are being parsed after a read.
  inline static BoundedSocket *Reading = nullptr;
  inline static BoundedSocket *LastWhole = nullptr;

  ConnectionKey Key_ = 0; ///< 0: not in the account.
  ConnectionUse Use_;
  const http_parser *Parser_ = nullptr; ///< Null: no request has begun.
  std::size_t ReceivedBytes_ = 0;       ///< Of the request.
  std::size_t HeadBytes_ = 0;           ///< Of its head and its trailers.
  std::size_t BodyLength_ = 0;
  std::size_t BodyAllocated_ = 0;
  std::size_t LastWholeBytes_ = 0;
  bool HeadRead_ = false;
  bool Writing_ = false;
  bool GivenUp_ = false;
  int RefusalStatus_ = 0; ///< 0: not refused.
};

/// Wraps a request that became whole, so that it counts until its last handle
/// is released.
restinio::request_handle_t
countRequest(const restinio::request_handle_t &Request);

/// Counts an answer's bytes for the connection of a request from
/// `countRequest`.
/// @return the bytes count until this is released
std::shared_ptr<void> countAnswer(const restinio::request_handle_t &Request,
                                  std::size_t Bytes);

} // namespace endivewharf
