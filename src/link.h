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

struct StreamFree {
  void operator()(nng_stream *S) const { nng_stream_free(S); }
};
using StreamPointer = std::unique_ptr<nng_stream, StreamFree>;

/// One nng operation at a time; its end is told on the loop, and not any more
/// once the object is gone.
class StreamTask {
public:
  /// @param Done gets nng's error code, 0 for success
  StreamTask(asio::io_context &Io, std::function<void(int)> Done);
  ~StreamTask();
  StreamTask(const StreamTask &) = delete;
  StreamTask &operator=(const StreamTask &) = delete;

  nng_aio *aio() { return Aio_; }

  /// The connection that a dial or an accept has made.
  StreamPointer takeStream();

  /// Names the bytes of a read or a write.
  void setBytes(void *Data, std::size_t Size);

private:
  static void ended(void *User);

  asio::io_context &Io_;
  std::shared_ptr<std::function<void(int)>> Done_;
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
  enum class Phase { Idle, Dialing, Pausing, Open };

  void dial();
  void dialEnded(int Error);
  void pause();
  void writeNext();
  void writeEnded(int Error);
  void watch();
  void broken();

  asio::io_context &Io_;
  Phase Phase_ = Phase::Idle;
  nng_stream_dialer *Dialer_ = nullptr;
  StreamPointer Stream_;
  std::unique_ptr<StreamTask> Connect_; ///< Dials and pauses between dials.
  std::unique_ptr<StreamTask> Write_;
  std::unique_ptr<StreamTask> Watch_; ///< Notices that the other end closed.
  std::deque<std::string> Waiting_;
  std::size_t Written_ = 0; ///< Bytes of the first waiting message.
  bool Writing_ = false;
  char Unexpected_ = 0;
  nng_duration PauseMs_;
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
  void readEnded(int Error);
  void end();
  bool takeLength();

  StreamPointer Stream_;
  std::function<void(std::string)> OnMessage_;
  std::function<void()> OnEnd_;
  LengthField Length_{};
  std::string Body_;
  bool InBody_ = false;
  std::size_t Got_ = 0; ///< Bytes of the length or the body.
  StreamTask Read_;
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
  void acceptEnded(int Error);

  std::function<void(StreamPointer)> OnStream_;
  nng_stream_listener *Listener_ = nullptr;
  bool Pausing_ = false;
  StreamTask Accept_;
};

} // namespace endivewharf
