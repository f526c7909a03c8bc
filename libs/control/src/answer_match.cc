#include "almondlink/control/answer_match.h"

namespace almondlink::control {

AnswerAction ActionForAnswer(const ConnectionTrust& trust, AnswerId id) {
  switch (id) {
    case AnswerId::kMatching:
      return AnswerAction::kDeliver;
    case AnswerId::kMismatching:
      // No earlier request was sent on this connection, so the id is invalid.
      return trust.is_first_request ? AnswerAction::kReject
                                    : AnswerAction::kSkip;
    case AnswerId::kMissing:
      return trust.is_first_request || trust.is_id_optional
                 ? AnswerAction::kDeliver
                 : AnswerAction::kReject;
  }
  return AnswerAction::kReject;
}

bool MayReuseConnection(const ConnectionTrust& trust, AnswerId id) {
  return id == AnswerId::kMatching ||
         (id == AnswerId::kMissing && trust.is_id_optional);
}

}  // namespace almondlink::control
