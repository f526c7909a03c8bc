#include "almondlink/relay/peer_frames.h"
#include "frame_codec.h"

/// Frames about leaves of targets.
namespace almondlink::relay {

void Append(const LeavesFrame& frame, std::string& out) {
  Writer writer(FrameType::kLeaves, out);
  writer.PutVarint(frame.revision);
  writer.PutVarint(frame.instances.size());
  for (const control::InstanceIncarnation& instance : frame.instances) {
    writer.PutText(instance.id);
    writer.Put(instance.started_at);
  }
}

bool Decode(std::string_view payload, LeavesFrame& frame) {
  Reader in(payload);
  frame.revision = in.TakeVarint();
  frame.instances.resize(in.TakeVarintCount());
  for (control::InstanceIncarnation& instance : frame.instances) {
    in.TakeText(instance.id);
    in.Take(instance.started_at);
  }
  return in.IsGood();
}

void AppendLeavesConfirmed(std::uint64_t revision, std::string& out) {
  Writer writer(FrameType::kLeavesConfirmed, out);
  writer.Put(revision);
}

bool DecodeLeavesConfirmed(std::string_view payload, std::uint64_t& revision) {
  Reader in(payload);
  in.Take(revision);
  return in.IsGood();
}

}  // namespace almondlink::relay
