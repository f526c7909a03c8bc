#ifndef ALMONDLINK_RELAY_SRC_ENTRY_CALLER_SESSION_H_
#define ALMONDLINK_RELAY_SRC_ENTRY_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "almondlink/relay/caller_listener.h"

namespace almondlink::relay {

/// One connection of a caller.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(std::shared_ptr<CallerListener::State> port,
                boost::asio::ip::tcp::socket socket);

  void Start();
  void Close();
  /// Closes the connection if no request is in progress.
  void CloseIfIdle();
  /// Passes a request whose head has arrived to the handler without its body.
  /// The listener has stopped, so the handler refuses it.
  void EndUpload();
  void Sweep(Millis now);
  bool IsBusy() const { return this->exchange != nullptr; }
  /// Whether the caller still sends a request that was answered.
  bool IsLingering() const { return this->is_lingering; }
  /// Whether no byte of a next request has been parsed.
  bool IsIdle() const {
    return !this->IsBusy() && this->output.empty() &&
           !this->has_partial_request;
  }
  Millis LastActive() const { return this->last_active; }
  /// Whether the socket holds unread bytes.
  bool HasUnread() const {
    boost::system::error_code ignored;
    return this->socket.available(ignored) > 0;
  }

  // Called through CallerExchange.
  void WriteAnswer(std::uint32_t status,
                   std::string_view status_text,
                   std::string_view fields,
                   std::string_view body);
  void BeginStreamedAnswer(std::uint32_t status,
                           std::string_view status_text,
                           std::string_view fields,
                           std::string_view first_part);
  void SendPart(std::string_view body);
  void EndStreamedAnswer(bool is_broken);
  void CloseAfterAnswer() { this->is_last_answer = true; }

 private:
  void Read();
  void OnRead(const boost::system::error_code& error, std::string_view bytes);
  void Parse();
  bool IsBodyTooLarge() const;
  void Refuse(std::uint32_t status, std::string_view text);
  void DropUnread();
  void WriteHead(std::uint32_t status,
                 std::string_view status_text,
                 std::string_view fields);
  void Write();
  void OnWritten();
  void FinishExchange();
  void OnDisconnect();

  std::shared_ptr<CallerListener::State> listener;
  boost::asio::ip::tcp::socket socket;
  std::string input;
  std::optional<RequestParser> parser;
  CallerExchangePointer exchange;
  std::string output;
  std::size_t written = 0;
  std::size_t pending_stream_bytes = 0;
  Millis last_active;
  bool is_reading = false;
  bool is_write_waiting = false;
  bool is_last_answer = false;
  /// The request was answered before it was read.
  bool has_unread_request = false;
  /// The answer is complete; what the caller still sends is dropped.
  bool is_lingering = false;
  bool is_head_request = false;
  bool is_streaming = false;
  bool is_answer_complete = false;
  bool has_partial_request = false;
  bool has_sent_continue = false;
};

struct CallerListener::State {
  State(boost::asio::io_context& loop_in,
        const HeaderNames& names_in,
        RequestHandler handler_in)
      : loop(loop_in),
        names(names_in),
        handler(std::move(handler_in)),
        acceptor(loop_in),
        accept_retry_timer(loop_in) {}

  /// Closes the connections that have been idle longest. Returns their number.
  std::size_t CloseLongestIdle();

  boost::asio::io_context& loop;
  const HeaderNames& names;
  RequestHandler handler;
  boost::asio::ip::tcp::acceptor acceptor;
  /// Delays the next accept while no file descriptor is free.
  boost::asio::steady_timer accept_retry_timer;
  policy::CallerLimits limits;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions;
  /// Each answer is the last one on its connection.
  bool is_closing = false;
  /// The handler refuses all requests.
  bool is_stopped = false;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ENTRY_CALLER_SESSION_H_
