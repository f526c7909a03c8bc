#include "almondlink/control/caller_repeats.h"

namespace almondlink::control {

CallerRepeats MakeCallerRepeats(std::size_t places) {
  CallerRepeats repeats;
  repeats.places.resize(places);
  return repeats;
}

void NoteFailedRequest(Millis now,
                       std::uint64_t hash,
                       Millis retry_after,
                       bool is_unknown,
                       CallerRepeats& repeats) {
  FailedRequest& place = repeats.places[hash % repeats.places.size()];
  place.is_unknown = is_unknown || (place.hash == hash && place.is_unknown);
  place.hash = hash;
  place.failed = now;
  place.come_back =
      retry_after < Millis{0} ? now + kRepeatLife : now + retry_after;
}

bool WasUnknown(Millis now, std::uint64_t hash, const CallerRepeats& repeats) {
  const FailedRequest& place = repeats.places[hash % repeats.places.size()];
  return place.hash == hash && hash != 0 && place.is_unknown &&
         now - place.failed < kRepeatLife;
}

bool IsEarlyRepeat(Millis now,
                   std::uint64_t hash,
                   const CallerRepeats& repeats) {
  const FailedRequest& place = repeats.places[hash % repeats.places.size()];
  const bool is_known = place.hash == hash && hash != 0;
  return is_known && now - place.failed < kRepeatLife && now < place.come_back;
}

}  // namespace almondlink::control
