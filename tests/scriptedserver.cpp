// Reads requests to their end and sends the given bytes.
#include "scriptedserver.h"

#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>

namespace endivewharf::harness {

namespace {

constexpr std::string_view IdName = "Request-Id: ";
constexpr std::string_view LengthName = "Content-Length: ";

/// @return the value of a header line, or an empty text
std::string fieldOf(const std::string &Head, std::string_view Name) {
  const auto At = Head.find(Name);
  if (At == std::string::npos)
    return "";
  const auto Begin = At + Name.size();
  return Head.substr(Begin, Head.find('\r', Begin) - Begin);
}

std::string withId(std::string Answer, const std::string &Id) {
  for (auto At = Answer.find(IdPlaceholder); At != std::string::npos;
       At = Answer.find(IdPlaceholder, At + Id.size()))
    Answer.replace(At, IdPlaceholder.size(), Id);
  return Answer;
}

} // namespace

struct ScriptedServer::Connection {
  asio::ip::tcp::socket Socket_;
  std::string Bytes_; ///< Read, not yet worked off.
  std::string RequestId_;
  std::size_t BodyBytes_ = 0; ///< Length of the request's body.
};

ScriptedServer::ScriptedServer(std::string Answer, AfterAnswer After)
    : Answer_(std::move(Answer)), After_(After),
      Acceptor_(Io_, {asio::ip::make_address_v4("127.0.0.1"), 0}),
      Port_(Acceptor_.local_endpoint().port()) {
  accept();
  Thread_ = std::thread([this] { Io_.run(); });
}

ScriptedServer::~ScriptedServer() {
  Io_.stop();
  Thread_.join();
}

std::string ScriptedServer::url() const {
  return "http://127.0.0.1:" + std::to_string(Port_);
}

void ScriptedServer::setAnswer(std::string Answer, AfterAnswer After,
                               AnswerTime Time) {
  const std::lock_guard Lock(Mutex_);
  Answer_ = std::move(Answer);
  After_ = After;
  Time_ = Time;
}

AnswerTime ScriptedServer::answerTime() const {
  const std::lock_guard Lock(Mutex_);
  return Time_;
}

int ScriptedServer::connections() const {
  const std::lock_guard Lock(Mutex_);
  return Connections_;
}

bool ScriptedServer::hasRead(const std::string &RequestId) const {
  const std::lock_guard Lock(Mutex_);
  return RequestIds_.count(RequestId) > 0;
}

void ScriptedServer::accept() {
  Acceptor_.async_accept([this](const asio::error_code &Error,
                                asio::ip::tcp::socket Socket) {
    if (Error)
      return;
    {
      const std::lock_guard Lock(Mutex_);
      ++Connections_;
    }
    readRequest(
        std::make_shared<Connection>(Connection{std::move(Socket), "", "", 0}));
    accept();
  });
}

void ScriptedServer::readRequest(const std::shared_ptr<Connection> &C) {
  asio::async_read_until(
      C->Socket_, asio::dynamic_buffer(C->Bytes_), "\r\n\r\n",
      [this, C](const asio::error_code &Error, std::size_t HeadBytes) {
        if (Error)
          return;
        const std::string Head = C->Bytes_.substr(0, HeadBytes);
        C->Bytes_.erase(0, HeadBytes);
        C->RequestId_ = fieldOf(Head, IdName);
        const std::string Length = fieldOf(Head, LengthName);
        C->BodyBytes_ = Length.empty() ? 0 : std::stoul(Length);
        if (answerTime() == AnswerTime::AfterHead)
          answer(C);
        else
          readRestOfBody(C);
      });
}

void ScriptedServer::readRestOfBody(const std::shared_ptr<Connection> &C) {
  const std::size_t Missing =
      C->BodyBytes_ - std::min(C->BodyBytes_, C->Bytes_.size());
  asio::async_read(C->Socket_, asio::dynamic_buffer(C->Bytes_),
                   asio::transfer_exactly(Missing),
                   [this, C](const asio::error_code &Error, std::size_t) {
                     if (Error)
                       return;
                     C->Bytes_.erase(0, C->BodyBytes_);
                     answer(C);
                   });
}

void ScriptedServer::answer(const std::shared_ptr<Connection> &C) {
  std::string Answer;
  AfterAnswer After = AfterAnswer::Close;
  {
    const std::lock_guard Lock(Mutex_);
    RequestIds_.insert(C->RequestId_);
    Answer = withId(Answer_, C->RequestId_);
    After = After_;
  }
  asio::error_code Error;
  asio::write(C->Socket_, asio::buffer(Answer), Error);
  if (Error)
    return;
  if (After == AfterAnswer::KeepOpen)
    return readRequest(C);
  if (After == AfterAnswer::Reset)
    C->Socket_.set_option(asio::socket_base::linger(true, 0), Error);
  C->Socket_.close(Error);
}

std::string markedAnswer(std::string_view StatusLine,
                         std::string_view FieldLines, std::string_view Body) {
  std::string Answer(StatusLine);
  Answer += "\r\nRequest-Id: ";
  Answer += IdPlaceholder;
  Answer += "\r\nServer-Seal: s\r\n";
  Answer += FieldLines;
  Answer += "\r\n";
  Answer += Body;
  return Answer;
}

} // namespace endivewharf::harness
