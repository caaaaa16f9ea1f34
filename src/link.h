// One-way links over nng's streams, on the event loop: whole messages, each
// behind its length. nng's own sockets are not used: in their version 1.5 a
// send may meet a freed connection, and closing one may never return.
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

constexpr std::size_t LengthBytes = 4; // before each message, big-endian

using LengthField = std::array<std::uint8_t, LengthBytes>;

LengthField encodeLength(std::uint32_t Length);
std::uint32_t decodeLength(const LengthField &Field);

/// How an nng call failed.
struct LinkError {
  int Code_ = 0; ///< nng_errno_enum.
};

std::string describe(const LinkError &Error);

struct StreamDeleter {
  void operator()(nng_stream *S) const { nng_stream_free(S); }
};
using StreamPointer = std::unique_ptr<nng_stream, StreamDeleter>;

/// One nng operation at a time; its end is told on the loop, and not any more
/// once the object is gone.
class StreamOperation {
public:
  /// @param Done gets nng's error code, 0 for success
  StreamOperation(asio::io_context &Io, std::function<void(int)> Done);
  ~StreamOperation();
  StreamOperation(const StreamOperation &) = delete;
  StreamOperation &operator=(const StreamOperation &) = delete;

  nng_aio *aio() { return Aio_; }

  /// The connection that a dial or an accept has made.
  StreamPointer extractStream();

  /// Names the bytes of a read or a write.
  void setBuffer(void *Data, std::size_t Size);

private:
  static void onAioComplete(void *User);

  asio::io_context &Io_;
  std::shared_ptr<std::function<void(int)>> OnComplete_;
  nng_aio *Aio_ = nullptr;
};

/// Sends messages to one address; connects when there is one to send.
class OutgoingLink {
public:
  OutgoingLink(asio::io_context &Io, const SocketAddress &To);
  ~OutgoingLink();

  /// @return false if too many messages wait; this one is dropped
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
  std::unique_ptr<StreamOperation>
      ConnectOperation_; ///< Dials and pauses between dials.
  std::unique_ptr<StreamOperation> WriteOperation_;
  std::unique_ptr<StreamOperation>
      CloseWatch_; ///< Notices that the other end closed.
  std::deque<std::string> Backlog_;
  std::size_t BytesWritten_ = 0; ///< Bytes of the first waiting message.
  bool Writing_ = false;
  char UnexpectedByte_ = 0;
  nng_duration BackoffMs_;
};

/// Reads messages from one connection.
class IncomingLink {
public:
  /// @param OnMessage gets each whole message
  /// @param OnEnd called once when the connection has ended; may destroy this
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
  std::size_t BytesRead_ = 0; ///< Bytes of the length or the body.
  StreamOperation ReadOperation_;
};

/// Accepts connections at one address.
class LinkListener {
public:
  LinkListener(asio::io_context &Io,
               std::function<void(StreamPointer)> OnStream);
  ~LinkListener();

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
