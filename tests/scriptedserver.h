// Stand-in for an upstream that sends given bytes as its answer, whatever they
// are, over real connections on loopback.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>

namespace endivewharf::harness {

/// What a server does with a connection after an answer.
enum class AfterAnswer {
  Close,    ///< Closes it cleanly, once the whole request has been read.
  Reset,    ///< Closes it with a reset.
  KeepOpen, ///< Answers the next request on it.
};

/// When a server answers.
enum class AnswerTime {
  AfterRequest,
  AfterHead, ///< Without reading the request's body.
};

/// Text in an answer that stands for the id of the request it answers.
constexpr std::string_view IdPlaceholder = "{id}";

/// Sends the same answer to each request.
class ScriptedServer {
public:
  /// @param Answer bytes to send; `IdPlaceholder` is replaced
  explicit ScriptedServer(std::string Answer = "",
                          AfterAnswer After = AfterAnswer::Close);
  ~ScriptedServer();
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  /// Sets the answer to all requests that are read from now on.
  void setAnswer(std::string Answer, AfterAnswer After = AfterAnswer::Close,
                 AnswerTime Time = AnswerTime::AfterRequest);

  int port() const { return Port_; }
  /// @return `http://` and the address
  std::string url() const;
  /// @return number of connections that have been accepted
  int connections() const;
  /// @return true if a request with this id has been read
  bool hasRead(const std::string &RequestId) const;

private:
  struct Connection;

  AnswerTime answerTime() const;
  void accept();
  void readRequest(const std::shared_ptr<Connection> &C);
  void readRestOfBody(const std::shared_ptr<Connection> &C);
  void answer(const std::shared_ptr<Connection> &C);

  mutable std::mutex Mutex_; ///< Guards the five members below.
  std::string Answer_;
  AfterAnswer After_;
  AnswerTime Time_ = AnswerTime::AfterRequest;
  int Connections_ = 0;
  std::set<std::string> RequestIds_;
  asio::io_context Io_{1};
  asio::ip::tcp::acceptor Acceptor_;
  int Port_;
  std::thread Thread_;
};

/// @return the answer's status line, the fields that mark it as the upstream's
///   own, further lines and the body, without a length
std::string markedAnswer(std::string_view StatusLine,
                         std::string_view FieldLines, std::string_view Body);

} // namespace endivewharf::harness
