#include <algorithm>

#include "almondlink/relay/relay_node.h"

/// Dispatch of frames from other nodes to the parts of a relay.
namespace almondlink::relay {

bool RelayNode::OnCallFrame(const PeerLinkPointer& link,
                            const RawFrame& frame) {
  switch (frame.type) {
    case FrameType::kCall: {
      CallFrame call;
      if (!Decode(frame.payload, call)) {
        return false;
      }
      const std::int64_t offset =
          BootTimeNow().count - static_cast<std::int64_t>(call.sent_ms);
      const auto [min_offset, is_new] =
          this->min_clock_offsets.emplace(link->Id(), offset);
      min_offset->second = std::min(min_offset->second, offset);
      const Millis transit_delay{offset - min_offset->second};
      this->served.OnCall(
          link->Id(), call,
          this->settings.decisions.has_held_frames ? transit_delay : Millis{0});
      return true;
    }
    case FrameType::kCancel: {
      std::uint32_t id = 0;
      if (!DecodeCancel(frame.payload, id)) {
        return false;
      }
      this->served.OnCancel(link->Id(), id);
      return true;
    }
    case FrameType::kWindow: {
      WindowFrame window;
      if (!Decode(frame.payload, window)) {
        return false;
      }
      this->served.OnWindow(link->Id(), window.id, window.bytes);
      return true;
    }
    case FrameType::kQuotaRequest: {
      QuotaRequestFrame request;
      if (!Decode(frame.payload, request)) {
        return false;
      }
      this->entry.Accounts().SendTotals(link, request.account);
      this->entry.Quotas().OnQuotaRequest(link, request);
      return true;
    }
    case FrameType::kLoadReport:
      return this->loads.OnReport(link, frame.payload);
    case FrameType::kLoadSums:
      return this->loads.OnSums(link, frame.payload);
    case FrameType::kDecisionReport:
      return this->decisions.OnReport(link, frame.payload);
    case FrameType::kDecisionSums:
      return this->decisions.OnSums(link, frame.payload);
    case FrameType::kAccountDemand:
      return this->entry.Accounts().OnDemand(link, frame.payload);
    case FrameType::kQuarantine:
    case FrameType::kTrialRequest:
    case FrameType::kTrialEnded:
      return this->OnQuarantineFrame(link, frame);
    default:
      // A frame type of a newer node, which expects no answer.
      return true;
  }
}

/// Handles updates about requests that crashed targets, and trial requests.
bool RelayNode::OnQuarantineFrame(const PeerLinkPointer& link,
                                  const RawFrame& frame) {
  QuarantineExchange& quarantine = this->entry.Quarantine();
  QuarantineFrame update;
  TrialRequestFrame request;
  TrialEndedFrame ended;
  if (frame.type == FrameType::kQuarantine && Decode(frame.payload, update)) {
    quarantine.OnUpdates(update);
  } else if (frame.type == FrameType::kTrialRequest &&
             Decode(frame.payload, request)) {
    quarantine.OnTrialRequest(link, request);
  } else if (frame.type == FrameType::kTrialEnded &&
             Decode(frame.payload, ended)) {
    quarantine.OnTrialEnded(ended);
  } else {
    return false;
  }
  return true;
}

bool RelayNode::OnAnswerFrame(const PeerPointer& peer, const RawFrame& frame) {
  switch (frame.type) {
    case FrameType::kAnswer: {
      AnswerFrame answer;
      if (!Decode(frame.payload, answer)) {
        return false;
      }
      this->entry.OnAnswer(peer, answer);
      return true;
    }
    case FrameType::kData: {
      DataFrame data;
      if (!Decode(frame.payload, data)) {
        return false;
      }
      this->entry.OnPart(peer, data);
      return true;
    }
    case FrameType::kQuotaLoan: {
      QuotaLoanFrame loan;
      if (!Decode(frame.payload, loan)) {
        return false;
      }
      this->entry.Quotas().OnLoan(loan);
      return true;
    }
    case FrameType::kLoadTotals:
      return this->loads.OnTotals(peer, frame.payload);
    case FrameType::kDecisionTotals:
      return this->decisions.OnTotals(peer, frame.payload);
    case FrameType::kAccountDemandTotal:
      return this->entry.Accounts().OnTotal(frame.payload);
    case FrameType::kTrialResponse: {
      TrialResponseFrame answer;
      if (!Decode(frame.payload, answer)) {
        return false;
      }
      this->entry.Quarantine().OnTrialResponse(answer);
      return true;
    }
    default:
      return true;
  }
}

}  // namespace almondlink::relay
