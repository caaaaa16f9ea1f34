// Parser callbacks that state at the connection's socket what is kept.
#include "requestreader.h"

#include "boundedsocket.h"

#include <algorithm>

namespace endivewharf {

namespace {

using Context = restinio::impl::http_parser_ctx_t;

constexpr int StatusTooLong = 413;
constexpr int StatusHeadTooLarge = 431;
/// Results of a callback.
constexpr int Continue = 0;
constexpr int Stop = -1;

Context &contextOf(http_parser *Parser) {
  return *static_cast<Context *>(Parser->data);
}

int refuse(http_parser *Parser, int Status) {
  if (BoundedSocket *Socket = BoundedSocket::ofParser(Parser))
    Socket->refuse(Status);
  return Stop;
}

/// Applies a function of the socket whose result states whether to go on.
template <typename Function> int tell(http_parser *Parser, Function Note) {
  BoundedSocket *Socket = BoundedSocket::ofParser(Parser);
  return Socket != nullptr && Note(*Socket) ? Continue : Stop;
}

int onMessageBegin(http_parser *Parser) {
  return BoundedSocket::beginRequest(Parser) ? Continue : Stop;
}

int onUrl(http_parser *Parser, const char *At, std::size_t Length) {
  if (restinio::impl::restinio_url_cb(Parser, At, Length) != Continue)
    return refuse(Parser, StatusHeadTooLarge);
  return Continue;
}

/// Counts a part of a field that follows a body in chunks.
int countIfTrailer(http_parser *Parser, std::size_t Length) {
  if (!contextOf(Parser).m_leading_headers_completed)
    return Continue;
  return tell(Parser, [=](BoundedSocket &Socket) {
    return Socket.noteTrailer(Length);
  });
}

int onFieldName(http_parser *Parser, const char *At, std::size_t Length) {
  if (restinio::impl::restinio_header_field_cb(Parser, At, Length) != Continue)
    return refuse(Parser, StatusHeadTooLarge);
  return countIfTrailer(Parser, Length);
}

int onFieldValue(http_parser *Parser, const char *At, std::size_t Length) {
  if (restinio::impl::restinio_header_value_cb(Parser, At, Length) != Continue)
    return refuse(Parser, StatusHeadTooLarge);
  return countIfTrailer(Parser, Length);
}

bool isChunked(const http_parser *Parser) {
  return (Parser->flags & F_CHUNKED) != 0;
}

/// An announced body is refused before it arrives; memory is allocated as it
/// arrives.
int onHeadComplete(http_parser *Parser) {
  Context &C = contextOf(Parser);
  C.m_leading_headers_completed = true;
  const bool Announced = Parser->content_length != ULLONG_MAX;
  if (Announced && Parser->content_length > C.m_limits.max_body_size())
    return refuse(Parser, StatusTooLong);
  return tell(Parser, [](BoundedSocket &Socket) {
    Socket.endHead();
    return true;
  });
}

/// Doubles the space for the body when it is used up, but not beyond the
/// announced length.
void reserveForPiece(Context &C, const http_parser *Parser,
                     std::size_t Length) {
  const std::size_t Needed = C.m_body.size() + Length;
  if (Needed <= C.m_body.capacity() || isChunked(Parser))
    return;
  const std::size_t Announced = Needed + Parser->content_length;
  C.m_body.reserve(
      std::min(Announced, std::max(Needed, 2 * C.m_body.capacity())));
}

int onBody(http_parser *Parser, const char *At, std::size_t Length) {
  Context &C = contextOf(Parser);
  if (C.m_body.size() + Length > C.m_limits.max_body_size())
    return refuse(Parser, StatusTooLong);
  reserveForPiece(C, Parser, Length);
  C.m_body.append(At, Length);
  return tell(Parser, [&C](BoundedSocket &Socket) {
    return Socket.noteBody(C.m_body.size(), C.m_body.capacity());
  });
}

int onMessageComplete(http_parser *Parser) {
  const std::size_t Length = contextOf(Parser).m_body.size();
  const int Result = tell(Parser, [Length](BoundedSocket &Socket) {
    return Socket.noteWhole(Length);
  });
  if (Result != Continue)
    return Result;
  return restinio::impl::restinio_message_complete_cb<BoundedMethods>(Parser);
}

} // namespace

http_parser_settings boundedParserSettings() noexcept {
  http_parser_settings Callbacks;
  http_parser_settings_init(&Callbacks);
  Callbacks.on_message_begin = onMessageBegin;
  Callbacks.on_url = onUrl;
  Callbacks.on_header_field = onFieldName;
  Callbacks.on_header_value = onFieldValue;
  Callbacks.on_headers_complete = onHeadComplete;
  Callbacks.on_body = onBody;
  Callbacks.on_message_complete = onMessageComplete;
  return Callbacks;
}

} // namespace endivewharf
