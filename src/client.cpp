// Drives libcurl's sockets and timers with Asio and enforces the timeouts of
// each transfer independently of the state of its connection.
#include "client.h"

#include "answerhead.h"
#include "logger.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/ioctl.h>
#include <utility>

namespace endivewharf {

namespace {

constexpr auto TimeoutCheckInterval = std::chrono::milliseconds(50);
// Connections stay within a region. TCP retransmits a lost SYN only after 1 s,
// so the limit is below that.
constexpr long ConnectTimeoutMs = 400;
constexpr long MaxIdleConnections = 512;
constexpr std::string_view NotRunHeader = "X-Not-Run";
constexpr std::string_view ContentTypeHeader = "Content-Type";
// Time after which unacknowledged data breaks a connection (TCP_USER_TIMEOUT).
constexpr int OutgoingTcpUserTimeoutMs = 3000;
// Limit for all header lines of an answer, with interim heads and trailers.
constexpr std::size_t MaxHeadBytes = 64 << 10;
constexpr Millis MsPerSecond = 1000;
// Body bytes that a transfer hands over before other work has its turn.
constexpr std::size_t MaxBytesPerTurn = 256 << 10;
// Reads that may yield neither a head's line nor body bytes before the bytes
// that are read in vain count, and the limit for these: framing, such as the
// extension of a chunk, may have no end.
constexpr int MaxUncountedReads = 1;
constexpr std::size_t MaxBytesInVain = 256 << 10;

// CURLE_TOO_LARGE, which older versions of libcurl do not define.
constexpr auto TooLargeCode = static_cast<CURLcode>(100);

/// @return true if a head was too long for libcurl
bool isHeadTooLong(CURLcode Code) {
  return Code == CURLE_OUT_OF_MEMORY || Code == TooLargeCode;
}

/// @return true if libcurl could not read the bytes that came
bool isMalformedAnswer(CURL *Easy, CURLcode Code) {
  // libcurl reports chunks that it can't read like an error of the socket.
  long SocketError = 0;
  curl_easy_getinfo(Easy, CURLINFO_OS_ERRNO, &SocketError);
  return (Code == CURLE_RECV_ERROR && SocketError == 0) ||
         Code == CURLE_UNSUPPORTED_PROTOCOL ||
         Code == CURLE_WEIRD_SERVER_REPLY ||
         Code == CURLE_BAD_CONTENT_ENCODING ||
         Code == CURLE_BAD_FUNCTION_ARGUMENT; // A fold without a field.
}

/// @return true if a transfer has opened its connection itself
bool usesNewConnection(CURL *Easy) {
  long Opened = 0;
  curl_easy_getinfo(Easy, CURLINFO_NUM_CONNECTS, &Opened);
  return Opened > 0;
}

} // namespace

Millis monotonicNow() {
  // CLOCK_BOOTTIME includes the time for which the host was suspended, because
  // leases and reports age during it as well.
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return static_cast<Millis>(Now.tv_sec) * MsPerSecond + Now.tv_nsec / 1000000;
}

void fetchBody(
    HttpClient &Client, HttpRequest Request, std::size_t MaxBody,
    std::function<void(const HttpResult &, const std::string &)> Done) {
  auto Body = std::make_shared<std::string>();
  Client.startTransfer(
      std::move(Request),
      [Body, MaxBody](int, std::string_view Bytes) {
        Body->append(Bytes);
        return Body->size() <= MaxBody;
      },
      [Body, Done = std::move(Done)](const HttpResult &Result) {
        Done(Result, *Body);
      });
}

/// One request in progress.
struct HttpClient::Transfer {
  HttpClient *Client_ = nullptr;
  std::uint64_t Id_ = 0;
  CURL *Easy_ = nullptr;
  curl_slist *RequestHeaders_ = nullptr;
  HttpRequest Request_;
  BodySink OnBody_;
  ResultSink OnDone_; ///< Null after cancellation.
  HeadSink OnHead_;   ///< Null after its call.
  AnswerHead Head_;
  std::string_view Fault_; ///< Why the answer is malformed; empty: it is not.
  /// Size of all header lines, interim heads included.
  std::size_t HeadBytes_ = 0;
  /// Times that libcurl was about to write the request on a connection.
  int SendCount_ = 0;
  int ReadsInVain_ = 0;           ///< Since the last line or body byte.
  std::size_t BytesInVain_ = 0;   ///< After the first of these reads.
  std::size_t BytesThisTurn_ = 0; ///< Body bytes of this turn of reading.
  Millis StartedAt_ = 0;
  Millis LastByteAt_ = 0;
  bool BodyStarted_ = false;
  bool Stopped_ = false; ///< The body sink or the head limit stopped it.
};

/// A socket of libcurl on the event loop. The descriptor is released, not
/// closed, because libcurl owns the socket.
struct HttpClient::SocketWatch {
  SocketWatch(asio::io_context &Io, curl_socket_t Socket)
      : Descriptor_(Io, Socket), Socket_(Socket) {}

  asio::posix::stream_descriptor Descriptor_;
  curl_socket_t Socket_;
  CURL *Easy_ = nullptr; ///< Transfer that uses the connection now.
  bool WantRead_ = false;
  bool WantWrite_ = false;
  bool ReadWaitPending_ = false;
  bool WriteWaitPending_ = false;
  bool Removed_ = false;
};

HttpClient::HttpClient(asio::io_context &Io)
    : Io_(Io), Multi_(curl_multi_init()), CurlTimer_(Io),
      TimeoutCheckTimer_(Io) {
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETFUNCTION,
                    &HttpClient::onSocketInterest);
  curl_multi_setopt(Multi_, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERFUNCTION,
                    &HttpClient::onTimeoutChange);
  curl_multi_setopt(Multi_, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(Multi_, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
  scheduleTimeoutCheck();
}

HttpClient::~HttpClient() {
  for (auto &[Id, T] : Transfers_) {
    curl_multi_remove_handle(Multi_, T->Easy_);
    curl_easy_cleanup(T->Easy_);
    curl_slist_free_all(T->RequestHeaders_);
  }
  curl_multi_cleanup(Multi_);
  for (auto &[Socket, Watch] : Watches_)
    Watch->Descriptor_.release();
}

std::uint64_t HttpClient::startTransfer(HttpRequest Request, BodySink Body,
                                        ResultSink Done, HeadSink Head) {
  auto NewTransfer = std::make_unique<Transfer>();
  Transfer &T = *NewTransfer;
  T.Client_ = this;
  T.Id_ = NextId_++;
  T.Request_ = std::move(Request);
  T.OnBody_ = std::move(Body);
  T.OnDone_ = std::move(Done);
  T.OnHead_ = std::move(Head);
  T.StartedAt_ = T.LastByteAt_ = monotonicNow();
  // Not reused: curl_easy_reset keeps a pointer to a freed header of the last
  // transfer, which libcurl 7.88.1 extends by a folded first line of the next.
  T.Easy_ = curl_easy_init();
  CURL *E = T.Easy_;
  curl_easy_setopt(E, CURLOPT_URL, T.Request_.Url_.c_str());
  curl_easy_setopt(E, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(E, CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(E, CURLOPT_CUSTOMREQUEST, T.Request_.Method_.c_str());
  curl_easy_setopt(E, CURLOPT_WRITEFUNCTION, &HttpClient::onBody);
  curl_easy_setopt(E, CURLOPT_WRITEDATA, &T);
  curl_easy_setopt(E, CURLOPT_HEADERFUNCTION, &HttpClient::onHeader);
  curl_easy_setopt(E, CURLOPT_HEADERDATA, &T);
  curl_easy_setopt(E, CURLOPT_PROXY, "");
  curl_easy_setopt(E, CURLOPT_PREREQFUNCTION, &HttpClient::onBeforeSend);
  curl_easy_setopt(E, CURLOPT_PREREQDATA, &T);
  curl_easy_setopt(E, CURLOPT_SOCKOPTFUNCTION, &HttpClient::onNewSocket);
  curl_easy_setopt(E, CURLOPT_SOCKOPTDATA, &T);
  curl_easy_setopt(E, CURLOPT_PATH_AS_IS, 1L);
  if (!T.Request_.Target_.empty())
    curl_easy_setopt(E, CURLOPT_REQUEST_TARGET, T.Request_.Target_.c_str());
  if (T.Request_.Method_ == "HEAD")
    curl_easy_setopt(E, CURLOPT_NOBODY, 1L);
  if (T.Request_.MaxIdleTime_ > 0)
    curl_easy_setopt(
        E, CURLOPT_MAXAGE_CONN,
        std::max(1L, static_cast<long>(T.Request_.MaxIdleTime_ / MsPerSecond)));
  if (T.Request_.FreshConnection_ || T.Request_.NewConnection_)
    curl_easy_setopt(E, CURLOPT_FRESH_CONNECT, 1L);
  if (T.Request_.FreshConnection_)
    curl_easy_setopt(E, CURLOPT_FORBID_REUSE, 1L);
  if (!T.Request_.Body_.empty() || T.Request_.Method_ == "POST") {
    curl_easy_setopt(E, CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(T.Request_.Body_.size()));
    curl_easy_setopt(E, CURLOPT_POSTFIELDS, T.Request_.Body_.c_str());
  }
  // Send large bodies without waiting for "100 Continue".
  T.RequestHeaders_ = curl_slist_append(T.RequestHeaders_, "Expect:");
  for (const std::string &Header : T.Request_.Headers_)
    T.RequestHeaders_ = curl_slist_append(T.RequestHeaders_, Header.c_str());
  curl_easy_setopt(E, CURLOPT_HTTPHEADER, T.RequestHeaders_);
  TransferByHandle_[E] = &T;
  const std::uint64_t Id = T.Id_;
  Transfers_[Id] = std::move(NewTransfer);
  curl_multi_add_handle(Multi_, E);
  return Id;
}

void HttpClient::cancelTransfer(std::uint64_t Id) {
  const auto Found = Transfers_.find(Id);
  if (Found == Transfers_.end())
    return;
  Found->second->OnDone_ = nullptr;
  // This may run in a callback of libcurl, where a handle cannot be removed.
  asio::post(Io_, [this, Id] {
    const auto Current = Transfers_.find(Id);
    if (Current != Transfers_.end())
      finishTransfer(*Current->second, TransferEnd::Stopped, "cancelled");
  });
}

int HttpClient::onSocketInterest(CURL *Easy, curl_socket_t Socket, int Interest,
                                 void *User, void *) {
  static_cast<HttpClient *>(User)->updateSocketWatch(Easy, Socket, Interest);
  return 0;
}

bool HttpClient::beginRead(const SocketWatch &Watch) {
  const auto Found = TransferByHandle_.find(Watch.Easy_);
  if (Found == TransferByHandle_.end())
    return true;
  Transfer &T = *Found->second;
  T.BytesThisTurn_ = 0;
  if (++T.ReadsInVain_ <= MaxUncountedReads)
    return true;
  int Waiting = 0;
  if (ioctl(Watch.Socket_, FIONREAD, &Waiting) == 0 && Waiting > 0)
    T.BytesInVain_ += static_cast<std::size_t>(Waiting);
  if (T.BytesInVain_ <= MaxBytesInVain)
    return true;
  finishTransfer(T, TransferEnd::Stopped, "bytes without end that say nothing");
  return false;
}

void HttpClient::resumeLater(std::uint64_t Id) {
  asio::post(Io_, [this, Id] {
    const auto Found = Transfers_.find(Id);
    if (Found == Transfers_.end())
      return;
    Found->second->BytesThisTurn_ = 0;
    curl_easy_pause(Found->second->Easy_, CURLPAUSE_CONT);
    finishCompletedTransfers();
  });
}

void HttpClient::updateSocketWatch(CURL *Easy, curl_socket_t Socket,
                                   int Interest) {
  const auto Found = Watches_.find(Socket);
  if (Interest == CURL_POLL_REMOVE) {
    if (Found == Watches_.end())
      return;
    Found->second->Removed_ = true;
    Found->second->Descriptor_.release();
    Watches_.erase(Found);
    return;
  }
  auto Watch = Found != Watches_.end()
                   ? Found->second
                   : std::make_shared<SocketWatch>(Io_, Socket);
  Watches_[Socket] = Watch;
  Watch->Easy_ = Easy;
  Watch->WantRead_ = (Interest & CURL_POLL_IN) != 0;
  Watch->WantWrite_ = (Interest & CURL_POLL_OUT) != 0;
  waitForSocket(Watch, false);
  waitForSocket(Watch, true);
}

void HttpClient::waitForSocket(const std::shared_ptr<SocketWatch> &Watch,
                               bool Write) {
  bool &WaitPending =
      Write ? Watch->WriteWaitPending_ : Watch->ReadWaitPending_;
  const bool IsInterested = Write ? Watch->WantWrite_ : Watch->WantRead_;
  if (WaitPending || !IsInterested || Watch->Removed_)
    return;
  WaitPending = true;
  const auto Type = Write ? asio::posix::stream_descriptor::wait_write
                          : asio::posix::stream_descriptor::wait_read;
  Watch->Descriptor_.async_wait(Type, [this, Watch,
                                       Write](const asio::error_code &Error) {
    (Write ? Watch->WriteWaitPending_ : Watch->ReadWaitPending_) = false;
    if (Watch->Removed_ || Error == asio::error::operation_aborted)
      return;
    const bool IsStillInterested = Write ? Watch->WantWrite_ : Watch->WantRead_;
    if (IsStillInterested && (Write || beginRead(*Watch)))
      processSocketAction(Watch->Socket_,
                          Write ? CURL_CSELECT_OUT : CURL_CSELECT_IN);
    waitForSocket(Watch, Write);
  });
}

int HttpClient::onTimeoutChange(CURLM *, long TimeoutMs, void *User) {
  auto &Self = *static_cast<HttpClient *>(User);
  if (TimeoutMs < 0) {
    Self.CurlTimer_.cancel();
    return 0;
  }
  Self.CurlTimer_.expires_after(std::chrono::milliseconds(TimeoutMs));
  Self.CurlTimer_.async_wait([&Self](const asio::error_code &Error) {
    if (!Error)
      Self.processSocketAction(CURL_SOCKET_TIMEOUT, 0);
  });
  return 0;
}

void HttpClient::processSocketAction(curl_socket_t Socket, int Mask) {
  int Running = 0;
  curl_multi_socket_action(Multi_, Socket, Mask, &Running);
  finishCompletedTransfers();
}

std::size_t HttpClient::onHeader(char *Data, std::size_t Size,
                                 std::size_t Count, void *User) {
  auto &T = *static_cast<Transfer *>(User);
  const std::string_view Line(Data, Size * Count);
  T.HeadBytes_ += Line.size();
  T.ReadsInVain_ = 0;
  T.BytesInVain_ = 0;
  if (T.HeadBytes_ > MaxHeadBytes) {
    T.Stopped_ = true;
    return 0;
  }
  const bool WasComplete = T.Head_.isComplete();
  if (const auto Fault = T.Head_.addLine(Line)) {
    T.Fault_ = describe(*Fault);
    return 0;
  }
  if (WasComplete || !T.Head_.isComplete() || !T.OnHead_ || !T.OnDone_)
    return Line.size();
  const HeadSink OnHead = std::exchange(T.OnHead_, nullptr);
  if (OnHead(T.Head_.status(), T.Head_.fields()))
    return Line.size();
  T.Stopped_ = true;
  return 0;
}

int HttpClient::onBeforeSend(void *User, char *, char *, int, int) {
  auto &T = *static_cast<Transfer *>(User);
  const Millis Deadline = T.Request_.SendDeadline_;
  if (Deadline != 0 && monotonicNow() >= Deadline)
    return CURL_PREREQFUNC_ABORT;
  // A second call means that libcurl is about to repeat the request.
  return ++T.SendCount_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

int HttpClient::onNewSocket(void *User, curl_socket_t Socket, curlsocktype) {
  if (static_cast<Transfer *>(User)->Request_.ResetOnEnd_) {
    const linger ResetOnClose{1, 0};
    setsockopt(Socket, SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof(ResetOnClose));
  }
  const int UserTimeoutMs = OutgoingTcpUserTimeoutMs;
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof(UserTimeoutMs));
  const int Enabled = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &Enabled, sizeof(Enabled));
  return CURL_SOCKOPT_OK;
}

std::size_t HttpClient::onBody(char *Data, std::size_t Size, std::size_t Count,
                               void *User) {
  auto &T = *static_cast<Transfer *>(User);
  const std::size_t Bytes = Size * Count;
  if (T.OnDone_ && T.BytesThisTurn_ >= MaxBytesPerTurn) {
    // libcurl keeps these bytes and hands them over again.
    T.Client_->resumeLater(T.Id_);
    return CURL_WRITEFUNC_PAUSE;
  }
  T.BytesThisTurn_ += Bytes;
  T.ReadsInVain_ = 0;
  T.BytesInVain_ = 0;
  T.LastByteAt_ = monotonicNow();
  T.BodyStarted_ = true;
  if (!T.OnDone_)
    return Bytes; // Cancelled: discard the bytes until the handle is removed.
  if (!T.Head_.isComplete()) {
    T.Fault_ = "a body without a whole head";
    return 0;
  }
  if (T.OnBody_(T.Head_.status(), {Data, Bytes}))
    return Bytes;
  T.Stopped_ = true;
  return 0;
}

TransferEnd HttpClient::endOf(const Transfer &T, CURLcode Code) {
  if (!T.Fault_.empty())
    return TransferEnd::Malformed;
  // libcurl takes a connection that closes within the head for a whole answer.
  if (Code == CURLE_OK && T.Head_.isComplete())
    return TransferEnd::Complete;
  if (T.Stopped_)
    return TransferEnd::Stopped;
  if (T.SendCount_ == 0)
    return TransferEnd::NotSent;
  if (isHeadTooLong(Code))
    return TransferEnd::Stopped;
  // Before a status line, the bytes on a connection that was used before may be
  // left over from the answer before.
  if (isMalformedAnswer(T.Easy_, Code) &&
      (T.Head_.hasBegun() || usesNewConnection(T.Easy_)))
    return TransferEnd::Malformed;
  return TransferEnd::ConnectionBroken;
}

std::string HttpClient::detailOf(const Transfer &T, CURLcode Code) {
  if (!T.Fault_.empty())
    return "malformed answer: " + std::string(T.Fault_);
  if (T.SendCount_ > 1)
    return "the connection had ended without an answer";
  if (Code != CURLE_OK)
    return curl_easy_strerror(Code);
  return T.Head_.isComplete() ? "" : "the connection ended within the head";
}

void HttpClient::finishCompletedTransfers() {
  int Remaining = 0;
  while (CURLMsg *Message = curl_multi_info_read(Multi_, &Remaining)) {
    if (Message->msg != CURLMSG_DONE)
      continue;
    const CURLcode Code = Message->data.result;
    const auto Found = TransferByHandle_.find(Message->easy_handle);
    if (Found == TransferByHandle_.end())
      continue;
    Transfer &T = *Found->second;
    finishTransfer(T, endOf(T, Code), detailOf(T, Code));
  }
}

void HttpClient::finishTransfer(Transfer &T, TransferEnd End,
                                std::string Detail) {
  if (End == TransferEnd::Malformed) {
    ++MalformedCount_;
    writeLogLine(LogLevel::Warning, "malformed_answer",
                 {{"url", T.Request_.Url_}, {"reason", Detail}});
  }
  HttpResult Result;
  Result.End_ = End;
  Result.Detail_ = std::move(Detail);
  Result.Status_ = T.Head_.status();
  Result.Headers_ = T.Head_.fields();
  Result.NotRun_ = headerValue(Result.Headers_, NotRunHeader).has_value();
  if (const auto Type = headerValue(Result.Headers_, ContentTypeHeader))
    Result.ContentType_ = *Type;
  curl_multi_remove_handle(Multi_, T.Easy_);
  TransferByHandle_.erase(T.Easy_);
  curl_easy_cleanup(T.Easy_);
  curl_slist_free_all(T.RequestHeaders_);
  const ResultSink Done = std::move(T.OnDone_);
  Transfers_.erase(T.Id_);
  if (Done)
    Done(Result);
}

void HttpClient::expireTransfers() {
  const Millis Now = monotonicNow();
  std::vector<std::uint64_t> Expired;
  for (const auto &[Id, T] : Transfers_) {
    const HttpRequest &R = T->Request_;
    const bool FirstByteLate = R.FirstByteTimeout_ > 0 && !T->BodyStarted_ &&
                               Now - T->StartedAt_ > R.FirstByteTimeout_;
    const bool IdleTooLong = R.IdleTimeout_ > 0 && T->BodyStarted_ &&
                             Now - T->LastByteAt_ > R.IdleTimeout_;
    const bool TotalTooLong =
        R.TotalTimeout_ > 0 && Now - T->StartedAt_ > R.TotalTimeout_;
    if (FirstByteLate || IdleTooLong || TotalTooLong)
      Expired.push_back(Id);
  }
  for (const std::uint64_t Id : Expired) {
    const auto Found = Transfers_.find(Id);
    if (Found == Transfers_.end())
      continue;
    Transfer &T = *Found->second;
    finishTransfer(
        T, T.SendCount_ == 0 ? TransferEnd::NotSent : TransferEnd::TimedOut,
        "a time limit passed");
  }
}

void HttpClient::scheduleTimeoutCheck() {
  TimeoutCheckTimer_.expires_after(TimeoutCheckInterval);
  TimeoutCheckTimer_.async_wait([this](const asio::error_code &Error) {
    if (Error)
      return;
    expireTransfers();
    scheduleTimeoutCheck();
  });
}

} // namespace endivewharf
