#ifndef ALMONDLINK_CONTROL_ANSWER_MATCH_H_
#define ALMONDLINK_CONTROL_ANSWER_MATCH_H_

/// Whose answer came on a target's connection.
///
/// HTTP/1.1 has nothing that ties an answer to its request but the order on the
/// connection, and a target that answers twice, late, or more than it states
/// breaks that order. So each request carries an id of its own, made for this
/// one send and not to be guessed, which the target returns with the answer. A
/// connection that has carried nothing before cannot hold another request's
/// answer; any other one is trusted by the id alone.
namespace almondlink::control {

/// The id in an answer, compared with that of the request under way.
enum class AnswerId { kMissing, kMatching, kMismatching };

/// What becomes of an answer.
enum class AnswerAction {
  kDeliver,
  /// It is an earlier request's; the own one may follow.
  kSkip,
  /// Nothing on this connection can be trusted any more.
  kReject
};

/// What is known of a connection.
struct ConnectionTrust {
  /// The request under way is the first one on it.
  bool is_first_request = true;
  /// The operator vouches for a target that does not return ids.
  bool is_id_optional = false;
};

/// What to do with a whole answer.
AnswerAction ActionForAnswer(const ConnectionTrust& trust, AnswerId id);

/// Whether another request may follow on the connection after an answer that
/// was delivered.
bool MayReuseConnection(const ConnectionTrust& trust, AnswerId id);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ANSWER_MATCH_H_
