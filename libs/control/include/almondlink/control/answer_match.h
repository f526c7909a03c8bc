#ifndef ALMONDLINK_CONTROL_ANSWER_MATCH_H_
#define ALMONDLINK_CONTROL_ANSWER_MATCH_H_

/// Matches answers on a target's connection to their requests.
///
/// HTTP/1.1 ties an answer to its request only by the order on the connection.
/// A target that answers twice, answers late or sends more than it declares
/// breaks that order. Therefore each attempt carries an unpredictable id of its
/// own, which the target returns with the answer. A connection that has carried
/// no earlier request cannot hold another request's answer; on any other
/// connection only the id is trusted.
namespace almondlink::control {

/// The id in an answer, compared with the id of the current request.
enum class AnswerId { kMissing, kMatching, kMismatching };

/// What to do with an answer.
enum class AnswerAction {
  kDeliver,
  /// Drop it: it belongs to an earlier request, and the current one's may
  /// follow.
  kSkip,
  /// Reject it: nothing on this connection can be trusted any more.
  kReject
};

/// What is known about a connection.
struct ConnectionTrust {
  /// The current request is the first one on the connection.
  bool is_first_request = true;
  /// The operator has declared that answers without an id can be trusted.
  bool is_id_optional = false;
};

/// Decides what to do with a complete answer.
AnswerAction ActionForAnswer(const ConnectionTrust& trust, AnswerId id);

/// Whether the connection may carry another request after an answer that was
/// delivered.
bool MayReuseConnection(const ConnectionTrust& trust, AnswerId id);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ANSWER_MATCH_H_
