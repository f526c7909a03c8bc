#include <algorithm>

#include "almondlink/relay/relay_node.h"

/// Where the frames of other nodes go.
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
      const auto [known, is_new] =
          this->clock_offsets.emplace(link->Id(), offset);
      known->second = std::min(known->second, offset);
      const Millis held{offset - known->second};
      this->served.OnCall(
          link->Id(), call,
          this->settings.decisions.has_held_frames ? held : Millis{0});
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
    case FrameType::kQuotaAsk: {
      QuotaAskFrame ask;
      if (!Decode(frame.payload, ask)) {
        return false;
      }
      this->entry.Quotas().OnAsk(link, ask);
      return true;
    }
    case FrameType::kBlame:
    case FrameType::kTrialAsk:
    case FrameType::kTrialOver:
      return this->OnBlameFrame(link, frame);
    default:
      // A newer node's frame; it does without an answer.
      return true;
  }
}

/// What other nodes know of requests that targets ended under, and ask for.
bool RelayNode::OnBlameFrame(const PeerLinkPointer& link,
                             const RawFrame& frame) {
  BlameExchange& blame = this->entry.Quarantine();
  BlameFrame news;
  TrialAskFrame ask;
  TrialOverFrame over;
  if (frame.type == FrameType::kBlame && Decode(frame.payload, news)) {
    blame.OnNews(news);
  } else if (frame.type == FrameType::kTrialAsk && Decode(frame.payload, ask)) {
    blame.OnAsk(link, ask);
  } else if (frame.type == FrameType::kTrialOver &&
             Decode(frame.payload, over)) {
    blame.OnOver(over);
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
    case FrameType::kTrialAnswer: {
      TrialAnswerFrame answer;
      if (!Decode(frame.payload, answer)) {
        return false;
      }
      this->entry.Quarantine().OnPermitted(answer);
      return true;
    }
    default:
      return true;
  }
}

}  // namespace almondlink::relay
