#ifndef ALMONDLINK_TEST_SUPPORT_TARGET_NOTICES_H_
#define ALMONDLINK_TEST_SUPPORT_TARGET_NOTICES_H_

#include <string>
#include <vector>

#include "standins/fake_instance.h"
#include "test/support/steady_load.h"

/// The users' rules on what a target states in its answers, counted from what
/// callers and targets saw.
namespace almondlink::test {

/// A limit that a target names from `since` on.
struct NamedRate {
  std::string instance;
  double per_s = 0;
  SteadyTime since;
};

/// By how many requests the target got too many in the worst four seconds; 0 if
/// the limit was kept. Counted are windows that end a contact time or later
/// after the limit was first named, and requests that began at nodes that had
/// passed on such an answer half a second before or earlier. `excused`: a node
/// whose requests do not count because it was restarted; -1: none.
int RequestsOverLimit(const NamedRate& limit,
                      const std::vector<LoadRecord>& sent,
                      const std::vector<standins::SeenRequest>& arrived,
                      int excused = -1);

/// The same without regard to who was told: all requests that arrive half a
/// second after the limit was named, or later, count.
int ArrivalsOverLimit(const NamedRate& limit,
                      const std::vector<standins::SeenRequest>& arrived);

/// Requests that reached the instance although they were sent later than the
/// drain time after their node had passed on an answer that states that the
/// instance is leaving. `excused` as above.
int RequestsAfterLeaving(const std::string& instance,
                         const std::vector<LoadRecord>& sent,
                         const std::vector<standins::SeenRequest>& arrived,
                         int excused = -1);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_TARGET_NOTICES_H_
