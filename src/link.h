// One-way links that carry whole messages over nng's streams, driven by the
// event loop; a length precedes each message. nng's own sockets are not used:
// in nng 1.5 a send may use a freed connection, and closing one may never
// return.
#pragma once

#include "settings.h"

#include <array>
#include <asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nng/nng.h>
#include <string>
#include <tl/expected.hpp>

namespace endivewharf {

constexpr std::size_t LengthBytes = 4; // length of a message, big-endian

using LengthField = std::array<std::uint8_t, LengthBytes>;

LengthField encodeLength(std::uint32_t Length);
std::uint32_t decodeLength(const LengthField &Field);

/// Error of an nng call.
struct LinkError {
  int Code_ = 0; ///< nng_errno_enum.
};

/// nng's text for an error.
std::string describe(const LinkError &Error);

struct StreamDeleter {
  void operator()(nng_stream *S) const { nng_stream_free(S); }
};
using StreamPointer = std::unique_ptr<nng_stream, StreamDeleter>;

/// Runs one asynchronous nng operation at a time. Its end is reported on the
/// event loop; once the object is destroyed, nothing is reported any more.
class StreamOperation {
public:
  /// @param Io event loop on which `OnComplete` is called
  /// @param OnComplete called with nng's error code, 0 for success
  StreamOperation(asio::io_context &Io, std::function<void(int)> OnComplete);
  ~StreamOperation();
  StreamOperation(const StreamOperation &) = delete;
  StreamOperation &operator=(const StreamOperation &) = delete;

  nng_aio *aio() { return Aio_; }

  /// @return the connection that a dial or an accept has made, or null
  StreamPointer extractStream();

  /// Sets the memory of the next read or write; it must outlive the operation.
  void setBuffer(void *Data, std::size_t Size);

private:
  static void onAioComplete(void *User);

  asio::io_context &Io_;
  std::shared_ptr<std::function<void(int)>> OnComplete_;
  nng_aio *Aio_ = nullptr;
};

/// Sends messages to one address, in order. Connects when there is a message to
/// send and backs off after failures. A message that is partly written when the
/// connection is lost is dropped.
class OutgoingLink {
public:
  OutgoingLink(asio::io_context &Io, const SocketAddress &To);
  ~OutgoingLink();

  /// Queues a message.
  /// @return false if the backlog is full; the message is dropped
  bool send(std::string_view Message);

private:
  enum class Phase { Idle, Dialing, BackingOff, Open };

  void dial();
  void onConnectComplete(int Error);
  void backOff();
  void writeNext();
  void onWriteComplete(int Error);
  void watchForClose();
  void onConnectionLost();

  asio::io_context &Io_;
  Phase Phase_ = Phase::Idle;
  nng_stream_dialer *Dialer_ = nullptr;
  StreamPointer Stream_;
  /// Dials, and waits between dials.
  std::unique_ptr<StreamOperation> ConnectOperation_;
  std::unique_ptr<StreamOperation> WriteOperation_;
  /// Detects that the other end has closed the connection.
  std::unique_ptr<StreamOperation> CloseWatch_;
  std::deque<std::string> Backlog_;
  std::size_t BytesWritten_ = 0; ///< Of the first message of the backlog.
  bool Writing_ = false;
  char UnexpectedByte_ = 0; ///< Target of the read that detects the close.
  nng_duration BackoffMs_;
};

/// Reads messages from one connection.
class IncomingLink {
public:
  /// @param OnMessage called with each whole message
  /// @param OnEnd called once when the connection has ended; may destroy this
  /// object
  IncomingLink(asio::io_context &Io, StreamPointer Stream,
               std::function<void(std::string)> OnMessage,
               std::function<void()> OnEnd);

private:
  void readNext();
  void onReadComplete(int Error);
  void notifyEnd();
  bool parseLength();

  StreamPointer Stream_;
  std::function<void(std::string)> OnMessage_;
  std::function<void()> OnEnd_;
  LengthField Length_{};
  std::string Body_;
  bool ReadingBody_ = false;
  std::size_t BytesRead_ = 0; ///< Of the length or the body.
  StreamOperation ReadOperation_;
};

/// Accepts connections at one address.
class LinkListener {
public:
  /// @param OnStream called with each accepted connection
  LinkListener(asio::io_context &Io,
               std::function<void(StreamPointer)> OnStream);
  ~LinkListener();

  /// Starts to accept connections.
  /// @return the error of nng if the address cannot be used
  tl::expected<void, LinkError> listen(const SocketAddress &At);

private:
  void acceptNext();
  void onAcceptComplete(int Error);

  std::function<void(StreamPointer)> OnStream_;
  nng_stream_listener *Listener_ = nullptr;
  bool BackingOff_ = false;
  StreamOperation AcceptOperation_;
};

} // namespace endivewharf
