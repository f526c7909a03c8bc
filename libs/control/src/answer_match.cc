#include "almondlink/control/answer_match.h"

namespace almondlink::control {

AnswerUse UseOfAnswer(const ConnectionTrust& trust, AnswerId id) {
  switch (id) {
    case AnswerId::kOwn:
      return AnswerUse::kDeliver;
    case AnswerId::kOther:
      // On a fresh connection there was no earlier request whose it could be.
      return trust.is_fresh ? AnswerUse::kReject : AnswerUse::kSkip;
    case AnswerId::kMissing:
      return trust.is_fresh || trust.needs_no_id ? AnswerUse::kDeliver
                                                 : AnswerUse::kReject;
  }
  return AnswerUse::kReject;
}

bool MayFollow(const ConnectionTrust& trust, AnswerId id) {
  return id == AnswerId::kOwn ||
         (id == AnswerId::kMissing && trust.needs_no_id);
}

}  // namespace almondlink::control
